//! Execution of tasks: slowdown, progress and completion.

use super::*;

impl Simulation<'_> {
    /// Simulates one second of work on every VM.
    pub(super) fn run_tasks(&mut self, now: u64) {
        let activity = self.scenario.activity(now);
        for index in 0..self.vms.len() {
            if self.vms[index].up {
                self.slow_down(index, activity);
                self.record_services(index, activity, now);
                self.progress(index, now);
            }
        }
    }

    pub(super) fn slow_down(&mut self, index: usize, activity: f64) {
        let vm = &self.vms[index];
        let size = f64::from(self.site.size.milli_cores.0) / 1000.0;
        let service_use = vm.services.len() as f64 * f64::from(self.site.service_cores) * activity;
        let batch_use: f64 = vm
            .tasks
            .iter()
            .map(|task| self.cores(task.job) * self.jobs[task.job].use_ratio * task.share)
            .sum();
        let load = (service_use + batch_use) / size;
        let overload = (load - 1.0).max(0.0) * OVERLOAD;
        let present = self.present(index);
        let slowdown =
            |class: usize, own: f64| 1.0 + overload + self.excess(&present, class, own, load);
        let services: Vec<f64> =
            vm.service_classes.iter().map(|class| slowdown(*class, 1.0)).collect();
        let tasks: Vec<f64> =
            vm.tasks.iter().map(|task| slowdown(task.class, task.share)).collect();
        let vm = &mut self.vms[index];
        vm.load = load.min(1.0);
        vm.service_slowdown = services;
        for (task, slowdown) in vm.tasks.iter_mut().zip(tasks) {
            task.slowdown = slowdown;
        }
    }

    /// Number of tasks of each class on a VM; a throttled one counts by its CPU share.
    pub(super) fn present(&self, index: usize) -> Vec<f64> {
        let mut present = vec![0.0; self.truth.classes().len()];
        for class in &self.vms[index].service_classes {
            present[*class] += 1.0;
        }
        for task in &self.vms[index].tasks {
            present[task.class] += task.share;
        }
        present
    }

    pub(super) fn excess(&self, present: &[f64], class: usize, own: f64, load: f64) -> f64 {
        let beside = |other: usize| present[other] - if other == class { own } else { 0.0 };
        (0..present.len())
            .map(|other| beside(other).max(0.0) * self.truth.effect(class, other, load.min(1.2)))
            .sum()
    }

    /// Compares the slowdown that the policy predicts for the running tasks with the actual one.
    pub(super) fn check_prediction(&mut self, now: u64) {
        if now < WARM_UP || !now.is_multiple_of(PREDICT_EVERY) {
            return;
        }
        for index in 0..self.vms.len() {
            let load = self.vms[index].load;
            let present = self.present(index);
            for class in (0..present.len()).filter(|class| present[*class] > 0.0) {
                let real = self.excess(&present, class, 1.0, load);
                let Some(predicted) = self.predicted(&present, class, load) else { return };
                self.out.predictions += 1.0;
                self.out.prediction_error += (real - predicted).abs();
                self.out.real_excess += real;
            }
        }
    }

    pub(super) fn predicted(&self, present: &[f64], class: usize, load: f64) -> Option<f64> {
        let names = self.truth.classes();
        let mut sum = 0.0;
        for (other, count) in present.iter().enumerate() {
            let beside = (count - if other == class { 1.0 } else { 0.0 }).max(0.0);
            sum += beside * self.policy.predict(&names[class], &names[other], load)?;
        }
        Some(sum)
    }

    pub(super) fn record_services(&mut self, index: usize, activity: f64, now: u64) {
        if now < WARM_UP {
            return;
        }
        for slowdown in &self.vms[index].service_slowdown {
            let requests = (activity * 10.0).round() as u64;
            let _ = self.out.services.record_n((slowdown * 1000.0) as u64, requests);
        }
    }

    pub(super) fn progress(&mut self, index: usize, now: u64) {
        let mut changed = false;
        let mut position = 0;
        while position < self.vms[index].tasks.len() {
            let end = self.step_task(index, position, now);
            match end {
                None => position += 1,
                Some(end) => {
                    changed = true;
                    let task = self.vms[index].tasks.remove(position);
                    self.end_task(index, &task, end, now);
                }
            }
        }
        if changed {
            self.update_view(index);
        }
    }

    pub(super) fn step_task(&mut self, index: usize, position: usize, now: u64) -> Option<End> {
        let broken = self.vms[index].broken;
        let task = &mut self.vms[index].tasks[position];
        let job = &self.jobs[task.job];
        if let Some(closing) = task.closing {
            let cancelled = closing.reason == StopReason::Cancelled;
            return (now >= closing.at).then_some(if cancelled {
                End::Cancelled
            } else {
                End::Evicted
            });
        }
        if now < task.runs_from {
            return None;
        }
        let fails = broken || self.scenario.fails(self.site, &job.spec.class);
        let gained = task.share / task.slowdown;
        task.done += gained;
        if now >= WARM_UP && !fails {
            self.useful_work += gained * f64::from(job.spec.resources.milli_cores.0) / 1000.0;
        }
        if Scenario::resumable(job) && now >= task.saved_at + CHECKPOINT_EVERY {
            task.saved = task.done;
            task.saved_at = now;
        }
        if fails && now as f64 >= task.runs_from as f64 + FAILS_AFTER {
            return Some(End::Failed);
        }
        (task.done >= job.work).then_some(End::Done)
    }

    pub(super) fn end_task(&mut self, index: usize, task: &Running, end: End, now: u64) {
        let vm = self.vms[index].id.clone();
        let class = self.jobs[task.job].spec.class.clone();
        let time = Duration::from_secs(now);
        match end {
            End::Done => self.policy.record_outcome(&vm, &class, &Outcome::Succeeded, time),
            End::Cancelled => self.policy.record_outcome(&vm, &class, &Outcome::Cancelled, time),
            End::Evicted => {
                let job = &self.jobs[task.job];
                let kept = if Scenario::resumable(job) { task.done - RESUME_COST } else { 0.0 };
                if now >= WARM_UP {
                    self.useful_work -= (task.done - kept) * self.cores(task.job);
                }
                self.requeue(task, kept, now);
            }
            End::Failed => {
                self.out.failed_starts += 1;
                let outcome = Outcome::Failed { reason: "exit 1".to_owned() };
                self.policy.record_outcome(&vm, &class, &outcome, time);
                let entry = self.failures.entry(task.job).or_default();
                entry.0 += 1;
                entry.1 = vec![vm];
                if entry.0 >= self.jobs[task.job].spec.max_failures {
                    self.out.failed_tasks += 1;
                } else {
                    self.requeue(task, task.saved, now);
                }
            }
        }
    }
}
