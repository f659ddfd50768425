//! Follower of the operator entries: the configuration, evacuations of failure domains, and upkeep
//! waves.
//!
//! A watch reports every version of the configuration in full. If versions are written faster than
//! the network transfers them, each answer would hold more versions than the one before. An answer
//! larger than one version is therefore not read; the range is read again instead, which returns
//! only the newest version.

use super::{FailureStreak, FollowContext, ReadProgress, read_all};
use crate::evacuation::Evacuations;
use crate::jobs::control::StoreEvent;
use crate::jobs::records::unreadable_note;
use crate::jobs::{OperatorEntry, Platform};
use crate::kv::{Change, Changes, Error, Freshness, Item, Result, Rev, Watch};
use crate::queues::Queues;
use std::time::Duration;

/// Timeout of a watch. Changes by operators must be in force within 2 s, and a watch whose
/// connection has gone silent is detected within this time.
const WATCH_TIMEOUT: Duration = Duration::from_millis(1000);

/// Timeout of the watch right after a change: it adds nothing to the time that the answer takes.
const CONFIRM_TIMEOUT: Duration = Duration::from_millis(1);

/// Answers up to this size are always read, in bytes.
const MIN_ANSWER_LIMIT: usize = 64 << 10;

/// A configuration with the cost of reading it.
#[derive(Clone, Debug, PartialEq)]
pub struct LoadedConfig {
    pub queues: Queues,
    /// Size of the encoded entry.
    pub encoded_bytes: usize,
    /// Time spent decoding it.
    pub decode_time: Duration,
}

/// Runs the follower.
pub async fn follow<P: Platform>(ctx: FollowContext<P>) {
    let mut failures = FailureStreak::new("configuration", ctx.store.clock().now());
    loop {
        if let Err(e) = follow_entries(&ctx, &mut failures).await {
            ctx.report_failure(&mut failures, &e);
            ctx.control.do_send(StoreEvent::ConfigReadFailed { reason: e.to_string() });
            tokio::time::sleep(ctx.retry_delay(&failures, &e)).await;
        }
    }
}

async fn follow_entries<P: Platform>(
    ctx: &FollowContext<P>,
    failures: &mut FailureStreak,
) -> Result<()> {
    let mut entries = Entries::default();
    loop {
        entries.read(ctx).await?;
        failures.record_success(ctx.store.clock().now());
        while entries.read_changes(ctx).await? == ReadProgress::CaughtUp {
            failures.record_success(ctx.store.clock().now());
        }
    }
}

/// State of the operator entries.
#[derive(Debug, Default)]
struct Entries {
    after: Rev,
    config: ConfigState,
    evacuations: Evacuations,
    /// Size of the last configuration that was decoded.
    config_bytes: usize,
    /// Whether the last answer contained changes.
    changed: bool,
}

/// Whether the newest configuration could be decoded.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum ConfigState {
    #[default]
    Read,
    Unreadable,
}

impl Entries {
    /// Reads every entry.
    async fn read<P: Platform>(&mut self, ctx: &FollowContext<P>) -> Result<()> {
        let asked = ctx.store.clock().now();
        let prefix = ctx.platform.operator_prefix();
        let (items, after) = read_all(&ctx.store, prefix, Freshness::Latest).await?;
        self.after = after;
        self.changed = true;
        let ordered = items.iter().filter_map(|item| ctx.platform.evacuated_domain(&item.key));
        self.evacuations = ordered.collect();
        // Sent before the configuration, without which no shard starts anything.
        self.send_evacuations(ctx, asked);
        items.iter().for_each(|item| self.apply(ctx, item));
        self.confirm(ctx, asked);
        Ok(())
    }

    /// Waits for changes and applies them.
    async fn read_changes<P: Platform>(&mut self, ctx: &FollowContext<P>) -> Result<ReadProgress> {
        let asked = ctx.store.clock().now();
        let wait = if self.changed { CONFIRM_TIMEOUT } else { WATCH_TIMEOUT };
        let watch = Watch::new(ctx.platform.operator_prefix(), self.after, wait);
        let watch = watch.with_max_bytes(self.answer_limit());
        let answer = match ctx.store.watch(&watch).await {
            Err(Error::TooLarge { .. }) => return Ok(ReadProgress::Behind),
            answer => answer?,
        };
        self.changed = !answer.changes.is_empty();
        self.apply_changes(ctx, &answer);
        // An answer without changes confirms the state at the end of its wait, unless the watch was
        // cut before. One with changes may have taken long to transfer, and does not cover what was
        // written in the meantime.
        let waited = asked + wait;
        let is_timeout = !self.changed && waited <= ctx.store.clock().now();
        self.confirm(ctx, if is_timeout { waited } else { asked });
        Ok(ReadProgress::CaughtUp)
    }

    /// Limit for an answer with one version: base64 overhead, plus half a version for growth.
    fn answer_limit(&self) -> usize {
        MIN_ANSWER_LIMIT.max(2 * self.config_bytes)
    }

    fn apply_changes<P: Platform>(&mut self, ctx: &FollowContext<P>, answer: &Changes) {
        self.after = self.after.max(answer.at);
        for change in &answer.changes {
            match change {
                Change::Put(item) => {
                    self.evacuations.extend(ctx.platform.evacuated_domain(&item.key));
                    self.apply(ctx, item);
                }
                Change::Deleted { key, .. } => {
                    if let Some(domain) = ctx.platform.evacuated_domain(key) {
                        self.evacuations.remove(&domain);
                    }
                }
            }
        }
    }

    fn apply<P: Platform>(&mut self, ctx: &FollowContext<P>, item: &Item) {
        let began = ctx.store.clock().now();
        match ctx.platform.parse_operator_entry(item) {
            Ok(OperatorEntry::Config(queues)) => {
                let decode_time = ctx.store.clock().now().saturating_sub(began);
                let encoded_bytes = item.value.len();
                (self.config, self.config_bytes) = (ConfigState::Read, encoded_bytes);
                let loaded = LoadedConfig { queues, encoded_bytes, decode_time };
                ctx.control.do_send(StoreEvent::Config(Box::new(loaded)));
            }
            Ok(OperatorEntry::Wave(wave)) => ctx.control.do_send(StoreEvent::Wave(wave)),
            // The key alone is the order, so that one with an unreadable value stands as well.
            Ok(OperatorEntry::Evacuation(_) | OperatorEntry::Other) => {}
            Err(e) => {
                if item.key == ctx.platform.config_key() {
                    self.config = ConfigState::Unreadable;
                    ctx.control.do_send(StoreEvent::ConfigReadFailed { reason: e.to_string() });
                }
                ctx.control.do_send(StoreEvent::Note(unreadable_note(item.rev.0, &e)));
            }
        }
    }

    /// Reports the evacuations as of a time after `at`.
    fn send_evacuations<P: Platform>(&self, ctx: &FollowContext<P>, at: Duration) {
        let evacuations = self.evacuations.clone();
        ctx.control.do_send(StoreEvent::Evacuations { evacuations, at });
    }

    fn confirm<P: Platform>(&self, ctx: &FollowContext<P>, at: Duration) {
        self.send_evacuations(ctx, at);
        if self.config == ConfigState::Read {
            ctx.control.do_send(StoreEvent::ConfigConfirmed { at });
        }
    }
}
