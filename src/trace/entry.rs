//! A line of a daemon's log, read back.

use serde::Serialize;
use std::time::{Duration, SystemTime};

/// A line.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Entry {
    /// Since 1970, by the daemon's own clock until it is shifted.
    #[serde(skip)]
    pub at: Duration,
    /// As it stands in the line.
    pub ts: String,
    /// The log that it comes from, or what stands before its time.
    pub source: String,
    pub event: String,
    /// The pairs after the event, as they stand in the line.
    pub text: String,
}

impl Entry {
    /// Reads a line; `None` if it isn't whole or not one of a daemon's.
    pub fn parse(source: &str, line: &str) -> Option<Self> {
        let (before, rest) = line.trim_end().split_once("ts=")?;
        let (ts, rest) = rest.split_once(" event=")?;
        let (event, text) = rest.split_once(' ').unwrap_or((rest, ""));
        let at = humantime::parse_rfc3339(ts).ok()?;
        let named = before.split_whitespace().last();
        Some(Self {
            at: at.duration_since(SystemTime::UNIX_EPOCH).ok()?,
            ts: ts.to_owned(),
            source: named.unwrap_or(source).to_owned(),
            event: event.to_owned(),
            text: text.to_owned(),
        })
    }

    /// The value of a key that isn't quoted.
    pub fn value(&self, key: &str) -> Option<&str> {
        let pairs = self.text.split(' ').filter_map(|pair| pair.split_once('='));
        pairs.filter(|(found, _)| *found == key).map(|(_, value)| value).next()
    }

    /// Whether the line is about a job or one of its tasks.
    pub fn is_about(&self, digits: &str) -> bool {
        let of = |key| self.value(key).is_some_and(|value| value.starts_with(digits));
        of("job") || of("task") || of("victim")
    }

    /// Task and number of the run that the line is about.
    pub fn run(&self) -> Option<String> {
        Some(format!("{} run {}", self.value("task")?, self.value("run")?))
    }
}
