//! Fault injection at every named step of the task lifecycle.
//!
//! Each table file names a step, the occurrences of the step at which a fault is injected (the
//! first, and in most tables the third), and the faults. During the run a VM leaves, so that tasks
//! are checkpointed and moved, and a daemon is drained, so that VMs and the partition are handed
//! over. Callers submit their keys again, as they would after no answer or the answer "not run".
//! Afterwards the system must become quiescent without a violated guarantee. The number of cases is
//! printed.

#[allow(dead_code)] // each test binary uses only part of the module
mod common;

use common::promises::{
    Submission, Summary, final_state_violations, invariant_violations, summary,
};
use common::world::{Fate, Faults, World};
use common::{Kind, ms, spec};
use serde::Deserialize;
use std::fs;
use std::path::Path;
use std::time::Duration;
use waxwingstall::core::Action;
use waxwingstall::ids::{DaemonId, VmId};
use waxwingstall::model::Resumption;
use waxwingstall::peer::PeerMsg;
use waxwingstall::task::{Change, Phase, TaskState};
use waxwingstall_standin::worker::TableSettings;

/// Longer than a control lease and its handover.
const LONG_PAUSE: Duration = Duration::from_secs(25);
const MESSAGE_DELAY: Duration = Duration::from_secs(6);
const OUTAGE: Duration = Duration::from_secs(30);

#[derive(Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
struct Table {
    step: Step,
    /// Occurrences of the step at which the fault is injected.
    occurrences: Vec<u32>,
    #[serde(rename = "case")]
    cases: Vec<Case>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
struct Case {
    fault: Fault,
    /// Maximum number of non-idempotent tasks with an unknown outcome; non-zero only for faults
    /// that lose an attempt.
    #[serde(default)]
    unknown: usize,
}

#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "kebab-case")]
enum Step {
    Submit,
    Reserve,
    Reserved,
    Bind,
    AskStart,
    Start,
    Started,
    Checkpoint,
    Close,
    Closed,
    Release,
    Ended,
    End,
    Acknowledge,
    Acquire,
    Renew,
    HandOver,
    Recover,
    Views,
}

#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "kebab-case")]
enum Fault {
    KilledBefore,
    KilledAfter,
    PausedBeforeCheck,
    PausedAfterCheck,
    Lost,
    Repeated,
    Late,
    AnswerLost,
    VmRestarted,
    WriterReplaced,
    StoreDown,
}

impl Step {
    fn matches(self, action: &Action) -> bool {
        match (self, action) {
            (Self::Submit, Action::Commit { records, .. }) => {
                records.iter().any(|record| matches!(record.change, Change::Accepted { .. }))
            }
            (Self::Bind, Action::Commit { records, .. }) => {
                records.iter().any(|record| matches!(record.change, Change::Bound { .. }))
            }
            (Self::Release, Action::Commit { records, .. }) => {
                records.iter().any(|record| matches!(record.change, Change::Released { .. }))
            }
            (Self::End, Action::Commit { records, .. }) => {
                records.iter().any(|record| matches!(record.change, Change::Ended { .. }))
            }
            (step, Action::Send { msg, .. }) => step.matches_message(msg),
            (step, action) => step.matches_call(action),
        }
    }

    fn matches_message(self, msg: &PeerMsg) -> bool {
        matches!(
            (self, msg),
            (Self::Reserve, PeerMsg::Reserve { .. })
                | (Self::Reserved, PeerMsg::Reserved { .. })
                | (Self::AskStart, PeerMsg::Start { .. })
                | (Self::Started, PeerMsg::Started { .. })
                | (Self::Closed, PeerMsg::Closed { .. })
                | (Self::Ended, PeerMsg::Ended { .. })
                | (Self::Acknowledge, PeerMsg::EndedAck { .. })
                | (Self::Views, PeerMsg::Views { .. })
        )
    }

    fn matches_call(self, action: &Action) -> bool {
        matches!(
            (self, action),
            (Self::Start, Action::Start { .. })
                | (Self::Checkpoint, Action::Checkpoint { .. })
                | (Self::Close, Action::Close { .. })
                | (Self::Acquire, Action::Acquire { .. })
                | (Self::Renew, Action::Sync { .. })
                | (Self::HandOver, Action::Release { .. })
                | (Self::Recover, Action::Recover { .. })
        )
    }
}

impl Fault {
    fn fate(self) -> Fate {
        match self {
            Self::KilledBefore => Fate::KilledBefore,
            Self::KilledAfter => Fate::KilledAfter,
            Self::PausedBeforeCheck => Fate::PausedBeforeCheck(LONG_PAUSE),
            Self::PausedAfterCheck => Fate::PausedAfterCheck(LONG_PAUSE),
            Self::Lost => Fate::Dropped,
            Self::Repeated => Fate::Twice,
            Self::Late => Fate::Late(MESSAGE_DELAY),
            Self::AnswerLost => Fate::AnswerLost,
            Self::VmRestarted => Fate::VmRestarted,
            Self::WriterReplaced => Fate::WriterReplaced,
            Self::StoreDown => Fate::StoreDown(OUTAGE),
        }
    }
}

/// Injects a fault at one occurrence of a step.
struct SingleFault {
    step: Step,
    fault: Fault,
    remaining: u32,
}

impl Faults for SingleFault {
    fn inject(&mut self, _: Duration, _: &DaemonId, action: &Action) -> Fate {
        if self.remaining == 0 || !self.step.matches(action) {
            return Fate::Done;
        }
        self.remaining -= 1;
        if self.remaining == 0 { self.fault.fate() } else { Fate::Done }
    }
}

fn submit_all(world: &mut World<SingleFault>) -> Vec<Submission> {
    let kinds = [Kind::Narration, Kind::Narration, Kind::PrintBuild].into_iter().cycle().take(8);
    let mut submissions = Vec::new();
    for (number, kind) in kinds.enumerate() {
        let key = format!("key-{number}");
        let ticket = world.submit(&key, spec(kind, ms(8_000)));
        submissions.push(Submission { key, kind, ticket });
        world.run_for(ms(150));
    }
    submissions
}

fn submit_again(world: &mut World<SingleFault>, submissions: &[Submission]) -> Vec<Submission> {
    let again = |submission: &Submission| {
        let ticket = world.submit(&submission.key, spec(submission.kind, ms(8_000)));
        Submission { ticket, ..submission.clone() }
    };
    submissions.iter().map(again).collect()
}

/// A VM with a task that will be moved when the VM leaves.
fn vm_with_a_narration(world: &World<SingleFault>) -> VmId {
    let bound = |task: &TaskState| match &task.phase {
        Phase::Bound { vm } if task.spec.resumption == Resumption::Checkpoint => Some(vm.clone()),
        _ => None,
    };
    world.tasks().iter().find_map(bound).unwrap_or_else(|| VmId::new("w0"))
}

/// Runs one case; returns its summary, or the violated guarantees.
fn run(step: Step, fault: Fault, occurrence: u32) -> Result<Summary, Vec<String>> {
    let faults = SingleFault { step, fault, remaining: occurrence };
    let mut world = World::new(faults, &TableSettings::default());
    world.run_for(ms(5_000));
    let mut submissions = submit_all(&mut world);
    world.run_for(ms(3_000));
    let leaving = vm_with_a_narration(&world);
    world.vms[&leaving].leave();
    world.run_for(ms(4_000));
    world.drain(&DaemonId::new("b"));
    world.run_for(ms(20_000));
    // Adding a daemon also resolves a membership view that differs between daemons.
    world.add_daemon("c");
    for _ in 0..8 {
        world.run_for(ms(5_000));
        let broken = invariant_violations(&world);
        if !broken.is_empty() {
            return Err(broken);
        }
    }
    for _ in 0..2 {
        submissions.extend(submit_again(&mut world, &submissions[..8]));
        world.run_for(ms(45_000));
    }
    let mut broken = final_state_violations(&world, &submissions);
    if world.faults.remaining > 0 {
        broken.push(format!("{step:?} occurred less than {occurrence} times"));
    }
    if broken.is_empty() { Ok(summary(&world)) } else { Err(broken) }
}

fn step_meets_faults(path: &Path) -> datatest_stable::Result<()> {
    let table: Table = toml::from_str(&fs::read_to_string(path)?)?;
    let mut failures = Vec::new();
    let mut cases = 0;
    for case in &table.cases {
        for occurrence in &table.occurrences {
            cases += 1;
            let name = format!("{:?} × {:?}, occurrence {occurrence}", table.step, case.fault);
            match run(table.step, case.fault, *occurrence) {
                Ok(end) if end.tasks == 8 && end.unknown <= case.unknown => {}
                Ok(end) => failures.push(format!("{name}: {end:?}")),
                Err(broken) => failures.push(format!("{name}: {}", broken.join("; "))),
            }
        }
    }
    println!("{:?}: {cases} cases, {} broken", table.step, failures.len());
    if failures.is_empty() { Ok(()) } else { Err(failures.join("\n").into()) }
}

datatest_stable::harness! {
    { test = step_meets_faults, root = "tests/tables/core", pattern = r".*\.toml$" },
}
