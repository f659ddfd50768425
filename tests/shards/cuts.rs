//! Long-running tasks on VMs that leave for good while the store is cut off, so that nobody reads
//! their notices, and whose shards change owners then or later.
//!
//! How long a task may be without a run is counted from the lease as its VM knew it: nothing that
//! was not delivered extends that.

use crate::faults::RandomFaults;
use crate::invariants::check;
use crate::jobs::{job_with_steps, work};
use crate::random::seeds;
use crate::world::{EarlierOwners, LostPort, OwnerEnd, Simulation, UnansweredStart};
use indexmap::IndexMap;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::ops::Range;
use std::time::Duration;
use waxwingstall::job::{Job, JobId, TaskRef};
use waxwingstall::shard::settings::{CLOCK_DRIFT, MAX_LEASE_AFTER_PROOF, SILENCE_TIMEOUT};
use waxwingstall::units::Resources;
use waxwingstall_standin::runs::{EndedLease, Seen};

const SIZE: Resources = Resources::new(12_000, 12_000, 0);
const SHARDS: [&str; 2] = ["kacyiru", "remera"];
const VMS: usize = 6;

/// Number of VMs of a shard that always stay and are never cut off: room for all tasks.
const STAYING: usize = 3;

/// Longest times for which VMs keep their tasks running without another poll.
const KEEP: Duration = Duration::from_secs(10);
const SHORT_KEEP: Duration = Duration::from_secs(6);

/// Longest time that a long-running task may be without a run from when it may run elsewhere.
const MAX_DOWNTIME: Duration = Duration::from_secs(6);

/// Time from the loss of a VM by which its owner has noticed that: a poll that begins as the silence
/// gets long enough takes its timeout and the pause before it.
const NOTICED: Duration = SILENCE_TIMEOUT.saturating_add(Duration::from_millis(500));

/// Time in which an owner puts on record what it knows, while the store is there.
const RECORDED: Duration = Duration::from_millis(300);

/// Time from a claim until the new owner has heard of the VMs that it reaches.
const HEARD: Duration = Duration::from_millis(500);

/// Time for the system to settle after the last fault: a lease that an owner may extend that isn't
/// known to have ended, and more.
const SETTLE_TIME: Duration = Duration::from_secs(45);

/// Times in milliseconds: cuts last and follow each other, and VMs announce that they leave and do.
const CUT: Range<u64> = 4000..7000;
const NEXT_CUT: Range<u64> = 300..5000;
const NOTICE: Range<u64> = 200..5000;

/// Time in milliseconds for which VMs are cut off that stay.
const DISCONNECTED: Range<u64> = 2000..15_000;

/// Time in milliseconds after a cut in which the VMs of the domain are listed again.
const RELISTED: Range<u64> = 0..2000;

/// Time in milliseconds from the loss of a VM until an owner is replaced, and from its replacement
/// until the next one is replaced in its turn.
const REPLACED: Range<u64> = 0..5000;
const REPLACED_AGAIN: Range<u64> = 50..5000;

/// Times in milliseconds until the next owner claims a shard, at best and once the store is back.
const OWNERLESS: Range<u64> = 0..2000;
const CLAIMED: Range<u64> = 20..1500;

/// Time in milliseconds by which a pause outlasts the claim of the next owner.
const PAUSED: Range<u64> = 500..8000;

/// Share of calls that fail, in thousandths, with every third seed.
const FAILING_CALLS: u32 = 40;

/// Something that happens to the system.
#[derive(Clone, Copy, Debug)]
enum Fault {
    /// The owners are cut off from the store.
    CutOwners { time: Duration },
    /// The VMs of a shard are cut off from its owner and from the store.
    CutVms { shard: usize, time: Duration, port: LostPort },
    /// A VM leaves for good; nobody has read its notice.
    Leave { vm: usize, port: LostPort },
    /// A VM is cut off from everybody and goes on running its tasks; it is listed again later.
    Disconnect { vm: usize, time: Duration, port: LostPort, listed: Listed },
    /// The owner of a shard is replaced after a while.
    Replace { shard: usize, end: OwnerEnd, after: Duration },
}

/// Whether a VM that is cut off stays on the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Listed {
    Always,
    /// Not from then until this time after its cut.
    Again(Duration),
}

/// A time in which nothing can be started.
#[derive(Clone, Debug)]
struct Cut {
    time: Range<Duration>,
    /// The shard whose VMs are cut off; both, if the owners are cut off from the store.
    shard: Option<usize>,
}

/// Where the owners of the shards are.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum OwnerPlace {
    /// With their VMs, cut off from the store.
    WithVms,
    /// With the store, cut off from the VMs of one of the shards.
    WithStore,
}

/// What differs between the tests.
#[derive(Clone, Copy, Debug)]
struct Setup {
    owners: OwnerPlace,
    /// What owners know of those before the last one after all daemons were killed.
    earlier_owners: EarlierOwners,
}

/// The replacement of a shard's owner.
#[derive(Clone, Copy, Debug)]
struct Replacement {
    shard: usize,
    at: Duration,
    claimed: Duration,
    end: OwnerEnd,
}

/// Something that may keep a task from running.
#[derive(Clone, Debug)]
enum Event {
    Cut(Cut),
    Replaced(Replacement),
    /// A start was sent then that was not answered.
    Unanswered(Duration),
}

impl Event {
    fn at(&self) -> Duration {
        match self {
            Self::Cut(cut) => cut.time.start,
            Self::Replaced(it) => it.at,
            Self::Unanswered(sent) => *sent,
        }
    }
}

/// The end of a run of a long-running task.
#[derive(Clone, Copy, Debug)]
struct LostRun {
    task: TaskRef,
    vm: usize,
    at: Duration,
    /// Until when the VM would have kept it, or had kept it.
    lease: Option<EndedLease>,
    /// Since when its VM is silent, if it is.
    silent_since: Option<Duration>,
}

/// Two shards with long-running tasks, some of them lent, and with room for twice as many.
struct Scenario {
    sim: Simulation<RandomFaults>,
    jobs: IndexMap<JobId, Job>,
    rng: SmallRng,
    setup: Setup,
    keep: Duration,
    cuts: Vec<Cut>,
    replacements: Vec<Replacement>,
    /// When VMs are silent.
    silent: Vec<(usize, Range<Duration>)>,
}

impl Scenario {
    fn new(seed: u64, setup: Setup) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let keep = if rng.random_ratio(1, 4) { SHORT_KEEP } else { KEEP };
        let permille = if seed.is_multiple_of(3) { FAILING_CALLS } else { 0 };
        let faults = RandomFaults::new(seed, permille, Duration::MAX);
        let mut sim = Simulation::with_max_keep(faults, &SHARDS, VMS, SIZE, keep);
        sim.cut_off_commits();
        sim.run_for(Duration::from_secs(1));
        let filler = job_with_steps(1, 1, 12, work(60_000, 6));
        let lent = job_with_steps(2, 1, 6, work(0, 2));
        let own = job_with_steps(3, 1, 6, work(0, 2));
        let other = job_with_steps(4, 1, 4, work(0, 2));
        sim.submit(SHARDS[0], filler.clone());
        sim.run_for(Duration::from_secs(3));
        sim.submit(SHARDS[0], lent.clone());
        let lent_runs = |sim: &mut Simulation<RandomFaults>| -> usize {
            (VMS..2 * VMS).map(|vm| sim.runs_on(vm)).sum()
        };
        while lent_runs(&mut sim) < 6 {
            assert!(sim.now < Duration::from_secs(60), "seed {seed}: no task was lent");
            sim.run_for(Duration::from_millis(200));
        }
        sim.cancel(SHARDS[0], filler.id);
        sim.run_for(Duration::from_secs(2));
        sim.submit(SHARDS[0], own.clone());
        sim.submit(SHARDS[1], other.clone());
        sim.run_for(Duration::from_secs(3));
        let jobs = [filler, lent, own, other].map(|job| (job.id, job)).into_iter().collect();
        let (cuts, replacements, silent) = Default::default();
        Self { sim, jobs, rng, setup, keep, cuts, replacements, silent }
    }

    fn millis(&mut self, range: Range<u64>) -> Duration {
        Duration::from_millis(self.rng.random_range(range))
    }

    fn port(&mut self) -> LostPort {
        if self.rng.random() { LostPort::Refusing } else { LostPort::Silent }
    }

    /// Draws what happens and when.
    fn faults(&mut self) -> Vec<(Duration, Fault)> {
        let mut faults = self.cut_faults();
        let mut left: [Vec<Duration>; 2] = Default::default();
        for (shard, left) in left.iter_mut().enumerate() {
            let mut vms: Vec<usize> = (shard * VMS..(shard + 1) * VMS).collect();
            vms.sort_by_key(|vm| std::cmp::Reverse(self.sim.runs_on(*vm)));
            let leaving = if self.is_cut(shard) { self.rng.random_range(1..STAYING) } else { 0 };
            for vm in vms.iter().take(leaving) {
                let (at, port) = (self.departure(), self.port());
                left.push(at);
                self.silent.push((*vm, at..Duration::MAX));
                faults.push((at, Fault::Leave { vm: *vm, port }));
            }
            for vm in vms.iter().take(STAYING).skip(leaving) {
                if self.rng.random_ratio(2, 3) {
                    let (at, fault) = self.disconnection(*vm);
                    faults.push((at, fault));
                }
            }
        }
        faults.extend(self.replacements(&left));
        faults.sort_by_key(|(at, _)| *at);
        faults
    }

    fn cut_faults(&mut self) -> Vec<(Duration, Fault)> {
        let mut start = self.sim.now + self.millis(0..1000);
        let mut faults = Vec::new();
        let shard = match self.setup.owners {
            OwnerPlace::WithVms => None,
            OwnerPlace::WithStore => Some(self.rng.random_range(0..SHARDS.len())),
        };
        for _ in 0..self.rng.random_range(1..3) {
            let time = self.millis(CUT);
            self.cuts.push(Cut { time: start..start + time, shard });
            let fault = match shard {
                None => Fault::CutOwners { time },
                Some(shard) => {
                    let silent =
                        (shard * VMS..(shard + 1) * VMS).map(|vm| (vm, start..start + time));
                    self.silent.extend(silent);
                    Fault::CutVms { shard, time, port: self.port() }
                }
            };
            faults.push((start, fault));
            start += time + self.millis(NEXT_CUT);
        }
        faults
    }

    fn is_cut(&self, shard: usize) -> bool {
        self.cuts[0].shard.is_none_or(|cut| cut == shard)
    }

    fn draw_cut(&mut self) -> Range<Duration> {
        self.cuts[self.rng.random_range(0..self.cuts.len())].time.clone()
    }

    /// When a VM leaves in one of the cuts, some time after a notice in it.
    fn departure(&mut self) -> Duration {
        let cut = self.draw_cut();
        let time = u64::try_from((cut.end - cut.start).as_millis()).expect("a few seconds");
        let announced = self.millis(0..time - NOTICE.start);
        let left = time - u64::try_from(announced.as_millis()).expect("a few seconds");
        cut.start + announced + self.millis(NOTICE.start..left.min(NOTICE.end) + 1)
    }

    fn disconnection(&mut self, vm: usize) -> (Duration, Fault) {
        let cut = self.draw_cut();
        let at = cut.start.saturating_sub(Duration::from_secs(1)) + self.millis(0..8000);
        let (time, port) = (self.millis(DISCONNECTED), self.port());
        let again = self.millis(RELISTED);
        let listed = if self.rng.random() { Listed::Always } else { Listed::Again(again) };
        let at = at.max(self.sim.now);
        self.silent.push((vm, at..at + time));
        (at, Fault::Disconnect { vm, time, port, listed })
    }

    /// Replaces both owners at once, or each of them, soon after a VM has left, and again.
    fn replacements(&mut self, left: &[Vec<Duration>; 2]) -> Vec<(Duration, Fault)> {
        let times = self.rng.random_range(0..3);
        let all: Vec<Duration> = left.iter().flatten().copied().collect();
        let is_unknown = self.setup.earlier_owners == EarlierOwners::Unknown;
        if is_unknown || self.rng.random_ratio(1, 3) {
            let mut at = all[self.rng.random_range(0..all.len())] + self.millis(REPLACED);
            let all_killed = OwnerEnd::AllKilled(self.setup.earlier_owners);
            for _ in 0..times {
                let claims = [0, 1].map(|shard| self.replace(shard, at, Some(all_killed)));
                at = claims[0].max(claims[1]) + self.millis(REPLACED_AGAIN);
            }
        } else {
            for (shard, left) in left.iter().enumerate() {
                let left = if left.is_empty() { &all } else { left };
                let mut at = left[self.rng.random_range(0..left.len())] + self.millis(REPLACED);
                for _ in 0..times {
                    at = self.replace(shard, at, None) + self.millis(REPLACED_AGAIN);
                }
            }
        }
        let fault = |it: &Replacement| {
            let after = it.claimed - it.at;
            (it.at, Fault::Replace { shard: it.shard, end: it.end, after })
        };
        self.replacements.iter().map(fault).collect()
    }

    /// Draws the replacement of an owner, and returns when the next one claims its shard.
    fn replace(&mut self, shard: usize, at: Duration, end: Option<OwnerEnd>) -> Duration {
        let mut claimed = at + self.millis(OWNERLESS);
        while let Some(end) = self.store_back(claimed) {
            claimed = end + self.millis(CLAIMED);
        }
        let end = end.unwrap_or_else(|| match self.rng.random_range(0..3) {
            0 => OwnerEnd::Killed,
            1 => OwnerEnd::HandedOver,
            _ => OwnerEnd::Paused(claimed - at + self.millis(PAUSED)),
        });
        self.replacements.push(Replacement { shard, at, claimed, end });
        claimed
    }

    /// When the store is back for the owners, if it is cut off from them at a time.
    fn store_back(&self, at: Duration) -> Option<Duration> {
        let mut cuts = self.cuts.iter().filter(|cut| cut.shard.is_none());
        cuts.find(|cut| cut.time.contains(&at)).map(|cut| cut.time.end)
    }

    fn apply(&mut self, fault: Fault) {
        let now = self.sim.now;
        match fault {
            Fault::CutOwners { time } => {
                self.sim.stop_store(time);
                (0..self.sim.vms.len()).for_each(|vm| self.hide(vm, time));
            }
            Fault::CutVms { shard, time, port } => {
                for vm in shard * VMS..(shard + 1) * VMS {
                    let left = self.sim.vms[vm].unreachable_until.saturating_sub(now);
                    self.sim.cut_vm(vm, time.max(left), port);
                    self.hide(vm, time);
                }
            }
            Fault::Leave { vm, port } => self.sim.lose_vm(vm, port),
            Fault::Disconnect { vm, time, port, listed } => {
                let left = self.sim.vms[vm].unreachable_until.saturating_sub(now);
                self.sim.cut_vm(vm, time.max(left), port);
                if let Listed::Again(again) = listed {
                    let id = self.sim.vms[vm].entry.id.clone();
                    self.sim.announcements.hide(&id, now..now + time + again);
                }
            }
            Fault::Replace { shard, end, after } => {
                self.sim.end_ownership(SHARDS[shard], end, after);
            }
        }
    }

    /// Takes a VM off the list for a while, and a little longer.
    fn hide(&mut self, vm: usize, time: Duration) {
        let (now, id) = (self.sim.now, self.sim.vms[vm].entry.id.clone());
        let listed = now + time + self.millis(RELISTED);
        self.sim.announcements.hide(&id, now..listed);
    }

    fn play(&mut self) -> Vec<(Duration, Fault)> {
        let faults = self.faults();
        for (at, fault) in &faults {
            self.sim.run_for(at.saturating_sub(self.sim.now));
            self.apply(*fault);
        }
        self.sim.run_for(SETTLE_TIME);
        faults
    }

    /// The ends of runs of long-running tasks.
    fn lost_runs(&mut self) -> Vec<LostRun> {
        let now = self.sim.now;
        self.sim.vms.iter_mut().for_each(|vm| {
            let _ = vm.table.runs(now);
        });
        let mut lost = Vec::new();
        for (number, vm) in self.sim.vms.iter().enumerate() {
            let ends = vm.table.seen.iter().filter_map(|seen| match seen {
                Seen::Ended { at, task, .. } if self.lasts(task) => Some((*at, *task)),
                _ => None,
            });
            lost.extend(ends.map(|(at, task)| LostRun {
                task,
                vm: number,
                at,
                lease: vm.table.ended_leases.iter().find(|lease| lease.at == at).copied(),
                silent_since: self.silent_from_end(number, at),
            }));
        }
        lost
    }

    /// Since when a VM is silent on which a run has ended at a time, if no owner has heard it since.
    fn silent_from_end(&self, vm: usize, end: Duration) -> Option<Duration> {
        let ownerless = self
            .replacements
            .iter()
            .filter(|it| it.shard == vm / VMS && it.at <= end + HEARD && end < it.claimed);
        let heard = ownerless.map(|it| it.claimed).max().unwrap_or(end) + HEARD;
        let later = self.silent.iter().filter(|(silent, _)| *silent == vm);
        let later = later.map(|(_, time)| time.start).filter(|start| (end..heard).contains(start));
        self.silent_since(vm, end).or(later.min())
    }

    /// Since when a VM is silent at a time, if it is.
    fn silent_since(&self, vm: usize, at: Duration) -> Option<Duration> {
        let silent = |at: Duration| {
            let of_vm = self.silent.iter().filter(|(silent, _)| *silent == vm);
            of_vm.filter(|(_, time)| time.contains(&at)).map(|(_, time)| time.start).min()
        };
        let mut since = silent(at)?;
        while let Some(earlier) = silent(since).filter(|earlier| *earlier < since) {
            since = earlier;
        }
        Some(since)
    }

    fn lasts(&self, task: &TaskRef) -> bool {
        self.jobs[&task.job].steps[0].estimate.is_zero()
    }

    /// When a task starts next.
    fn next_start(&self, lost: &LostRun) -> Option<Duration> {
        let seen = self.sim.vms.iter().flat_map(|vm| &vm.table.seen);
        let starts = seen.filter_map(|seen| match seen {
            Seen::Started { at, task, .. } if *task == lost.task && *at >= lost.at => Some(*at),
            _ => None,
        });
        starts.min()
    }

    /// Longest time for which a lease of a VM lasts that is extended now, by any clock.
    fn longest_lease(&self) -> Duration {
        self.keep.mul_f64(1.0 + CLOCK_DRIFT)
    }

    /// From when a task may run elsewhere without the risk that it runs twice.
    ///
    /// That is the end of its VM's lease as the VM knew it, with a clock that is slow, and not while
    /// the store is cut off or its shard has no owner. An owner that ended before it could record
    /// that the VM is silent may have extended the lease until then. One that isn't known to have
    /// ended may do so for as long as it may go on by itself, also if others have followed. A start that a VM has not answered as
    /// it left may have been carried out there. After all daemons were killed, what was left as the
    /// deadline was recorded counts from the claim.
    fn ready(&self, lost: &LostRun) -> Duration {
        let drift = lost.lease.map_or(Duration::ZERO, |lease| {
            (lease.keep_until - lease.extended).mul_f64(CLOCK_DRIFT)
        });
        let mut deadline = lost.lease.map_or(lost.at, |lease| lease.keep_until) + drift;
        if let Some(since) = lost.silent_since
            && self.was_silent_until(lost.vm, since)
        {
            // The owner may have sent the first calls that extend the lease again.
            deadline = deadline.max(since + NOTICED + self.longest_lease());
        }
        let mut ready = deadline;
        let mut noticed = lost.silent_since.map(|since| since + NOTICED);
        for event in self.events_after(lost) {
            if event.at() > ready + MAX_DOWNTIME {
                break;
            }
            match event {
                Event::Cut(cut) => ready = ready.max(cut.time.end),
                Event::Unanswered(sent) => deadline = deadline.max(sent + self.longest_lease()),
                Event::Replaced(it) => {
                    ready = ready.max(it.claimed);
                    if let (Some(noticed), true) = (&mut noticed, it.shard == lost.vm / VMS) {
                        deadline = deadline.max(self.inherited_deadline(&it, deadline, noticed));
                    }
                }
            }
            ready = ready.max(deadline);
        }
        ready
    }

    /// Until when a VM's lease may last that an owner knew to end at `deadline`, as far as the next
    /// owner can know, and since when that one knows.
    fn inherited_deadline(
        &self,
        it: &Replacement,
        deadline: Duration,
        noticed: &mut Duration,
    ) -> Duration {
        if it.end == OwnerEnd::HandedOver && it.at >= *noticed {
            *noticed = (*noticed).max(it.claimed);
            deadline
        } else if it.at < self.recorded(*noticed) {
            *noticed = it.claimed + NOTICED;
            self.active_until(it) + self.longest_lease()
        } else if matches!(it.end, OwnerEnd::AllKilled(_)) {
            // Nobody has measured the time between the last record and the claim.
            it.claimed + deadline.saturating_sub(self.last_recorded(it.at))
        } else {
            deadline
        }
    }

    /// Whether an earlier silence of a VM ended just before a time.
    fn was_silent_until(&self, vm: usize, at: Duration) -> bool {
        let mut silent = self.silent.iter().filter(|(silent, _)| *silent == vm);
        silent.any(|(_, time)| time.end <= at && at < time.end + HEARD)
    }

    /// What may keep a task from running after its run was lost, in order.
    fn events_after(&self, lost: &LostRun) -> Vec<Event> {
        let since = lost.silent_since.unwrap_or(lost.at);
        let holds_up = |cut: &&Cut| cut.shard.is_none_or(|shard| shard == lost.vm / VMS);
        let cuts = self.cuts.iter().filter(holds_up).cloned().map(Event::Cut);
        let replaced = self.replacements.iter().filter(|it| it.claimed + HEARD > since);
        // A start extends the lease of all runs on its VM.
        let concerns = |start: &UnansweredStart| {
            start.task == lost.task || start.vm == self.sim.vms[lost.vm].entry.id
        };
        let unanswered =
            self.sim.unanswered_starts.iter().filter(|start| {
                concerns(start) && start.sent >= lost.at && self.is_unnoticed(start)
            });
        let mut events: Vec<Event> = cuts
            .chain(replaced.copied().map(Event::Replaced))
            .chain(unanswered.map(|start| Event::Unanswered(start.sent)))
            .collect();
        events.sort_by_key(Event::at);
        events
    }

    /// Whether a start was sent to a VM that left or was cut off just before or after, so that its
    /// owner couldn't know of it.
    fn is_unnoticed(&self, start: &UnansweredStart) -> bool {
        let vm = self.sim.vms.iter().position(|vm| vm.entry.id == start.vm);
        let since = vm.and_then(|vm| self.silent_since(vm, start.sent + HEARD));
        since.is_some_and(|since| start.sent < since + NOTICED)
    }

    /// Until when the owner that is replaced, or one before it, may extend leases, as far as the next
    /// one can know.
    fn active_until(&self, replaced: &Replacement) -> Duration {
        let stale = |it: &Replacement| it.claimed.max(it.at + MAX_LEASE_AFTER_PROOF - self.keep);
        let earlier = self.replacements.iter().filter(|it| {
            it.shard == replaced.shard
                && it.claimed <= replaced.at
                && matches!(it.end, OwnerEnd::Paused(_))
        });
        match replaced.end {
            OwnerEnd::Killed | OwnerEnd::AllKilled(_) => {
                earlier.map(stale).fold(replaced.claimed, Duration::max)
            }
            OwnerEnd::HandedOver => replaced.claimed,
            OwnerEnd::Paused(_) => stale(replaced),
        }
    }

    /// When an owner that ends at a time could last record something.
    fn last_recorded(&self, end: Duration) -> Duration {
        let unrecorded = |cut: &&Cut| {
            cut.shard.is_none() && cut.time.start <= end && end < cut.time.end + RECORDED
        };
        let cut = self.cuts.iter().find(unrecorded);
        cut.map_or(end, |cut| cut.time.start)
    }

    /// When an owner has recorded what it knows from a time on.
    fn recorded(&self, known: Duration) -> Duration {
        let mut recorded = known + RECORDED;
        for Cut { time, .. } in self.cuts.iter().filter(|cut| cut.shard.is_none()) {
            if known < time.end && time.start < recorded {
                recorded = time.end + RECORDED;
            }
        }
        recorded
    }

    /// Runs that were followed by the next one too late, and how late all were.
    fn late_runs(&mut self) -> (Vec<String>, Vec<Duration>) {
        let (mut late, mut times) = (Vec::new(), Vec::new());
        for lost in self.lost_runs() {
            let (ready, next) = (self.ready(&lost), self.next_start(&lost));
            let started = next.unwrap_or(self.sim.now);
            times.push(started.saturating_sub(ready));
            if started > ready + MAX_DOWNTIME {
                let down = started - lost.at;
                late.push(format!(
                    "down for {down:?}, ready at {ready:?}, next at {next:?}: {lost:?}"
                ));
            }
        }
        (late, times)
    }
}

/// Plays the default seeds, and panics if a task waits for too long with one of them.
fn play_seeds(default: Range<u64>, setup: Setup) {
    let (mut times, mut failed) = (Vec::new(), Vec::new());
    for seed in seeds(default) {
        let mut scenario = Scenario::new(seed, setup);
        let faults = scenario.play();
        let (late, took) = scenario.late_runs();
        if !late.is_empty() {
            late.iter().for_each(|run| println!("seed {seed}: {run}"));
            faults.iter().for_each(|(at, fault)| println!("seed {seed}: {at:?} {fault:?}"));
            failed.push(seed);
        }
        times.extend(took);
        check(&mut scenario.sim, &scenario.jobs, SIZE);
    }
    times.sort();
    let at = |percent: usize| times[(times.len() - 1) * percent / 100];
    println!(
        "{} runs ended, and the next ones began {:?} (median), {:?} (99 %), {:?} (most) later than \
         they could; {} seeds failed",
        times.len(),
        at(50),
        at(99),
        at(100),
        failed.len()
    );
    assert!(failed.is_empty(), "tasks waited for over {MAX_DOWNTIME:?}: seeds {failed:?}");
}

// Guards against long-running tasks that wait for longer than the lease that their VM, which has left
// while the store was cut off, was really given.
#[test]
fn no_lasting_task_waits_for_longer_than_the_lease_of_a_vm_that_left_behind_a_cut() {
    let setup = Setup { owners: OwnerPlace::WithVms, earlier_owners: EarlierOwners::Ended };
    play_seeds(0..24, setup);
}

// The same with owners in another failure domain, which reach the store and not the VMs.
#[test]
fn no_lasting_task_waits_for_longer_than_the_lease_of_a_vm_that_left_out_of_reach() {
    let setup = Setup { owners: OwnerPlace::WithStore, earlier_owners: EarlierOwners::Ended };
    play_seeds(0..24, setup);
}

// The same with new daemons that don't know of owners before the last one: guards against a wait
// for owners that ended long ago.
#[test]
fn no_lasting_task_waits_for_owners_before_the_last_one_after_a_cut() {
    let setup = Setup { owners: OwnerPlace::WithVms, earlier_owners: EarlierOwners::Unknown };
    play_seeds(0..24, setup);
}
