//! Records of decisions, their text, and deciding them again.

use super::decide::{self, Inputs, Offer, PARTS};
use super::{Candidate, Choice, DecisionRecord, Relief, Subject, health, ladder, room};
use crate::model::Config;
use crate::peer::VmHealth;
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use std::fmt::Write;
use std::time::Duration;

/// Name of the input that holds everything the decision rests on.
pub const REPLAY: &str = "replay";

/// Result of reading a record.
pub type Result<T> = std::result::Result<T, Error>;

/// A record that can't be decided again.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    #[error("the record has no input `{REPLAY}`; ask the daemon that decided for its whole record")]
    NoInputs,
    #[error("the record's inputs can't be read ({0}); ask a daemon of the version that wrote it")]
    Unreadable(#[from] serde_json::Error),
}

/// Everything that a decision rests on, as kept in its record.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub(super) enum Recorded {
    Placement(decide::Inputs),
    Ladder(ladder::Inputs),
    Health(health::Inputs),
    Room(room::Inputs),
}

/// What a record decides when it is decided again.
#[derive(Clone, Debug, PartialEq)]
pub enum Replayed {
    Choice(Choice),
    /// A step, or none.
    Relief(Option<Relief>),
}

/// Decides again from a record alone.
pub fn replay(record: &DecisionRecord) -> Result<Replayed> {
    let text = record.inputs.get(REPLAY).ok_or(Error::NoInputs)?;
    Ok(match serde_json::from_str(text)? {
        Recorded::Placement(inputs) => Replayed::Choice(inputs.decide()),
        Recorded::Ladder(inputs) => Replayed::Relief(inputs.decide()),
        Recorded::Health(inputs) => Replayed::Relief(inputs.decide()),
        Recorded::Room(inputs) => Replayed::Relief(inputs.decide()),
    })
}

/// The record of a step.
pub(super) fn relief(
    relief: &Relief,
    recorded: &Recorded,
    config: &Config,
    now: Duration,
) -> DecisionRecord {
    let subject = match relief {
        Relief::Throttle { task, .. } | Relief::Evict { task, .. } => Subject::Task(*task),
        Relief::Health { vm, .. } => Subject::Vm(vm.clone()),
    };
    let mut inputs = IndexMap::new();
    match recorded {
        Recorded::Placement(_) => {}
        Recorded::Ladder(ladder) => show_ladder(&mut inputs, ladder),
        Recorded::Health(health) => show_health(&mut inputs, health),
        Recorded::Room(room) => show_room(&mut inputs, room),
    }
    keep(&mut inputs, recorded);
    DecisionRecord {
        at: now,
        subject,
        revision: config.revision,
        weights: config.weights,
        verdict: relief_verdict(relief, recorded),
        considered: 0,
        passed_over: IndexMap::new(),
        inputs,
    }
}

fn relief_verdict(relief: &Relief, recorded: &Recorded) -> String {
    match (relief, recorded) {
        (Relief::Evict { vm, .. }, Recorded::Room(room)) => {
            format!("evicted from {vm} to make room for urgent task {}", room.task)
        }
        (Relief::Evict { vm, .. }, _) => format!(
            "evicted from {vm}: throttling and avoiding did not help the services there enough"
        ),
        (Relief::Throttle { vm, share, .. }, _) if *share >= 1.0 => {
            format!(
                "no longer throttled on {vm}: the services there have been well for long enough"
            )
        }
        (Relief::Throttle { vm, share, .. }, _) => {
            format!("throttled on {vm} to {:.0}% of its processors", share * 100.0)
        }
        (Relief::Health { health: VmHealth::Quarantined, .. }, _) => {
            "quarantined: it fails tasks of classes that work elsewhere; probes only".to_owned()
        }
        (Relief::Health { health: VmHealth::Avoided, .. }, _) => {
            "avoided: nothing new is placed there while a service suffers".to_owned()
        }
        (Relief::Health { .. }, _) => "open for new work again".to_owned(),
    }
}

fn show_ladder(shown: &mut IndexMap<String, String>, ladder: &ladder::Inputs) {
    let mut show = |name: &str, value: String| shown.insert(name.to_owned(), value);
    show("slowdown of the service that suffers most", percent(ladder.excess));
    show("helped from a slowdown of", percent(ladder.trigger));
    show("reports since the last step", ladder.reports.to_string());
    show("age of the newest", format!("{:.1} s", ladder.age.as_secs_f64()));
    show("calm for", format!("{:.0} s", ladder.calm.as_secs_f64()));
    show("calm needed for a step back", format!("{:.0} s", ladder.calm_needed.as_secs_f64()));
    show("evictions in the budget", percent(ladder.budget / 100).replace('%', ""));
    for culprit in &ladder.culprits {
        let loss = culprit.loss.map_or("not evicted".to_owned(), |loss| {
            format!("its eviction loses {} of its run time", percent(loss))
        });
        let (harm, share) = (percent(culprit.harm), percent(culprit.share));
        show(
            &format!("task {}", culprit.task),
            format!("slows services by {harm}; has {share} of its processors; {loss}"),
        );
    }
}

fn show_health(shown: &mut IndexMap<String, String>, health: &health::Inputs) {
    let mut show = |name: &str, value: String| shown.insert(name.to_owned(), value);
    show("failures blamed on the VM", format!("{:.1}", health.blame as f64 / PARTS));
    if let Some(time) = health.quarantined_for {
        show("quarantined for", format!("{} s", time.as_secs()));
    }
    if let Some(ladder) = &health.ladder {
        show_ladder(shown, ladder);
    }
}

fn show_room(shown: &mut IndexMap<String, String>, room: &room::Inputs) {
    let mut show = |name: &str, value: String| shown.insert(name.to_owned(), value);
    show("urgent task", room.task.to_string());
    show("needs", room.need.to_string());
    for plan in &room.plans {
        let tasks: Vec<_> = plan.victims.iter().map(|victim| victim.task.to_string()).collect();
        show(
            &format!("room on {}", plan.vm),
            format!("evict {}; loses {} of a run time", tasks.join(", "), percent(plan.loss())),
        );
    }
}

fn keep(shown: &mut IndexMap<String, String>, recorded: &Recorded) {
    let (name, value) = match serde_json::to_string(recorded) {
        Ok(text) => (REPLAY, text),
        Err(err) => ("replay lost", err.to_string()),
    };
    shown.insert(name.to_owned(), value);
}

/// The record of a placement, a wait or a refusal.
pub(super) fn placement(
    candidate: &Candidate,
    inputs: Inputs,
    choice: &Choice,
    config: &Config,
) -> DecisionRecord {
    let reasons = inputs.passed_over.reasons();
    let counted = reasons.into_iter().filter(|(_, count)| *count > 0);
    let passed_over: IndexMap<_, _> =
        counted.map(|(reason, count)| (reason.to_owned(), count)).collect();
    let offers = u32::try_from(inputs.offers.len()).unwrap_or(u32::MAX);
    let (at, verdict) = (inputs.at, verdict(&inputs, choice));
    let mut shown = shown(candidate, &inputs);
    keep(&mut shown, &Recorded::Placement(inputs));
    DecisionRecord {
        at,
        subject: Subject::Task(candidate.task),
        revision: config.revision,
        weights: config.weights,
        verdict,
        considered: passed_over.values().sum::<u32>() + offers,
        passed_over,
        inputs: shown,
    }
}

fn verdict(inputs: &Inputs, choice: &Choice) -> String {
    match choice {
        Choice::Place { vm } => {
            let why = inputs.offers.iter().find(|offer| offer.vm == *vm).map(foremost_cost);
            format!("placed on {vm}: {}", why.unwrap_or_default())
        }
        Choice::Wait { reason } => format!("waits: {reason}"),
        Choice::Never { reason, nearest: Some(nearest) } => {
            format!("refused: {reason}; the nearest size that fits is {nearest}")
        }
        Choice::Never { reason, nearest: None } => format!("refused: {reason}"),
    }
}

fn foremost_cost(offer: &Offer) -> String {
    if offer.probe {
        return "a probe, to see whether the VM works again".to_owned();
    }
    format!(
        "least cost of those scored; services there slow by {}, the task itself by {}, other \
         batch by {}",
        percent(offer.tail),
        percent(offer.own),
        percent(offer.others)
    )
}

fn percent(parts: i64) -> String {
    let tenths = parts / 1000;
    format!("{}.{}%", tenths / 10, (tenths % 10).abs())
}

fn shown(candidate: &Candidate, inputs: &Inputs) -> IndexMap<String, String> {
    let mut shown = IndexMap::new();
    let mut show = |name: &str, value: String| shown.insert(name.to_owned(), value);
    show("class", candidate.spec.class.to_string());
    show("team", candidate.spec.team.to_string());
    show("pool", candidate.spec.pool.to_string());
    show("needs", inputs.need.to_string());
    show("waited", format!("{} s", inputs.waited.as_secs()));
    for (place, offer) in inputs.offers.iter().take(3).enumerate() {
        show(&format!("offer {}", place + 1), offer_text(offer, inputs));
    }
    shown
}

fn offer_text(offer: &Offer, inputs: &Inputs) -> String {
    format!(
        "{}: cost {} (services {}, eviction risk {}, itself {}, others {}, left over {}, \
         penalty {})",
        offer.vm,
        offer.score(&inputs.shares) / 1_000_000,
        percent(offer.tail),
        percent(offer.risk),
        percent(offer.own),
        percent(offer.others),
        percent(offer.left),
        percent(offer.penalty)
    )
}

/// The record as text for an operator.
pub fn text(record: &DecisionRecord) -> String {
    let mut out = String::new();
    let subject = match &record.subject {
        Subject::Task(task) => format!("Task {task}"),
        Subject::Vm(vm) => format!("VM {vm}"),
    };
    let weights = &record.weights;
    let _ = writeln!(out, "{subject} {}", record.verdict);
    let _ = writeln!(
        out,
        "  decided at {:.1} s on this daemon's clock, by configuration revision {}",
        record.at.as_secs_f64(),
        record.revision
    );
    let _ = writeln!(
        out,
        "  weights: tail {}, evictions {}, throughput {}",
        weights.tail, weights.evictions, weights.throughput
    );
    if record.considered > 0 {
        let _ = writeln!(out, "  VMs considered: {}", record.considered);
    }
    for (reason, count) in &record.passed_over {
        let _ = writeln!(out, "    {count} passed over: {reason}");
    }
    for (name, value) in record.inputs.iter().filter(|(name, _)| *name != REPLAY) {
        let _ = writeln!(out, "  {name}: {value}");
    }
    out
}
