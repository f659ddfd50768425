//! The choice itself, as a function of recorded inputs alone.
//!
//! Everything that a placement rests on is first gathered into [`Inputs`], in whole numbers; the
//! record of the decision keeps them. So the same function that decided can be run again on a
//! record, and an explanation can't leave out what mattered.

use super::Choice;
use crate::ids::VmId;
use crate::model::{Urgency, Weights};
use crate::units::Resources;
use serde::{Deserialize, Serialize};
use std::cmp::Ordering;
use std::time::Duration;

/// Offers kept in a record, the best of those scored.
pub const RECORDED_OFFERS: usize = 6;

/// Parts in one, for figures kept as whole numbers.
pub const PARTS: f64 = 1_000_000.0;

/// A placement that raises a service's excess slowdown by less than this, in parts, is harmless.
const HARMLESS: i64 = 20_000;

/// Part of the trigger, in thousandths, that a new task may fill, and that one may which waited for
/// [`PATIENCE`].
const FIRST_LIMIT: i64 = 700;
const LAST_LIMIT: i64 = 1000;
const PATIENCE: Duration = Duration::from_secs(300);

/// Part of the trigger, in thousandths, that is batch's however much services slow each other.
const BATCH_PART: i64 = 400;

/// Wait after which a task may push one VM over the trigger, with equal weights.
const OVERDUE: Duration = Duration::from_secs(600);

/// Operators' weights as thousandths of their sum.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Shares {
    pub tail: i64,
    pub evictions: i64,
    pub throughput: i64,
}

impl Shares {
    /// Shares of the weights; equal ones where they make no sense.
    pub fn of(weights: &Weights) -> Self {
        let all = [weights.tail, weights.evictions, weights.throughput];
        let sum: f64 = all.iter().sum();
        let sane = sum.is_finite() && sum > 0.0 && all.iter().all(|weight| *weight >= 0.0);
        if !sane {
            return Self { tail: 334, evictions: 333, throughput: 333 };
        }
        let share = |weight: f64| (weight / sum * 1000.0).round() as i64;
        Self {
            tail: share(weights.tail),
            evictions: share(weights.evictions),
            throughput: share(weights.throughput),
        }
    }
}

/// What placing the task on one VM would cost, in parts.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Offer {
    pub vm: VmId,
    /// Added suffering of the services there; grows faster than their slowdown.
    pub tail: i64,
    /// Chance that the task, or one beside it, is evicted for it.
    pub risk: i64,
    /// Predicted excess slowdown by batch tasks, before and after, of the service there that
    /// suffers most.
    pub before: i64,
    pub after: i64,
    /// Predicted excess slowdown that services there cause each other.
    pub by_services: i64,
    /// Slowdown of the task itself.
    pub own: i64,
    /// Slowdown of the batch tasks there.
    pub others: i64,
    /// Room left over, and room left over in unlike proportion.
    pub left: i64,
    /// Instances of the same service nearby, and failures of the VM.
    pub penalty: i64,
    /// Decides between equal scores; differs from task to task, so that writers which decide at
    /// once from the same views don't all choose the same VM.
    pub order: u64,
    /// The VM is quarantined, and this would be its probe.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub probe: bool,
}

impl Offer {
    /// Orders offers from the best.
    pub fn compare(&self, other: &Self, shares: &Shares) -> Ordering {
        let key = |offer: &Self| (offer.score(shares), offer.order);
        key(self).cmp(&key(other)).then_with(|| self.vm.cmp(&other.vm))
    }

    /// The operators' objective; less is better.
    pub fn score(&self, shares: &Shares) -> i64 {
        shares.tail * self.tail
            + shares.evictions * self.risk
            + shares.throughput * (self.own + self.others)
            + 1000 * (self.left + self.penalty)
    }
}

/// Whether the task could ever run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Feasibility {
    Possible,
    /// Too large for every VM in the pool, with the nearest size that fits.
    TooLarge {
        nearest: Resources,
    },
    /// Within the size of a VM but over the team's allowance, with the nearest size that fits.
    OverQuota {
        nearest: Resources,
    },
    /// The pool has no VM.
    EmptyPool,
    /// The configuration names no such pool.
    UnknownPool,
    /// Too few VMs are known yet to tell.
    NotYetKnown,
}

/// VMs that were passed over, by reason.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PassedOver {
    pub outside_pool: u32,
    pub over_quota: u32,
    pub too_small: u32,
    pub quarantined: u32,
    pub avoided: u32,
    pub leaving: u32,
    pub no_room: u32,
    pub held_back: u32,
    pub tried_before: u32,
    pub not_sampled: u32,
    /// Scored, and services there would suffer too much.
    pub harmful: u32,
    /// Scored, and worse than the offers that were kept.
    pub worse: u32,
}

impl PassedOver {
    /// Each reason in words, with its count.
    pub fn reasons(&self) -> [(&'static str, u32); 12] {
        [
            ("outside the pool", self.outside_pool),
            ("team's allowance in the failure domain is used up", self.over_quota),
            ("smaller than the pool's least size", self.too_small),
            ("quarantined", self.quarantined),
            ("avoided, since a service suffers there", self.avoided),
            ("leaving", self.leaving),
            ("no room", self.no_room),
            ("held for a task that waited longer", self.held_back),
            ("an earlier attempt failed or was declined there", self.tried_before),
            ("not sampled", self.not_sampled),
            ("services there would suffer too much", self.harmful),
            ("scored, and worse", self.worse),
        ]
    }

    /// The reason of most VMs that can't take the task.
    fn foremost(&self) -> Option<(&'static str, u32)> {
        let blocking = self.reasons().into_iter().skip(1).filter(|(_, count)| *count > 0);
        blocking.max_by_key(|(_, count)| *count)
    }
}

/// Limits on starts of a class that fails wherever it runs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ClassState {
    #[default]
    Sound,
    /// Failed on several VMs that run other classes well; tried again at this time.
    FailsEverywhere { retry_at: Duration },
}

/// What a placement is decided from.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Inputs {
    pub at: Duration,
    pub need: Resources,
    pub urgency: Urgency,
    pub waited: Duration,
    pub shares: Shares,
    /// Excess slowdown at which a service is helped, in parts.
    pub trigger: i64,
    pub feasibility: Feasibility,
    pub class: ClassState,
    pub passed_over: PassedOver,
    /// The best offers, in no particular order.
    pub offers: Vec<Offer>,
}

impl Inputs {
    /// The choice that follows from the inputs.
    pub fn decide(&self) -> Choice {
        if let Some(never) = self.never() {
            return never;
        }
        if let ClassState::FailsEverywhere { retry_at } = self.class
            && self.at < retry_at
        {
            return wait(format!(
                "the class failed on every VM it ran on; its next try is in {} s",
                (retry_at - self.at).as_secs().max(1)
            ));
        }
        match self.best() {
            Some(best) => Choice::Place { vm: best.vm.clone() },
            None if self.offers.is_empty() => wait(self.why_nowhere()),
            None => wait(format!(
                "services on every VM with room would suffer too much; a calm VM takes it at the \
                 latest {} s after acceptance",
                self.overdue().as_secs()
            )),
        }
    }

    /// Keeps the best offers and counts the others.
    pub fn shorten(&mut self) {
        let mut offers = std::mem::take(&mut self.offers);
        offers.sort_by(|l, r| {
            let harmful = |offer: &Offer| !self.bearable(offer);
            harmful(l).cmp(&harmful(r)).then_with(|| l.compare(r, &self.shares))
        });
        for offer in offers.split_off(offers.len().min(RECORDED_OFFERS)) {
            let reason = match self.bearable(&offer) {
                true => &mut self.passed_over.worse,
                false => &mut self.passed_over.harmful,
            };
            *reason += 1;
        }
        self.offers = offers;
    }

    /// The offer with the least score of those that services bear; of equal ones that of the least
    /// order, then of the name that sorts first.
    pub fn best(&self) -> Option<&Offer> {
        let bearable = self.offers.iter().filter(|offer| self.bearable(offer));
        bearable.min_by(|l, r| l.compare(r, &self.shares))
    }

    fn never(&self) -> Option<Choice> {
        let (reason, nearest) = match self.feasibility {
            Feasibility::Possible | Feasibility::NotYetKnown => return None,
            Feasibility::TooLarge { nearest } => {
                (format!("no VM in the pool is large enough for {}", self.need), Some(nearest))
            }
            Feasibility::OverQuota { nearest } => (
                format!("{} is more than the team's allowance in any failure domain", self.need),
                Some(nearest),
            ),
            Feasibility::EmptyPool => ("the pool has no VM of its least size".to_owned(), None),
            Feasibility::UnknownPool => ("the configuration names no such pool".to_owned(), None),
        };
        Some(Choice::Never { reason, nearest })
    }

    /// Whether the services on the VM stay below the trigger. Placing more would only call for a
    /// throttle or an eviction. A task that is overdue may push one over it that is calm now: so
    /// waits end, and a queue of overdue tasks doesn't end up on the same VM. Urgent tasks go where
    /// there is room: others were evicted for it.
    pub fn bearable(&self, offer: &Offer) -> bool {
        let trigger = batch_trigger(self.trigger, offer.by_services);
        let calm = offer.before <= trigger;
        let overdue = self.urgency >= Urgency::High || self.waited >= self.overdue();
        self.urgency == Urgency::Urgent
            || offer.after <= self.limit(trigger)
            || offer.after - offer.before < HARMLESS
            || offer.probe
            || (overdue && calm)
    }

    /// Predicted excess slowdown that the task may bring a service to, in parts.
    fn limit(&self, trigger: i64) -> i64 {
        let waited = self.waited.min(PATIENCE).as_millis() as i64;
        let grown = (LAST_LIMIT - FIRST_LIMIT) * waited / PATIENCE.as_millis() as i64;
        trigger * (FIRST_LIMIT + grown) / 1000
    }

    /// The more the tail weighs, the later.
    fn overdue(&self) -> Duration {
        let tail = u32::try_from(self.shares.tail).unwrap_or(0).max(100);
        OVERDUE * tail / 333
    }

    fn why_nowhere(&self) -> String {
        if self.feasibility == Feasibility::NotYetKnown {
            return "too few VMs are known yet".to_owned();
        }
        match self.passed_over.foremost() {
            Some((reason, count)) => {
                format!("no VM can take it now; most were passed over as: {reason} ({count} VMs)")
            }
            None => "no VM is known in the pool".to_owned(),
        }
    }
}

/// Slowdown that batch may cause where services cause each other some already, in parts: what is
/// left of the trigger, but never so little that batch is kept away for ever.
pub fn batch_trigger(trigger: i64, by_services: i64) -> i64 {
    (trigger - by_services).max(trigger * BATCH_PART / 1000)
}

fn wait(reason: String) -> Choice {
    Choice::Wait { reason }
}
