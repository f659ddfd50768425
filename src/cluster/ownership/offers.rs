//! Offers of shards that this daemon has given up, and answers to those of other daemons.
//!
//! An offer is made after the shard was dropped, so that whoever accepts it is the only one that
//! makes calls to its VMs. It goes to one daemon after another until one accepts; without any, this
//! daemon takes the shard back or leaves it to the others, which find it without an owner.

use super::members::MemberState;
use super::orphans::Cause;
use super::{Action, ClaimBasis, HoldState, OfferOutcome, Ownership};
use crate::cluster::member::{
    DeclineReason, Member, MemberStage, OfferAnswer, ReleasedShard, StoreReachability,
};
use crate::ids::DaemonId;
use crate::note::{Millis, Note, StaticText};
use crate::shard::PreviousOwner;
use std::time::Duration;

/// Time after which a shard is offered to no further daemon. By then the others claim a shard that
/// is known to have no owner.
const OFFER_PERIOD: Duration = Duration::from_secs(2);

/// How long a daemon that didn't accept an offer gets no other one.
pub(super) const SKIP_PERIOD: Duration = Duration::from_secs(2);

/// A shard that this daemon has given up and that no daemon has accepted yet.
#[derive(Clone, Debug)]
pub(super) struct Offer {
    /// Fencing token of the ownership that ended with the offer.
    fence: u64,
    started: Duration,
    /// When it was sent to the last daemon.
    sent: Duration,
    /// Daemons that it was sent to; the last one has not answered yet.
    tried: Vec<DaemonId>,
}

impl Offer {
    fn new(fence: u64, now: Duration) -> Self {
        Self { fence, started: now, sent: now, tried: Vec::new() }
    }

    fn awaits(&self, fence: u64, candidate: &DaemonId) -> bool {
        self.fence == fence && self.tried.last() == Some(candidate)
    }
}

impl Ownership {
    /// Offers a shard that was dropped to another daemon.
    pub(super) fn handle_released(&mut self, shard: &str, fence: u64) {
        let candidate = match self.held.shift_remove(shard) {
            Some(HoldState::HandingOver { to }) => Some(to),
            Some(HoldState::Claiming | HoldState::Owned) | None => None,
        };
        self.predecessors.shift_remove(shard);
        self.release_own(shard, fence);
        let note = Note::ShardLost { shard: shard.to_owned(), fence, reason: "handed over" };
        self.actions.extend([Action::Note(note), Action::ReadHeads]);
        if self.fence(shard).0 > fence {
            return;
        }
        let offer = Offer::new(fence, self.now);
        let candidate =
            candidate.and_then(|candidate| self.candidate_if_eligible(shard, &candidate, &offer));
        match candidate {
            Some(candidate) => self.send_offer(shard, candidate, offer),
            None => self.offer_to_next(shard, offer),
        }
    }

    pub(super) fn handle_offer_outcome(
        &mut self,
        shard: &str,
        fence: u64,
        candidate: &DaemonId,
        outcome: OfferOutcome,
    ) {
        let Some(offer) = self.offers.get(shard).filter(|offer| offer.awaits(fence, candidate))
        else {
            return;
        };
        let (offer, took) = (offer.clone(), self.now.saturating_sub(offer.sent));
        self.offers.shift_remove(shard);
        self.log_offer_outcome(shard, fence, candidate, outcome, took);
        match outcome {
            OfferOutcome::Answered(OfferAnswer::Accepted) => return,
            OfferOutcome::Answered(OfferAnswer::Declined(reason)) => {
                self.record_decline(candidate, reason);
            }
            OfferOutcome::Refused => self.handle_refused(candidate, offer.sent),
            OfferOutcome::NoAnswer => {}
        }
        self.skip(candidate);
        if outcome == OfferOutcome::Answered(OfferAnswer::Declined(DeclineReason::LaterOwner)) {
            self.actions.push(Action::ReadHeads);
        } else if self.fence(shard).0 <= fence {
            self.offer_to_next(shard, offer);
        }
    }

    /// The answer to an offer of another daemon.
    pub fn answer_offer(&self, shard: &str, fence: u64) -> OfferAnswer {
        let known = self.fence(shard).0;
        let reason = match self.held.get(shard) {
            // Should the claim fail, this daemon could not claim the shard again.
            Some(HoldState::Claiming) if self.me.stage == MemberStage::Draining => {
                DeclineReason::Draining
            }
            Some(HoldState::Claiming) => return OfferAnswer::Accepted,
            Some(HoldState::Owned) if known > fence => return OfferAnswer::Accepted,
            Some(HoldState::Owned | HoldState::HandingOver { .. }) if known <= fence => {
                DeclineReason::OutdatedOwner
            }
            _ if known > fence => DeclineReason::LaterOwner,
            _ if self.me.stage == MemberStage::Draining => DeclineReason::Draining,
            _ if self.store == StoreReachability::Away => DeclineReason::StoreAway,
            _ if !self.shards.contains_key(shard) => DeclineReason::UnknownShard,
            _ => return OfferAnswer::Accepted,
        };
        OfferAnswer::Declined(reason)
    }

    pub(super) fn handle_offer(&mut self, from: &DaemonId, released: &ReleasedShard) {
        let shard = &released.name;
        match self.held.get(shard) {
            Some(HoldState::Claiming) => {
                self.record_released(from, released);
                self.offers_while_claiming.insert(shard.clone(), released.fence);
                return;
            }
            Some(HoldState::Owned | HoldState::HandingOver { .. }) => return,
            None => {}
        }
        let answer = self.answer_offer(shard, released.fence);
        self.record_released(from, released);
        if answer == OfferAnswer::Accepted {
            let until = self.now.saturating_add(released.earlier_active);
            self.claim(shard, Some(from), Cause::offered("handed over by its owner", until));
        }
    }

    /// Takes up an offer that was accepted during a claim that has failed. The claim may have been
    /// decided before the offering owner was known, and so doesn't cover it.
    pub(super) fn take_up_offer(&mut self, shard: &str) {
        let Some(fence) = self.offers_while_claiming.shift_remove(shard) else { return };
        if self.answer_offer(shard, fence) == OfferAnswer::Accepted {
            let owner = self.shards.get(shard).and_then(|view| view.owner.clone());
            let until = self.earlier_active_until(shard);
            self.claim(shard, owner.as_ref(), Cause::offered("handed over by its owner", until));
        }
    }

    fn offer_to_next(&mut self, shard: &str, offer: Offer) {
        match self.next_candidate(shard, &offer) {
            Some(candidate) => self.send_offer(shard, candidate, offer),
            None => self.end_offer(shard, &offer),
        }
    }

    fn send_offer(&mut self, shard: &str, candidate: Member, mut offer: Offer) {
        let (shard, fence) = (shard.to_owned(), offer.fence);
        offer.sent = self.now;
        offer.tried.push(candidate.id.clone());
        self.offers.insert(shard.clone(), offer);
        let earlier_active = self.earlier_active_until(&shard).saturating_sub(self.now);
        let released = ReleasedShard { name: shard.clone(), fence, earlier_active };
        let note = Note::ShardOffered { shard, fence, candidate: candidate.id.clone() };
        self.actions.push(Action::Note(note));
        self.actions.push(Action::Offer { released, to: candidate });
    }

    /// Takes a shard back that no daemon has accepted, if this daemon can still serve it.
    ///
    /// A daemon that stops does so too, as callers could not be served meanwhile. It offers the
    /// shard again only after [`SKIP_PERIOD`] or to another daemon, and keeps it no longer than
    /// until it exits.
    fn end_offer(&mut self, shard: &str, offer: &Offer) {
        let take_back = self.store == StoreReachability::Reached && !self.is_exiting;
        let next = if take_back { "this daemon takes it back" } else { "any daemon may claim it" };
        self.actions.push(Action::Note(Note::ShardNotTaken {
            shard: shard.to_owned(),
            fence: offer.fence,
            offers: offer.tried.len(),
            took_ms: Millis(self.now.saturating_sub(offer.started)),
            next,
        }));
        if take_back {
            let (me, until) = (self.me.id.clone(), self.earlier_active_until(shard));
            self.claim(shard, Some(&me), Cause::offered("no daemon took it", until));
        }
    }

    /// The best daemon that a shard has not been offered to yet, unless this one is better placed.
    fn next_candidate(&self, shard: &str, offer: &Offer) -> Option<Member> {
        if self.now.saturating_sub(offer.started) >= OFFER_PERIOD {
            return None;
        }
        let domain = &self.shards.get(shard)?.domain;
        let serves = self.me.stage == MemberStage::Serving;
        let mine = (serves && self.store == StoreReachability::Reached)
            .then(|| self.rank(shard, domain, &self.me, self.held.len()));
        let eligible = |known: &&MemberState| {
            let rank = self.rank(shard, domain, &known.member, known.shards.len());
            self.is_eligible_candidate(shard, known, offer) && mine.is_none_or(|mine| rank < mine)
        };
        self.best_candidate(shard, domain, eligible)
    }

    /// Until when an owner before this daemon may still extend the leases of a released shard.
    fn earlier_active_until(&self, shard: &str) -> Duration {
        self.shards.get(shard).and_then(|view| view.released).unwrap_or(Duration::ZERO)
    }

    fn candidate_if_eligible(
        &self,
        shard: &str,
        candidate: &DaemonId,
        offer: &Offer,
    ) -> Option<Member> {
        let mut members = self.members.values();
        let known = members.find(|known| known.member.id == *candidate)?;
        self.is_eligible_candidate(shard, known, offer).then(|| known.member.clone())
    }

    /// Whether a shard may be offered to a daemon. Only a daemon that stops offers it to other
    /// failure domains, from where its VMs may be out of reach.
    fn is_eligible_candidate(&self, shard: &str, known: &MemberState, offer: &Offer) -> bool {
        let draining = self.me.stage == MemberStage::Draining;
        let is_home = self.shards.get(shard).is_some_and(|v| v.domain == known.member.domain);
        self.can_take(known) && !offer.tried.contains(&known.member.id) && (draining || is_home)
    }

    fn record_decline(&mut self, candidate: &DaemonId, reason: DeclineReason) {
        let Some(known) = self.members.values_mut().find(|known| known.member.id == *candidate)
        else {
            return;
        };
        if reason == DeclineReason::Draining {
            known.member.stage = MemberStage::Draining;
        }
    }

    fn skip(&mut self, candidate: &DaemonId) {
        let until = self.now + SKIP_PERIOD;
        let mut members = self.members.values_mut();
        if let Some(known) = members.find(|known| known.member.id == *candidate) {
            known.skipped_until = until;
        }
    }

    fn log_offer_outcome(
        &mut self,
        shard: &str,
        fence: u64,
        candidate: &DaemonId,
        outcome: OfferOutcome,
        took: Duration,
    ) {
        let (outcome, reason) = match outcome {
            OfferOutcome::Answered(OfferAnswer::Accepted) => ("accepted", ""),
            OfferOutcome::Answered(OfferAnswer::Declined(reason)) => ("declined", reason.name()),
            OfferOutcome::Refused => ("refused", "the connection was refused"),
            OfferOutcome::NoAnswer => ("unanswered", "no answer came in time"),
        };
        let (shard, candidate, took_ms) = (shard.to_owned(), candidate.clone(), Millis(took));
        let note = Note::ShardOfferEnded { shard, fence, candidate, outcome, reason, took_ms };
        self.actions.push(Action::Note(note));
    }
}

impl Cause {
    /// Cause for a shard whose owner has dropped it and says so.
    ///
    /// An owner before that one may still be active: the times told with the offer cover it, for
    /// each VM that doesn't answer.
    fn offered(reason: StaticText, earlier_active_until: Duration) -> Self {
        let (silent, grace) = (Duration::ZERO, Duration::ZERO);
        let basis = ClaimBasis::EndedBy(earlier_active_until);
        let (previous, ended_by) = (PreviousOwner::Ended, None);
        Self { previous, basis, ended_by, reason, silent, grace }
    }
}
