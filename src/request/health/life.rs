//! The state machine of an endpoint's health, as defined in `charts/endpoint.toml`.

use crate::chart::{Chart, Label, Machine, Result};
use std::sync::LazyLock;

/// Health state of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    Open,
    Ejected,
    Returning,
    Leaving,
    Gone,
}

/// Event that changes the state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    /// Enough requests failed to eject the endpoint.
    Failing,
    /// The endpoint refuses connections or reports that it is leaving.
    Leaves,
    ProbeGood,
    ProbeBad,
    /// The gradual return to the full number of slots is complete.
    Returned,
    /// The platform no longer lists the endpoint.
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

/// Loads the chart that is compiled into the program.
pub fn load() -> Result<Machine<State, Event>> {
    Machine::new(&Chart::parse(include_str!("../../../charts/endpoint.toml"))?)
}

/// Returns the state after an event, or the same state if the chart has no such transition.
pub fn step(state: State, event: Event) -> State {
    let next = LIFE.as_ref().ok().and_then(|life| life.next(state, event).ok());
    next.unwrap_or(state)
}
