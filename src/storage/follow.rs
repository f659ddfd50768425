//! Following the configuration.
//!
//! A few daemons of each failure domain watch the head; the others hear of a new revision from
//! them and fetch it from a peer. Were all to watch, each waiting watch would count as a call, and
//! the service's rate would bound the number of daemons.

use super::Storage;
use crate::config::follow::fetch::{fetch, next_head, read_present, watches};
use crate::config::head;
use crate::config::head::Versioned;
use actix::prelude::*;
use rand::Rng;
use std::time::Duration;

/// Daemons of a failure domain that watch the head.
pub const WATCHERS: usize = 2;

const WATCH_WAIT: Duration = Duration::from_secs(20);
/// A daemon that does not watch still reads the head now and then, in case that it is cut off from
/// all that do.
const READ_PERIOD: Duration = Duration::from_secs(30);
const RETRY: Duration = Duration::from_secs(1);

/// How the head is looked at next.
#[derive(Clone, Copy)]
enum Look {
    /// Past every lagging replica; once, at the start.
    Present,
    Watch {
        after: u64,
    },
    Read {
        wait: Duration,
    },
}

impl Storage {
    /// Starts to follow.
    pub(super) fn follow(&mut self, cx: &mut Context<Self>) {
        self.look(Look::Present, cx);
    }

    fn look(&mut self, look: Look, cx: &mut Context<Self>) {
        let store = self.store.clone();
        let read = async move {
            match look {
                Look::Present => read_present(&store).await,
                Look::Watch { after } => next_head(&store, after, WATCH_WAIT).await,
                Look::Read { wait } => {
                    tokio::time::sleep(jittered(wait)).await;
                    head::read(&store).await
                }
            }
        };
        cx.spawn(read.into_actor(self).map(move |at, this, cx| match at {
            Ok(at) => this.fetch(at, cx),
            Err(e) => {
                log::warn!(reason:% = e; "head-unread");
                cx.run_later(jittered(RETRY), move |this, cx| this.look(look, cx));
            }
        }));
    }

    fn next_look(&self, after: u64) -> Look {
        if watches(&self.me, &self.watchers, WATCHERS) {
            Look::Watch { after }
        } else {
            Look::Read { wait: READ_PERIOD }
        }
    }

    /// Fetches what a head names and this daemon lacks, then looks again.
    fn fetch(&mut self, at: Versioned, cx: &mut Context<Self>) {
        let wants = self.follower.wants(&at.head.manifest);
        let store = self.store.clone();
        let version = at.version;
        let revision = at.head.manifest.revision;
        let read = async move { fetch(&store, wants, at.head.manifest).await };
        cx.spawn(read.into_actor(self).map(move |snapshot, this, cx| {
            match snapshot {
                Ok(snapshot) => this.offer(&snapshot),
                Err(e) => log::warn!(reason:% = e; "config-unread"),
            }
            let behind = this.follower.revision() < revision;
            let look = if behind { Look::Read { wait: RETRY } } else { this.next_look(version) };
            this.look(look, cx);
        }));
    }
}

fn jittered(wait: Duration) -> Duration {
    wait.mul_f64(rand::rng().random_range(0.8..1.0))
}
