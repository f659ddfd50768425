//! Choice of the shard that runs a waiting task, if this one has no room for it.

use super::super::Shard;
use super::super::evacuate::expected_wait;
use super::super::event::{OtherShard, Summary};
use super::super::job_run::{JobRun, Lent, LoanStatus};
use super::super::permits::PermitRequirement;
use super::super::room::VmCapacity;
use super::offers::Offers;
use crate::ids::ServiceName;
use crate::job::{Image, JobId, Life, Share, Step, TaskRef};
use crate::note::Note;
use crate::units::Resources;
use indexmap::IndexMap;
use std::cmp::Reverse;
use std::sync::Arc;
use std::time::Duration;

/// Time that a task waits for room in this shard before it is lent. Lending takes two commits and a
/// message, 30 to 60 ms in total.
const LEND_DELAY: Duration = Duration::from_millis(60);

/// The same for long-running tasks: within a second, a short task often ends and frees their room.
const LONG_RUNNING_LEND_DELAY: Duration = Duration::from_millis(700);

/// The same for leftover tasks, which are not urgent.
const LEFTOVER_LEND_DELAY: Duration = Duration::from_millis(900);

/// Fraction of another shard's free resources that is assumed to be usable: its summary is up to
/// half a second old, and other shards lend to it too.
const USABLE_FRACTION: f64 = 0.6;

/// Time in which a shard with capacity to spare would end its leftover work.
const CLEARING_TIME: Duration = Duration::from_millis(1000);

/// Outcome of offering the waiting tasks of a step to other shards.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Outcome {
    /// Those that were due are lent, or wait for something else than room.
    Lent,
    /// No other shard has room for one of them.
    InVain,
}

impl Shard {
    /// Returns whether another shard has a VM with room for a task of the step, by its last
    /// summary.
    pub(in crate::shard) fn fits_elsewhere(&self, job: JobId, step: &Step) -> bool {
        let Some(job) = self.jobs.get(&job) else { return false };
        let mut others = self.loans.other_shards.values();
        others.any(|other| fitting_rooms(&other.summary, step, &job.job.service) > 0.0)
    }

    /// Lends waiting tasks that do not fit in `rooms`, this shard's room, to shards with room.
    pub(in crate::shard) fn lend_waiting_tasks(
        &mut self,
        waiting: &[TaskRef],
        rooms: &[VmCapacity],
    ) {
        let now = self.now.steady;
        if self.loans.other_shards.is_empty() {
            return;
        }
        let mut offers = if self.is_evacuated() { Offers::unlimited() } else { Offers::limited() };
        let groups = waiting.chunk_by(|a, b| a.step_ref() == b.step_ref());
        let mut groups: Vec<&[TaskRef]> =
            groups.filter(|group| self.is_lending_due(group)).collect();
        if offers.may_exceed(groups.len()) {
            groups.sort_by_key(|group| {
                let job = self.jobs.get(&group[0].job);
                job.and_then(|job| job.step_run(group[0])?.offered_in_vain)
            });
        }
        let mut lent: IndexMap<(JobId, Arc<str>), usize> = IndexMap::new();
        for group in groups {
            if offers.is_used_up() {
                break;
            }
            let outcome = if self.is_gang(group[0]) {
                self.offer_gang(group, rooms, &mut offers, &mut lent)
            } else {
                self.offer_tasks(group, rooms, &mut offers, &mut lent)
            };
            if let (Outcome::InVain, Some(job)) = (outcome, self.jobs.get_mut(&group[0].job))
                && let Some(step) = job.step_run_mut(group[0])
            {
                step.offered_in_vain = Some(now);
            }
        }
        if !lent.is_empty() {
            self.loans.send_soon(now);
        }
        for ((job, to), tasks) in lent {
            self.note(Note::TasksLent { job, to: to.to_string(), tasks });
        }
    }

    /// Returns whether a task runs only together with the others of its step.
    pub(in crate::shard) fn is_gang(&self, task: TaskRef) -> bool {
        let step = self.jobs.get(&task.job).and_then(|job| job.step(task));
        step.is_some_and(|step| step.grouping.is_gang())
    }

    /// Records that a task is lent, and counts it.
    fn lend(
        &mut self,
        task: TaskRef,
        to: &Arc<str>,
        lent: &mut IndexMap<(JobId, Arc<str>), usize>,
    ) {
        let loan = self.log.next_seq();
        let Some(job) = self.jobs.get_mut(&task.job) else { return };
        let Some(known) = job.task_mut(task) else { return };
        known.lent = Some(Lent { to: to.clone(), loan, status: LoanStatus::Unsent, last_lend: 0 });
        known.tried_at = self.now.steady;
        self.log.mark_changed(task.job);
        self.loans.lending.insert(task.job);
        *lent.entry((task.job, to.clone())).or_default() += 1;
    }

    /// Returns how long a step's tasks wait for room in this shard before they are lent.
    fn lending_delay(&self, step: &Step) -> Duration {
        match (step.share, step.life) {
            _ if self.is_evacuated() => Duration::ZERO,
            _ if step.grouping.is_gang() => LONG_RUNNING_LEND_DELAY,
            (Share::Leftover, _) => LEFTOVER_LEND_DELAY,
            _ if step.grouping.prefers_one_rack() => LONG_RUNNING_LEND_DELAY,
            (Share::Reserved, Life::Lasting) => LONG_RUNNING_LEND_DELAY,
            (Share::Reserved, Life::Finite) => LEND_DELAY,
        }
    }

    /// Returns whether a waiting task could have run for this long.
    fn has_waited(&self, task: TaskRef, delay: Duration) -> bool {
        self.waited(task).is_some_and(|waited| waited >= delay)
    }

    /// Returns whether any of a step's waiting tasks may be lent now. Borrowed tasks are not lent
    /// again.
    fn is_lending_due(&self, group: &[TaskRef]) -> bool {
        let job = self.jobs.get(&group[0].job).filter(|job| !job.is_borrowed());
        let Some(step) = job.and_then(|job| job.step(group[0])) else { return false };
        let delay = self.lending_delay(step);
        if step.grouping.is_gang() {
            return group.len() == step.tasks as usize && self.has_waited(group[0], delay);
        }
        group.iter().any(|task| self.has_waited(*task, delay))
    }

    /// Lends the waiting tasks of a step, as far as other shards have room.
    fn offer_tasks(
        &mut self,
        group: &[TaskRef],
        rooms: &[VmCapacity],
        offers: &mut Offers,
        lent: &mut IndexMap<(JobId, Arc<str>), usize>,
    ) -> Outcome {
        let Some(job) = self.jobs.get(&group[0].job) else { return Outcome::Lent };
        let Some(step) = job.step(group[0]).cloned() else { return Outcome::Lent };
        let (service, image) = (job.job.service.clone(), image_name(job, &step));
        let needs_permits = self.permits_of(group[0]).is_some();
        if needs_permits && self.may_be_placed(group[0], rooms) {
            // It only waits for a permit.
            return Outcome::Lent;
        }
        let delay = self.lending_delay(&step);
        for task in group {
            if !self.has_waited(*task, delay) {
                continue;
            }
            if offers.is_used_up() {
                break;
            }
            if offers.is_unmet(&step, &service, &image) {
                return Outcome::InVain;
            }
            let Some(to) = self.borrower_for(*task, &step, &service, &image) else {
                offers.count_vain();
                // Steps that need permits pass over shards that have returned their tasks.
                if !needs_permits && !self.is_evacuated() {
                    offers.add_unmet(&step, &service, &image);
                }
                return Outcome::InVain;
            };
            self.lend(*task, &to, lent);
            offers.count_accepted(1);
        }
        Outcome::Lent
    }

    /// Lends a gang as a whole, as all its members run in one shard.
    fn offer_gang(
        &mut self,
        members: &[TaskRef],
        rooms: &[VmCapacity],
        offers: &mut Offers,
        lent: &mut IndexMap<(JobId, Arc<str>), usize>,
    ) -> Outcome {
        let Some(to) = self.borrower_for_gang(members, rooms) else {
            offers.count_vain();
            return Outcome::InVain;
        };
        self.align_checkpoints(members[0]);
        members.iter().for_each(|task| self.lend(*task, &to, lent));
        offers.count_accepted(members.len());
        Outcome::Lent
    }

    /// Returns a shard with room for all members of a gang, or any that can run them if this shard's
    /// failure domain is evacuated.
    fn borrower_for_gang(&mut self, members: &[TaskRef], rooms: &[VmCapacity]) -> Option<Arc<str>> {
        let (first, count) = (members[0], members.len());
        let job = self.jobs.get(&first.job)?;
        let step = job.step(first)?;
        let is_evacuated = self.is_evacuated();
        if self.permits_of(first).is_some() && self.may_fit_together(first, count, rooms) {
            // It only waits for permits.
            return None;
        }
        let (step, service) = (step.clone(), job.job.service.clone());
        let best = self.best_borrower(first, |summary| {
            let fitting = summary.rooms.iter().map(|room| room.fitting(&step, &service));
            Some(fitting.sum::<usize>()).filter(|fitting| *fitting >= count).map(|n| n as f64)
        });
        let Some(name) = best else {
            return if is_evacuated { self.redirect(first, &step, &service, count) } else { None };
        };
        let summary = Arc::make_mut(&mut self.loans.other_shards.get_mut(&name)?.summary);
        subtract_lent_gang(summary, &step, &service, count);
        Some(name)
    }

    /// Returns whether as many tasks of a step as `count` fit on VMs that it isn't denied.
    fn may_fit_together(&self, task: TaskRef, count: usize, rooms: &[VmCapacity]) -> bool {
        let Some(permits) = self.permits_of(task) else { return false };
        let Some(task) = self.jobs.get(&task.job).and_then(|job| job.requirements(task)) else {
            return false;
        };
        let (requirement, now) = (PermitRequirement::NotDenied, self.now.steady);
        let open = rooms.iter().filter(|room| permits.meets(requirement, &room.vm, now));
        open.map(|room| room.fitting(&task)).sum::<usize>() >= count
    }

    /// Returns how long a waiting task could have run; `None` if its step isn't ready.
    fn waited(&self, task: TaskRef) -> Option<Duration> {
        let job = self.jobs.get(&task.job)?;
        let since = job.task(task)?.waiting_since().max(job.step_run(task)?.ready)?;
        Some(self.now.steady.saturating_sub(since))
    }

    /// Returns the shard where a step's tasks are expected to start soonest.
    fn redirect(
        &mut self,
        task: TaskRef,
        step: &Step,
        service: &ServiceName,
        tasks: usize,
    ) -> Option<Arc<str>> {
        let name = self.best_borrower(task, |summary| {
            expected_wait(summary, step, service).map(|wait| -wait)
        })?;
        let summary = Arc::make_mut(&mut self.loans.other_shards.get_mut(&name)?.summary);
        add_lent_work(summary, step, tasks as u64);
        Some(name)
    }

    /// Returns a shard with room for a task, or any that can run it if this shard's failure domain is
    /// evacuated.
    fn borrower_for(
        &mut self,
        task: TaskRef,
        step: &Step,
        service: &ServiceName,
        image: &Image,
    ) -> Option<Arc<str>> {
        let best = self.best_borrower(task, |summary| {
            let room = match step.share {
                Share::Reserved => fitting_rooms(summary, step, service),
                Share::Leftover => leftover_milli_cores(summary, step, service, image),
            };
            (room > 0.0).then_some(room)
        });
        let Some(name) = best else {
            return if self.is_evacuated() { self.redirect(task, step, service, 1) } else { None };
        };
        let summary = Arc::make_mut(&mut self.loans.other_shards.get_mut(&name)?.summary);
        subtract_lent(summary, step, service, image);
        Some(name)
    }

    /// Returns the shard with the highest score, preferring those that have not returned tasks of the
    /// step; `None` excludes a shard.
    fn best_borrower(
        &self,
        task: TaskRef,
        score: impl Fn(&Summary) -> Option<f64>,
    ) -> Option<Arc<str>> {
        let now = self.now.steady;
        let declines = &self.jobs.get(&task.job)?.step_run(task)?.declines;
        let needs_permits = self.permits_of(task).is_some();
        let may_accept =
            |other: &&OtherShard| !needs_permits || !declines.is_backing_off(&other.name, now);
        let others = self.loans.other_shards.values().filter(may_accept);
        let scores = others.filter_map(|other| {
            let declined = Reverse(declines.last(&other.name, now));
            Some((&other.name, declined, score(&other.summary)?))
        });
        let best = scores.max_by(|a, b| a.1.cmp(&b.1).then(a.2.total_cmp(&b.2)));
        best.map(|(name, ..)| name.clone())
    }
}

/// Image of a step's tasks, by the name used in summaries; defaults to the queue's name.
fn image_name(job: &JobRun, step: &Step) -> Image {
    step.image.clone().unwrap_or_else(|| Image::new(job.job.queue.as_str()))
}

/// Estimated number of a shard's VMs with room for a task of a step.
fn fitting_rooms(summary: &Summary, step: &Step, service: &ServiceName) -> f64 {
    let fitting = summary.rooms.iter().filter(|room| room.takes(step, service));
    fitting.count() as f64 * USABLE_FRACTION
}

/// Estimated milli-cores that leftover tasks of an image would get in a shard; zero if it is less
/// than one task needs.
fn leftover_milli_cores(
    summary: &Summary,
    step: &Step,
    service: &ServiceName,
    image: &Image,
) -> f64 {
    if !summary.rooms.iter().any(|room| room.takes(step, service)) {
        return 0.0;
    }
    let harmless = summary.harmless_free.iter().find(|(known, _)| known == image);
    let free = harmless.map_or_else(|| unclaimed_leftover(summary), |(_, free)| *free as f64);
    let free = free * USABLE_FRACTION;
    let need = f64::from(step.size.milli_cores.0);
    if free >= need { free } else { 0.0 }
}

/// Estimated milli-cores that leftover work of an image never seen beside a serving task would get:
/// what a shard's own leftover work doesn't need to end within [`CLEARING_TIME`].
fn unclaimed_leftover(summary: &Summary) -> f64 {
    let needed = summary.leftover_work as f64 / CLEARING_TIME.as_millis() as f64;
    summary.leftover as f64 - needed
}

/// Subtracts a task that was just lent from a shard's summary.
fn subtract_lent(summary: &mut Summary, step: &Step, service: &ServiceName, image: &Image) {
    match step.share {
        Share::Reserved => {
            let room = summary.rooms.iter_mut().find(|room| room.takes(step, service));
            if let Some(room) = room {
                room.free = Resources::ZERO;
            }
        }
        Share::Leftover => {
            let taken = u64::from(step.size.milli_cores.0) * 2;
            match summary.harmless_free.iter_mut().find(|(known, _)| known == image) {
                Some((_, free)) => *free = free.saturating_sub(taken),
                None => summary.leftover_work += taken * CLEARING_TIME.as_millis() as u64,
            }
        }
    }
}

/// Subtracts a gang that was just lent from a shard's summary.
fn subtract_lent_gang(summary: &mut Summary, step: &Step, service: &ServiceName, tasks: usize) {
    let mut left = tasks;
    for room in &mut summary.rooms {
        let here = room.fitting(step, service).min(left);
        for _ in 0..here {
            room.free = room.free.saturating_sub(&step.reserved_resources());
        }
        left -= here;
    }
}

/// Adds tasks that were just lent to a shard's backlog.
fn add_lent_work(summary: &mut Summary, step: &Step, tasks: u64) {
    let milli_cores = tasks * u64::from(step.size.milli_cores.0);
    let millis = u64::try_from(step.estimate.as_millis()).unwrap_or(u64::MAX);
    let work = milli_cores.saturating_mul(millis);
    match (step.share, step.life) {
        (Share::Leftover, _) => summary.leftover_work = summary.leftover_work.saturating_add(work),
        (Share::Reserved, Life::Lasting) => summary.lasting += milli_cores,
        (Share::Reserved, Life::Finite) => {
            summary.waiting_work = summary.waiting_work.saturating_add(work)
        }
    }
}
