//! Collects the inputs of a placement, and trains the interference model from reports.

use super::decide::{ClassState, Feasibility, Inputs, NormalizedWeights, Offer, PassedOver};
use super::fit::SizeCheck;
use super::index::{Search, SearchResult, Vm, pool_includes};
use super::interference::{Band, Neighbours};
use super::ladder::{Ladder, to_ppm};
use super::score::{Scorer, VmStats, without_self};
use super::{Candidate, Policy};
use crate::ids::{DomainId, VmId};
use crate::model::{Idempotency, Pool, Urgency};
use crate::peer::VmHealth;
use std::time::Duration;
use xxhash_rust::xxh3::xxh3_64;

/// Excess slowdown above which a service is relieved, with equal weights.
const BASE_TRIGGER: f64 = 0.35;

/// Bounds of the trigger, reached with the highest and the lowest weight of tail latency.
const MIN_TRIGGER: f64 = 0.12;
const MAX_TRIGGER: f64 = 1.2;

/// How long a measurement is used for placements.
const MEASUREMENT_TTL: Duration = Duration::from_secs(60);

/// Score bonus, in ppm, that ranks a due probe before every other VM.
const PROBE_BONUS: i64 = 1_000_000_000;

/// Weight of a new report in the smoothed ratio of used to committed processors.
const USE_RATIO_GAIN: f64 = 0.02;

impl Policy {
    pub(super) fn placement_inputs(&mut self, candidate: &Candidate, now: Duration) -> Inputs {
        self.reservations.refresh(candidate.task, &self.fleet, now);
        let reserved = self.reservations.reserved_for_others(candidate.task);
        let config = self.config.clone();
        let spec = &candidate.spec;
        let pool = config.pools.get(&spec.pool);
        let over_quota = self.domains_over_quota(candidate);
        let found = self.fleet.search(&Search {
            need: &spec.resources,
            pool,
            avoid: &candidate.avoid,
            reserved: &reserved,
            over_quota: &over_quota,
            seed: seed(candidate),
        });
        let mut offers = self.offers(candidate, &found, now);
        offers.extend(self.reserved_offer(candidate, &offers, now));
        offers.extend(self.probe_offer(candidate, pool, &over_quota, now));
        let no_offers = offers.is_empty();
        let feasibility = self.feasibility(candidate, pool, now);
        if no_offers && feasibility == Feasibility::Possible {
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

    /// Excess slowdown above which a service is relieved, from the operator's weights.
    pub(super) fn trigger(&self) -> f64 {
        let shares = self.shares();
        let tail = (shares.tail.max(1)) as f64;
        let rest = (shares.evictions + shares.throughput) as f64 / 2.0;
        (BASE_TRIGGER * (rest / tail).sqrt()).clamp(MIN_TRIGGER, MAX_TRIGGER)
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
        // A daemon that is cut off from all VMs can't tell what could run.
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
            let unused = self.quotas.unused(&spec.team, domain);
            unused.is_some_and(|unused| !spec.resources.fits_in(&unused))
        };
        self.fleet.domains().filter(full).cloned().collect()
    }

    fn offers(&self, candidate: &Candidate, found: &SearchResult<'_>, now: Duration) -> Vec<Offer> {
        let scorer = self.scorer(candidate);
        let offer = |vm: &&Vm| scorer.offer(vm, self.vm_stats(&vm.view.vm, now));
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

    /// The offer of the VM reserved for the task, which the sample may not include.
    fn reserved_offer(
        &self,
        candidate: &Candidate,
        offers: &[Offer],
        now: Duration,
    ) -> Option<Offer> {
        let reserved = self.reservations.vm_for(candidate.task)?;
        let vm = self.fleet.get(reserved)?;
        let view = &vm.view;
        let fits = view.health == VmHealth::Open && candidate.spec.resources.fits_in(&view.free);
        let missing = fits && offers.iter().all(|offer| offer.vm != *reserved);
        missing.then(|| self.scorer(candidate).offer(vm, self.vm_stats(reserved, now)))
    }

    /// The offer of a quarantined VM whose probe is due, if the task can tolerate a failure.
    fn probe_offer(
        &self,
        candidate: &Candidate,
        pool: Option<&Pool>,
        over_quota: &[DomainId],
        now: Duration,
    ) -> Option<Offer> {
        let spec = &candidate.spec;
        let tolerates_failure = spec.idempotency == Idempotency::Idempotent
            && spec.urgency <= Urgency::Normal
            && spec.max_failures > 1
            && candidate.avoid.is_empty()
            && self.blame.class_state(&spec.class, now) == ClassState::Sound;
        if !tolerates_failure {
            return None;
        }
        let due = |vm: &&Vm| {
            let view = &vm.view;
            pool_includes(pool, &view.domain)
                && !over_quota.contains(&view.domain)
                && pool.is_none_or(|pool| pool.min_size.fits_in(&view.size))
                && spec.resources.fits_in(&view.free)
                && self.blame.probe_due(&view.vm, now)
        };
        let vm = self.fleet.quarantined().find(due)?;
        let offer = self.scorer(candidate).offer(vm, self.vm_stats(&vm.view.vm, now));
        Some(Offer { probe: true, penalty: -PROBE_BONUS, ..offer })
    }

    fn vm_stats(&self, vm: &VmId, now: Duration) -> VmStats {
        let blame = self.blame.of_vm(vm);
        let reports =
            self.reports.get(vm).filter(|reports| reports.measured_at + MEASUREMENT_TTL > now);
        let Some(reports) = reports else { return VmStats { blame, ..VmStats::default() } };
        VmStats {
            load: Some(reports.load),
            worst_excess: self.ladders.get(vm).map(Ladder::worst_excess),
            blame,
        }
    }

    /// Trains the model from the last accepted report of a VM.
    pub(super) fn train(&mut self, vm: &VmId) {
        let Some(reports) = self.reports.get(vm) else { return };
        if let Some(vm) = self.fleet.get(vm)
            && vm.committed() > 0.05
        {
            let ratio = (reports.load / vm.committed()).clamp(0.1, 1.5);
            self.use_ratio += (ratio - self.use_ratio) * USE_RATIO_GAIN;
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

/// A hash that differs between tasks and between attempts.
fn seed(candidate: &Candidate) -> u64 {
    let mut bytes = [0; 14];
    bytes[..2].copy_from_slice(&candidate.task.partition.0.to_le_bytes());
    bytes[2..10].copy_from_slice(&candidate.task.number.to_le_bytes());
    bytes[10..].copy_from_slice(&candidate.attempt.0.to_le_bytes());
    xxh3_64(&bytes)
}

fn passed_over(found: &SearchResult<'_>) -> PassedOver {
    PassedOver {
        outside_pool: found.outside_pool,
        over_quota: found.over_quota,
        too_small: found.too_small,
        quarantined: found.quarantined,
        avoided: found.avoided,
        leaving: found.leaving,
        no_room: found.no_room,
        held_back: found.reserved,
        tried_before: found.tried_before,
        not_sampled: found.not_sampled,
        harmful: 0,
        worse: 0,
    }
}
