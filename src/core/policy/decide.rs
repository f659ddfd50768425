//! The placement decision, a pure function of recorded inputs.
//!
//! Everything that affects a placement is first collected into [`Inputs`] as integers, which are
//! stored in the decision record. The same function can therefore be run again on a record, and an
//! explanation can't omit anything that affected the decision.

use super::PlacementDecision;
use crate::ids::VmId;
use crate::model::{Urgency, Weights};
use crate::units::Resources;
use serde::{Deserialize, Serialize};
use std::cmp::Ordering;
use std::time::Duration;

/// Number of the best offers that a record keeps.
pub const RECORDED_OFFERS: usize = 6;

/// One in parts per million, the unit of fractions that are stored as integers.
pub const PPM: f64 = 1_000_000.0;

/// A rise of a service's excess slowdown below this, in ppm, is negligible.
const NEGLIGIBLE_RISE: i64 = 20_000;

/// Share of the trigger, in thousandths, up to which a new task may slow a service, and up to which
/// a task that waited for [`LIMIT_RAMP`] may.
const INITIAL_LIMIT: i64 = 700;
const FINAL_LIMIT: i64 = 1000;
const LIMIT_RAMP: Duration = Duration::from_secs(300);

/// Share of the trigger, in thousandths, left to batch tasks however much services slow each other.
const MIN_BATCH_SHARE: i64 = 400;

/// Wait after which a task may push a VM over the trigger, with equal weights.
const OVERDUE_AFTER: Duration = Duration::from_secs(600);

/// The operator's weights, normalized to thousandths of their sum.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NormalizedWeights {
    pub tail: i64,
    pub evictions: i64,
    pub throughput: i64,
}

impl NormalizedWeights {
    /// Normalizes the weights; uses equal ones if they are invalid.
    pub fn of(weights: &Weights) -> Self {
        let all = [weights.tail, weights.evictions, weights.throughput];
        let sum: f64 = all.iter().sum();
        let valid = sum.is_finite() && sum > 0.0 && all.iter().all(|weight| *weight >= 0.0);
        if !valid {
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

/// The predicted cost of placing the task on one VM, in ppm.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Offer {
    pub vm: VmId,
    /// Added tail cost of the services there; grows faster than their slowdown.
    pub tail: i64,
    /// Probability that the placement causes an eviction, weighted by its cost.
    pub risk: i64,
    /// Predicted excess slowdown by batch tasks of the most affected service there, before and
    /// after the placement.
    pub before: i64,
    pub after: i64,
    /// Predicted excess slowdown that the services there cause each other.
    pub by_services: i64,
    /// Predicted excess slowdown of the task itself.
    pub own: i64,
    /// Predicted excess slowdown added to the batch tasks there.
    pub others: i64,
    /// Cost of leftover and unbalanced free resources, and of using a VM without services.
    pub left: i64,
    /// Cost of nearby instances of the same service and of failures attributed to the VM.
    pub penalty: i64,
    /// Tie-breaker between equal scores. It differs between tasks, so that writers that decide at
    /// the same time from the same views don't all choose the same VM.
    pub order: u64,
    /// Whether the VM is quarantined and the task would be its probe.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub probe: bool,
}

impl Offer {
    /// Compares offers; the best sorts first.
    pub fn compare(&self, other: &Self, shares: &NormalizedWeights) -> Ordering {
        let key = |offer: &Self| (offer.score(shares), offer.order);
        key(self).cmp(&key(other)).then_with(|| self.vm.cmp(&other.vm))
    }

    /// The weighted cost; lower is better.
    pub fn score(&self, shares: &NormalizedWeights) -> i64 {
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
    /// Too large for every VM in the pool; holds the nearest size that fits.
    TooLarge {
        nearest: Resources,
    },
    /// Fits a VM but exceeds the team's allowance; holds the nearest size that fits.
    OverQuota {
        nearest: Resources,
    },
    /// The pool has no VM.
    EmptyPool,
    /// The pool is not in the configuration.
    UnknownPool,
    /// Too few VMs are known yet to decide.
    NotYetKnown,
}

/// Counts of the VMs that were not chosen, by reason.
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
    /// Scored, but services there would be slowed too much.
    pub harmful: u32,
    /// Scored, but worse than the offers that were kept.
    pub worse: u32,
}

impl PassedOver {
    /// The text of each reason with its count.
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

    /// The most frequent reason why VMs in the pool can't run the task.
    fn most_common(&self) -> Option<(&'static str, u32)> {
        let blocking = self.reasons().into_iter().skip(1).filter(|(_, count)| *count > 0);
        blocking.max_by_key(|(_, count)| *count)
    }
}

/// Whether a class fails on every VM, which limits its starts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ClassState {
    #[default]
    Sound,
    /// Failed on several VMs and recently succeeded on none; retried at this time.
    FailsEverywhere { retry_at: Duration },
}

/// Inputs of a placement decision.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Inputs {
    pub at: Duration,
    pub need: Resources,
    pub urgency: Urgency,
    pub waited: Duration,
    pub shares: NormalizedWeights,
    /// Excess slowdown above which a service is relieved, in ppm.
    pub trigger: i64,
    pub feasibility: Feasibility,
    pub class: ClassState,
    pub passed_over: PassedOver,
    /// The best offers, in no particular order.
    pub offers: Vec<Offer>,
}

impl Inputs {
    /// Returns the choice that follows from the inputs.
    pub fn decide(&self) -> PlacementDecision {
        if let Some(choice) = self.infeasible() {
            return choice;
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
            Some(best) => PlacementDecision::Place { vm: best.vm.clone() },
            None if self.offers.is_empty() => wait(self.wait_reason()),
            None => wait(format!(
                "services on every VM with room would suffer too much; a calm VM takes it at the \
                 latest {} s after acceptance",
                self.overdue_after().as_secs()
            )),
        }
    }

    /// Keeps the best offers and counts the others by reason.
    pub fn truncate(&mut self) {
        let mut offers = std::mem::take(&mut self.offers);
        offers.sort_by(|l, r| {
            let harmful = |offer: &Offer| !self.acceptable(offer);
            harmful(l).cmp(&harmful(r)).then_with(|| l.compare(r, &self.shares))
        });
        for offer in offers.split_off(offers.len().min(RECORDED_OFFERS)) {
            let reason = match self.acceptable(&offer) {
                true => &mut self.passed_over.worse,
                false => &mut self.passed_over.harmful,
            };
            *reason += 1;
        }
        self.offers = offers;
    }

    /// The acceptable offer with the lowest score. Ties go to the lowest `order`, then to the first
    /// VM by id.
    pub fn best(&self) -> Option<&Offer> {
        let acceptable = self.offers.iter().filter(|offer| self.acceptable(offer));
        acceptable.min_by(|l, r| l.compare(r, &self.shares))
    }

    fn infeasible(&self) -> Option<PlacementDecision> {
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
        Some(PlacementDecision::Never { reason, nearest })
    }

    /// Whether the placement keeps the services on the VM below the trigger; above it, a placement
    /// would only lead to a throttle or an eviction.
    ///
    /// An overdue task may push a VM over the trigger if the VM is below it now. That bounds waits,
    /// and a queue of overdue tasks doesn't end up on the same VM. Urgent tasks are placed wherever
    /// they fit, because other tasks were evicted to make room for them.
    pub fn acceptable(&self, offer: &Offer) -> bool {
        let trigger = batch_trigger(self.trigger, offer.by_services);
        let below_trigger = offer.before <= trigger;
        let overdue = self.urgency >= Urgency::High || self.waited >= self.overdue_after();
        self.urgency == Urgency::Urgent
            || offer.after <= self.limit(trigger)
            || offer.after - offer.before < NEGLIGIBLE_RISE
            || offer.probe
            || (overdue && below_trigger)
    }

    /// The excess slowdown up to which the task may slow a service, in ppm; it rises with the wait.
    fn limit(&self, trigger: i64) -> i64 {
        let waited = self.waited.min(LIMIT_RAMP).as_millis() as i64;
        let increase = (FINAL_LIMIT - INITIAL_LIMIT) * waited / LIMIT_RAMP.as_millis() as i64;
        trigger * (INITIAL_LIMIT + increase) / 1000
    }

    /// Wait after which the task is overdue; it increases with the weight of tail latency.
    fn overdue_after(&self) -> Duration {
        let tail = u32::try_from(self.shares.tail).unwrap_or(0).max(100);
        OVERDUE_AFTER * tail / 333
    }

    fn wait_reason(&self) -> String {
        if self.feasibility == Feasibility::NotYetKnown {
            return "too few VMs are known yet".to_owned();
        }
        match self.passed_over.most_common() {
            Some((reason, count)) => {
                format!("no VM can take it now; most were passed over as: {reason} ({count} VMs)")
            }
            None => "no VM is known in the pool".to_owned(),
        }
    }
}

/// Slowdown that batch tasks may cause, in ppm, where services already slow each other: the rest of
/// the trigger, but at least a fixed share of it, so that batch tasks are never excluded for good.
pub fn batch_trigger(trigger: i64, by_services: i64) -> i64 {
    (trigger - by_services).max(trigger * MIN_BATCH_SHARE / 1000)
}

fn wait(reason: String) -> PlacementDecision {
    PlacementDecision::Wait { reason }
}
