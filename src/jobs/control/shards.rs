//! Life cycle of the shards owned by this daemon, and the events passed to them.

use super::ended::ended_ownership;
use super::publish::LEARNED_INTERVAL;
use super::{Control, HostedShard, ShardOffer, TimedLapses, TimedLearned};
use crate::cluster::{self, HandOver, Member, OfferOutcome, ReleasedShard, StoreReachability};
use crate::evacuation::Evacuations;
use crate::ids::{DomainId, Ticket};
use crate::job::JobId;
use crate::jobs::calls::Reply;
use crate::jobs::confirmed::ConfirmationStatus;
use crate::jobs::follow::operators::LoadedConfig;
use crate::jobs::links::{OfferShard, ProbeMember};
use crate::jobs::records::{ClaimShard, ConfirmOwnership, OwnershipStatus, ReadHeads};
use crate::note::{KnownMillis, Millis, Note};
use crate::panics;
use crate::shard::learned::{HeardReport, ShardLearned};
use crate::shard::settings::MAX_STALE_OWNER_EXTENSION;
use crate::shard::{Action, Event, FleetListStatus, PreviousOwnerEnd, Recovered, Shard};
use crate::vm::{Departure, Fence, VmEntry};
use actix::prelude::*;
use std::sync::{Arc, PoisonError};
use std::time::Duration;

/// Delay before the store is asked again to confirm a shard's ownership.
const CONFIRM_RETRY_DELAY: Duration = Duration::from_millis(150);

impl Control {
    /// Defers the events of all local shards until the store confirms their ownership.
    pub(super) fn confirm_all_ownership(&mut self, cx: &mut Context<Self>) {
        let names: Vec<String> = self.hosted.keys().cloned().collect();
        for name in names {
            let Some(hosted) = self.hosted.get_mut(&name) else { continue };
            hosted.deferred.get_or_insert_default();
            self.confirm_ownership(name, cx);
        }
    }

    pub(super) fn confirm_ownership(&mut self, shard: String, cx: &mut Context<Self>) {
        let Some(actors) = &self.actors else { return };
        let owner = self.ownership.me().id.clone();
        let confirmation =
            actors.confirmations.send(ConfirmOwnership { shard: shard.clone(), owner });
        cx.spawn(confirmation.into_actor(self).map(move |answer, this, cx| match answer {
            Ok(OwnershipStatus::Owned) => this.resume_shard(&shard, cx),
            Ok(OwnershipStatus::Lost) => this.drop_shard(&shard, "another daemon owns it", cx),
            Ok(OwnershipStatus::Unknown) | Err(_) => {
                cx.run_later(CONFIRM_RETRY_DELAY, move |this, cx| {
                    if this.hosted.get(&shard).is_some_and(|hosted| hosted.deferred.is_some()) {
                        this.confirm_ownership(shard, cx);
                    }
                });
            }
        }));
    }

    /// Processes the deferred events of a shard whose ownership was confirmed.
    pub(super) fn resume_shard(&mut self, shard: &str, cx: &mut Context<Self>) {
        let deferred = self.hosted.get_mut(shard).and_then(|hosted| hosted.deferred.take());
        for event in deferred.into_iter().flatten() {
            self.step_shard(shard, event, cx);
        }
    }

    pub(super) fn record_accepted_job(&mut self, shard: &Arc<str>, note: &Note) {
        if let Note::JobAccepted { job, .. } = note {
            self.add_to_directory(*job, shard);
            if let Some(hosted) = self.hosted.get_mut(&**shard) {
                hosted.accepted.push_back((self.last_wake, *job));
            }
        }
    }

    pub(super) fn add_to_directory(&self, job: JobId, shard: &Arc<str>) {
        self.directory.lock().unwrap_or_else(PoisonError::into_inner).add(job, shard);
    }

    pub(super) fn reply(&mut self, ticket: Ticket, reply: Reply) {
        if let Some(call) = self.tickets.swap_remove(&ticket) {
            // The send fails only if the caller no longer waits.
            let _ = call.tx.send(reply);
        }
    }

    /// Drops a shard whose decisions are durable, and then offers it to another daemon.
    pub(super) fn complete_hand_over(&mut self, shard: &str, cx: &mut Context<Self>) {
        let Some(hosted) = self.hosted.get(shard) else { return };
        let (fence, lapses) = (hosted.shard.fence(), hosted.shard.unresponsive_vms());
        // Kept until this daemon next claims the shard. Whoever reads it checks the fencing token.
        let offer = ShardOffer { fence, at: self.now().steady, lapses };
        self.offers.insert(shard.to_owned(), offer);
        self.remove_hosted(shard);
        let released = cluster::Event::Released { shard: shard.to_owned(), fence: fence.0 };
        self.step_ownership(released, cx);
        // This daemon may end before the next hellos are due.
        self.send_hellos();
    }

    /// Offers a dropped shard to a daemon.
    fn offer_shard(&mut self, released: ReleasedShard, to: Member, cx: &mut Context<Self>) {
        let now = self.now().steady;
        let Some(actors) = &self.actors else { return };
        let (shard, fence) = (released.name.clone(), released.fence);
        let offer = self.offers.get(&shard).filter(|offer| offer.fence == Fence(fence));
        let lapses = offer.map(|offer| offer.aged(now)).unwrap_or_default();
        let (from, candidate) = (self.ownership.me().id.clone(), to.id.clone());
        let offer = OfferShard { to, from, released, lapses };
        let outcome = actors.links.send(offer);
        cx.spawn(outcome.into_actor(self).map(move |outcome, this, cx| {
            this.begin_handler(cx);
            let outcome = outcome.unwrap_or(OfferOutcome::NoAnswer);
            let ended = cluster::Event::OfferEnded { shard, fence, candidate, outcome };
            this.step_ownership(ended, cx);
        }));
    }

    pub(super) fn drop_shard(&mut self, shard: &str, reason: &'static str, cx: &mut Context<Self>) {
        if !self.hosted.contains_key(shard) {
            return;
        }
        self.remove_hosted(shard);
        let dropped = cluster::Event::NoLongerOwned { shard: shard.to_owned(), reason };
        self.step_ownership(dropped, cx);
        // The shard's next owner may be waiting for leases that this one has extended.
        self.ownership.schedule_hello_to_all();
        self.send_hellos();
    }

    fn remove_hosted(&mut self, shard: &str) {
        let Some(mut hosted) = self.hosted.shift_remove(shard) else { return };
        // Kept because this daemon may become the shard's next owner.
        let now = self.now().steady;
        let lapses = TimedLapses { at: now, lapses: hosted.shard.reported_lapses(now) };
        self.reported_lapses.insert(shard.to_owned(), lapses);
        self.ended.record(self.ownership.me().id.clone(), now, ended_ownership(&hosted.shard, now));
        for event in hosted.deferred.take().into_iter().flatten() {
            // A deferred call had no effect; its caller still waits and can be sent to the owner.
            if let Some(ticket) = event.ticket() {
                self.reply(ticket, Reply::NotOwner);
            }
        }
        for action in hosted.shard.reply_to_all_on_loss() {
            if let Action::Reply { ticket, answer } = action {
                self.reply(ticket, Reply::Answer(answer));
            }
        }
        self.remove_writer(shard);
    }

    /// Passes an event to the ownership state machine and executes the resulting actions.
    pub(super) fn step_ownership(&mut self, event: cluster::Event, cx: &mut Context<Self>) {
        let now = self.now().steady;
        let actions = self.ownership.step(now, event);
        for action in actions {
            match action {
                cluster::Action::Note(note) => self.journal.write(note),
                cluster::Action::HandOver { shard, how, .. } => match how {
                    HandOver::AfterCommit => self.step_shard(&shard, Event::HandOver, cx),
                    HandOver::Immediate => self.complete_hand_over(&shard, cx),
                },
                cluster::Action::Offer { released, to } => self.offer_shard(released, to, cx),
                cluster::Action::PredecessorEnded { shard, extended_until } => {
                    let end = PreviousOwnerEnd::new(extended_until);
                    self.step_shard(&shard, Event::PreviousOwnerEnded(end), cx);
                }
                other => self.execute_ownership_action(other),
            }
        }
    }

    pub(super) fn execute_ownership_action(&mut self, action: cluster::Action) {
        let Some(actors) = &self.actors else { return };
        match action {
            cluster::Action::Claim { shard, previous, replaces } => {
                actors.claims.do_send(ClaimShard { shard, previous, replaces });
            }
            cluster::Action::ReadHeads => actors.heads.do_send(ReadHeads),
            cluster::Action::Probe(member) => actors.links.do_send(ProbeMember(member)),
            cluster::Action::HandOver { .. }
            | cluster::Action::Offer { .. }
            | cluster::Action::PredecessorEnded { .. }
            | cluster::Action::Note(_) => {}
        }
    }

    /// VMs that the plan assigns to a shard.
    pub(super) fn shard_vms(&self, shard: &str) -> Vec<VmEntry> {
        self.plan.vms_of(shard, &self.fleet).cloned().collect()
    }

    pub(super) fn start_shard(&mut self, mut recovered: Recovered, cx: &mut Context<Self>) {
        let now = self.now();
        let offer = self.offers.shift_remove(&recovered.shard);
        // Valid only if the offered ownership was the last one: another one in between, also one of
        // the offering daemon, may have extended the time for which the VMs keep their work running.
        let offer = offer.filter(|offer| recovered.predecessor == Some(offer.fence));
        recovered.set_offer(offer.map(|offer| offer.aged(now.steady)));
        if let Some(reported) = self.reported_lapses.shift_remove(&recovered.shard) {
            recovered.reported_lapses = reported.aged(now.steady);
        }
        // The shard's own report goes to the shard as what its earlier owner had learned.
        if let Some(TimedLearned { at, learned }) = self.learned.shift_remove(&recovered.shard) {
            let age = now.steady.saturating_sub(at);
            recovered.learned.report = Some(HeardReport { learned, age });
        }
        let (name, fence) = (recovered.shard.clone(), recovered.fence);
        let (predecessor, head_told) = (recovered.predecessor, recovered.before_previous);
        let proved = self.ownership.extended_until(&name, predecessor, head_told);
        recovered.extended_until = proved.into_iter().chain(recovered.extended_until).min();
        let ended_by = self.ownership.replaced_owner_ended_by(&name, predecessor);
        recovered.written_by = recovered.written_by.min(ended_by.unwrap_or(Duration::MAX));
        let claimed = cluster::Event::Claimed {
            shard: name.clone(),
            fence: fence.0,
            earlier_active: recovered.earlier_active,
            before_previous: recovered.before_previous,
        };
        let earlier_active_ms = Millis(recovered.earlier_active);
        let head_told_ms = KnownMillis(recovered.before_previous);
        let jobs = recovered.jobs.len();
        let accepted = recovered.progress.iter().filter(|(_, p)| p.lender.is_none());
        let accepted_jobs: Vec<JobId> = accepted.map(|(id, _)| *id).collect();
        let (queues, vms) = (self.queues.clone().unwrap_or_default(), self.shard_vms(&name));
        let settings = self.settings;
        let shard = panics::contain(|| Shard::new(recovered, settings, queues, vms, now));
        let shard = match shard {
            Ok(shard) => shard,
            Err(panic) => return self.fail_recovery(name, fence.0, panic, cx),
        };
        let shared: Arc<str> = Arc::from(name.as_str());
        accepted_jobs.iter().for_each(|id| self.add_to_directory(*id, &shared));
        let (_, runs) = shard.open_job_and_run_counts();
        self.journal.write(Note::ShardOwned {
            shard: name.clone(),
            fence: fence.0,
            jobs,
            runs,
            took_ms: Millis(Duration::ZERO),
            earlier_active_ms,
            head_told_ms,
            leases_ms: Millis(shard.inherited_leases_left(now.steady)),
        });
        let summary = Arc::new(shard.summary());
        let hosted = HostedShard {
            shard,
            name: shared,
            predecessor,
            deferred: None,
            accepted: accepted_jobs.into_iter().map(|job| (now.steady, job)).collect(),
            next_learned_at: now.steady + LEARNED_INTERVAL,
            summary,
            summary_at: now.steady,
        };
        self.hosted.insert(name.clone(), hosted);
        self.schedule_tick(cx);
        if let Some((evacuations, at)) = self.evacuations.clone() {
            self.step_shard(&name, Event::Evacuations { evacuations, at }, cx);
        }
        let departures = self.departures.iter().cloned().collect();
        self.step_shard(&name, Event::Departed(departures), cx);
        let heard = self.learned.iter().map(|(from, known)| {
            let age = now.steady.saturating_sub(known.at);
            ShardLearned { shard: from.clone(), learned: known.learned.clone().aged(age) }
        });
        let heard = Arc::new(heard.collect());
        self.step_shard(&name, Event::Learned(heard), cx);
        self.step_ownership(claimed, cx);
        self.apply_previous_owner_end(&name, cx);
        self.step_shard(&name, Event::Tick, cx);
        self.ownership.schedule_hello_to_all();
        self.publish(now.steady);
    }

    pub(super) fn apply_config(&mut self, loaded: LoadedConfig, cx: &mut Context<Self>) {
        let LoadedConfig { queues, encoded_bytes, decode_time } = loaded;
        let before = self.queues.as_ref().map_or(0, |queues| queues.version);
        if queues.version <= before {
            return;
        }
        let now = self.now().steady;
        self.journal.write(Note::ConfigInForce {
            version: queues.version,
            before,
            queues: queues.queues.len(),
            bytes: encoded_bytes,
            decode_ms: Millis(decode_time),
            unconfirmed_ms: Millis(self.config_confirmation.age(now)),
        });
        let queues = Arc::new(queues);
        self.queues = Some(queues.clone());
        self.step_all_shards(cx, &|| Event::Queues(queues.clone()));
        self.publish(now);
    }

    /// Applies the evacuations as read from the store some time after `at`.
    pub(super) fn apply_evacuations(
        &mut self,
        evacuations: Evacuations,
        at: Duration,
        cx: &mut Context<Self>,
    ) {
        let before = self.evacuations.take().unwrap_or_default().0;
        let vms_in =
            |domain: &DomainId| self.fleet.iter().filter(|vm| vm.domain == *domain).count();
        for domain in evacuations.difference(&before) {
            let (domain, vms) = (domain.clone(), vms_in(domain));
            self.journal.write(Note::EvacuationOrdered { domain, vms });
        }
        for domain in before.difference(&evacuations) {
            let (domain, vms) = (domain.clone(), vms_in(domain));
            self.journal.write(Note::EvacuationWithdrawn { domain, vms });
        }
        let changed = *before != evacuations;
        let evacuations = Arc::new(evacuations);
        self.evacuations = Some((evacuations.clone(), at));
        self.step_all_shards(cx, &|| Event::Evacuations { evacuations: evacuations.clone(), at });
        if changed {
            self.publish(self.now().steady);
        }
    }

    /// Records that the store confirmed the configuration in force.
    pub(super) fn confirm_config(&mut self, at: Duration) {
        let now = self.now().steady;
        let unconfirmed_ms = Millis(self.config_confirmation.age(now));
        self.config_confirmation.confirm(at);
        self.config_error = None;
        if self.config_unconfirmed
            && self.config_confirmation.status(now) == ConfirmationStatus::Confirmed
        {
            self.config_unconfirmed = false;
            let version = self.queues.as_ref().map_or(0, |queues| queues.version);
            self.journal.write(Note::ConfigConfirmed { version, unconfirmed_ms });
            self.publish(now);
        }
    }

    /// Checks whether the configuration in force may be outdated, and logs it once.
    pub(super) fn check_config_confirmation(&mut self, now: Duration) {
        let Some(queues) = &self.queues else { return };
        let (version, newest) = (queues.version, self.ownership.newest_config());
        self.config_confirmation.update_reach(self.store_reach, version, newest);
        if self.config_unconfirmed
            || self.config_confirmation.status(now) == ConfirmationStatus::Confirmed
        {
            return;
        }
        self.config_unconfirmed = true;
        let unconfirmed_ms = Millis(self.config_confirmation.age(now));
        self.journal.write(Note::ConfigUnconfirmed { version, newest, unconfirmed_ms });
    }

    /// Passes an event to every local shard.
    pub(super) fn step_all_shards(&mut self, cx: &mut Context<Self>, event: &dyn Fn() -> Event) {
        let names: Vec<String> = self.hosted.keys().cloned().collect();
        for name in names {
            self.step_shard(&name, event(), cx);
        }
    }

    pub(super) fn update_fleet(
        &mut self,
        vms: Vec<VmEntry>,
        list_status: FleetListStatus,
        at: Option<Duration>,
        cx: &mut Context<Self>,
    ) {
        if list_status == FleetListStatus::Complete {
            Arc::make_mut(&mut self.vm_shapes).add(&vms);
        }
        if list_status == FleetListStatus::Complete || !vms.is_empty() {
            self.fleet = vms;
        }
        let names: Vec<String> = self.hosted.keys().cloned().collect();
        for name in names {
            let vms = self.shard_vms(&name);
            self.step_shard(&name, Event::Fleet { vms, list_status, at }, cx);
        }
    }

    /// Tells the shards which VMs have left, and keeps them for shards that are claimed later.
    pub(super) fn remember_departures(&mut self, departures: &[Departure], cx: &mut Context<Self>) {
        let now = self.now().steady;
        // By then any owner has found that the VM's lease has expired.
        let retention = self.settings.inherited_lease(MAX_STALE_OWNER_EXTENSION);
        let is_old = |past: &Departure| now.saturating_sub(past.at) >= retention;
        while self.departures.front().is_some_and(is_old) {
            self.departures.pop_front();
        }
        self.departures.extend(departures.iter().cloned());
        self.step_all_shards(cx, &|| Event::Departed(departures.to_vec()));
    }

    pub(super) fn update_store_reach(
        &mut self,
        reach: StoreReachability,
        silent: Duration,
        reason: String,
    ) {
        let now = self.now().steady;
        match (reach, self.store_reach) {
            (StoreReachability::Away, StoreReachability::Reached) => {
                self.store_lost_at = Some(now);
                self.journal.write(Note::StoreLost { reason, silent_ms: Millis(silent) });
            }
            (StoreReachability::Reached, StoreReachability::Away) => {
                let away = self.store_lost_at.take().map_or(Duration::ZERO, |at| now - at);
                self.journal.write(Note::StoreRegained { away_ms: Millis(away) });
            }
            _ => {}
        }
        if self.store_reach != reach {
            self.store_reach = reach;
            // Others send no jobs to an owner while it can't reach the store.
            self.ownership.schedule_hello_to_all();
        }
    }
}
