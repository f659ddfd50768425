//! What control tells the other duties and daemons of its shards.

use super::{Control, Hosted};
use crate::clock::Clock;
use crate::cluster::{Hello, MemberStage, ShardNews};
use crate::jobs::confirmed::Standing;
use crate::jobs::links::SendHello;
use crate::jobs::view::{Owner, Readiness, ShardView, View};
use crate::note::Note;
use crate::shard::interference::Learned;
use crate::shard::{Event, Neighbour};
use actix::prelude::*;
use indexmap::IndexMap;
use std::sync::Arc;
use std::time::Duration;

/// How long an accepted job is told of: with three hellos, so that one may be lost.
const TOLD_FOR: Duration = Duration::from_millis(1200);

/// Age up to which another shard's news are gone by for lending.
const FRESH_NEIGHBOUR: Duration = Duration::from_millis(1500);

/// Between two tellings of what was learned of how images disturb each other: 2 KB with 45 pairs.
pub(super) const LEARNED_EVERY: Duration = Duration::from_millis(1500);

impl Control {
    /// Tells the shards here what is known of the others.
    pub(super) fn tell_neighbours(&mut self, cx: &mut Context<Self>) {
        let now = self.clock.now();
        let mut known: Vec<Neighbour> = Vec::new();
        for (name, view) in &self.others {
            let fresh = now.saturating_sub(view.at) < FRESH_NEIGHBOUR;
            if fresh && self.ownership.owner(name).is_some() && !self.hosted.contains_key(name) {
                let (name, summary) = (Arc::from(name.as_str()), view.summary.clone());
                let fence = self.ownership.fence(&name);
                known.push(Neighbour { name, fence, summary });
            }
        }
        for hosted in self.hosted.values() {
            let (name, summary) = (hosted.name.clone(), hosted.summary.clone());
            known.push(Neighbour { name, fence: hosted.shard.fence(), summary });
        }
        let daemons = self.ownership.members().len() + 1;
        let shards = self.ownership.shards().len().max(1);
        let askers = u32::try_from(daemons.div_ceil(shards)).unwrap_or(1);
        let names: Vec<String> = self.hosted.keys().cloned().collect();
        for name in names {
            self.step(&name, Event::Askers(askers), cx);
            let others = known.iter().filter(|other| *other.name != *name).cloned().collect();
            self.step(&name, Event::Neighbours(others), cx);
        }
    }

    pub(super) fn summarize(&mut self) {
        let now = self.clock.now();
        for hosted in self.hosted.values_mut() {
            hosted.summary = Arc::new(hosted.shard.summary());
            hosted.summarized = now;
        }
    }

    pub(super) fn publish(&mut self, now: Duration) {
        self.watch_config(now);
        let mut shards = IndexMap::new();
        for name in self.ownership.shards() {
            let view = match self.hosted.get_mut(&name) {
                Some(hosted) => {
                    let (summary, at) = (hosted.summary.clone(), hosted.summarized);
                    ShardView { owner: Some(Owner::Here), summary, at }
                }
                None => self.other(&name),
            };
            shards.insert(name, view);
        }
        let readiness = self.readiness(now, &shards);
        let before = self.view.borrow().readiness;
        if before != readiness {
            let (ready, reason) = match readiness {
                Readiness::Ready => (true, "callers can be served"),
                Readiness::Not { reason } => (false, reason),
            };
            self.journal.write(Note::Readiness { ready, reason });
        }
        let queues = self.queues.clone();
        self.view.send_replace(Arc::new(View {
            queues,
            confirmed: self.confirmed,
            shards,
            readiness,
            shapes: self.shapes.clone(),
        }));
        self.say_hello();
    }

    pub(super) fn other(&self, name: &str) -> ShardView {
        let known = self.others.get(name);
        ShardView {
            owner: self.ownership.owner(name).map(Owner::Other),
            summary: known.map(|view| view.summary.clone()).unwrap_or_default(),
            at: known.map_or(Duration::ZERO, |view| view.at),
        }
    }

    pub(super) fn readiness(
        &self,
        now: Duration,
        shards: &IndexMap<String, ShardView>,
    ) -> Readiness {
        let not = |reason| Readiness::Not { reason };
        if self.ownership.me().stage == MemberStage::Draining {
            return not("the daemon stops");
        }
        if self.queues.is_none() {
            return not("no configuration was read yet");
        }
        match self.confirmed.standing(now) {
            Standing::Unconfirmed => return not("the configuration isn't confirmed"),
            Standing::CutOff if !self.ownership.store_in_reach() => {
                return not("the store can't be reached");
            }
            Standing::CutOff | Standing::Confirmed => {}
        }
        if !shards.values().any(|shard| shard.owner.is_some()) {
            return not("no shard has an owner");
        }
        Readiness::Ready
    }

    /// Greets whoever is to be greeted now.
    pub(super) fn say_hello(&mut self) {
        let now = self.clock.now();
        let to = self.ownership.to_greet(now);
        if to.is_empty() {
            return;
        }
        let hello = Hello {
            from: self.ownership.me().clone(),
            store: self.store,
            config: self.queues.as_ref().map_or(0, |queues| queues.version),
            shards: self.news(),
        };
        let (owners, others) = to.into_iter().partition(|to| self.ownership.is_owner(&to.name));
        if let Some(rings) = &self.rings {
            rings.links.do_send(SendHello { hello, owners, others });
        }
    }

    pub(super) fn news(&mut self) -> Vec<ShardNews> {
        let now = self.clock.now();
        let news = |(name, hosted): (&String, &mut Hosted)| {
            while hosted.accepted.front().is_some_and(|(at, _)| now.saturating_sub(*at) > TOLD_FOR)
            {
                hosted.accepted.pop_front();
            }
            let tells = now >= hosted.next_learned;
            if tells {
                hosted.next_learned = now + LEARNED_EVERY;
            }
            ShardNews {
                name: name.clone(),
                fence: hosted.shard.fence().0,
                summary: (*hosted.summary).clone(),
                accepted: hosted.accepted.iter().map(|(_, job)| *job).collect(),
                learned: if tells { hosted.shard.learned() } else { Vec::new() },
                lapses: hosted.shard.told_lapses(now),
            }
        };
        self.hosted.iter_mut().map(news).collect()
    }

    /// Passes on what another shard has learned, and keeps it for shards taken over later.
    pub(super) fn hear_learned(
        &mut self,
        from: &str,
        learned: Vec<Learned>,
        cx: &mut Context<Self>,
    ) {
        if learned.is_empty() {
            return;
        }
        let names: Vec<String> = self.hosted.keys().cloned().collect();
        for name in names {
            let (from, learned) = (from.to_owned(), learned.clone());
            self.step(&name, Event::Learned { from, learned }, cx);
        }
        self.learned.insert(from.to_owned(), learned);
    }
}
