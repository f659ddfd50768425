//! The standing of an endpoint, as `charts/endpoint.toml` has it.

use crate::chart::{Chart, Label, Machine, Result};
use std::sync::LazyLock;

/// Where an endpoint stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    Open,
    Ejected,
    Returning,
    Leaving,
    Gone,
}

/// What moves it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    /// There is evidence enough against it.
    Failing,
    /// It refuses connections or says that it leaves.
    Leaves,
    ProbeGood,
    ProbeBad,
    /// The slow return is over.
    Returned,
    /// It is no longer on the platform's list.
    Delisted,
}

impl Label for State {
    const ALL: &'static [(Self, &'static str)] = &[
        (Self::Open, "open"),
        (Self::Ejected, "ejected"),
        (Self::Returning, "returning"),
        (Self::Leaving, "leaving"),
        (Self::Gone, "gone"),
    ];
}

impl Label for Event {
    const ALL: &'static [(Self, &'static str)] = &[
        (Self::Failing, "failing"),
        (Self::Leaves, "leaves"),
        (Self::ProbeGood, "probe-good"),
        (Self::ProbeBad, "probe-bad"),
        (Self::Returned, "returned"),
        (Self::Delisted, "delisted"),
    ];
}

static LIFE: LazyLock<Result<Machine<State, Event>>> = LazyLock::new(load);

/// Loads the chart, which is part of the program.
pub fn load() -> Result<Machine<State, Event>> {
    Machine::new(&Chart::parse(include_str!("../../../charts/endpoint.toml"))?)
}

/// The state after an event; the same where the chart has none for it.
pub fn step(state: State, event: Event) -> State {
    let next = LIFE.as_ref().ok().and_then(|life| life.next(state, event).ok());
    next.unwrap_or(state)
}
