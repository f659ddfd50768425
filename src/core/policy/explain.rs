//! Decision records: building them, rendering them as text, and replaying them.

use super::decide::{self, Inputs, Offer, PPM};
use super::{
    Candidate, DecisionRecord, PlacementDecision, ReliefStep, Subject, health, ladder, room,
};
use crate::model::Config;
use crate::peer::VmHealth;
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use std::fmt::Write;
use std::time::Duration;

/// Name of the record input that holds the serialized inputs of the decision.
pub const REPLAY: &str = "replay";

/// Result of reading a record.
pub type Result<T> = std::result::Result<T, Error>;

/// Why a record can't be replayed.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    #[error("the record has no `{REPLAY}` input; get the full record from the daemon that made it")]
    NoInputs,
    #[error("can't parse the record's inputs ({0}); replay it with the version that wrote it")]
    Unreadable(#[from] serde_json::Error),
}

/// All inputs of a decision, as stored in its record.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub(super) enum RecordedInputs {
    Placement(decide::Inputs),
    Ladder(ladder::Inputs),
    Health(health::Inputs),
    Room(room::Inputs),
}

/// The result of replaying a record.
#[derive(Clone, Debug, PartialEq)]
pub enum Replayed {
    Choice(PlacementDecision),
    /// A relief step, or none.
    Relief(Option<ReliefStep>),
}

/// Repeats a decision from its record alone.
pub fn replay(record: &DecisionRecord) -> Result<Replayed> {
    let text = record.inputs.get(REPLAY).ok_or(Error::NoInputs)?;
    Ok(match serde_json::from_str(text)? {
        RecordedInputs::Placement(inputs) => Replayed::Choice(inputs.decide()),
        RecordedInputs::Ladder(inputs) => Replayed::Relief(inputs.decide()),
        RecordedInputs::Health(inputs) => Replayed::Relief(inputs.decide()),
        RecordedInputs::Room(inputs) => Replayed::Relief(inputs.decide()),
    })
}

/// Builds the record of a relief step.
pub(super) fn relief_record(
    relief: &ReliefStep,
    recorded: &RecordedInputs,
    config: &Config,
    now: Duration,
) -> DecisionRecord {
    let subject = match relief {
        ReliefStep::Throttle { task, .. } | ReliefStep::Evict { task, .. } => Subject::Task(*task),
        ReliefStep::Health { vm, .. } => Subject::Vm(vm.clone()),
    };
    let mut inputs = IndexMap::new();
    match recorded {
        RecordedInputs::Placement(_) => {}
        RecordedInputs::Ladder(ladder) => describe_ladder(&mut inputs, ladder),
        RecordedInputs::Health(health) => describe_health(&mut inputs, health),
        RecordedInputs::Room(room) => describe_room(&mut inputs, room),
    }
    insert_replay(&mut inputs, recorded);
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

fn relief_verdict(relief: &ReliefStep, recorded: &RecordedInputs) -> String {
    match (relief, recorded) {
        (ReliefStep::Evict { vm, .. }, RecordedInputs::Room(room)) => {
            format!("evicted from {vm} to make room for urgent task {}", room.task)
        }
        (ReliefStep::Evict { vm, .. }, _) => format!(
            "evicted from {vm}: throttling and avoiding did not help the services there enough"
        ),
        (ReliefStep::Throttle { vm, share, .. }, _) if *share >= 1.0 => {
            format!(
                "no longer throttled on {vm}: the services there have been well for long enough"
            )
        }
        (ReliefStep::Throttle { vm, share, .. }, _) => {
            format!("throttled on {vm} to {:.0}% of its processors", share * 100.0)
        }
        (ReliefStep::Health { health: VmHealth::Quarantined, .. }, _) => {
            "quarantined: it fails tasks of classes that work elsewhere; probes only".to_owned()
        }
        (ReliefStep::Health { health: VmHealth::Avoided, .. }, _) => {
            "avoided: nothing new is placed there while a service suffers".to_owned()
        }
        (ReliefStep::Health { .. }, _) => "open for new work again".to_owned(),
    }
}

fn describe_ladder(fields: &mut IndexMap<String, String>, ladder: &ladder::Inputs) {
    let mut add = |name: &str, value: String| fields.insert(name.to_owned(), value);
    add("slowdown of the service that suffers most", percent(ladder.excess));
    add("helped from a slowdown of", percent(ladder.trigger));
    add("reports since the last step", ladder.reports.to_string());
    add("age of the newest", format!("{:.1} s", ladder.age.as_secs_f64()));
    add("calm for", format!("{:.0} s", ladder.calm.as_secs_f64()));
    add("calm needed for a step back", format!("{:.0} s", ladder.calm_needed.as_secs_f64()));
    add("evictions in the budget", percent(ladder.budget / 100).replace('%', ""));
    for aggressor in &ladder.culprits {
        let loss = aggressor.loss.map_or("not evicted".to_owned(), |loss| {
            format!("its eviction loses {} of its run time", percent(loss))
        });
        let (harm, share) = (percent(aggressor.harm), percent(aggressor.share));
        add(
            &format!("task {}", aggressor.task),
            format!("slows services by {harm}; has {share} of its processors; {loss}"),
        );
    }
}

fn describe_health(fields: &mut IndexMap<String, String>, health: &health::Inputs) {
    let mut add = |name: &str, value: String| fields.insert(name.to_owned(), value);
    add("failures blamed on the VM", format!("{:.1}", health.blame as f64 / PPM));
    if let Some(time) = health.quarantined_for {
        add("quarantined for", format!("{} s", time.as_secs()));
    }
    if let Some(ladder) = &health.ladder {
        describe_ladder(fields, ladder);
    }
}

fn describe_room(fields: &mut IndexMap<String, String>, room: &room::Inputs) {
    let mut add = |name: &str, value: String| fields.insert(name.to_owned(), value);
    add("urgent task", room.task.to_string());
    add("needs", room.need.to_string());
    for plan in &room.plans {
        let tasks: Vec<_> = plan.victims.iter().map(|victim| victim.task.to_string()).collect();
        add(
            &format!("room on {}", plan.vm),
            format!("evict {}; loses {} of a run time", tasks.join(", "), percent(plan.loss())),
        );
    }
}

fn insert_replay(fields: &mut IndexMap<String, String>, recorded: &RecordedInputs) {
    let (name, value) = match serde_json::to_string(recorded) {
        Ok(text) => (REPLAY, text),
        Err(err) => ("replay lost", err.to_string()),
    };
    fields.insert(name.to_owned(), value);
}

/// Builds the record of a placement, a wait or a refusal.
pub(super) fn placement_record(
    candidate: &Candidate,
    inputs: Inputs,
    choice: &PlacementDecision,
    config: &Config,
) -> DecisionRecord {
    let reasons = inputs.passed_over.reasons();
    let counted = reasons.into_iter().filter(|(_, count)| *count > 0);
    let passed_over: IndexMap<_, _> =
        counted.map(|(reason, count)| (reason.to_owned(), count)).collect();
    let offers = u32::try_from(inputs.offers.len()).unwrap_or(u32::MAX);
    let (at, verdict) = (inputs.at, verdict(&inputs, choice));
    let mut fields = placement_fields(candidate, &inputs);
    insert_replay(&mut fields, &RecordedInputs::Placement(inputs));
    DecisionRecord {
        at,
        subject: Subject::Task(candidate.task),
        revision: config.revision,
        weights: config.weights,
        verdict,
        considered: passed_over.values().sum::<u32>() + offers,
        passed_over,
        inputs: fields,
    }
}

fn verdict(inputs: &Inputs, choice: &PlacementDecision) -> String {
    match choice {
        PlacementDecision::Place { vm } => {
            let why = inputs.offers.iter().find(|offer| offer.vm == *vm).map(cost_summary);
            format!("placed on {vm}: {}", why.unwrap_or_default())
        }
        PlacementDecision::Wait { reason } => format!("waits: {reason}"),
        PlacementDecision::Never { reason, nearest: Some(nearest) } => {
            format!("refused: {reason}; the nearest size that fits is {nearest}")
        }
        PlacementDecision::Never { reason, nearest: None } => format!("refused: {reason}"),
    }
}

fn cost_summary(offer: &Offer) -> String {
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

fn percent(ppm: i64) -> String {
    let tenths = ppm / 1000;
    format!("{}.{}%", tenths / 10, (tenths % 10).abs())
}

fn placement_fields(candidate: &Candidate, inputs: &Inputs) -> IndexMap<String, String> {
    let mut fields = IndexMap::new();
    let mut add = |name: &str, value: String| fields.insert(name.to_owned(), value);
    add("class", candidate.spec.class.to_string());
    add("team", candidate.spec.team.to_string());
    add("pool", candidate.spec.pool.to_string());
    add("needs", inputs.need.to_string());
    add("waited", format!("{} s", inputs.waited.as_secs()));
    for (place, offer) in inputs.offers.iter().take(3).enumerate() {
        add(&format!("offer {}", place + 1), offer_text(offer, inputs));
    }
    fields
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

/// Renders the record as text for operators.
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
