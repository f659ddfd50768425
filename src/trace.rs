//! Reconstructs the history of one job from the logs of several daemons.
//!
//! The logs allow a job to be traced even if the daemons that handled it have ended. Lines are
//! sorted by time. If clock skew makes an effect appear before its cause, the lines of the daemon
//! that logged the effect are shifted, and the result reports by how much. It also reports gaps:
//! dropped lines, events without the preceding event of the same run, and logs that end too early.

mod entry;

pub use entry::Entry;

use crate::job::JobId;
use indexmap::{IndexMap, IndexSet};
use serde::{Serialize, Serializer};
use std::time::Duration;

/// A log that ends this long before the job's last entry is incomplete or its daemon has ended: a
/// daemon logs a line for each of its shards every 2 s.
const LOG_END_TOLERANCE: Duration = Duration::from_secs(5);

/// Margin before and after the job's entries within which events of its VMs are included.
const VM_EVENT_MARGIN: Duration = Duration::from_secs(2);

/// The trace of a job.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct JobTrace {
    #[serde(serialize_with = "as_text")]
    pub job: JobId,
    /// Log lines about the job and the VMs that it ran on, sorted by time.
    pub entries: Vec<Entry>,
    pub shifts: Vec<ClockShift>,
    pub gaps: Vec<Gap>,
}

/// Correction for a daemon whose clock is behind.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct ClockShift {
    pub source: String,
    /// Milliseconds added to its timestamps.
    pub added_ms: u64,
}

/// Missing information in the logs.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
#[serde(tag = "kind", rename_all = "kebab-case")]
pub enum Gap {
    /// A daemon dropped lines of an event during or before the trace.
    Dropped { source: String, event: String, lines: u64 },
    /// A line about a run, without the line that must precede it.
    Missing { run: String, has: String, lacks: String },
    /// A log that begins or ends within the trace.
    Partial { source: String, what: String },
    /// Lines that can't be parsed.
    Unreadable { source: String, lines: usize },
}

/// Collects the log lines of one job.
#[derive(Debug)]
pub struct Tracer {
    job: JobId,
    job_text: String,
    job_entries: Vec<Entry>,
    /// Events of all VMs, filtered in [`Tracer::finish`].
    vm_entries: Vec<Entry>,
    dropped: Vec<Entry>,
    sources: IndexMap<String, Span>,
}

/// Time range of a source's lines.
#[derive(Clone, Copy, Debug)]
struct Span {
    first: Duration,
    last: Duration,
    unreadable: usize,
}

/// VM events that may explain what happened to the runs on a VM.
const VM_EVENTS: [&str; 6] =
    ["vm-leaving", "vm-gone", "vm-silent", "vm-heard", "vm-health", "vm-fenced"];

/// Events of a run, in the order in which they occur.
const RUN_EVENTS: [&str; 3] = ["task-bound", "task-started", "task-ended"];

impl Tracer {
    /// Creates a tracer for a job.
    pub fn new(job: JobId) -> Self {
        Self {
            job,
            job_text: job.to_string(),
            job_entries: Vec::new(),
            vm_entries: Vec::new(),
            dropped: Vec::new(),
            sources: IndexMap::new(),
        }
    }

    /// Reads a log line. `source` is the name of the log, used if the line has no daemon name.
    pub fn read(&mut self, source: &str, line: &str) {
        let Some(entry) = Entry::parse(source, line) else {
            if !line.trim().is_empty() {
                self.count_unreadable(source);
            }
            return;
        };
        let at = entry.at;
        let span = Span { first: at, last: at, unreadable: 0 };
        let span = self.sources.entry(entry.source.clone()).or_insert(span);
        span.first = span.first.min(at);
        span.last = span.last.max(at);
        if entry.is_for_job(&self.job_text) {
            self.job_entries.push(entry);
        } else if VM_EVENTS.contains(&entry.event.as_str()) {
            self.vm_entries.push(entry);
        } else if entry.event == "lines-dropped" {
            self.dropped.push(entry);
        }
    }

    fn count_unreadable(&mut self, source: &str) {
        // The line has no timestamp, for instance because it was truncated when the daemon was
        // killed.
        let none = Span { first: Duration::MAX, last: Duration::ZERO, unreadable: 0 };
        self.sources.entry(source.to_owned()).or_insert(none).unreadable += 1;
    }

    /// Builds the trace, or returns `None` if no line is about the job.
    pub fn finish(mut self) -> Option<JobTrace> {
        let shifts = self.shifts();
        for entry in
            self.job_entries.iter_mut().chain(&mut self.vm_entries).chain(&mut self.dropped)
        {
            let shift = shifts.iter().find(|shift| shift.source == entry.source);
            entry.at += shift.map_or(Duration::ZERO, |s| Duration::from_millis(s.added_ms));
        }
        self.job_entries.sort_by_key(|entry| entry.at);
        let (first, last) = (self.job_entries.first()?.at, self.job_entries.last()?.at);
        let gaps = self.gaps(first, last);
        let vms: IndexSet<&str> =
            self.job_entries.iter().filter_map(|entry| entry.value("vm")).collect();
        let time_range = first.saturating_sub(VM_EVENT_MARGIN)..=last + VM_EVENT_MARGIN;
        let is_relevant = |entry: &&Entry| {
            time_range.contains(&entry.at) && entry.value("vm").is_some_and(|vm| vms.contains(vm))
        };
        let vm_entries: Vec<Entry> = self.vm_entries.iter().filter(is_relevant).cloned().collect();
        let mut entries = self.job_entries;
        entries.extend(vm_entries);
        entries.sort_by_key(|entry| entry.at);
        Some(JobTrace { job: self.job, entries, shifts, gaps })
    }

    /// Sources whose clocks must be shifted so that no effect precedes its cause.
    fn shifts(&self) -> Vec<ClockShift> {
        let mut added: IndexMap<&str, Duration> = IndexMap::new();
        for effect in &self.job_entries {
            let Some(cause) = self.cause_of(effect) else { continue };
            if cause.source == effect.source || cause.at <= effect.at {
                continue;
            }
            let shift = added.entry(&effect.source).or_default();
            *shift = (*shift).max(cause.at - effect.at);
        }
        let shift = |(source, added): (&str, Duration)| {
            let added_ms = u64::try_from(added.as_millis()).unwrap_or(u64::MAX);
            ClockShift { source: source.to_owned(), added_ms }
        };
        added.into_iter().map(shift).collect()
    }

    /// The line that must precede another one, if it was logged.
    fn cause_of(&self, effect: &Entry) -> Option<&Entry> {
        if let Some(before) = preceding_event(&effect.event) {
            let same_run = |entry: &&Entry| entry.event == before && entry.run() == effect.run();
            return self.job_entries.iter().find(same_run);
        }
        let accepted =
            effect.event == "call-answered" && effect.value("outcome") == Some("accepted");
        let is_cause = |entry: &&Entry| entry.event == "job-accepted";
        if accepted { self.job_entries.iter().find(is_cause) } else { None }
    }

    fn gaps(&self, first: Duration, last: Duration) -> Vec<Gap> {
        let mut gaps = self.dropped_lines(last);
        for entry in &self.job_entries {
            let Some(before) = preceding_event(&entry.event) else { continue };
            if self.cause_of(entry).is_none() {
                let run = entry.run().unwrap_or_default();
                let (has, lacks) = (entry.event.clone(), before.to_owned());
                gaps.push(Gap::Missing { run, has, lacks });
            }
        }
        let involved: IndexSet<&str> = self.job_entries.iter().map(|e| e.source.as_str()).collect();
        for (source, span) in &self.sources {
            if span.unreadable > 0 {
                gaps.push(Gap::Unreadable { source: source.clone(), lines: span.unreadable });
            }
            if !involved.contains(source.as_str()) {
                continue;
            }
            for (cut, what) in [
                (span.last + LOG_END_TOLERANCE < last, "it ends before the job's last entry"),
                (first + LOG_END_TOLERANCE < span.first, "it begins after the job's first entry"),
            ] {
                if cut {
                    gaps.push(Gap::Partial { source: source.clone(), what: what.to_owned() });
                }
            }
        }
        gaps
    }

    /// Lines that daemons reported as dropped before the end of the trace.
    fn dropped_lines(&self, last: Duration) -> Vec<Gap> {
        let dropped = self.dropped.iter().filter(|entry| entry.at <= last + VM_EVENT_MARGIN);
        let mut sums: IndexMap<(&str, &str), u64> = IndexMap::new();
        for entry in dropped {
            let event = entry.value("event_kind").unwrap_or("?");
            let lines = entry.value("dropped").and_then(|n| n.parse().ok()).unwrap_or(1);
            *sums.entry((&entry.source, event)).or_default() += lines;
        }
        let gap = |((source, event), lines): ((&str, &str), u64)| Gap::Dropped {
            source: source.to_owned(),
            event: event.to_owned(),
            lines,
        };
        sums.into_iter().map(gap).collect()
    }
}

fn as_text<S: Serializer>(job: &JobId, serializer: S) -> std::result::Result<S::Ok, S::Error> {
    serializer.collect_str(job)
}

/// The run event that precedes this one.
fn preceding_event(event: &str) -> Option<&'static str> {
    let index = RUN_EVENTS.iter().position(|known| *known == event)?;
    index.checked_sub(1).map(|before| RUN_EVENTS[before])
}
