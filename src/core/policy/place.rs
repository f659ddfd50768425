//! Gathers what a placement is decided from, and learns from reports.

use super::decide::{ClassState, Feasibility, Inputs, NormalizedWeights, Offer, PassedOver};
use super::fit::SizeCheck;
use super::index::{Found, Search, Vm, allowed};
use super::interference::{Band, Neighbours};
use super::ladder::{Ladder, to_ppm};
use super::score::{Known, Scorer, without_self};
use super::{Candidate, Policy};
use crate::ids::{DomainId, VmId};
use crate::model::{Idempotency, Pool, Urgency};
use crate::peer::VmHealth;
use std::time::Duration;
use xxhash_rust::xxh3::xxh3_64;

/// Excess slowdown of a service at which it is helped, with equal weights.
const TRIGGER: f64 = 0.35;

/// The trigger for operators who weigh the tail most, and for those who weigh it least.
const TRIGGER_LEAST: f64 = 0.12;
const TRIGGER_MOST: f64 = 1.2;

/// A measurement is of use in placing for this long.
const FRESH: Duration = Duration::from_secs(60);

/// What makes a due probe come before every other VM, in parts.
const PROBE_BONUS: i64 = 1_000_000_000;

/// Share of a new report in the smoothed ratio of used to committed processors.
const USE_GAIN: f64 = 0.02;

impl Policy {
    pub(super) fn gather(&mut self, candidate: &Candidate, now: Duration) -> Inputs {
        self.reservations.refresh(candidate.task, &self.fleet, now);
        let held_back = self.reservations.reserved_for_others(candidate.task);
        let config = self.config.clone();
        let spec = &candidate.spec;
        let pool = config.pools.get(&spec.pool);
        let over_quota = self.domains_over_quota(candidate);
        let found = self.fleet.search(&Search {
            need: &spec.resources,
            pool,
            avoid: &candidate.avoid,
            held_back: &held_back,
            over_quota: &over_quota,
            seed: seed(candidate),
        });
        let mut offers = self.offers(candidate, &found, now);
        offers.extend(self.held_offer(candidate, &offers, now));
        offers.extend(self.probe_offer(candidate, pool, &over_quota, now));
        let nowhere = offers.is_empty();
        let feasibility = self.feasibility(candidate, pool, now);
        if nowhere && feasibility == Feasibility::Possible {
            self.reservations.reserve_if_starved(candidate, &self.fleet, pool, &over_quota, now);
        }
        let passed_over = passed_over(&found);
        let mut inputs = Inputs {
            at: now,
            need: spec.resources,
            urgency: spec.urgency,
            waited: candidate.waited,
            shares: self.shares(),
            trigger: to_ppm(self.trigger()),
            feasibility,
            class: self.blame.class_state(&spec.class, now),
            passed_over,
            offers,
        };
        inputs.truncate();
        inputs
    }

    pub(super) fn shares(&self) -> NormalizedWeights {
        NormalizedWeights::of(&self.config.weights)
    }

    /// Excess slowdown at which a service is helped, by the operators' weights.
    pub(super) fn trigger(&self) -> f64 {
        let shares = self.shares();
        let tail = (shares.tail.max(1)) as f64;
        let rest = (shares.evictions + shares.throughput) as f64 / 2.0;
        (TRIGGER * (rest / tail).sqrt()).clamp(TRIGGER_LEAST, TRIGGER_MOST)
    }

    fn feasibility(
        &self,
        candidate: &Candidate,
        pool: Option<&Pool>,
        now: Duration,
    ) -> Feasibility {
        if pool.is_none() && !self.config.pools.is_empty() {
            return Feasibility::UnknownPool;
        }
        let need = &candidate.spec.resources;
        let allowances = self.quotas.of(&candidate.spec.team);
        let verdict = self.sizes.check(need, pool, allowances, now);
        // A daemon that is cut off from all VMs knows nothing of what could run.
        let known = self.settled(now) && !self.sizes.is_empty();
        if verdict != SizeCheck::Fits && !known {
            return Feasibility::NotYetKnown;
        }
        match verdict {
            SizeCheck::Fits => Feasibility::Possible,
            SizeCheck::NoVm => Feasibility::EmptyPool,
            SizeCheck::TooLarge(nearest) => match self.sizes.check(need, pool, None, now) {
                SizeCheck::Fits => Feasibility::OverQuota { nearest },
                _ => Feasibility::TooLarge { nearest },
            },
        }
    }

    pub(super) fn domains_over_quota(&self, candidate: &Candidate) -> Vec<DomainId> {
        let spec = &candidate.spec;
        let full = |domain: &&DomainId| {
            let room = self.quotas.room(&spec.team, domain);
            room.is_some_and(|room| !spec.resources.fits_in(&room))
        };
        self.fleet.domains().filter(full).cloned().collect()
    }

    fn offers(&self, candidate: &Candidate, found: &Found<'_>, now: Duration) -> Vec<Offer> {
        let scorer = self.scorer(candidate);
        let offer = |vm: &&Vm| scorer.offer(vm, self.known(&vm.view.vm, now));
        found.sample.iter().map(offer).collect()
    }

    fn scorer<'a>(&'a self, candidate: &'a Candidate) -> Scorer<'a> {
        let mut scorer = Scorer::new(&self.fleet, &self.services, &self.model, &candidate.spec)
            .with_classes(&self.config);
        scorer.use_ratio = self.use_ratio;
        scorer.trigger = self.trigger();
        scorer.seed = seed(candidate);
        scorer
    }

    /// The offer of the VM that is held for the task, which the sample may have left out.
    fn held_offer(&self, candidate: &Candidate, offers: &[Offer], now: Duration) -> Option<Offer> {
        let held = self.reservations.vm_for(candidate.task)?;
        let vm = self.fleet.get(held)?;
        let view = &vm.view;
        let fits = view.health == VmHealth::Open && candidate.spec.resources.fits_in(&view.free);
        let missing = fits && offers.iter().all(|offer| offer.vm != *held);
        missing.then(|| self.scorer(candidate).offer(vm, self.known(held, now)))
    }

    /// The offer of a quarantined VM whose probe is due, for a task that bears a failure.
    fn probe_offer(
        &self,
        candidate: &Candidate,
        pool: Option<&Pool>,
        over_quota: &[DomainId],
        now: Duration,
    ) -> Option<Offer> {
        let spec = &candidate.spec;
        let bears_failure = spec.idempotency == Idempotency::Idempotent
            && spec.urgency <= Urgency::Normal
            && spec.max_failures > 1
            && candidate.avoid.is_empty()
            && self.blame.class_state(&spec.class, now) == ClassState::Sound;
        if !bears_failure {
            return None;
        }
        let due = |vm: &&Vm| {
            let view = &vm.view;
            allowed(pool, &view.domain)
                && !over_quota.contains(&view.domain)
                && pool.is_none_or(|pool| pool.min_size.fits_in(&view.size))
                && spec.resources.fits_in(&view.free)
                && self.blame.probe_due(&view.vm, now)
        };
        let vm = self.fleet.quarantined().find(due)?;
        let offer = self.scorer(candidate).offer(vm, self.known(&vm.view.vm, now));
        Some(Offer { probe: true, penalty: -PROBE_BONUS, ..offer })
    }

    fn known(&self, vm: &VmId, now: Duration) -> Known {
        let blame = self.blame.of(vm);
        let reports = self.reports.get(vm).filter(|reports| reports.measured_at + FRESH > now);
        let Some(reports) = reports else { return Known { blame, ..Known::default() } };
        Known {
            load: Some(reports.load),
            suffering: self.ladders.get(vm).map(Ladder::suffering),
            blame,
        }
    }

    /// Learns from the last report taken of a VM.
    pub(super) fn learn(&mut self, vm: &VmId) {
        let Some(reports) = self.reports.get(vm) else { return };
        if let Some(vm) = self.fleet.get(vm)
            && vm.committed() > 0.05
        {
            let ratio = (reports.load / vm.committed()).clamp(0.1, 1.5);
            self.use_ratio += (ratio - self.use_ratio) * USE_GAIN;
        }
        let band = Band::of(reports.load);
        let neighbours: Vec<_> = reports
            .classes
            .iter()
            .map(|(class, used)| Neighbours { class, weight: used.weight })
            .collect();
        for (index, (class, used)) in reports.classes.iter().enumerate() {
            let Some(slowdown) = used.measured() else { continue };
            let others = without_self(&neighbours, index);
            self.model.learn(class, &others, band, slowdown);
        }
    }
}

/// A number that differs from task to task, and from attempt to attempt.
fn seed(candidate: &Candidate) -> u64 {
    let mut bytes = [0; 14];
    bytes[..2].copy_from_slice(&candidate.task.partition.0.to_le_bytes());
    bytes[2..10].copy_from_slice(&candidate.task.number.to_le_bytes());
    bytes[10..].copy_from_slice(&candidate.attempt.0.to_le_bytes());
    xxh3_64(&bytes)
}

fn passed_over(found: &Found<'_>) -> PassedOver {
    PassedOver {
        outside_pool: found.outside,
        over_quota: found.over_quota,
        too_small: found.too_small,
        quarantined: found.quarantined,
        avoided: found.avoided,
        leaving: found.leaving,
        no_room: found.no_room,
        held_back: found.held_back,
        tried_before: found.tried_before,
        not_sampled: found.not_sampled,
        harmful: 0,
        worse: 0,
    }
}
