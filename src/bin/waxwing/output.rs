//! What the tool prints.

use crate::status_page::age;
use crate::tables::Table;
use eyre::Result;
use serde::Serialize;
use std::io::Write;
use std::time::Duration;
use waxwingstall::api::{
    ApiError, ApplyReply, AuditPage, CancelReply, ConfigView, ErrorKind, Explanation, SubmitReply,
    TaskList, TaskView, VmDetail, VmSummary,
};
use waxwingstall::config::apply::Effect;
use waxwingstall::core::policy::{DecisionRecord, Subject};
use waxwingstall::logs::utc;
use waxwingstall::task::{Outcome, Phase, TaskState};
use waxwingstall::units::Resources;

/// Longest value shown as text, in characters.
const MAX_SHOWN: usize = 160;

/// A value that can be printed as lines of text.
pub trait Text {
    fn text(&self) -> Vec<String>;
}

/// Prints a value as JSON.
pub fn json(out: &mut dyn Write, value: &impl Serialize) -> Result<()> {
    writeln!(out, "{}", serde_json::to_string_pretty(value)?)?;
    Ok(())
}

/// Something that is not there.
pub fn not_found(what: &str) -> ApiError {
    let message = format!("there is no {what}");
    ApiError::new(ErrorKind::NotFound, message, "list what there is, and check the name")
}

/// The VMs, a line each.
pub fn vm_table(vms: &[VmSummary]) -> Vec<String> {
    let mut table =
        Table::new(&["VM", "DOMAIN", "RACK", "HOLDER", "HEALTH", "TASKS", "FREE", "SIZE"]);
    for vm in vms {
        table.push([
            vm.vm.to_string(),
            vm.domain.to_string(),
            vm.rack.to_string(),
            vm.holder.as_ref().map_or_else(|| "none".to_owned(), ToString::to_string),
            name(&vm.health),
            vm.tasks.to_string(),
            amounts(&vm.free),
            amounts(&vm.size),
        ]);
    }
    table.lines()
}

impl Text for ApplyReply {
    fn text(&self) -> Vec<String> {
        vec![match self.effect {
            Effect::Changed => format!("in force since revision {}", self.revision),
            Effect::Unchanged => format!("no difference to revision {}", self.revision),
        }]
    }
}

impl Text for ConfigView {
    fn text(&self) -> Vec<String> {
        let mut table = Table::new(&["FILE", "REVISION", "BYTES"]);
        for file in &self.files {
            table.push([file.name.clone(), file.revision.to_string(), file.text.len().to_string()]);
        }
        let mut lines = vec![format!("revision {}", self.revision)];
        lines.extend(table.lines());
        lines
    }
}

impl Text for AuditPage {
    fn text(&self) -> Vec<String> {
        let mut lines = Vec::new();
        for entry in &self.entries {
            lines.push(format!(
                "{} revision {} from {} by {}: {} ({}), change {}",
                utc(Duration::from_millis(entry.at_unix_ms)),
                entry.revision,
                entry.from,
                entry.operator,
                entry.file,
                entry.result,
                entry.change_id
            ));
            lines.extend(entry.changes.iter().map(|change| format!("  {change}")));
        }
        lines.extend(incomplete(self.complete, self.missing.as_deref()));
        if let Some(next) = self.next_before {
            lines.push(format!("more: waxwing audit --before {next}"));
        }
        lines
    }
}

impl Text for SubmitReply {
    fn text(&self) -> Vec<String> {
        let repeated = if self.repeated { " (submitted before with this key)" } else { "" };
        vec![format!("{}{repeated}", self.task)]
    }
}

impl Text for CancelReply {
    fn text(&self) -> Vec<String> {
        let state = match &self.task.phase {
            Phase::Ended { outcome } => format!("had ended: {}", outcome_text(outcome)),
            Phase::Waiting | Phase::Bound { .. } => "will be ended".to_owned(),
        };
        vec![format!("{} {state}", self.task.id)]
    }
}

impl Text for TaskList {
    fn text(&self) -> Vec<String> {
        let mut table = Table::new(&["TASK", "CLASS", "TEAM", "STATE", "ATTEMPT", "WAITS FOR"]);
        for view in &self.tasks {
            table.push([
                view.task.id.to_string(),
                view.task.spec.class.to_string(),
                view.task.spec.team.to_string(),
                state_text(&view.task),
                view.task.attempt.to_string(),
                view.waiting_for.clone().unwrap_or_default(),
            ]);
        }
        let mut lines = table.lines();
        lines.extend(incomplete(self.complete, self.missing.as_deref()));
        lines
    }
}

impl Text for TaskView {
    fn text(&self) -> Vec<String> {
        let task = &self.task;
        let mut lines = vec![
            format!("task        {}", task.id),
            format!("key         {}", task.key),
            format!("class       {}, team {}", task.spec.class, task.spec.team),
            format!("size        {}", amounts(&task.spec.resources)),
            format!("state       {}", state_text(task)),
            format!("attempt     {}, failures {}", task.attempt, task.failures),
        ];
        if let Some(checkpoint) = &task.checkpoint {
            lines.push(format!("checkpoint  {checkpoint}"));
        }
        if let Some(waiting_for) = &self.waiting_for {
            lines.push(format!("waits for   {waiting_for}"));
        }
        lines
    }
}

impl Text for VmDetail {
    fn text(&self) -> Vec<String> {
        let mut lines = vm_table(std::slice::from_ref(&self.summary));
        lines.push(match (self.token, self.lease_left_ms) {
            (Some(token), Some(left)) => format!("lease: token {token}, {} left", age(left)),
            _ => "lease: known to its holder alone; ask that daemon".to_owned(),
        });
        let classes = self.classes.iter().map(|class| format!("  {} {}", class.count, class.class));
        lines.extend(classes);
        let mut table = Table::new(&["TASK", "ATTEMPT"]);
        for task in &self.tasks {
            table.push([task.task.to_string(), task.attempt.to_string()]);
        }
        lines.extend(table.lines());
        lines
    }
}

impl Text for Explanation {
    fn text(&self) -> Vec<String> {
        let mut lines: Vec<_> = self.records.iter().flat_map(record_lines).collect();
        if let Some(request) = &self.request {
            let text = serde_json::to_string_pretty(request).unwrap_or_default();
            lines.extend(text.lines().map(str::to_owned));
        }
        lines.extend(incomplete(self.complete, self.missing.as_deref()));
        lines
    }
}

fn record_lines(record: &DecisionRecord) -> Vec<String> {
    let subject = match &record.subject {
        Subject::Task(task) => format!("task {task}"),
        Subject::Vm(vm) => format!("VM {vm}"),
    };
    let mut lines = vec![
        format!("{subject}: {}", record.verdict),
        format!(
            "  at {:.3} s of the daemon's clock, configuration {}, weights: tail {}, evictions {}, \
             throughput {}",
            record.at.as_secs_f64(),
            record.revision,
            record.weights.tail,
            record.weights.evictions,
            record.weights.throughput
        ),
        format!("  considered {} VMs", record.considered),
    ];
    let passed_over = record.passed_over.iter();
    lines.extend(passed_over.map(|(reason, n)| format!("  passed over {n}: {reason}")));
    lines.extend(record.inputs.iter().map(|(name, value)| format!("  {name} = {}", short(value))));
    lines
}

/// A value on one line of a screen; what programs read is shown by the other form of output.
fn short(value: &str) -> String {
    match value.char_indices().nth(MAX_SHOWN) {
        Some((end, _)) => format!("{}… (whole with --output json)", &value[..end]),
        None => value.to_owned(),
    }
}

fn incomplete(complete: bool, missing: Option<&str>) -> Option<String> {
    (!complete).then(|| format!("incomplete: {}", missing.unwrap_or("some of it was forgotten")))
}

fn state_text(task: &TaskState) -> String {
    let state = match &task.phase {
        Phase::Waiting => "waiting".to_owned(),
        Phase::Bound { vm } => format!("bound to {vm}"),
        Phase::Ended { outcome } => outcome_text(outcome),
    };
    if task.cancel_asked && !task.ended() { format!("{state}, being cancelled") } else { state }
}

fn outcome_text(outcome: &Outcome) -> String {
    match outcome {
        Outcome::Succeeded => "succeeded".to_owned(),
        Outcome::Failed { reason } => format!("failed: {reason}"),
        Outcome::Cancelled => "cancelled".to_owned(),
        Outcome::Unknown { reason } => format!("unknown, not run again: {reason}"),
    }
}

fn amounts(resources: &Resources) -> String {
    format!(
        "{}m/{}Mi/{}",
        resources.milli_cores.0, resources.memory_mib.0, resources.accelerators.0
    )
}

fn name(value: &impl Serialize) -> String {
    let value = serde_json::to_value(value).unwrap_or_default();
    value.as_str().unwrap_or_default().to_owned()
}
