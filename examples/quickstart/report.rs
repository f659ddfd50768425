//! The summary, from what the stand-ins counted.

use crate::callers::Previews;
use std::process::ExitCode;
use std::time::Duration;
use waxwingstall::api::{Explanation, TaskView};
use waxwingstall::ids::TaskId;
use waxwingstall::task::{Outcome, Phase};
use waxwingstall_standin::ledger::Book;
use waxwingstall_standin::platform::Platform;

/// Everything that was counted.
pub struct Summary<'a> {
    pub previews: Previews,
    pub ended: Vec<Outcome>,
    pub ledger: Book,
    pub platform: &'a Platform,
}

impl Summary<'_> {
    /// Prints the counts.
    pub fn print(&self, took: Duration) {
        let previews = &self.previews;
        let millis = |q: f64| previews.latency.value_at_quantile(q) as f64 / 1000.0;
        println!();
        println!(
            "previews    {} sent, {} answered whole, {} not run, {} wrong",
            previews.sent, previews.answered, previews.not_run, previews.wrong
        );
        println!("            p50 {:.1} ms, p99 {:.1} ms", millis(0.5), millis(0.99));
        println!(
            "endpoints   {} requests ran, {} ran twice, {} times over the slots",
            self.ran(),
            self.repeated(),
            self.over_slots()
        );
        println!("tasks       {} have their outcome: {}", self.ended.len(), self.outcomes());
        println!(
            "workers     {} tasks ran to their end exactly once, {} attempts stopped early, {} resumed from a checkpoint",
            self.ledger.finished_once(),
            self.ledger.stopped,
            self.ledger.tasks().values().map(|count| count.resumes).sum::<u32>()
        );
        println!(
            "store       {} calls, {} bytes",
            self.platform.kv.calls(),
            self.platform.kv.bytes()
        );
        println!("broken      {}", self.broken().len());
        for broken in self.broken() {
            println!("            {broken}");
        }
        println!("took        {:.1} s", took.as_secs_f64());
    }

    /// Failure if any promise was broken.
    pub fn verdict(&self) -> ExitCode {
        if self.broken().is_empty() { ExitCode::SUCCESS } else { ExitCode::FAILURE }
    }

    fn broken(&self) -> Vec<String> {
        let mut broken = self.ledger.violations.clone();
        if self.previews.wrong > 0 {
            broken.push(format!("{} previews without their own whole answer", self.previews.wrong));
        }
        if self.over_slots() > 0 {
            broken.push("endpoints were sent more requests than they have slots".to_owned());
        }
        let succeeded = self.ended.iter().filter(|outcome| **outcome == Outcome::Succeeded).count();
        if succeeded != self.ledger.finished_once() {
            broken.push(format!(
                "{succeeded} tasks are said to have succeeded, {} did",
                self.ledger.finished_once()
            ));
        }
        if self.ledger.running() > 0 {
            broken.push(format!("{} tasks still run", self.ledger.running()));
        }
        broken
    }

    fn ran(&self) -> usize {
        self.platform.endpoints.iter().map(|endpoint| endpoint.runs()).sum()
    }

    fn repeated(&self) -> usize {
        self.platform.endpoints.iter().map(|endpoint| endpoint.repeated().len()).sum()
    }

    fn over_slots(&self) -> usize {
        self.platform.endpoints.iter().map(|endpoint| endpoint.slot_violations()).sum()
    }

    fn outcomes(&self) -> String {
        let count = |f: fn(&Outcome) -> bool| self.ended.iter().filter(|o| f(o)).count();
        format!(
            "{} succeeded, {} failed, {} unknown",
            count(|o| matches!(o, Outcome::Succeeded)),
            count(|o| matches!(o, Outcome::Failed { .. })),
            count(|o| matches!(o, Outcome::Unknown { .. }))
        )
    }
}

/// Prints the tasks without an outcome, and what they wait for.
pub fn print_open(tasks: &[TaskView]) {
    for view in tasks {
        if let (Phase::Bound { .. } | Phase::Waiting, Some(waiting_for)) =
            (&view.task.phase, &view.waiting_for)
        {
            println!("    {} waits {waiting_for}", view.task.id);
        }
    }
}

/// Prints why a task went where it went.
pub fn print_explanation(task: TaskId, explanation: &Explanation) {
    println!("\nwaxwing explain task {task}");
    for record in &explanation.records {
        println!(
            "  at {:.1} s, revision {}: {}",
            record.at.as_secs_f64(),
            record.revision,
            record.verdict
        );
        if record.considered > 0 {
            println!("      {} VMs considered", record.considered);
        }
        for (reason, count) in &record.passed_over {
            println!("      {count} passed over: {reason}");
        }
        // The replay is for tools; see docs/EXPLAIN.md.
        for (name, value) in record.inputs.iter().filter(|(name, _)| *name != "replay") {
            println!("      {name}: {value}");
        }
    }
    if let Some(missing) = &explanation.missing {
        println!("  {missing}");
    }
}
