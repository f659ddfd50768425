//! Following what operators write: the configuration, and waves of upkeep.
//!
//! A watch tells each version of the configuration that was written, whole. Where versions follow each other faster
//! than the link carries them, each answer would hold more of them than the one before. So an answer that
//! is larger than one version isn't read; the range is read anew instead, which has the newest alone.

use super::{Caught, Failures, Sources, read_all};
use crate::jobs::control::Stored;
use crate::jobs::records::{note_unreadable, retry_pause};
use crate::jobs::{Platform, Written};
use crate::kv::{Change, Changes, Error, Freshness, Item, Kv, Result, Rev, Watch};
use crate::queues::Queues;
use std::time::Duration;

/// How long a watch of what operators write waits. Operators' changes must be in force within 2 s;
/// a watch that has gone silent is noticed within this time.
const WATCH_WAIT: Duration = Duration::from_millis(1000);

/// Waits of the watch that follows a change: no longer than the answer takes.
const CONFIRM_WAIT: Duration = Duration::from_millis(1);

/// Size up to which an answer is read in any case, in bytes.
const SMALL_ANSWER: usize = 64 << 10;

/// A configuration as it was read.
#[derive(Clone, Debug, PartialEq)]
pub struct ReadQueues {
    pub queues: Queues,
    /// Size of the entry.
    pub bytes: usize,
    /// Time that decoding it took.
    pub decode: Duration,
}

/// Follows what operators write.
pub async fn follow<P: Platform>(from: Sources<P>) {
    let mut failures = Failures::new("configuration", from.store.clock().now());
    loop {
        if let Err(e) = follow_entries(&from, &mut failures).await {
            from.note_failure(&mut failures, &e);
            from.control.do_send(Stored::ConfigUnread { reason: e.to_string() });
            tokio::time::sleep(retry_pause(&e)).await;
        }
    }
}

async fn follow_entries<P: Platform>(from: &Sources<P>, failures: &mut Failures) -> Result<()> {
    let mut entries = Entries::default();
    loop {
        entries.read(from).await?;
        failures.read_at(from.store.clock().now());
        while entries.go_on(from).await? == Caught::Up {
            failures.read_at(from.store.clock().now());
        }
    }
}

/// Operators' entries, up to some revision.
#[derive(Debug, Default)]
struct Entries {
    after: Rev,
    config: Config,
    /// Size of the configuration that was read last.
    config_bytes: usize,
    /// Whether the last answer had changes.
    changed: bool,
}

/// Whether the newest configuration could be read.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Config {
    #[default]
    Read,
    Unreadable,
}

impl Entries {
    /// Reads every entry.
    async fn read<P: Platform>(&mut self, from: &Sources<P>) -> Result<()> {
        let asked = from.store.clock().now();
        let prefix = from.platform.operator_prefix();
        let (items, after) = read_all(&from.store, prefix, Freshness::Latest).await?;
        self.after = after;
        self.changed = true;
        items.iter().for_each(|item| self.take(from, item));
        self.confirm(from, asked);
        Ok(())
    }

    /// Waits for changes.
    async fn go_on<P: Platform>(&mut self, from: &Sources<P>) -> Result<Caught> {
        let asked = from.store.clock().now();
        let wait = if self.changed { CONFIRM_WAIT } else { WATCH_WAIT };
        let watch = Watch::new(from.platform.operator_prefix(), self.after, wait);
        let watch = watch.with_most_bytes(self.size_of_one());
        let answer = match from.store.call(|store| store.watch(&watch)).await {
            Err(Error::TooLarge { .. }) => return Ok(Caught::Behind),
            answer => answer?,
        };
        self.changed = !answer.changes.is_empty();
        self.take_changes(from, &answer);
        // An answer without changes says so of the end of its wait; one with changes may have taken long to come in,
        // and says nothing of what was written meanwhile.
        self.confirm(from, if self.changed { asked } else { asked + wait });
        Ok(Caught::Up)
    }

    /// Size of an answer with one version: base64, and half a version for growth.
    fn size_of_one(&self) -> usize {
        SMALL_ANSWER.max(2 * self.config_bytes)
    }

    fn take_changes<P: Platform>(&mut self, from: &Sources<P>, answer: &Changes) {
        self.after = self.after.max(answer.at);
        for change in &answer.changes {
            if let Change::Put(item) = change {
                self.take(from, item);
            }
        }
    }

    fn take<P: Platform>(&mut self, from: &Sources<P>, item: &Item) {
        let began = from.store.clock().now();
        match from.platform.read_operators(item) {
            Ok(Written::Queues(queues)) => {
                let decode = from.store.clock().now().saturating_sub(began);
                let bytes = item.value.len();
                (self.config, self.config_bytes) = (Config::Read, bytes);
                let read = ReadQueues { queues, bytes, decode };
                from.control.do_send(Stored::Queues(Box::new(read)));
            }
            Ok(Written::Wave(wave)) => from.control.do_send(Stored::Wave(wave)),
            Ok(Written::Other) => {}
            Err(e) => {
                if item.key == from.platform.config_key() {
                    self.config = Config::Unreadable;
                    from.control.do_send(Stored::ConfigUnread { reason: e.to_string() });
                }
                from.control.do_send(Stored::Note(note_unreadable(item.rev.0, &e)));
            }
        }
    }

    fn confirm<P: Platform>(&self, from: &Sources<P>, at: Duration) {
        if self.config == Config::Read {
            from.control.do_send(Stored::ConfigConfirmed { at });
        }
    }
}
