//! What the log tells of tasks that wait for room: whether there is some here, elsewhere, or nowhere.

use super::Shard;
use super::order::waiting;
use super::room::Room;
use crate::job::{Life, Share, Step, TaskRef};
use crate::note::{Ms, Note};
use std::time::Duration;

/// Tasks of one kind that wait, and where a VM has room for them.
#[derive(Default)]
struct Tally {
    tasks: usize,
    oldest: Duration,
    fit_here: usize,
    fit_elsewhere: usize,
    most_wanted: u32,
}

impl Shard {
    /// Notes the lasting tasks that wait for room.
    pub(super) fn report_waiting(&mut self) {
        let rooms: Vec<Room> = self.vms.values().filter_map(|vm| self.room(vm)).collect();
        let tally = self.tally_lasting(&rooms);
        if tally.tasks == 0 {
            return;
        }
        let largest = rooms.iter().map(|room| room.free.milli_cores.0).max();
        self.note(Note::LastingWaits {
            shard: self.name.clone(),
            tasks: tally.tasks,
            oldest_ms: Ms(tally.oldest),
            fit_here: tally.fit_here,
            fit_elsewhere: tally.fit_elsewhere,
            wanted_cores: tally.most_wanted / 1000,
            largest_free_cores: largest.unwrap_or(0) / 1000,
        });
    }

    fn tally_lasting(&self, rooms: &[Room]) -> Tally {
        let mut tally = Tally::default();
        for job in self.jobs.values().filter(|job| !job.is_final()) {
            for task in waiting(job) {
                let Some(step) = job.step(task) else { continue };
                if step.life == Life::Lasting && step.share == Share::Reserved {
                    let since = job.task(task).and_then(|task| task.away_since);
                    self.count(task, step, since, rooms, &mut tally);
                }
            }
        }
        tally
    }

    fn count(
        &self,
        task: TaskRef,
        step: &Step,
        since: Option<Duration>,
        rooms: &[Room],
        tally: &mut Tally,
    ) {
        let waited = since.map_or(Duration::ZERO, |at| self.now.steady.saturating_sub(at));
        tally.tasks += 1;
        tally.oldest = tally.oldest.max(waited);
        tally.most_wanted = tally.most_wanted.max(step.size.milli_cores.0);
        let here = |room: &Room| room.takes(step, task.of_step()) && self.has_label(&room.vm, step);
        if rooms.iter().any(here) {
            tally.fit_here += 1;
        } else if self.fits_elsewhere(task.job, step) {
            tally.fit_elsewhere += 1;
        }
    }
}
