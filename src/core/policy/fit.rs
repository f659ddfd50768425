//! Whether a task could ever run, and the nearest size that could.

use super::index::allowed;
use super::quota::{Allowances, minimum};
use crate::ids::DomainId;
use crate::model::Pool;
use crate::peer::VmView;
use crate::units::Resources;
use std::collections::BTreeMap;
use std::time::Duration;

/// How long a size is remembered after the last VM of that size left. VMs are restarted and
/// replaced all day; a task that needs the one large VM must not be refused while it restarts.
const REMEMBER: Duration = Duration::from_secs(1800);

/// Distinct sizes remembered; beyond it the longest gone are forgotten first.
const MAX_SIZES: usize = 4096;

#[derive(Clone, Copy, Debug, Default)]
struct Seen {
    count: u32,
    last: Duration,
}

/// Sizes of VMs, by failure domain.
#[derive(Clone, Debug, Default)]
pub struct Sizes {
    seen: BTreeMap<(DomainId, SizeKey), Seen>,
}

/// A size in an order that sorts by processors first.
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

impl Sizes {
    pub fn add(&mut self, view: &VmView, now: Duration) {
        let seen = self.seen.entry((view.domain.clone(), SizeKey::of(&view.size))).or_default();
        seen.count += 1;
        seen.last = now;
        self.forget(now);
    }

    pub fn remove(&mut self, view: &VmView, now: Duration) {
        let key = (view.domain.clone(), SizeKey::of(&view.size));
        if let Some(seen) = self.seen.get_mut(&key) {
            seen.count = seen.count.saturating_sub(1);
            seen.last = now;
        }
    }

    fn forget(&mut self, now: Duration) {
        if self.seen.len() > MAX_SIZES {
            self.seen.retain(|_, seen| seen.count > 0 || seen.last + REMEMBER > now);
        }
    }

    /// Whether no VM was ever known.
    pub fn is_empty(&self) -> bool {
        self.seen.is_empty()
    }

    /// Sizes in the pool that are there, or were lately.
    fn in_pool<'a>(
        &'a self,
        pool: Option<&'a Pool>,
        now: Duration,
    ) -> impl Iterator<Item = (&'a DomainId, Resources)> {
        self.seen
            .iter()
            .filter(move |(_, seen)| seen.count > 0 || seen.last + REMEMBER > now)
            .filter(move |((domain, _), _)| allowed(pool, domain))
            .map(|((domain, key), _)| (domain, key.size()))
            .filter(move |(_, size)| pool.is_none_or(|pool| pool.min_size.fits_in(size)))
    }

    /// Whether a VM and an allowance could hold the task when they are empty.
    pub fn verdict(
        &self,
        need: &Resources,
        pool: Option<&Pool>,
        allowances: Option<&Allowances>,
        now: Duration,
    ) -> Verdict {
        let mut nearest: Option<Resources> = None;
        for (domain, size) in self.in_pool(pool, now) {
            let room = match allowances {
                Some(allowances) => minimum(&size, &allowances.of(domain)),
                None => size,
            };
            if need.fits_in(&room) {
                return Verdict::Fits;
            }
            let fitting = minimum(need, &room);
            if nearest.is_none_or(|best| kept(need, &fitting) > kept(need, &best)) {
                nearest = Some(fitting);
            }
        }
        nearest.map_or(Verdict::NoVm, Verdict::TooLarge)
    }
}

/// Whether a task could ever run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    Fits,
    /// The nearest size that would fit.
    TooLarge(Resources),
    /// No VM in the pool is known.
    NoVm,
}

/// How much of a declared size is left, in millionths; all kinds of resources count alike.
fn kept(need: &Resources, fitting: &Resources) -> u64 {
    part(fitting.milli_cores.0, need.milli_cores.0)
        * part(fitting.memory_mib.0, need.memory_mib.0)
        * part(fitting.accelerators.0, need.accelerators.0)
}

fn part(fitting: u32, need: u32) -> u64 {
    if need == 0 { 100 } else { 1 + u64::from(fitting) * 99 / u64::from(need) }
}
