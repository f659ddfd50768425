//! Checks whether a task could ever run, and finds the nearest size that could.

use super::index::pool_includes;
use super::quota::{Allowances, minimum};
use crate::ids::DomainId;
use crate::model::Pool;
use crate::peer::VmView;
use crate::units::Resources;
use std::collections::BTreeMap;
use std::time::Duration;

/// How long a size is kept after the last VM of that size left. VMs are restarted and replaced all
/// day, and a task that needs the only large VM must not be refused while that VM restarts.
const SIZE_RETENTION: Duration = Duration::from_secs(1800);

/// Number of distinct sizes above which those past their retention are dropped.
const MAX_SIZES: usize = 4096;

#[derive(Clone, Copy, Debug, Default)]
struct SizeRecord {
    count: u32,
    last_seen: Duration,
}

/// Known VM sizes by failure domain.
#[derive(Clone, Debug, Default)]
pub struct VmSizes {
    sizes: BTreeMap<(DomainId, SizeKey), SizeRecord>,
}

/// A size as an ordered key: processors, memory, accelerators.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct SizeKey(u32, u32, u32);

impl SizeKey {
    fn of(size: &Resources) -> Self {
        Self(size.milli_cores.0, size.memory_mib.0, size.accelerators.0)
    }

    fn size(self) -> Resources {
        Resources::new(self.0, self.1, self.2)
    }
}

impl VmSizes {
    pub fn add(&mut self, view: &VmView, now: Duration) {
        let record = self.sizes.entry((view.domain.clone(), SizeKey::of(&view.size))).or_default();
        record.count += 1;
        record.last_seen = now;
        self.prune(now);
    }

    pub fn remove(&mut self, view: &VmView, now: Duration) {
        let key = (view.domain.clone(), SizeKey::of(&view.size));
        if let Some(record) = self.sizes.get_mut(&key) {
            record.count = record.count.saturating_sub(1);
            record.last_seen = now;
        }
    }

    fn prune(&mut self, now: Duration) {
        if self.sizes.len() > MAX_SIZES {
            self.sizes
                .retain(|_, record| record.count > 0 || record.last_seen + SIZE_RETENTION > now);
        }
    }

    /// Whether no VM size is known.
    pub fn is_empty(&self) -> bool {
        self.sizes.is_empty()
    }

    /// Sizes of the pool's current and recent VMs.
    fn in_pool<'a>(
        &'a self,
        pool: Option<&'a Pool>,
        now: Duration,
    ) -> impl Iterator<Item = (&'a DomainId, Resources)> {
        self.sizes
            .iter()
            .filter(move |(_, record)| record.count > 0 || record.last_seen + SIZE_RETENTION > now)
            .filter(move |((domain, _), _)| pool_includes(pool, domain))
            .map(|((domain, key), _)| (domain, key.size()))
            .filter(move |(_, size)| pool.is_none_or(|pool| pool.min_size.fits_in(size)))
    }

    /// Checks whether the task fits an empty VM and an unused allowance.
    pub fn check(
        &self,
        need: &Resources,
        pool: Option<&Pool>,
        allowances: Option<&Allowances>,
        now: Duration,
    ) -> SizeCheck {
        let mut nearest: Option<Resources> = None;
        for (domain, size) in self.in_pool(pool, now) {
            let room = match allowances {
                Some(allowances) => minimum(&size, &allowances.of(domain)),
                None => size,
            };
            if need.fits_in(&room) {
                return SizeCheck::Fits;
            }
            let fitting = minimum(need, &room);
            if nearest
                .is_none_or(|best| fitting_fraction(need, &fitting) > fitting_fraction(need, &best))
            {
                nearest = Some(fitting);
            }
        }
        nearest.map_or(SizeCheck::NoVm, SizeCheck::TooLarge)
    }
}

/// Result of checking a task against the known VM sizes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SizeCheck {
    Fits,
    /// Fits nowhere; holds the nearest size that would fit.
    TooLarge(Resources),
    /// The pool has no known VM.
    NoVm,
}

/// Fraction of the requested size that fits, in ppm; all resources have equal weight.
fn fitting_fraction(need: &Resources, fitting: &Resources) -> u64 {
    percent_fitting(fitting.milli_cores.0, need.milli_cores.0)
        * percent_fitting(fitting.memory_mib.0, need.memory_mib.0)
        * percent_fitting(fitting.accelerators.0, need.accelerators.0)
}

fn percent_fitting(fitting: u32, need: u32) -> u64 {
    if need == 0 { 100 } else { 1 + u64::from(fitting) * 99 / u64::from(need) }
}
