//! State that the control actor publishes to other actors and daemons.

use super::{Control, HostedShard, RemoteShard, TimedLearned};
use crate::clock::Clock;
use crate::cluster::{Hello, MemberStage, ShardReport, StoreReachability};
use crate::jobs::confirmed::ConfirmationStatus;
use crate::jobs::links::SendHello;
use crate::jobs::view::{Owner, Readiness, ShardView, View};
use crate::note::Note;
use crate::shard::learned::{Learned, ShardLearned};
use crate::shard::{Event, OtherShard};
use actix::prelude::*;
use indexmap::{IndexMap, IndexSet};
use std::sync::Arc;
use std::time::Duration;

/// How long hellos report an accepted job: three hellos, so that one may be lost.
const ACCEPTED_REPORT_PERIOD: Duration = Duration::from_millis(1200);

/// Maximum age of another shard's summary that is used for lending tasks.
const MAX_NEIGHBOUR_AGE: Duration = Duration::from_millis(1500);

/// Interval at which what a shard has learned is sent: 2 KB with 45 pairs of images, and under 100
/// bytes for each queue.
pub(super) const LEARNED_INTERVAL: Duration = Duration::from_millis(1500);

impl Control {
    /// Informs each local shard about the other shards.
    pub(super) fn report_neighbours(&mut self, cx: &mut Context<Self>) {
        if self.hosted.is_empty() {
            return;
        }
        let now = self.clock.now();
        let mut known: Vec<OtherShard> = Vec::new();
        let evacuated = self.evacuated_shards();
        for (name, RemoteShard { view, .. }) in &self.remote_shards {
            let fresh = now.saturating_sub(view.summary_at) < MAX_NEIGHBOUR_AGE;
            if fresh && self.ownership.owner(name).is_some() && !self.hosted.contains_key(name) {
                let (name, summary) = (Arc::from(name.as_str()), view.summary.clone());
                let fence = self.ownership.fence(&name);
                known.push(OtherShard { name, fence, summary });
            }
        }
        for hosted in self.hosted.values() {
            let (name, summary) = (hosted.name.clone(), hosted.summary.clone());
            known.push(OtherShard { name, fence: hosted.shard.fence(), summary });
        }
        // Their last summaries may still tell of free room.
        let cordoned = known.iter_mut().filter(|other| evacuated.contains(&*other.name));
        cordoned.for_each(|other| other.summary = Arc::default());
        let daemons = self.ownership.members().len() + 1;
        let shards = self.ownership.shards().len().max(1);
        let max_requests = u32::try_from(daemons.div_ceil(shards)).unwrap_or(1);
        let names: Vec<String> = self.hosted.keys().cloned().collect();
        for name in names {
            self.step_shard(&name, Event::PermitConcurrency(max_requests), cx);
            let others = known.iter().filter(|other| *other.name != *name).cloned().collect();
            self.step_shard(&name, Event::OtherShards(others), cx);
        }
    }

    /// Recomputes the summaries of the local shards.
    pub(super) fn update_summaries(&mut self) {
        let now = self.clock.now();
        for hosted in self.hosted.values_mut() {
            hosted.summary = Arc::new(hosted.shard.summary());
            hosted.summary_at = now;
        }
    }

    /// Publishes the current view and sends the hellos that are due.
    pub(super) fn publish(&mut self, now: Duration) {
        self.check_config_confirmation(now);
        let mut shards = IndexMap::new();
        let evacuated = self.evacuated_shards();
        for name in self.ownership.shards() {
            let is_evacuated = evacuated.contains(&name);
            let view = match self.hosted.get_mut(&name) {
                Some(hosted) => {
                    let (summary, summary_at) = (hosted.summary.clone(), hosted.summary_at);
                    let (owner, store) = (Some(Owner::Local), self.store_reach);
                    let clock = None;
                    ShardView { owner, store, summary, summary_at, clock, is_evacuated }
                }
                None => ShardView { is_evacuated, ..self.remote_view(&name) },
            };
            shards.insert(name, view);
        }
        let readiness = self.readiness(now, &shards);
        let before = self.view.borrow().readiness;
        if before != readiness {
            let (ready, reason) = match readiness {
                Readiness::Ready => (true, "callers can be served"),
                Readiness::NotReady { reason } => (false, reason),
            };
            self.journal.write(Note::Readiness { ready, reason });
        }
        let queues = self.queues.clone();
        self.view.send_replace(Arc::new(View {
            queues,
            config_confirmation: self.config_confirmation,
            shards,
            readiness,
            evacuations: self.evacuations.clone().unwrap_or_default().0,
            vm_shapes: self.vm_shapes.clone(),
        }));
        self.send_hellos();
    }

    pub(super) fn remote_view(&self, name: &str) -> ShardView {
        let known = self.remote_shards.get(name).map(|known| &known.view);
        ShardView {
            owner: self.ownership.owner(name).map(Owner::Remote),
            store: known.map_or(StoreReachability::Away, |view| view.store),
            summary: known.map(|view| view.summary.clone()).unwrap_or_default(),
            summary_at: known.map_or(Duration::ZERO, |view| view.summary_at),
            clock: known.and_then(|view| view.clock),
            is_evacuated: false,
        }
    }

    /// Shards whose failure domain is evacuated.
    fn evacuated_shards(&self) -> IndexSet<String> {
        let Some((evacuations, _)) = &self.evacuations else { return IndexSet::new() };
        if evacuations.is_empty() {
            return IndexSet::new();
        }
        let shards = self.plan.shards().into_iter();
        shards.filter(|(_, domain)| evacuations.contains(domain)).map(|(name, _)| name).collect()
    }

    pub(super) fn readiness(
        &self,
        now: Duration,
        shards: &IndexMap<String, ShardView>,
    ) -> Readiness {
        let not = |reason| Readiness::NotReady { reason };
        if self.ownership.me().stage == MemberStage::Draining {
            return not("the daemon stops");
        }
        if self.queues.is_none() {
            return not("no configuration was read yet");
        }
        match self.config_confirmation.status(now) {
            ConfirmationStatus::Unconfirmed => return not("the configuration isn't confirmed"),
            ConfirmationStatus::CutOff if !self.ownership.is_store_reachable() => {
                return not("the store can't be reached");
            }
            ConfirmationStatus::CutOff | ConfirmationStatus::Confirmed => {}
        }
        if !shards.values().any(|shard| shard.owner.is_some()) {
            return not("no shard has an owner");
        }
        if self.ownership.is_domain_cut_off(now) {
            return not("the failure domain is cut off");
        }
        Readiness::Ready
    }

    /// Sends hellos to the members that are due for one.
    pub(super) fn send_hellos(&mut self) {
        let now = self.clock.now();
        let to = self.ownership.take_due_hellos(now);
        if to.is_empty() {
            return;
        }
        self.last_hello += 1;
        let hello = Hello {
            from: self.ownership.me().clone(),
            number: self.last_hello,
            clock: now,
            uptime: self.ownership.uptime(now),
            store: self.store_reach,
            config: self.queues.as_ref().map_or(0, |queues| queues.version),
            shards: self.shard_reports(),
            released: self.ownership.released_shards(now),
            ended: self.ended.to_tell(&self.ownership.me().id, now, self.told_period()),
        };
        let (owners, others) = to.into_iter().partition(|to| self.ownership.is_owner(&to.name));
        if let Some(actors) = &self.actors {
            actors.links.do_send(SendHello { hello, owners, others });
        }
    }

    pub(super) fn shard_reports(&mut self) -> Arc<[ShardReport]> {
        let now = self.clock.now();
        let ownership = &self.ownership;
        let report = |(name, hosted): (&String, &mut HostedShard)| {
            while hosted
                .accepted
                .front()
                .is_some_and(|(at, _)| now.saturating_sub(*at) > ACCEPTED_REPORT_PERIOD)
            {
                hosted.accepted.pop_front();
            }
            let learned_due = now >= hosted.next_learned_at;
            if learned_due {
                hosted.next_learned_at = now + LEARNED_INTERVAL;
            }
            ShardReport {
                name: name.clone(),
                fence: hosted.shard.fence().0,
                earlier_active: ownership.earlier_active(name, now),
                summary: hosted.summary.clone(),
                accepted: hosted.accepted.iter().map(|(_, job)| *job).collect(),
                learned: if learned_due { hosted.shard.learned() } else { Learned::default() },
                lapses: hosted.shard.reported_lapses(now),
            }
        };
        self.hosted.iter_mut().map(report).collect()
    }

    /// Passes what the local shards have learned to each other.
    pub(super) fn share_local_learned(&mut self, cx: &mut Context<Self>) {
        let now = self.clock.now();
        if now < self.next_local_learned {
            return;
        }
        self.next_local_learned = now + LEARNED_INTERVAL;
        let local = self.hosted.iter().map(|(name, hosted)| ShardLearned {
            shard: name.clone(),
            learned: hosted.shard.learned(),
        });
        self.share_learned(local.collect(), cx);
    }

    /// Passes what shards have learned to the local shards, each in one step, and keeps it for
    /// shards taken over later. The last report of a shard replaces the earlier ones, also those of
    /// earlier owners.
    pub(super) fn share_learned(&mut self, reports: Vec<ShardLearned>, cx: &mut Context<Self>) {
        let known = reports.into_iter().filter(|report| !report.learned.is_empty());
        let reports: Arc<Vec<ShardLearned>> = Arc::new(known.collect());
        if reports.is_empty() {
            return;
        }
        for name in self.hosted.keys().cloned().collect::<Vec<_>>() {
            self.step_shard(&name, Event::Learned(reports.clone()), cx);
        }
        let at = self.clock.now();
        for report in reports.iter() {
            let learned = report.learned.clone();
            self.learned.insert(report.shard.clone(), TimedLearned { at, learned });
        }
    }
}
