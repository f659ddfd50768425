//! The way of log lines out of the daemon: a bounded ring to one writer.
//!
//! Whoever logs never waits: a line that finds no room is counted and left out, the least
//! important first, and the writer says how many of which event were lost. A standard output that
//! nobody reads stops the writer and nobody else.

use crate::clock::Clock;
use crate::logs;
use crate::note::{Note, Weight};
use std::collections::VecDeque;
use std::io::Write;
use std::sync::{Arc, Condvar, Mutex, PoisonError};
use std::time::{Duration, SystemTime};

/// Lines kept for the writer. At 600 lines a second that is several seconds, and 2 MB.
const RING_LINES: usize = 4096;

/// Share of the ring from which on routine lines are left out, so that telling ones find room.
const ROUTINE_SHARE: usize = RING_LINES / 2;

/// The same for telling lines.
const TELLING_SHARE: usize = RING_LINES * 7 / 8;

/// The writer gathers lines for this long, to write them with one call.
const GATHER: Duration = Duration::from_millis(100);

/// Where lines are handed in.
#[derive(Clone)]
pub struct Journal {
    shared: Arc<Shared>,
    clock: Arc<dyn Clock>,
    least: Weight,
}

struct Shared {
    ring: Mutex<Ring>,
    filled: Condvar,
}

#[derive(Default)]
struct Ring {
    lines: VecDeque<Line>,
    /// Lines left out since the last that said so, by event.
    dropped: Vec<u64>,
    closed: bool,
}

struct Line {
    at: SystemTime,
    note: Note,
}

impl Journal {
    /// A journal of lines of at least this weight, written to `out` by a thread of its own.
    pub fn start(clock: Arc<dyn Clock>, least: Weight, out: impl Write + Send + 'static) -> Self {
        let dropped = vec![0; Note::KINDS.len()];
        let ring = Mutex::new(Ring { dropped, ..Ring::default() });
        let shared = Arc::new(Shared { ring, filled: Condvar::new() });
        let reader = shared.clone();
        std::thread::spawn(move || write_lines(&reader, out));
        Self { shared, clock, least }
    }

    /// Hands a line in; never waits for the writer.
    pub fn write(&self, note: Note) {
        let kind = note.kind();
        if kind.weight < self.least {
            return;
        }
        let at = self.clock.wall();
        let mut ring = self.shared.ring.lock().unwrap_or_else(PoisonError::into_inner);
        let room = match kind.weight {
            Weight::Routine => ROUTINE_SHARE,
            Weight::Telling => TELLING_SHARE,
            Weight::Urgent => RING_LINES,
        };
        if ring.lines.len() >= room {
            ring.dropped[note.index()] += 1;
            return;
        }
        ring.lines.push_back(Line { at, note });
        if ring.lines.len() == 1 {
            self.shared.filled.notify_one();
        }
    }

    /// Ends the writer once it has written what is there, waiting for it at most this long.
    pub fn close(&self, wait: Duration) {
        let mut ring = self.shared.ring.lock().unwrap_or_else(PoisonError::into_inner);
        ring.closed = true;
        self.shared.filled.notify_one();
        let step = Duration::from_millis(10);
        let mut waited = Duration::ZERO;
        while !ring.lines.is_empty() && waited < wait {
            drop(ring);
            std::thread::sleep(step);
            waited += step;
            ring = self.shared.ring.lock().unwrap_or_else(PoisonError::into_inner);
        }
    }
}

fn write_lines(shared: &Shared, mut out: impl Write) {
    let mut buf = String::new();
    loop {
        let Some(lines) = take(shared, &mut buf) else { return };
        for line in lines {
            push_line(&mut buf, line.at, &line.note);
        }
        // Nobody is left to tell that the standard output is broken.
        let _ = out.write_all(buf.as_bytes()).and_then(|()| out.flush());
        buf.clear();
        std::thread::sleep(GATHER);
    }
}

/// Waits for lines and takes them, with a line on each event of which some were left out.
fn take(shared: &Shared, buf: &mut String) -> Option<VecDeque<Line>> {
    let mut ring = shared.ring.lock().unwrap_or_else(PoisonError::into_inner);
    while ring.lines.is_empty() {
        if ring.closed {
            return None;
        }
        ring = shared.filled.wait(ring).unwrap_or_else(PoisonError::into_inner);
    }
    let lines = std::mem::take(&mut ring.lines);
    let at = lines.front().map_or(SystemTime::UNIX_EPOCH, |line| line.at);
    for (kind, dropped) in Note::KINDS.iter().zip(ring.dropped.iter_mut()) {
        if *dropped > 0 {
            let note = Note::LinesDropped { dropped: *dropped, event_kind: kind.event };
            push_line(buf, at, &note);
            *dropped = 0;
        }
    }
    Some(lines)
}

/// Appends a line: time, event and pairs.
pub fn push_line(buf: &mut String, at: SystemTime, note: &Note) {
    let since_epoch = at.duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
    buf.push_str("ts=");
    buf.push_str(&logs::utc(since_epoch));
    buf.push_str(" event=");
    buf.push_str(note.kind().event);
    note.write_fields(buf);
    buf.push('\n');
}
