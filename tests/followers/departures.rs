//! Departures of VMs whose shard changes its owner around that time.

use crate::harness::{ANNOUNCE_INTERVAL, Harness, NOTICE, vm_id};
use std::time::Duration;
use waxwingstall::ids::VmId;
use waxwingstall::note::Note;
use waxwingstall::vm::AnnouncedAfter;

/// Number of VMs that stay.
const STAYING: usize = 30;

/// The VM that leaves.
const LEAVING: usize = 99;

const SHARD: &str = "kacyiru.0";

/// Time in which a departure is known, from the removal of the announcement or from the claim.
const MAX_PROOF_TIME: Duration = Duration::from_secs(1);

/// Silence after which the store removes an announcement.
const EXPIRY: Duration = Duration::from_millis(4500);

/// Start of the notice.
const NOTICE_START: Duration = Duration::from_secs(4);

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Something that happens at a given time.
#[derive(Clone, Debug)]
enum Step {
    /// The VM announces itself.
    Announce(String),
    RemoveAnnouncement,
    Claim,
    StoreDown(bool),
    DelayWatches(Duration),
    FreezeStaleReads,
    DropHistory,
}

/// A sequence of steps.
#[derive(Clone, Debug, Default)]
struct Script(Vec<(Duration, Step)>);

impl Script {
    fn with(mut self, at: Duration, step: Step) -> Self {
        self.0.push((at, step));
        self
    }

    /// A VM that announces itself as ready, then as leaving until `last`; its words are added to
    /// each announcement.
    fn leaving_until(last: Duration, words: &str) -> Self {
        let mut script = Self::default();
        let mut at = NOTICE_START - 2 * ANNOUNCE_INTERVAL;
        while at <= last {
            let left = (NOTICE_START + NOTICE).saturating_sub(at).as_millis();
            let is_leaving = at >= NOTICE_START;
            let state =
                if is_leaving { format!("leaving left={left}") } else { "ready".to_owned() };
            script.0.push((at, Step::Announce(format!("{state} {words}"))));
            at += ANNOUNCE_INTERVAL;
        }
        script
    }

    /// A VM that leaves at this time.
    fn leaving_at(end: Duration, words: &str) -> Self {
        Self::leaving_until(end - ms(1), words).with(end, Step::RemoveAnnouncement)
    }

    /// Runs the steps on a daemon, and some seconds more. The shard's records name the VM.
    fn run(self, vm: &VmId) -> Harness {
        let mut steps = self.0;
        steps.sort_by_key(|(at, _)| *at);
        actix_rt::System::new().block_on(async {
            let mut harness = Harness::start(STAYING);
            harness.record_runs(SHARD, std::slice::from_ref(vm));
            for (at, step) in steps {
                let wait = at.saturating_sub(harness.clock.now());
                harness.advance(STAYING, wait).await;
                match step {
                    Step::Announce(state) => harness.announce(LEAVING, &state),
                    Step::RemoveAnnouncement => harness.remove_announcement(LEAVING),
                    Step::Claim => harness.claim(SHARD).await,
                    Step::StoreDown(is_down) => harness.set_down(is_down),
                    Step::DelayWatches(delay) => harness.delay_watches(delay),
                    Step::FreezeStaleReads => harness.freeze_stale_reads(),
                    Step::DropHistory => harness.table.table().compact(),
                }
            }
            harness.advance(STAYING, ms(5000)).await;
            harness
        })
    }
}

fn vm() -> VmId {
    VmId::new(&vm_id(LEAVING))
}

/// Fails if any VM is reported as departed.
fn assert_none_departed(script: Script, case: &str) {
    let harness = script.run(&vm());
    assert_eq!(*harness.departures.borrow(), [], "{case}");
}

/// Ends of a stay: soon after the notice, and some time later, after another announcement.
fn ends() -> [Duration; 4] {
    [50, 700, 1450, 2900].map(|late| NOTICE_START + NOTICE + ms(late))
}

/// Times from `from` until `until`.
fn times(from: Duration, until: Duration) -> impl Iterator<Item = Duration> {
    let step = ms(550);
    (0..).map(move |number| from + number * step).take_while(move |at| *at < until)
}

/// Fails unless exactly this VM is reported as departed, in time after `known`.
fn assert_departed(harness: &Harness, vm: &VmId, known: Duration, case: &str) {
    let departures = harness.departures.borrow();
    let mut vms: Vec<&str> = departures.iter().map(|(vm, _)| vm.as_str()).collect();
    // A daemon that knows it before the claim may find it once more in the history.
    vms.dedup();
    assert_eq!(vms, [vm.to_string()], "{case}");
    let took = departures[0].1.saturating_sub(known);
    assert!(took <= MAX_PROOF_TIME, "{case}: {took:?}");
}

// Guards against owners that wait for the lease of a VM that has left because they became the owner
// during its notice: the age of what a daemon reads first was unknown.
#[test]
fn an_owner_since_the_notice_is_told_that_a_vm_has_left() {
    for end in ends() {
        for claimed in times(NOTICE_START - ms(500), end - ms(100)) {
            let script = Script::leaving_at(end, "").with(claimed, Step::Claim);
            let case = format!("claimed at {claimed:?}, left at {end:?}");
            assert_departed(&script.run(&vm()), &vm(), end, &case);
        }
    }
}

// Guards against a departure that isn't proved, with nothing in the log that tells why.
#[test]
fn the_log_tells_why_a_departure_is_not_proved() {
    let outcomes = |script: Script| -> Vec<(&'static str, &'static str)> {
        let harness = script.with(ms(1000), Step::Claim).run(&vm());
        let notes = harness.notes.borrow();
        let outcome = |note: &Note| match note {
            Note::DepartureJudged { vm: id, found_in, outcome, .. } if *id == vm() => {
                Some((*found_in, *outcome))
            }
            _ => None,
        };
        notes.iter().filter_map(outcome).collect()
    };
    let end = NOTICE_START + NOTICE;
    let last = |at| Script::leaving_until(at, "");
    let expired = last(end).with(end + EXPIRY, Step::RemoveAnnouncement);
    let vanished = last(NOTICE_START).with(NOTICE_START + ms(700), Step::RemoveAnnouncement);
    let lost = last(end)
        .with(end + ms(100), Step::StoreDown(true))
        .with(end + ms(300), Step::RemoveAnnouncement)
        .with(end + ms(1000), Step::StoreDown(false));
    let silent = "it may have been silent for too long";
    let unreachable = "the store was unreachable after its last announcement";
    assert_eq!(outcomes(Script::leaving_at(end + ms(50), "")), [("changes", "proved")]);
    assert_eq!(outcomes(expired), [("changes", silent)]);
    assert_eq!(outcomes(vanished), [("changes", "its notice was not over")]);
    // After an outage the whole list is read.
    assert_eq!(outcomes(lost), [("list", unreachable), ("history", unreachable)]);
}

// Guards against owners that wait for the lease of a VM that has left because they became the owner
// after that, and know it from the records of their shard only.
#[test]
fn an_owner_since_the_departure_is_told_that_a_vm_has_left() {
    // A daemon without shards makes a call about each second, so both ends of the VM's silence are
    // known to within a second. A silence of up to a second is then certain to be short enough.
    for end in [50, 950, 2400].map(|late| NOTICE_START + NOTICE + ms(late)) {
        for claimed in times(end, end + ms(8000)) {
            let script = Script::leaving_at(end, "").with(claimed, Step::Claim);
            let case = format!("claimed at {claimed:?}, left at {end:?}");
            assert_departed(&script.run(&vm()), &vm(), claimed, &case);
        }
    }
}

// Guards against a notice that is counted from when it was read, so that it seems longer than it is.
#[test]
fn the_age_of_an_announcement_is_published_with_it() {
    for claimed in times(NOTICE_START, NOTICE_START + NOTICE) {
        let end = NOTICE_START + NOTICE;
        let script = Script::leaving_at(end, "").with(claimed, Step::Claim);
        let harness = script.run(&vm());
        let updates = harness.updates.borrow();
        let current = updates.iter().find(|update| update.at >= claimed && update.asked.is_some());
        let list = current.expect("the list is read after the claim");
        let entry = list.vms.iter().find(|entry| entry.id == vm()).expect("the VM is listed");
        let announced = (0..)
            .map(|number| NOTICE_START + number * ANNOUNCE_INTERVAL)
            .take_while(|at| *at <= claimed)
            .last()
            .expect("the claim follows the first announcement");
        let Some(AnnouncedAfter::Bound(after)) = entry.announced_after else {
            panic!("the daemon has made calls before: {:?}", entry.announced_after);
        };
        // Steps happen at the first announcement of another VM after their time.
        let latest = announced + ms(50);
        assert!(after <= latest, "claimed at {claimed:?}: {after:?} is after {latest:?}");
        let uncertainty = announced.saturating_sub(after);
        assert!(uncertainty <= ms(1300), "claimed at {claimed:?}: uncertain by {uncertainty:?}");
    }
}

/// Cases of a VM that is cut off and alive: its last announcement, when the store removed that, and
/// when the shard was claimed.
fn cut_off() -> Vec<(Script, Duration, Duration, String)> {
    let mut cases = Vec::new();
    for number in 0..4 {
        let last = NOTICE_START + number * ANNOUNCE_INTERVAL;
        let removed = last + EXPIRY;
        for claimed in times(NOTICE_START - ms(500), removed + ms(6000)) {
            let script = Script::leaving_until(last, "").with(removed, Step::RemoveAnnouncement);
            let script = script.with(claimed, Step::Claim);
            let case = format!("last heard at {last:?}, claimed at {claimed:?}");
            cases.push((script, last, claimed, case));
        }
    }
    cases
}

// Guards against tasks that run twice: a VM that is cut off was taken for one that has left by an
// owner that read its announcement late, or not at all.
#[test]
fn a_vm_that_is_cut_off_counts_as_alive_whenever_its_shard_is_claimed() {
    for (script, _, _, case) in cut_off() {
        assert_none_departed(script, &case);
    }
}

// Guards against the same while the store holds changes back from watches.
#[test]
fn a_vm_that_is_cut_off_counts_as_alive_while_watches_are_delayed() {
    for (script, _, _, case) in cut_off() {
        assert_none_departed(script.with(ms(0), Step::DelayWatches(ms(1000))), &case);
    }
}

// Guards against the same if lists are seconds old.
#[test]
fn a_vm_that_is_cut_off_counts_as_alive_while_lists_are_stale() {
    for (script, last, _, case) in cut_off() {
        assert_none_departed(script.with(last + ms(100), Step::FreezeStaleReads), &case);
    }
}

// Guards against the same if the store no longer keeps its history.
#[test]
fn a_vm_that_is_cut_off_counts_as_alive_without_a_history() {
    for (script, last, claimed, case) in cut_off() {
        let script =
            script.with(last + ms(100), Step::DropHistory).with(claimed, Step::DropHistory);
        assert_none_departed(script, &case);
    }
}

// Guards against the same for announcements that expire while the store is away.
#[test]
fn a_vm_whose_announcement_expires_in_an_outage_counts_as_alive() {
    for last in [NOTICE_START + ANNOUNCE_INTERVAL, NOTICE_START + NOTICE] {
        let (lost, removed, regained) = (last + ms(100), last + ms(300), last + ms(1200));
        for claimed in times(last, regained + ms(6000)) {
            let script = Script::leaving_until(last, "")
                .with(lost, Step::StoreDown(true))
                .with(removed, Step::RemoveAnnouncement)
                .with(regained, Step::StoreDown(false))
                .with(claimed, Step::Claim);
            assert_none_departed(
                script,
                &format!("last heard at {last:?}, claimed at {claimed:?}"),
            );
        }
    }
}

// Guards against the same for a VM whose announcement vanishes well before the end of its notice and
// that announces itself again.
#[test]
fn a_vm_whose_announcement_vanishes_during_its_notice_counts_as_alive() {
    let first = NOTICE_START;
    let later = NOTICE_START + ANNOUNCE_INTERVAL;
    let any_time = || times(NOTICE_START - ms(500), NOTICE_START + ms(8000));
    let before = || times(ms(500), NOTICE_START - ms(500));
    let early = [first + ms(200), first + ms(900)].map(|at| (at, any_time().collect::<Vec<_>>()));
    let late = [later + ms(200), later + ms(900)].map(|at| (at, before().collect::<Vec<_>>()));
    for (vanished, claims) in early.into_iter().chain(late) {
        for claimed in claims {
            let script = Script::leaving_until(NOTICE_START + 4 * NOTICE, "")
                .with(vanished, Step::RemoveAnnouncement)
                .with(claimed, Step::Claim);
            let case = format!("vanished at {vanished:?}, claimed at {claimed:?}");
            assert_none_departed(script, &case);
        }
    }
}

// Guards against tasks that run twice on the next instance under the same registered id, which is cut
// off soon after an earlier one has left.
#[test]
fn the_departure_of_an_instance_does_not_count_for_the_next_one() {
    let end = NOTICE_START + NOTICE + ms(50);
    let instance = |started| VmId::with_start(&vm_id(LEAVING), started);
    let (earlier, next) = (instance(1), instance(2));
    for claimed in times(NOTICE_START, end + ms(10_000)) {
        let script = Script::leaving_at(end, "start=1")
            .with(end + ms(300), Step::Announce("ready start=2".to_owned()))
            .with(end + ms(1800), Step::Announce("leaving left=500 start=2".to_owned()))
            .with(end + ms(1800) + EXPIRY, Step::RemoveAnnouncement)
            .with(claimed, Step::Claim);
        let harness = script.run(&next);
        let departures = harness.departures.borrow();
        let others = departures.iter().filter(|(vm, _)| *vm != earlier.to_string());
        assert_eq!(others.count(), 0, "claimed at {claimed:?}: {departures:?}");
    }
}

// Guards against a notice of unknown end on a daemon that has just started: its first call reads the
// list, and a listed VM has announced itself within the last interval.
#[test]
fn the_age_of_an_announcement_is_estimated_on_a_daemon_that_has_just_started() {
    let harness = Script::default().run(&vm());
    let updates = harness.updates.borrow();
    let list = updates.first().expect("the list is read at the start");
    assert_eq!(list.vms.len(), STAYING);
    let estimate = list.asked.map(|asked| asked.saturating_sub(ANNOUNCE_INTERVAL));
    let estimate = estimate.map(AnnouncedAfter::Estimate);
    assert!(list.vms.iter().all(|entry| entry.announced_after == estimate));
}

// Guards against the same if the next instance of the VM is already registered under its key.
#[test]
fn an_instance_that_has_left_is_told_from_the_next_one() {
    let end = NOTICE_START + NOTICE + ms(50);
    let earlier = VmId::with_start(&vm_id(LEAVING), 1);
    for claimed in times(end + ms(350), end + ms(8000)) {
        let script = Script::leaving_at(end, "start=1")
            .with(end + ms(300), Step::Announce("ready start=2".to_owned()))
            .with(claimed, Step::Claim);
        let harness = script.run(&earlier);
        assert_departed(&harness, &earlier, claimed, &format!("claimed at {claimed:?}"));
    }
}

// Guards against a departure that isn't proved because the store keeps less of its history than it
// may, or because its watches are behind.
#[test]
fn a_departure_is_found_in_a_short_or_delayed_history() {
    let end = NOTICE_START + NOTICE + ms(50);
    let faults = [
        ("short history", Step::DropHistory, end - ms(3000)),
        ("delayed watches", Step::DelayWatches(ms(300)), end - ms(100)),
    ];
    for (name, fault, at) in faults {
        for claimed in [2100, 2300, 2500].map(|late| end + ms(late)) {
            let script = Script::leaving_at(end, "").with(at, fault.clone());
            let harness = script.with(claimed, Step::Claim).run(&vm());
            assert_eq!(look_ups(&harness), [(1, 1, 1, "complete")], "{name}");
            assert_departed(&harness, &vm(), claimed, &format!("{name}, claimed at {claimed:?}"));
        }
    }
}

fn look_ups(harness: &Harness) -> Vec<(usize, usize, usize, &'static str)> {
    let notes = harness.notes.borrow();
    let look_up = |note: &Note| match note {
        Note::DeparturesLookedUp { vms, removed, proved, outcome, .. } => {
            Some((*vms, *removed, *proved, *outcome))
        }
        _ => None,
    };
    notes.iter().filter_map(look_up).collect()
}

#[test]
fn the_log_tells_what_was_looked_up() {
    let end = NOTICE_START + NOTICE + ms(50);
    // By then, the daemon without shards has read a list that lacks the VM.
    let claimed = end + ms(2400);
    let left = Script::leaving_at(end, "").with(claimed, Step::Claim);
    assert_eq!(look_ups(&left.clone().run(&vm())), [(1, 1, 1, "complete")]);
    let forgotten = left.with(claimed, Step::DropHistory);
    let reason = "the store's history or the daemon's calls don't reach back";
    assert_eq!(look_ups(&forgotten.run(&vm())), [(1, 0, 0, reason)]);
    let listed = Script::leaving_until(end, "").with(claimed, Step::Claim);
    assert_eq!(look_ups(&listed.run(&vm())), []);
}

// Guards against an owner whose list grows old, or that calls the store without end, because it looks
// up a great many VMs.
#[test]
fn looking_up_many_vms_does_not_delay_the_list() {
    actix_rt::System::new().block_on(async {
        let mut harness = Harness::start_with_latency(STAYING, ms(100));
        harness.advance(STAYING, ms(2000)).await;
        let absent: Vec<VmId> = (1000..1100).map(|number| VmId::new(&vm_id(number))).collect();
        harness.record_runs(SHARD, &absent);
        let claimed = harness.clock.now();
        harness.claim(SHARD).await;
        harness.advance(STAYING, ms(6000)).await;
        harness.updates.borrow_mut().retain(|update| update.at >= claimed);
        let oldest = harness.max_list_age();
        assert!(oldest <= ms(900), "{oldest:?}");
        assert_eq!(look_ups(&harness), [(100, 0, 0, "too many VMs")]);
    });
}

/// Ids of this many VMs that were never announced.
fn absent(count: usize) -> Vec<VmId> {
    (1000..1000 + count).map(|number| VmId::new(&vm_id(number))).collect()
}

/// Claims a shard with runs on absent VMs, on a daemon for which `prepare` was run.
fn claim_with_absent(vms: usize, prepare: impl FnOnce(&Harness)) -> Harness {
    actix_rt::System::new().block_on(async {
        let mut harness = Harness::start(STAYING);
        harness.advance(STAYING, ms(3400)).await;
        harness.record_runs(SHARD, &absent(vms));
        prepare(&harness);
        harness.claim(SHARD).await;
        harness.advance(STAYING, ms(6000)).await;
        harness
    })
}

// Guards against a rate limit that is used up by the claims after the loss of a failure domain, none
// of whose VMs had announced its departure.
#[test]
fn many_vms_that_did_not_announce_leaving_take_few_calls() {
    let harness = claim_with_absent(24, |_| {});
    assert!(harness.look_ups() <= 4, "{} calls", harness.look_ups());
    assert_eq!(look_ups(&harness), [(24, 0, 0, "too many VMs")]);
    let harness = claim_with_absent(24, |harness| harness.table.table().compact());
    assert!(harness.look_ups() <= 12, "{} calls", harness.look_ups());
}

// Guards against calls that are repeated while the store refuses them for lack of quota.
#[test]
fn a_refused_call_ends_the_look_up() {
    let harness = claim_with_absent(8, Harness::refuse_look_ups);
    assert!(harness.look_ups() <= 4, "{} calls", harness.look_ups());
    assert_eq!(look_ups(&harness), [(8, 0, 0, "the store refused a call")]);
}

// Guards against owners that wait for the leases of many VMs that have left at once.
#[test]
fn the_departures_of_many_vms_are_found() {
    let vms = absent(20);
    actix_rt::System::new().block_on(async {
        let mut harness = Harness::start_with_latency(STAYING, ms(100));
        harness.advance(STAYING, ms(3400)).await;
        (1000..1020).for_each(|number| harness.announce(number, "leaving left=300"));
        harness.record_runs(SHARD, &vms);
        harness.advance(STAYING, ms(500)).await;
        (1000..1020).for_each(|number| harness.remove_announcement(number));
        harness.advance(STAYING, ms(1500)).await;
        let claimed = harness.clock.now();
        harness.claim(SHARD).await;
        harness.advance(STAYING, ms(6000)).await;
        assert_eq!(look_ups(&harness), [(20, 20, 20, "complete")]);
        assert_eq!(harness.departures.borrow().len(), 20);
        harness.updates.borrow_mut().retain(|update| update.at >= claimed);
        let oldest = harness.max_list_age();
        assert!(oldest <= ms(900), "{oldest:?}");
    });
}

// Guards against tasks that run twice: a VM was cut off and its announcement expired while the pages of
// the list were read, and its silence was counted only until the first page.
#[test]
fn a_vm_that_expires_between_the_pages_of_a_list_does_not_count_as_departed() {
    let last = ms(10_000);
    for claimed in times(ms(7000), ms(12_000)) {
        let departures = actix_rt::System::new().block_on(async {
            let mut harness = Harness::start_with_latency(STAYING, ms(300));
            harness.limit_pages(2);
            let mut steps = Script::leaving_until(last, "")
                .with(ms(1000), Step::Claim)
                .with(claimed, Step::Claim)
                .with(last + EXPIRY, Step::RemoveAnnouncement)
                .0;
            steps.sort_by_key(|(at, _)| *at);
            for (at, step) in steps {
                let wait = at.saturating_sub(harness.clock.now());
                harness.advance(STAYING, wait).await;
                match step {
                    Step::Announce(state) => harness.announce(LEAVING, &state),
                    Step::RemoveAnnouncement => harness.remove_announcement(LEAVING),
                    _ => harness.claim(SHARD).await,
                }
            }
            harness.advance(STAYING, ms(6000)).await;
            harness.departures.take()
        });
        assert_eq!(departures, [], "claimed at {claimed:?}");
    }
}
