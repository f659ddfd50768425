//! Parsing of log lines.

use serde::Serialize;
use std::time::{Duration, SystemTime};

/// A parsed log line.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Entry {
    /// Time since the Unix epoch, by the daemon's own clock until it is shifted.
    #[serde(skip)]
    pub at: Duration,
    /// The timestamp as logged.
    pub ts: String,
    /// Name of the log, or the text before the timestamp if a log collector added one.
    pub source: String,
    pub event: String,
    /// The key-value pairs after the event, as logged.
    pub text: String,
}

impl Entry {
    /// Parses a line; returns `None` if it is incomplete or not a daemon's log line.
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

    /// The value of a key, if it isn't quoted.
    pub fn value(&self, key: &str) -> Option<&str> {
        let pairs = self.text.split(' ').filter_map(|pair| pair.split_once('='));
        pairs.filter(|(found, _)| *found == key).map(|(_, value)| value).next()
    }

    /// Whether the line is about the job with this id, or one of its tasks.
    pub fn is_for_job(&self, job_id: &str) -> bool {
        let of = |key| self.value(key).is_some_and(|value| value.starts_with(job_id));
        of("job") || of("task") || of("victim")
    }

    /// The task and run number that the line is about.
    pub fn run(&self) -> Option<String> {
        Some(format!("{} run {}", self.value("task")?, self.value("run")?))
    }
}
