//! Records of decisions, their text, and deciding them again.

use super::decide::{Inputs, Offer};
use super::{Candidate, Choice, DecisionRecord, Subject};
use crate::model::Config;
use indexmap::IndexMap;
use std::fmt::Write;

/// Name of the input that holds everything the decision rests on.
pub const REPLAY: &str = "replay";

/// Result of reading a record.
pub type Result<T> = std::result::Result<T, Error>;

/// A record that can't be decided again.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    #[error("the record has no input `{REPLAY}`; only records of placements can be decided again")]
    NoInputs,
    #[error("the record's inputs can't be read ({0}); ask a daemon of the version that wrote it")]
    Unreadable(#[from] serde_json::Error),
}

/// Decides a placement again from its record alone.
pub fn replay(record: &DecisionRecord) -> Result<Choice> {
    let text = record.inputs.get(REPLAY).ok_or(Error::NoInputs)?;
    let inputs: Inputs = serde_json::from_str(text)?;
    Ok(inputs.decide())
}

/// The record of a placement, a wait or a refusal.
pub(super) fn placement(
    candidate: &Candidate,
    inputs: &Inputs,
    choice: &Choice,
    config: &Config,
) -> DecisionRecord {
    let reasons = inputs.passed_over.reasons();
    let counted = reasons.into_iter().filter(|(_, count)| *count > 0);
    let passed_over: IndexMap<_, _> =
        counted.map(|(reason, count)| (reason.to_owned(), count)).collect();
    let offers = u32::try_from(inputs.offers.len()).unwrap_or(u32::MAX);
    DecisionRecord {
        at: inputs.at,
        subject: Subject::Task(candidate.task),
        revision: config.revision,
        weights: config.weights,
        verdict: verdict(inputs, choice),
        considered: passed_over.values().sum::<u32>() + offers,
        passed_over,
        inputs: shown(candidate, inputs),
    }
}

fn verdict(inputs: &Inputs, choice: &Choice) -> String {
    match choice {
        Choice::Place { vm } => {
            let why = inputs.offers.iter().find(|offer| offer.vm == *vm).map(foremost_cost);
            format!("placed on {vm}: {}", why.unwrap_or_default())
        }
        Choice::Wait { reason } => format!("waits: {reason}"),
        Choice::Never { reason, .. } => format!("refused: {reason}"),
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
    match serde_json::to_string(inputs) {
        Ok(text) => show(REPLAY, text),
        Err(err) => show("replay lost", err.to_string()),
    };
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
