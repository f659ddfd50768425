//! One job's story, out of the logs of many daemons.
//!
//! Daemons that decided about a job may be gone when its caller complains; their lines aren't. Lines are
//! put in order of time. Where clocks differ so that an effect seems to come before its cause, the lines
//! of the daemon that logged the effect are moved, and the story says by how much. It also says what is
//! missing: lines that were left out, steps without the one before them, logs that end too soon.

mod entry;

pub use entry::Entry;

use crate::job::JobId;
use indexmap::{IndexMap, IndexSet};
use serde::{Serialize, Serializer};
use std::time::Duration;

/// A daemon writes a line on each of its shards every 2 s; a log that ends this long before the story
/// does has been cut, or its daemon has ended.
const QUIET: Duration = Duration::from_secs(5);

/// Time around the story in which what happened to its VMs is told, too.
const AROUND: Duration = Duration::from_secs(2);

/// A job's story.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Story {
    #[serde(serialize_with = "as_text")]
    pub job: JobId,
    /// Lines about the job and the VMs that it ran on, in order of time.
    pub entries: Vec<Entry>,
    pub shifts: Vec<Shift>,
    pub gaps: Vec<Gap>,
}

/// A daemon whose clock is behind.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Shift {
    pub source: String,
    /// Added to its times, in milliseconds.
    pub added_ms: u64,
}

/// What the logs don't tell.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
#[serde(tag = "kind", rename_all = "kebab-case")]
pub enum Gap {
    /// Lines of an event were left out at a daemon, meanwhile or before.
    Dropped { source: String, event: String, lines: u64 },
    /// A run's line without the one that comes before it.
    Missing { run: String, has: String, lacks: String },
    /// A log that ends, or begins, amid the story.
    Partial { source: String, what: String },
    /// Lines that can't be read.
    Unreadable { source: String, lines: usize },
}

/// Lines as they are read, of one job.
#[derive(Debug)]
pub struct Tracer {
    job: JobId,
    digits: String,
    kept: Vec<Entry>,
    /// Lines on VMs, of which few will matter.
    vms: Vec<Entry>,
    dropped: Vec<Entry>,
    sources: IndexMap<String, Span>,
}

/// Times between which a source has lines.
#[derive(Clone, Copy, Debug)]
struct Span {
    first: Duration,
    last: Duration,
    unreadable: usize,
}

/// Events on a VM that explain what became of the work there.
const VM_EVENTS: [&str; 6] =
    ["vm-leaving", "vm-gone", "vm-silent", "vm-heard", "vm-health", "vm-fenced"];

/// A run's events, each after the one before it.
const RUN_EVENTS: [&str; 3] = ["task-bound", "task-started", "task-ended"];

impl Tracer {
    /// A tracer of a job.
    pub fn new(job: JobId) -> Self {
        Self {
            job,
            digits: job.to_string(),
            kept: Vec::new(),
            vms: Vec::new(),
            dropped: Vec::new(),
            sources: IndexMap::new(),
        }
    }

    /// Takes a line of a log; `source` names the log, unless the line itself names its daemon.
    pub fn read(&mut self, source: &str, line: &str) {
        let Some(entry) = Entry::parse(source, line) else {
            if !line.trim().is_empty() {
                self.note_unreadable(source);
            }
            return;
        };
        let at = entry.at;
        let span = Span { first: at, last: at, unreadable: 0 };
        let span = self.sources.entry(entry.source.clone()).or_insert(span);
        span.first = span.first.min(at);
        span.last = span.last.max(at);
        if entry.is_about(&self.digits) {
            self.kept.push(entry);
        } else if VM_EVENTS.contains(&entry.event.as_str()) {
            self.vms.push(entry);
        } else if entry.event == "lines-dropped" {
            self.dropped.push(entry);
        }
    }

    fn note_unreadable(&mut self, source: &str) {
        // A line that was cut as its daemon was killed; it has no time.
        let none = Span { first: Duration::MAX, last: Duration::ZERO, unreadable: 0 };
        self.sources.entry(source.to_owned()).or_insert(none).unreadable += 1;
    }

    /// The story, if any line is about the job.
    pub fn finish(mut self) -> Option<Story> {
        let shifts = self.shifts();
        for entry in self.kept.iter_mut().chain(&mut self.vms).chain(&mut self.dropped) {
            let shift = shifts.iter().find(|shift| shift.source == entry.source);
            entry.at += shift.map_or(Duration::ZERO, |s| Duration::from_millis(s.added_ms));
        }
        self.kept.sort_by_key(|entry| entry.at);
        let (first, last) = (self.kept.first()?.at, self.kept.last()?.at);
        let gaps = self.gaps(first, last);
        let vms: IndexSet<&str> = self.kept.iter().filter_map(|entry| entry.value("vm")).collect();
        let near = first.saturating_sub(AROUND)..=last + AROUND;
        let told = |entry: &&Entry| {
            near.contains(&entry.at) && entry.value("vm").is_some_and(|vm| vms.contains(vm))
        };
        let beside: Vec<Entry> = self.vms.iter().filter(told).cloned().collect();
        let mut entries = self.kept;
        entries.extend(beside);
        entries.sort_by_key(|entry| entry.at);
        Some(Story { job: self.job, entries, shifts, gaps })
    }

    /// Sources whose effects would come before their causes at another.
    fn shifts(&self) -> Vec<Shift> {
        let mut added: IndexMap<&str, Duration> = IndexMap::new();
        for effect in &self.kept {
            let Some(cause) = self.cause_of(effect) else { continue };
            if cause.source == effect.source || cause.at <= effect.at {
                continue;
            }
            let least = added.entry(&effect.source).or_default();
            *least = (*least).max(cause.at - effect.at);
        }
        let shift = |(source, added): (&str, Duration)| {
            let added_ms = u64::try_from(added.as_millis()).unwrap_or(u64::MAX);
            Shift { source: source.to_owned(), added_ms }
        };
        added.into_iter().map(shift).collect()
    }

    /// The line that must have come before another one, if it is there.
    fn cause_of(&self, effect: &Entry) -> Option<&Entry> {
        if let Some(before) = event_before(&effect.event) {
            let same_run = |entry: &&Entry| entry.event == before && entry.run() == effect.run();
            return self.kept.iter().find(same_run);
        }
        let accepted =
            effect.event == "call-answered" && effect.value("outcome") == Some("accepted");
        let is_cause = |entry: &&Entry| entry.event == "job-accepted";
        if accepted { self.kept.iter().find(is_cause) } else { None }
    }

    fn gaps(&self, first: Duration, last: Duration) -> Vec<Gap> {
        let mut gaps = self.dropped_lines(last);
        for entry in &self.kept {
            let Some(before) = event_before(&entry.event) else { continue };
            if self.cause_of(entry).is_none() {
                let run = entry.run().unwrap_or_default();
                let (has, lacks) = (entry.event.clone(), before.to_owned());
                gaps.push(Gap::Missing { run, has, lacks });
            }
        }
        let involved: IndexSet<&str> = self.kept.iter().map(|e| e.source.as_str()).collect();
        for (source, span) in &self.sources {
            if span.unreadable > 0 {
                gaps.push(Gap::Unreadable { source: source.clone(), lines: span.unreadable });
            }
            if !involved.contains(source.as_str()) {
                continue;
            }
            for (cut, what) in [
                (span.last + QUIET < last, "it ends before the story does"),
                (first + QUIET < span.first, "it begins after the story does"),
            ] {
                if cut {
                    gaps.push(Gap::Partial { source: source.clone(), what: what.to_owned() });
                }
            }
        }
        gaps
    }

    /// Lines left out before the story's end, at daemons that tell of it.
    fn dropped_lines(&self, last: Duration) -> Vec<Gap> {
        let dropped = self.dropped.iter().filter(|entry| entry.at <= last + AROUND);
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

/// The event of a run that comes before this one.
fn event_before(event: &str) -> Option<&'static str> {
    let place = RUN_EVENTS.iter().position(|known| *known == event)?;
    place.checked_sub(1).map(|before| RUN_EVENTS[before])
}
