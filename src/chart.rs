//! State charts, kept in files and interpreted.
//!
//! A chart says which event leads from which state to which. The loader refuses a chart that has
//! a state no path reaches, a state that no path leaves for the end, or a name that isn't
//! declared, and says on which line. Code steps through a chart by typed labels ([`Machine`]);
//! an event that the chart doesn't declare for a state is an error to be counted, not a panic.

use indexmap::{IndexMap, IndexSet};
use serde::Deserialize;
use std::fmt::Debug;
use std::marker::PhantomData;
use std::ops::Range;
use toml::Spanned;

#[cfg(test)]
mod tests;

/// Result of loading or stepping through a chart.
pub type Result<T> = std::result::Result<T, Error>;

/// A chart that can't be used, or a step that it doesn't have.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    #[error("line {line}: {reason}; mend the file's syntax")]
    Syntax { line: usize, reason: String },
    #[error("line {line}: state `{state}` isn't declared; add it to `states` or correct the name")]
    UndeclaredState { line: usize, state: String },
    #[error("line {line}: event `{event}` isn't declared; add it to `events` or correct the name")]
    UndeclaredEvent { line: usize, event: String },
    #[error("line {line}: `{name}` stands twice; remove one of the two")]
    Repeated { line: usize, name: String },
    #[error(
        "line {line}: no path from `{initial}` reaches state `{state}`; add a transition to it or remove it"
    )]
    Unreachable { line: usize, state: String, initial: String },
    #[error(
        "line {line}: no path leads from state `{state}` to a final one; add a transition from it or list it in `final`"
    )]
    DeadEnd { line: usize, state: String },
    #[error(
        "line {line}: final state `{state}` has a transition; remove it or take the state off `final`"
    )]
    FinalLeft { line: usize, state: String },
    #[error("line {line}: no transition uses event `{event}`; add one or remove the event")]
    UnusedEvent { line: usize, event: String },
    #[error("the chart `{chart}` and the code differ in `{name}`; declare it in both")]
    Labels { chart: String, name: String },
    #[error(
        "the chart `{chart}` has no transition from `{state}` on `{event}`; the event is ignored"
    )]
    NoTransition { chart: String, state: String, event: String },
}

/// A chart as loaded and checked.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Chart {
    name: String,
    initial: String,
    finals: IndexSet<String>,
    states: IndexSet<String>,
    events: IndexSet<String>,
    next: IndexMap<Edge, String>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Edge {
    from: String,
    on: String,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct File {
    name: String,
    initial: Spanned<String>,
    #[serde(rename = "final")]
    finals: Vec<Spanned<String>>,
    states: Vec<Spanned<String>>,
    events: Vec<Spanned<String>>,
    #[serde(rename = "transition")]
    transitions: Vec<Transition>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Transition {
    from: Spanned<String>,
    on: Spanned<String>,
    to: Spanned<String>,
}

impl Chart {
    /// Loads and checks a chart.
    pub fn parse(text: &str) -> Result<Self> {
        let file: File = toml::from_str(text).map_err(|e| Error::Syntax {
            line: line_of(text, &e.span().unwrap_or(0..0)),
            reason: e.message().to_owned(),
        })?;
        let states = declared(text, &file.states)?;
        let events = declared(text, &file.events)?;
        let chart = Self {
            name: file.name.clone(),
            initial: known_state(text, &states, &file.initial)?,
            finals: file
                .finals
                .iter()
                .map(|state| known_state(text, &states, state))
                .collect::<Result<_>>()?,
            next: edges(text, &file.transitions, &states, &events)?,
            states,
            events,
        };
        chart.check_paths(text, &file)?;
        Ok(chart)
    }

    /// Name of the chart.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// State in which a life begins.
    pub fn initial(&self) -> &str {
        &self.initial
    }

    /// All states, in the file's order.
    pub fn states(&self) -> impl Iterator<Item = &str> {
        self.states.iter().map(String::as_str)
    }

    /// All events, in the file's order.
    pub fn events(&self) -> impl Iterator<Item = &str> {
        self.events.iter().map(String::as_str)
    }

    /// Whether a life ends in the state.
    pub fn is_final(&self, state: &str) -> bool {
        self.finals.contains(state)
    }

    /// State that the event leads to.
    pub fn next(&self, state: &str, event: &str) -> Result<&str> {
        let edge = Edge { from: state.to_owned(), on: event.to_owned() };
        self.next.get(&edge).map(String::as_str).ok_or_else(|| Error::NoTransition {
            chart: self.name.clone(),
            state: state.to_owned(),
            event: event.to_owned(),
        })
    }

    fn check_paths(&self, text: &str, file: &File) -> Result<()> {
        let reached = self.closure(std::iter::once(&self.initial), |edge, to| (&edge.from, to));
        let ending = self.closure(self.finals.iter(), |edge, to| (to, &edge.from));
        for state in &file.states {
            let line = line_of(text, &state.span());
            let name = state.get_ref();
            if !reached.contains(name) {
                let initial = self.initial.clone();
                return Err(Error::Unreachable { line, state: name.clone(), initial });
            }
            if !ending.contains(name) {
                return Err(Error::DeadEnd { line, state: name.clone() });
            }
        }
        for transition in &file.transitions {
            if self.finals.contains(transition.from.get_ref()) {
                let line = line_of(text, &transition.from.span());
                return Err(Error::FinalLeft { line, state: transition.from.get_ref().clone() });
            }
        }
        for event in &file.events {
            if !self.next.keys().any(|edge| edge.on == *event.get_ref()) {
                let line = line_of(text, &event.span());
                return Err(Error::UnusedEvent { line, event: event.get_ref().clone() });
            }
        }
        Ok(())
    }

    /// States that transitions lead to from `start`, along the direction that `ends` gives.
    fn closure<'a>(
        &'a self,
        start: impl Iterator<Item = &'a String>,
        ends: impl Fn(&'a Edge, &'a String) -> (&'a String, &'a String),
    ) -> IndexSet<String> {
        let mut found: IndexSet<String> = start.cloned().collect();
        loop {
            let before = found.len();
            for (edge, to) in &self.next {
                let (tail, head) = ends(edge, to);
                if found.contains(tail) {
                    found.insert(head.clone());
                }
            }
            if found.len() == before {
                return found;
            }
        }
    }
}

fn line_of(text: &str, span: &Range<usize>) -> usize {
    text.bytes().take(span.start).filter(|byte| *byte == b'\n').count() + 1
}

fn declared(text: &str, names: &[Spanned<String>]) -> Result<IndexSet<String>> {
    let mut set = IndexSet::new();
    for name in names {
        if !set.insert(name.get_ref().clone()) {
            let line = line_of(text, &name.span());
            return Err(Error::Repeated { line, name: name.get_ref().clone() });
        }
    }
    Ok(set)
}

fn known_state(text: &str, states: &IndexSet<String>, state: &Spanned<String>) -> Result<String> {
    states.get(state.get_ref()).cloned().ok_or_else(|| Error::UndeclaredState {
        line: line_of(text, &state.span()),
        state: state.get_ref().clone(),
    })
}

fn edges(
    text: &str,
    transitions: &[Transition],
    states: &IndexSet<String>,
    events: &IndexSet<String>,
) -> Result<IndexMap<Edge, String>> {
    let mut next = IndexMap::new();
    for transition in transitions {
        let line = line_of(text, &transition.on.span());
        let event = transition.on.get_ref();
        if !events.contains(event) {
            return Err(Error::UndeclaredEvent { line, event: event.clone() });
        }
        let from = known_state(text, states, &transition.from)?;
        let to = known_state(text, states, &transition.to)?;
        let name = format!("{from} on {event}");
        if next.insert(Edge { from, on: event.clone() }, to).is_some() {
            return Err(Error::Repeated { line, name });
        }
    }
    Ok(next)
}

/// Names of an enum's values, as the chart file has them.
pub trait Label: Copy + Debug + PartialEq + 'static {
    /// Every value with its name; the value's position is its index.
    const ALL: &'static [(Self, &'static str)];

    /// Position in [`Label::ALL`].
    fn index(self) -> usize {
        Self::ALL.iter().position(|(label, _)| *label == self).unwrap_or(Self::ALL.len())
    }

    /// Name in the chart file.
    fn name(self) -> &'static str {
        Self::ALL.get(self.index()).map_or("", |(_, name)| name)
    }
}

/// A chart compiled to typed states and events.
#[derive(Clone, Debug)]
pub struct Machine<S, E> {
    chart: String,
    initial: S,
    next: Vec<Option<S>>,
    event: PhantomData<E>,
}

impl<S: Label, E: Label> Machine<S, E> {
    /// Compiles a chart; its states and events must be just those of the code.
    pub fn new(chart: &Chart) -> Result<Self> {
        let states = labels::<S>(chart, chart.states())?;
        let events = labels::<E>(chart, chart.events())?;
        let mut next = vec![None; S::ALL.len() * E::ALL.len()];
        for (edge, to) in &chart.next {
            let cell = states[edge.from.as_str()].index() * E::ALL.len()
                + events[edge.on.as_str()].index();
            next[cell] = Some(states[to.as_str()]);
        }
        let initial = states[chart.initial()];
        Ok(Self { chart: chart.name().to_owned(), initial, next, event: PhantomData })
    }

    /// State in which a life begins.
    pub fn initial(&self) -> S {
        self.initial
    }

    /// State that the event leads to.
    pub fn next(&self, state: S, event: E) -> Result<S> {
        let cell = state.index() * E::ALL.len() + event.index();
        self.next.get(cell).copied().flatten().ok_or_else(|| Error::NoTransition {
            chart: self.chart.clone(),
            state: state.name().to_owned(),
            event: event.name().to_owned(),
        })
    }
}

fn labels<'a, L: Label>(
    chart: &Chart,
    names: impl Iterator<Item = &'a str>,
) -> Result<IndexMap<&'a str, L>> {
    let differ = |name: &str| Error::Labels { chart: chart.name.clone(), name: name.to_owned() };
    let mut map = IndexMap::new();
    for name in names {
        let found = L::ALL.iter().find(|(_, label)| *label == name);
        map.insert(name, found.ok_or_else(|| differ(name))?.0);
    }
    match L::ALL.iter().find(|(_, name)| !map.contains_key(name)) {
        Some((_, name)) => Err(differ(name)),
        None => Ok(map),
    }
}
