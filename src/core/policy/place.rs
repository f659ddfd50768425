//! Gathers what a placement is decided from, and learns from reports.

use super::decide::{ClassState, Feasibility, Inputs, Offer, PassedOver, RECORDED_OFFERS, Shares};
use super::fit::Verdict;
use super::index::{Found, Search, Vm};
use super::interference::{Band, Neighbours};
use super::score::{Known, Scorer, is_service, without_self};
use super::{Candidate, Policy};
use crate::ids::{DomainId, VmId};
use crate::model::Pool;
use std::time::Duration;
use xxhash_rust::xxh3::xxh3_64;

/// Excess slowdown of a service at which it is helped, with equal weights.
const TRIGGER: f64 = 0.35;

/// The trigger for operators who weigh the tail most, and for those who weigh it least.
const TRIGGER_LEAST: f64 = 0.12;
const TRIGGER_MOST: f64 = 1.2;

/// A measurement is of use in placing for this long.
const FRESH: Duration = Duration::from_secs(60);

/// Share of a new report in the smoothed ratio of used to committed processors.
const USE_GAIN: f64 = 0.02;

impl Policy {
    pub(super) fn gather(&self, candidate: &Candidate, now: Duration) -> Inputs {
        let spec = &candidate.spec;
        let pool = self.config.pools.get(&spec.pool);
        let over_quota = self.domains_over_quota(candidate);
        let found = self.fleet.search(&Search {
            need: &spec.resources,
            pool,
            avoid: &candidate.avoid,
            held_back: &[],
            over_quota: &over_quota,
            seed: seed(candidate),
        });
        let mut offers = self.offers(candidate, &found, now);
        let mut passed_over = passed_over(&found);
        keep_best(&mut offers, &self.shares(), &mut passed_over);
        Inputs {
            at: now,
            need: spec.resources,
            urgency: spec.urgency,
            waited: candidate.waited,
            shares: self.shares(),
            feasibility: self.feasibility(candidate, pool, now),
            class: ClassState::Sound,
            passed_over,
            offers,
        }
    }

    pub(super) fn shares(&self) -> Shares {
        Shares::of(&self.config.weights)
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
        let verdict = self.sizes.verdict(need, pool, allowances, now);
        if verdict != Verdict::Fits && !self.settled(now) {
            return Feasibility::NotYetKnown;
        }
        match verdict {
            Verdict::Fits => Feasibility::Possible,
            Verdict::NoVm => Feasibility::EmptyPool,
            Verdict::TooLarge(nearest) => match self.sizes.verdict(need, pool, None, now) {
                Verdict::Fits => Feasibility::OverQuota { nearest },
                _ => Feasibility::TooLarge { nearest },
            },
        }
    }

    fn domains_over_quota(&self, candidate: &Candidate) -> Vec<DomainId> {
        let spec = &candidate.spec;
        let full = |domain: &&DomainId| {
            let room = self.quotas.room(&spec.team, domain);
            room.is_some_and(|room| !spec.resources.fits_in(&room))
        };
        self.fleet.domains().filter(full).cloned().collect()
    }

    fn offers(&self, candidate: &Candidate, found: &Found<'_>, now: Duration) -> Vec<Offer> {
        let scorer = Scorer {
            config: &self.config,
            fleet: &self.fleet,
            model: &self.model,
            spec: &candidate.spec,
            use_ratio: self.use_ratio,
            trigger: self.trigger(),
            seed: seed(candidate),
        };
        let offer = |vm: &&Vm| scorer.offer(vm, self.known(&vm.view.vm, now));
        found.sample.iter().map(offer).collect()
    }

    fn known(&self, vm: &VmId, now: Duration) -> Known {
        let reports = self.reports.get(vm).filter(|reports| reports.measured_at + FRESH > now);
        let Some(reports) = reports else { return Known::default() };
        Known {
            load: Some(reports.load),
            suffering: reports.suffering(|class| is_service(&self.config, class)),
            blame: 0.0,
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
            .map(|(class, used)| Neighbours { class, weight: f64::from(used.count) })
            .collect();
        for (index, (class, used)) in reports.classes.iter().enumerate() {
            let others = without_self(&neighbours, index);
            self.model.learn(class, &others, band, used.slowdown);
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

fn keep_best(offers: &mut Vec<Offer>, shares: &Shares, passed_over: &mut PassedOver) {
    offers.sort_by(|l, r| l.compare(r, shares));
    let worse = offers.len().saturating_sub(RECORDED_OFFERS);
    passed_over.worse = u32::try_from(worse).unwrap_or(u32::MAX);
    offers.truncate(RECORDED_OFFERS);
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
        worse: 0,
    }
}
