//! An index of VMs by free resources, so that a placement examines only a few of them.
//!
//! Each failure domain keeps its open VMs in buckets of similar free resources. A search visits the
//! buckets that can fit the task and samples a few VMs from each, from a starting point that
//! depends on the task. Otherwise writers that decide at the same time from the same views would
//! all choose the same VM, and its holder would decline all but the first.

use crate::ids::{ClassName, DomainId, RackId, VmId};
use crate::model::Pool;
use crate::peer::{VmHealth, VmView};
use crate::units::Resources;
use indexmap::IndexMap;
use std::collections::{BTreeMap, BTreeSet};
use std::ops::Bound;
use xxhash_rust::xxh3::xxh3_64;

/// Number of VMs sampled for exact scoring in one placement.
pub const SAMPLE_SIZE: usize = 32;

/// Minimum sample from each failure domain, however many domains there are.
const MIN_SAMPLE_PER_DOMAIN: usize = 4;

/// A VM's view with the index keys derived from it.
#[derive(Clone, Debug)]
pub struct Vm {
    pub view: VmView,
    /// Sort key within a bucket.
    order: u64,
    level: Level,
}

impl Vm {
    /// Distance of the sort key from `seed`, with wraparound.
    pub fn order_from(&self, seed: u64) -> u64 {
        self.order.wrapping_sub(seed)
    }

    /// Fraction of the processors that is committed, 0 to 1.
    pub fn committed(&self) -> f64 {
        let size = self.view.size.milli_cores.0;
        if size == 0 {
            return 1.0;
        }
        1.0 - f64::from(self.view.free.milli_cores.0.min(size)) / f64::from(size)
    }
}

/// Free resources on a logarithmic scale; a higher level always means more.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Level {
    cores: u8,
    memory: u8,
    accelerators: u8,
}

impl Level {
    fn of(room: &Resources) -> Self {
        Self {
            cores: quarter_octaves(room.milli_cores.0),
            memory: quarter_octaves(room.memory_mib.0) / 2,
            accelerators: u8::try_from(room.accelerators.0).unwrap_or(u8::MAX),
        }
    }

    fn may_fit(self, need: Self) -> bool {
        self.cores >= need.cores
            && self.memory >= need.memory
            && self.accelerators >= need.accelerators
    }

    fn always_fits(self, need: Self) -> bool {
        self.cores > need.cores
            && self.memory > need.memory
            && self.accelerators >= need.accelerators
    }
}

/// Logarithm of the amount in quarters of an octave (four steps per doubling).
fn quarter_octaves(amount: u32) -> u8 {
    if amount < 4 {
        return u8::try_from(amount).unwrap_or(0);
    }
    let octave = amount.ilog2();
    let quarter = (amount >> (octave - 2)) & 3;
    u8::try_from((octave << 2) | quarter).unwrap_or(u8::MAX)
}

type Bucket = BTreeSet<(u64, VmId)>;

#[derive(Clone, Debug, Default)]
struct DomainIndex {
    buckets: BTreeMap<Level, Bucket>,
    total: u32,
    quarantined: BTreeSet<VmId>,
    avoided: u32,
    leaving: u32,
}

/// Instance counts of one class by failure domain and rack.
#[derive(Clone, Debug, Default)]
pub struct ClassSpread {
    pub total: u32,
    by_domain: IndexMap<DomainId, u32>,
    by_rack: IndexMap<(DomainId, RackId), u32>,
}

impl ClassSpread {
    /// Number of instances in the VM's failure domain and in its rack.
    pub fn counts_near(&self, view: &VmView) -> (u32, u32) {
        let rack = (view.domain.clone(), view.rack.clone());
        let in_domain = self.by_domain.get(&view.domain).copied().unwrap_or(0);
        (in_domain, self.by_rack.get(&rack).copied().unwrap_or(0))
    }

    fn adjust(&mut self, view: &VmView, count: u32, adjustment: Adjustment) {
        let rack = (view.domain.clone(), view.rack.clone());
        adjustment.apply(&mut self.total, count);
        adjustment.apply(self.by_domain.entry(view.domain.clone()).or_default(), count);
        adjustment.apply(self.by_rack.entry(rack).or_default(), count);
    }
}

#[derive(Clone, Copy, Debug)]
enum Adjustment {
    Add,
    Remove,
}

impl Adjustment {
    fn apply(self, total: &mut u32, count: u32) {
        *total = match self {
            Self::Add => total.saturating_add(count),
            Self::Remove => total.saturating_sub(count),
        };
    }
}

/// The result of a search.
#[derive(Clone, Debug, Default)]
pub struct SearchResult<'a> {
    /// Open VMs that fit the task; about [`SAMPLE_SIZE`] at max_taken.
    pub sample: Vec<&'a Vm>,
    /// VMs in the pool's failure domains where the team has allowance left.
    pub considered: u32,
    pub outside_pool: u32,
    pub over_quota: u32,
    pub quarantined: u32,
    pub avoided: u32,
    pub leaving: u32,
    pub too_small: u32,
    pub reserved: u32,
    pub tried_before: u32,
    /// Open VMs without enough free resources.
    pub no_room: u32,
    /// VMs in buckets that may fit the task, but that were not sampled.
    pub not_sampled: u32,
}

/// The parameters of a search.
#[derive(Clone, Copy, Debug)]
pub struct Search<'a> {
    pub need: &'a Resources,
    pub pool: Option<&'a Pool>,
    pub avoid: &'a [VmId],
    /// VMs reserved for other tasks.
    pub reserved: &'a [VmId],
    /// Failure domains where the team's allowance is exhausted.
    pub over_quota: &'a [DomainId],
    /// Determines where sampling starts in each bucket.
    pub seed: u64,
}

/// All known VMs.
#[derive(Clone, Debug, Default)]
pub struct Fleet {
    vms: IndexMap<VmId, Vm>,
    domains: BTreeMap<DomainId, DomainIndex>,
    spread: IndexMap<ClassName, ClassSpread>,
}

impl Fleet {
    /// Adds or replaces a VM; returns its previous view.
    pub fn upsert(&mut self, view: VmView) -> Option<VmView> {
        let old = self.remove(&view.vm);
        let order = xxh3_64(view.vm.as_str().as_bytes());
        let vm = Vm { order, level: Level::of(&view.free), view };
        self.index_vm(&vm);
        self.vms.insert(vm.view.vm.clone(), vm);
        old
    }

    /// Removes a VM; returns its last view.
    pub fn remove(&mut self, vm: &VmId) -> Option<VmView> {
        let old = self.vms.swap_remove(vm)?;
        self.unindex_vm(&old);
        Some(old.view)
    }

    pub fn get(&self, vm: &VmId) -> Option<&Vm> {
        self.vms.get(vm)
    }

    pub fn iter(&self) -> impl Iterator<Item = &Vm> {
        self.vms.values()
    }

    pub fn len(&self) -> usize {
        self.vms.len()
    }

    /// Quarantined VMs, ordered by failure domain and id.
    pub fn quarantined(&self) -> impl Iterator<Item = &Vm> {
        self.domains.values().flat_map(|domain| &domain.quarantined).filter_map(|vm| self.get(vm))
    }

    /// Failure domains that have at least one VM.
    pub fn domains(&self) -> impl Iterator<Item = &DomainId> {
        self.domains.keys()
    }

    pub fn spread(&self, class: &ClassName) -> Option<&ClassSpread> {
        self.spread.get(class)
    }

    fn index_vm(&mut self, vm: &Vm) {
        let view = &vm.view;
        let domain = self.domains.entry(view.domain.clone()).or_default();
        domain.total += 1;
        match view.health {
            VmHealth::Open => {
                let entry = (vm.order, view.vm.clone());
                domain.buckets.entry(vm.level).or_default().insert(entry);
            }
            VmHealth::Quarantined => {
                domain.quarantined.insert(view.vm.clone());
            }
            VmHealth::Avoided => domain.avoided += 1,
            VmHealth::Leaving => domain.leaving += 1,
        }
        self.adjust_spread(view, Adjustment::Add);
    }

    fn unindex_vm(&mut self, vm: &Vm) {
        let view = &vm.view;
        self.adjust_spread(view, Adjustment::Remove);
        let Some(domain) = self.domains.get_mut(&view.domain) else { return };
        domain.total -= 1;
        match view.health {
            VmHealth::Open => {
                if let Some(bucket) = domain.buckets.get_mut(&vm.level) {
                    bucket.remove(&(vm.order, view.vm.clone()));
                    if bucket.is_empty() {
                        domain.buckets.remove(&vm.level);
                    }
                }
            }
            VmHealth::Quarantined => {
                domain.quarantined.remove(&view.vm);
            }
            VmHealth::Avoided => domain.avoided -= 1,
            VmHealth::Leaving => domain.leaving -= 1,
        }
        if domain.total == 0 {
            self.domains.remove(&view.domain);
        }
    }

    fn adjust_spread(&mut self, view: &VmView, adjustment: Adjustment) {
        for entry in &view.classes {
            let spread = self.spread.entry(entry.class.clone()).or_default();
            spread.adjust(view, entry.count, adjustment);
            if spread.total == 0 {
                self.spread.swap_remove(&entry.class);
            }
        }
    }

    /// Finds open VMs with enough free resources.
    pub fn search(&self, search: &Search<'_>) -> SearchResult<'_> {
        let mut found = SearchResult::default();
        let open =
            |name: &DomainId| pool_includes(search.pool, name) && !search.over_quota.contains(name);
        let names = self.domains.keys().filter(|name| open(name)).count();
        let share = (SAMPLE_SIZE / names.max(1)).max(MIN_SAMPLE_PER_DOMAIN);
        for (name, domain) in &self.domains {
            if !pool_includes(search.pool, name) {
                found.outside_pool += domain.total;
            } else if search.over_quota.contains(name) {
                found.over_quota += domain.total;
            } else {
                found.considered += domain.total;
                found.avoided += domain.avoided;
                found.leaving += domain.leaving;
                found.quarantined += count(domain.quarantined.len());
                self.search_domain(domain, search, share, &mut found);
            }
        }
        found
    }

    fn search_domain<'a>(
        &'a self,
        domain: &DomainIndex,
        search: &Search<'_>,
        share: usize,
        found: &mut SearchResult<'a>,
    ) {
        let need = Level::of(search.need);
        let lowest = Level { cores: need.cores, memory: 0, accelerators: 0 };
        let mut buckets = Vec::new();
        let mut visited = 0;
        for (level, bucket) in domain.buckets.range(lowest..) {
            if level.may_fit(need) {
                buckets.push((level.always_fits(need), bucket));
                visited += count(bucket.len());
            }
        }
        let open = domain.total - domain.avoided - domain.leaving - count(domain.quarantined.len());
        found.no_room += open - visited;
        self.sample(&buckets, search, share, found);
    }

    /// Samples VMs from buckets evenly spaced between the fullest and the emptiest: the fullest
    /// pack best, and the emptiest have the fewest neighbours.
    fn sample<'a>(
        &'a self,
        buckets: &[(bool, &Bucket)],
        search: &Search<'_>,
        share: usize,
        found: &mut SearchResult<'a>,
    ) {
        let enough = found.sample.len() + share;
        let stride = buckets.len().div_ceil(share).max(1);
        let per_bucket = share.div_ceil(buckets.len().max(1));
        for first in 0..stride {
            for (always_fits, bucket) in buckets.iter().skip(first).step_by(stride) {
                let room_left = enough.saturating_sub(found.sample.len());
                if room_left == 0 {
                    found.not_sampled += count(bucket.len());
                    continue;
                }
                let max_taken = if first == 0 { per_bucket.min(room_left) } else { room_left };
                self.sample_bucket(bucket, *always_fits, search, max_taken, found);
            }
        }
    }

    fn sample_bucket<'a>(
        &'a self,
        bucket: &Bucket,
        always_fits: bool,
        search: &Search<'_>,
        max_taken: usize,
        found: &mut SearchResult<'a>,
    ) {
        let start = (search.seed, VmId::new(""));
        let after = bucket.range((Bound::Included(&start), Bound::Unbounded));
        let before = bucket.range((Bound::Unbounded, Bound::Excluded(&start)));
        let mut sampled = 0;
        for (visited, (_, id)) in after.chain(before).enumerate() {
            if sampled == max_taken {
                let rest = count(bucket.len() - visited);
                found.not_sampled += rest;
                return;
            }
            let Some(vm) = self.vms.get(id) else { continue };
            if !always_fits && !search.need.fits_in(&vm.view.free) {
                found.no_room += 1;
            } else if search.pool.is_some_and(|pool| !pool.min_size.fits_in(&vm.view.size)) {
                found.too_small += 1;
            } else if search.avoid.contains(id) {
                found.tried_before += 1;
            } else if search.reserved.contains(id) {
                found.reserved += 1;
            } else {
                found.sample.push(vm);
                sampled += 1;
            }
        }
    }
}

/// Whether the pool includes the failure domain.
pub fn pool_includes(pool: Option<&Pool>, domain: &DomainId) -> bool {
    pool.is_none_or(|pool| pool.domains.is_empty() || pool.domains.contains(domain))
}

fn count(len: usize) -> u32 {
    u32::try_from(len).unwrap_or(u32::MAX)
}
