//! Delayed usage reports, and the relief steps that the policy takes.

use super::*;

impl Simulation<'_> {
    /// Queues usage reports for delivery with simulated delay, loss and repetition.
    pub(super) fn send_reports(&mut self, now: u64) {
        let wire = self.scenario.wire;
        for index in 0..self.vms.len() {
            if !self.vms[index].up || !(now + index as u64).is_multiple_of(REPORT_EVERY) {
                continue;
            }
            let report = self.report(index);
            if self.rng.random_bool(wire.lost) {
                continue;
            }
            let copies = 1 + usize::from(self.rng.random_bool(wire.repeated));
            for _ in 0..copies {
                let arrives = now + wire.lag + self.rng.random_range(0..=wire.jitter);
                self.report_number += 1;
                self.reports.insert((arrives, self.report_number), (index, now, report.clone()));
            }
        }
    }

    pub(super) fn report(&mut self, index: usize) -> UsageReport {
        let noise = self.scenario.wire.noise;
        self.vms[index].seq += 1;
        let vm = &self.vms[index];
        let mut tenants = Vec::new();
        for (instance, (class, slowdown)) in
            vm.services.iter().zip(&vm.service_slowdown).enumerate()
        {
            let number = 1_000_000_000 + (index * 10 + instance) as u64;
            let task = TaskId::new(PartitionId(9), number);
            tenants.push(usage(
                task,
                class,
                slowdown * (1.0 + noise * standard_normal(&mut self.rng)),
                0.0,
            ));
        }
        for running in &vm.tasks {
            let job = &self.jobs[running.job];
            let slowdown =
                running.slowdown / running.share * (1.0 + noise * standard_normal(&mut self.rng));
            let progress = (running.done / job.work).clamp(0.0, 1.0);
            tenants.push(usage(job.id, &job.spec.class, slowdown, progress));
        }
        UsageReport {
            boot: BootId(vm.boot),
            seq: vm.seq,
            age: Duration::ZERO,
            load: vm.load,
            tenants,
        }
    }

    pub(super) fn deliver_reports(&mut self, now: u64) {
        while let Some(entry) = self.reports.first_entry() {
            if entry.key().0 > now {
                return;
            }
            let (index, measured, mut report) = entry.remove();
            report.age = Duration::from_secs(now - measured);
            let vm = self.vms[index].id.clone();
            self.policy.handle_report(&vm, &report, Duration::from_secs(now));
        }
    }

    pub(super) fn running_tasks(&self, index: usize) -> Vec<RunningTask> {
        let running = self.vms[index].tasks.iter().filter(|task| task.closing.is_none());
        running
            .map(|task| {
                let job = &self.jobs[task.job];
                let resumable = Scenario::resumable(job);
                let saved_at = Duration::from_secs(task.saved_at);
                RunningTask {
                    task: job.id,
                    attempt: task.attempt,
                    spec: job.spec.clone(),
                    since: Duration::from_secs(task.runs_from),
                    checkpoint_at: resumable.then_some(saved_at),
                    progress: (task.done / job.work).clamp(0.0, 1.0),
                }
            })
            .collect()
    }

    pub(super) fn relieve(&mut self, now: u64) {
        for index in 0..self.vms.len() {
            if !self.vms[index].up || !(now + index as u64).is_multiple_of(RELIEVE_EVERY) {
                continue;
            }
            let running_tasks = self.running_tasks(index);
            let vm = self.vms[index].id.clone();
            for relief in self.policy.decide_relief(&vm, &running_tasks, Duration::from_secs(now)) {
                self.apply(&relief, now);
            }
        }
    }

    pub(super) fn apply(&mut self, relief: &ReliefStep, now: u64) {
        match relief {
            ReliefStep::Throttle { vm, task, share } => {
                self.out.throttles += u64::from(*share < 1.0);
                if let Some(running) = self.task_mut(vm, task) {
                    running.share = *share;
                }
            }
            ReliefStep::Health { vm, health } => {
                let index = self.index[vm];
                self.vms[index].health = *health;
                self.update_view(index);
            }
            ReliefStep::Evict { vm, task, .. } => {
                self.out.evictions += 1;
                let never = self.jobs[task.number as usize].spec.resumption == Resumption::Never;
                self.out.violations += u64::from(never);
                if let Some(running) = self.task_mut(vm, task) {
                    running.closing =
                        Some(Closing { at: now + STOP_TIME, reason: StopReason::Evicted });
                }
            }
        }
    }
}
