//! The shards that are owned here: how they come, what they hear of, and how they go.

use super::publish::LEARNED_EVERY;
use super::{Control, Hosted, TimedLapses};
use crate::cluster::{self, HandOver, StoreReach};
use crate::ids::Ticket;
use crate::job::JobId;
use crate::jobs::calls::Reply;
use crate::jobs::confirmed::Standing;
use crate::jobs::follow::operators::ReadQueues;
use crate::jobs::links::{OfferShard, ProbeMember};
use crate::jobs::records::{Claim, Confirm, Confirmation, Forget, ReadHeads};
use crate::journal::Journal;
use crate::note::{Ms, Note};
use crate::shard::{Action, Announcements, Event, Recovered, Shard};
use crate::vm::{Fence, VmEntry};
use actix::prelude::*;
use std::sync::{Arc, PoisonError};
use std::time::Duration;

/// Pause before the store is asked again whether shards are still owned.
const CONFIRM_RETRY: Duration = Duration::from_millis(150);

impl Control {
    pub(super) fn confirm_all(&mut self, cx: &mut Context<Self>) {
        let names: Vec<String> = self.hosted.keys().cloned().collect();
        for name in names {
            let Some(hosted) = self.hosted.get_mut(&name) else { continue };
            hosted.held.get_or_insert_default();
            self.confirm(name, cx);
        }
    }

    pub(super) fn confirm(&mut self, shard: String, cx: &mut Context<Self>) {
        let Some(rings) = &self.rings else { return };
        let owner = self.ownership.me().id.clone();
        let asked = rings.confirm.send(Confirm { shard: shard.clone(), owner });
        cx.spawn(asked.into_actor(self).map(move |answer, this, cx| match answer {
            Ok(Confirmation::Owned) => this.go_on(&shard, cx),
            Ok(Confirmation::Lost) => this.drop_shard(&shard, "another daemon owns it", cx),
            Ok(Confirmation::Unknown) | Err(_) => {
                cx.run_later(CONFIRM_RETRY, move |this, cx| {
                    if this.hosted.get(&shard).is_some_and(|hosted| hosted.held.is_some()) {
                        this.confirm(shard, cx);
                    }
                });
            }
        }));
    }

    pub(super) fn go_on(&mut self, shard: &str, cx: &mut Context<Self>) {
        let held = self.hosted.get_mut(shard).and_then(|hosted| hosted.held.take());
        for event in held.into_iter().flatten() {
            self.step(shard, event, cx);
        }
    }

    pub(super) fn hear_of_job(&mut self, shard: &Arc<str>, note: &Note) {
        if let Note::JobAccepted { job, .. } = note {
            self.add_to_directory(*job, shard);
            if let Some(hosted) = self.hosted.get_mut(&**shard) {
                hosted.accepted.push_back((self.last, *job));
            }
        }
    }

    pub(super) fn add_to_directory(&self, job: JobId, shard: &Arc<str>) {
        self.directory.lock().unwrap_or_else(PoisonError::into_inner).add(job, shard);
    }

    pub(super) fn reply(&mut self, ticket: Ticket, reply: Reply) {
        if let Some(tx) = self.tickets.swap_remove(&ticket) {
            // A caller that has gone doesn't wait for its answer.
            let _ = tx.send(reply);
        }
    }

    pub(super) fn handed_over(&mut self, shard: &str, cx: &mut Context<Self>) {
        let to = self.hosted.get(shard).and_then(|hosted| hosted.to.clone());
        let from = self.ownership.me().id.clone();
        if let (Some(to), Some(rings)) = (to, &self.rings)
            && to.id != from
        {
            let lapses = self.hosted.get(shard).map(|hosted| hosted.shard.lapses());
            let (shard, lapses) = (shard.to_owned(), lapses.unwrap_or_default());
            rings.links.do_send(OfferShard { shard, to, from, lapses });
        }
        self.drop_shard(shard, "given away", cx);
    }

    pub(super) fn drop_shard(&mut self, shard: &str, reason: &'static str, cx: &mut Context<Self>) {
        let Some(mut hosted) = self.hosted.shift_remove(shard) else { return };
        // This daemon may be the next owner as well.
        let now = self.now().steady;
        let lapses = TimedLapses { at: now, lapses: hosted.shard.told_lapses(now) };
        self.told_lapses.insert(shard.to_owned(), lapses);
        for event in hosted.held.take().into_iter().flatten() {
            // Not decided on, so it had no effect: the caller was left waiting, and can ask the owner.
            if let Some(ticket) = event.ticket() {
                self.reply(ticket, Reply::NotOwner);
            }
        }
        for action in hosted.shard.abandon() {
            if let Action::Reply { ticket, answer } = action {
                self.reply(ticket, Reply::Answer(answer));
            }
        }
        if let Some(rings) = &self.rings {
            rings.forget.do_send(Forget { shard: shard.to_owned() });
        }
        let gone = cluster::Event::Gone { shard: shard.to_owned(), reason };
        self.own(gone, cx);
    }

    /// Lets ownership decide, and carries out what it asks for.
    pub(super) fn own(&mut self, event: cluster::Event, cx: &mut Context<Self>) {
        let now = self.now().steady;
        let actions = self.ownership.step(now, event);
        for action in actions {
            match action {
                cluster::Action::Note(note) => self.journal.write(note),
                cluster::Action::HandOver { shard, to, how } => {
                    if let Some(hosted) = self.hosted.get_mut(&shard) {
                        hosted.to = Some(to);
                    }
                    match how {
                        HandOver::Settled => self.step(&shard, Event::HandOver, cx),
                        HandOver::AtOnce => self.handed_over(&shard, cx),
                    }
                }
                other => self.ask(other),
            }
        }
    }

    pub(super) fn ask(&mut self, action: cluster::Action) {
        let Some(rings) = &self.rings else { return };
        match action {
            cluster::Action::Claim { shard, previous, replaces } => {
                rings.claims.do_send(Claim { shard, previous, replaces });
            }
            cluster::Action::ReadHeads => rings.heads.do_send(ReadHeads),
            cluster::Action::Probe(member) => rings.links.do_send(ProbeMember(member)),
            cluster::Action::HandOver { .. } | cluster::Action::Note(_) => {}
        }
    }

    /// VMs of a shard.
    pub(super) fn vms_of(&self, shard: &str) -> Vec<VmEntry> {
        let ours = |vm: &&VmEntry| self.plan.shard_of(vm).as_deref() == Some(shard);
        self.fleet.iter().filter(ours).cloned().collect()
    }

    pub(super) fn take_recovered(&mut self, mut recovered: Recovered, cx: &mut Context<Self>) {
        let now = self.now();
        let offered = self.offered.shift_remove(&recovered.shard);
        // Another owner in between may have extended work since.
        if let Some(offered) = offered.filter(|o| recovered.predecessor.as_ref() == Some(&o.from)) {
            let passed = now.steady.saturating_sub(offered.at);
            recovered.lapses = offered.lapses.into_iter().map(|lapse| lapse.aged(passed)).collect();
        }
        if let Some(told) = self.told_lapses.shift_remove(&recovered.shard) {
            recovered.told = told.aged(now.steady);
        }
        let (name, fence) = (recovered.shard.clone(), recovered.fence);
        let jobs = recovered.jobs.len();
        let accepted = recovered.progress.iter().filter(|(_, p)| p.home.is_none());
        let known: Vec<JobId> = accepted.map(|(id, _)| *id).collect();
        let shard = Shard::new(
            recovered,
            self.settings,
            self.queues.clone().unwrap_or_default(),
            self.vms_of(&name),
            now,
        );
        let shared: Arc<str> = Arc::from(name.as_str());
        known.iter().for_each(|id| self.add_to_directory(*id, &shared));
        let (_, runs) = shard.open_work();
        log_claim(&self.journal, &name, fence, jobs, runs);
        let summary = Arc::new(shard.summary());
        let hosted = Hosted {
            shard,
            name: shared,
            held: None,
            accepted: known.into_iter().map(|job| (now.steady, job)).collect(),
            next_learned: now.steady + LEARNED_EVERY,
            to: None,
            summary,
            summarized: now.steady,
        };
        self.hosted.insert(name.clone(), hosted);
        for (from, learned) in self.learned.clone() {
            self.step(&name, Event::Learned { from, learned }, cx);
        }
        self.own(cluster::Event::Claimed { shard: name.clone(), fence: fence.0 }, cx);
        self.step(&name, Event::Tick, cx);
        self.ownership.greet_all();
        self.publish(now.steady);
    }

    pub(super) fn take_queues(&mut self, read: ReadQueues, cx: &mut Context<Self>) {
        let ReadQueues { queues, bytes, decode } = read;
        let before = self.queues.as_ref().map_or(0, |queues| queues.version);
        if queues.version <= before {
            return;
        }
        let now = self.now().steady;
        self.journal.write(Note::ConfigInForce {
            version: queues.version,
            before,
            queues: queues.queues.len(),
            bytes,
            decode_ms: Ms(decode),
            unconfirmed_ms: Ms(self.confirmed.age(now)),
        });
        let queues = Arc::new(queues);
        self.queues = Some(queues.clone());
        self.tell_all(cx, &|| Event::Queues(queues.clone()));
        self.publish(now);
    }

    /// The store has confirmed the configuration in force.
    pub(super) fn confirm_config(&mut self, at: Duration) {
        let now = self.now().steady;
        let unconfirmed_ms = Ms(self.confirmed.age(now));
        self.confirmed.confirm(at);
        self.config_fault = None;
        if self.config_unconfirmed && self.confirmed.standing(now) == Standing::Confirmed {
            self.config_unconfirmed = false;
            let version = self.queues.as_ref().map_or(0, |queues| queues.version);
            self.journal.write(Note::ConfigConfirmed { version, unconfirmed_ms });
            self.publish(now);
        }
    }

    /// Finds out whether the configuration in force may be old, and logs it once.
    pub(super) fn watch_config(&mut self, now: Duration) {
        let Some(queues) = &self.queues else { return };
        let (version, newest) = (queues.version, self.ownership.newest_config());
        self.confirmed.hear(self.store, version, newest);
        if self.config_unconfirmed || self.confirmed.standing(now) == Standing::Confirmed {
            return;
        }
        self.config_unconfirmed = true;
        let unconfirmed_ms = Ms(self.confirmed.age(now));
        self.journal.write(Note::ConfigUnconfirmed { version, newest, unconfirmed_ms });
    }

    pub(super) fn tell_all(&mut self, cx: &mut Context<Self>, event: &dyn Fn() -> Event) {
        let names: Vec<String> = self.hosted.keys().cloned().collect();
        for name in names {
            self.step(&name, event(), cx);
        }
    }

    pub(super) fn take_fleet(
        &mut self,
        vms: Vec<VmEntry>,
        announcements: Announcements,
        at: Option<Duration>,
        cx: &mut Context<Self>,
    ) {
        if announcements == Announcements::Complete {
            Arc::make_mut(&mut self.shapes).add(&vms);
        }
        if announcements == Announcements::Complete || !vms.is_empty() {
            self.fleet = vms;
        }
        let names: Vec<String> = self.hosted.keys().cloned().collect();
        for name in names {
            let vms = self.vms_of(&name);
            self.step(&name, Event::Fleet { vms, announcements, at }, cx);
        }
    }

    pub(super) fn take_reach(&mut self, reach: StoreReach, silent: Duration, reason: String) {
        let now = self.now().steady;
        match (reach, self.store) {
            (StoreReach::Away, StoreReach::Reached) => {
                self.store_lost = Some(now);
                self.journal.write(Note::StoreLost { reason, silent_ms: Ms(silent) });
            }
            (StoreReach::Reached, StoreReach::Away) => {
                let away = self.store_lost.take().map_or(Duration::ZERO, |at| now - at);
                self.journal.write(Note::StoreRegained { away_ms: Ms(away) });
            }
            _ => {}
        }
        self.store = reach;
    }
}

fn log_claim(journal: &Journal, name: &str, fence: Fence, jobs: usize, runs: usize) {
    let shard = name.to_owned();
    let took_ms = Ms(Duration::ZERO);
    journal.write(Note::ShardOwned { shard, fence: fence.0, jobs, runs, took_ms });
}
