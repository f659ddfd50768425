//! Team quotas, split into one allowance per failure domain.
//!
//! A partitioned failure domain keeps using its own allowances, so the total over all domains stays
//! within the quota without communication. Unused allowance is moved gradually: a transfer takes
//! from the unused part first and gives afterwards, so a reader of older state grants less, never
//! more.

use crate::ids::{DomainId, TeamName};
use crate::model::Config;
use crate::units::Resources;
use indexmap::IndexMap;
use std::collections::{BTreeMap, BTreeSet};
use xxhash_rust::xxh3::xxh3_64;

/// One transfer moves `1 / TRANSFER_DIVISOR` of the unused allowance.
const TRANSFER_DIVISOR: u32 = 4;

/// Committed resources of one team by failure domain.
pub type Usage = BTreeMap<DomainId, Resources>;

/// The resources that one team may commit in each failure domain.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Allowances {
    by_domain: BTreeMap<DomainId, Resources>,
}

impl Allowances {
    /// Splits a quota over failure domains.
    ///
    /// The allowances are equal unless an equal allowance is too small for the team's largest task.
    /// Then as many domains as possible get an allowance that fits that task, starting at a domain
    /// that depends on the team, and the remainder goes to the first of them. With an equal split
    /// that task would wait forever although the quota allows it.
    pub fn split(
        team: &TeamName,
        quota: &Resources,
        largest: &Resources,
        domains: &BTreeSet<DomainId>,
    ) -> Self {
        let count = u32::try_from(domains.len()).unwrap_or(u32::MAX);
        if count == 0 {
            return Self::default();
        }
        let allowance_count = allowance_count(quota, largest, count);
        let start = xxh3_64(team.as_str().as_bytes()) % u64::from(count);
        let start = usize::try_from(start).unwrap_or(0);
        let order = domains.iter().cycle().skip(start).take(domains.len());
        let part = divide(quota, allowance_count);
        let mut by_domain = BTreeMap::new();
        for (index, domain) in order.enumerate() {
            let index = u32::try_from(index).unwrap_or(u32::MAX);
            let allowance = match index {
                0 => part
                    .saturating_add(&quota.saturating_sub(&part.saturating_mul(allowance_count))),
                _ if index < allowance_count => part,
                _ => Resources::ZERO,
            };
            by_domain.insert(domain.clone(), allowance);
        }
        Self { by_domain }
    }

    /// The domain's allowance, including what is already committed there.
    pub fn of(&self, domain: &DomainId) -> Resources {
        self.by_domain.get(domain).copied().unwrap_or(Resources::ZERO)
    }

    /// The largest allowance of any domain, by processors, then memory, then accelerators.
    pub fn largest(&self) -> Resources {
        let by_cores = |room: &&Resources| (room.milli_cores, room.memory_mib, room.accelerators);
        self.by_domain.values().max_by_key(by_cores).copied().unwrap_or(Resources::ZERO)
    }

    /// Whether any domain's allowance fits a task of this size.
    pub fn fits_any_domain(&self, need: &Resources) -> bool {
        self.by_domain.values().any(|allowance| need.fits_in(allowance))
    }

    /// The total over all domains.
    pub fn total(&self) -> Resources {
        self.by_domain.values().fold(Resources::ZERO, |sum, part| sum.saturating_add(part))
    }

    /// Moves a quarter of the unused allowance of `from` to `to`; returns the amount moved.
    pub fn transfer(&mut self, from: &DomainId, to: &DomainId, usage: &Usage) -> Resources {
        let used = usage.get(from).copied().unwrap_or(Resources::ZERO);
        let moved = divide(&self.of(from).saturating_sub(&used), TRANSFER_DIVISOR);
        if from == to || !self.by_domain.contains_key(to) {
            return Resources::ZERO;
        }
        let left = self.of(from).saturating_sub(&moved);
        let grown = self.of(to).saturating_add(&moved);
        self.by_domain.insert(from.clone(), left);
        self.by_domain.insert(to.clone(), grown);
        moved
    }
}

/// Number of domains that get an allowance: all, or as many as can fit the largest task.
fn allowance_count(quota: &Resources, largest: &Resources, domains: u32) -> u32 {
    let mut allowance_count = domains;
    while allowance_count > 1
        && largest.fits_in(quota)
        && !largest.fits_in(&divide(quota, allowance_count))
    {
        allowance_count -= 1;
    }
    allowance_count
}

fn divide(amount: &Resources, by: u32) -> Resources {
    Resources::new(amount.milli_cores.0 / by, amount.memory_mib.0 / by, amount.accelerators.0 / by)
}

/// The allowances and committed resources of all teams.
#[derive(Clone, Debug, Default)]
pub struct Quotas {
    domains: BTreeSet<DomainId>,
    allowances: IndexMap<TeamName, Allowances>,
    usage: IndexMap<TeamName, Usage>,
}

impl Quotas {
    /// Splits the quotas again after a configuration change.
    pub fn configure(&mut self, config: &Config) {
        let mut largest: IndexMap<&TeamName, Resources> = IndexMap::new();
        for class in config.batch.values() {
            let entry = largest.entry(&class.team).or_insert(Resources::ZERO);
            *entry = maximum(entry, &class.resources);
        }
        self.allowances.clear();
        for (name, team) in &config.teams {
            let largest = largest.get(name).copied().unwrap_or(Resources::ZERO);
            let split = Allowances::split(name, &team.quota, &largest, &self.domains);
            self.allowances.insert(name.clone(), split);
        }
    }

    /// Adds a failure domain. Domains are never removed: a partitioned domain still uses its
    /// allowances, and giving them to the others would exceed the quota.
    pub fn add_domain(&mut self, domain: &DomainId, config: &Config) {
        if !self.domains.contains(domain) {
            self.domains.insert(domain.clone());
            self.configure(config);
        }
    }

    /// Replaces a team's allowances after a transfer.
    pub fn replace(&mut self, team: &TeamName, allowances: Allowances) {
        self.allowances.insert(team.clone(), allowances);
    }

    pub fn of(&self, team: &TeamName) -> Option<&Allowances> {
        self.allowances.get(team)
    }

    /// Clears all usage before it is counted again.
    pub fn reset_usage(&mut self) {
        self.usage.clear();
    }

    pub fn commit(&mut self, team: &TeamName, domain: &DomainId, amount: &Resources) {
        let used = self.usage.entry(team.clone()).or_default().entry(domain.clone()).or_default();
        *used = used.saturating_add(amount);
    }

    pub fn release(&mut self, team: &TeamName, domain: &DomainId, amount: &Resources) {
        if let Some(used) = self.usage.get_mut(team).and_then(|usage| usage.get_mut(domain)) {
            *used = used.saturating_sub(amount);
        }
    }

    /// The team's committed resources by domain.
    pub fn usage(&self, team: &TeamName) -> Option<&Usage> {
        self.usage.get(team)
    }

    /// Unused allowance in the domain, or `None` if the team has no quota.
    pub fn unused(&self, team: &TeamName, domain: &DomainId) -> Option<Resources> {
        let allowance = self.allowances.get(team)?.of(domain);
        let used = self.usage.get(team).and_then(|usage| usage.get(domain));
        Some(allowance.saturating_sub(used.unwrap_or(&Resources::ZERO)))
    }

    /// Largest used fraction of the quota over all resources (as in dominant resource fairness); 0
    /// without a quota.
    pub fn dominant_share(&self, team: &TeamName) -> f64 {
        let Some(allowances) = self.allowances.get(team) else { return 0.0 };
        let Some(usage) = self.usage.get(team) else { return 0.0 };
        let used = usage.values().fold(Resources::ZERO, |sum, part| sum.saturating_add(part));
        let total = allowances.total();
        ratio(used.milli_cores.0, total.milli_cores.0)
            .max(ratio(used.memory_mib.0, total.memory_mib.0))
            .max(ratio(used.accelerators.0, total.accelerators.0))
    }
}

fn ratio(part: u32, whole: u32) -> f64 {
    if whole == 0 { 0.0 } else { f64::from(part) / f64::from(whole) }
}

fn maximum(left: &Resources, right: &Resources) -> Resources {
    Resources {
        milli_cores: left.milli_cores.max(right.milli_cores),
        memory_mib: left.memory_mib.max(right.memory_mib),
        accelerators: left.accelerators.max(right.accelerators),
    }
}

/// The element-wise minimum.
pub fn minimum(left: &Resources, right: &Resources) -> Resources {
    Resources {
        milli_cores: left.milli_cores.min(right.milli_cores),
        memory_mib: left.memory_mib.min(right.memory_mib),
        accelerators: left.accelerators.min(right.accelerators),
    }
}
