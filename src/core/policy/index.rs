//! The VMs by the room they have, so that a choice looks at few of them.
//!
//! Each failure domain keeps its open VMs in buckets of like free room. A choice visits the buckets
//! that can hold the task and takes a few VMs of each, from a starting point that depends on the
//! task: writers that decide at the same moment from the same views would otherwise all choose the
//! same VM, and its holder would decline all but the first.

use crate::ids::{ClassName, DomainId, RackId, VmId};
use crate::model::Pool;
use crate::peer::{VmHealth, VmView};
use crate::units::Resources;
use indexmap::IndexMap;
use std::collections::{BTreeMap, BTreeSet};
use std::ops::Bound;
use xxhash_rust::xxh3::xxh3_64;

/// VMs taken for exact scoring in one choice.
pub const SAMPLE: usize = 32;

/// Least number taken from one failure domain, however many there are.
const SAMPLE_PER_DOMAIN: usize = 4;

/// A VM with what the index derives from it.
#[derive(Clone, Debug)]
pub struct Vm {
    pub view: VmView,
    /// Place in a bucket's order.
    order: u64,
    level: Level,
}

impl Vm {
    /// Distance from `seed` in the order of buckets.
    pub fn order_from(&self, seed: u64) -> u64 {
        self.order.wrapping_sub(seed)
    }

    /// Share of the processors that is committed, 0 to 1.
    pub fn committed(&self) -> f64 {
        let size = self.view.size.milli_cores.0;
        if size == 0 {
            return 1.0;
        }
        1.0 - f64::from(self.view.free.milli_cores.0.min(size)) / f64::from(size)
    }
}

/// Room on a logarithmic scale; a higher level is surely more room.
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

    fn may_hold(self, need: Self) -> bool {
        self.cores >= need.cores
            && self.memory >= need.memory
            && self.accelerators >= need.accelerators
    }

    fn surely_holds(self, need: Self) -> bool {
        self.cores > need.cores
            && self.memory > need.memory
            && self.accelerators >= need.accelerators
    }
}

/// Four steps for each doubling.
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
struct Domain {
    buckets: BTreeMap<Level, Bucket>,
    total: u32,
    quarantined: BTreeSet<VmId>,
    avoided: u32,
    leaving: u32,
}

/// Instances of one class, by where they are.
#[derive(Clone, Debug, Default)]
pub struct Spread {
    pub total: u32,
    by_domain: IndexMap<DomainId, u32>,
    by_rack: IndexMap<(DomainId, RackId), u32>,
}

impl Spread {
    /// Instances in the domain, and in the rack.
    pub fn beside(&self, view: &VmView) -> (u32, u32) {
        let rack = (view.domain.clone(), view.rack.clone());
        let in_domain = self.by_domain.get(&view.domain).copied().unwrap_or(0);
        (in_domain, self.by_rack.get(&rack).copied().unwrap_or(0))
    }

    fn shift(&mut self, view: &VmView, count: u32, sign: Sign) {
        let rack = (view.domain.clone(), view.rack.clone());
        sign.apply(&mut self.total, count);
        sign.apply(self.by_domain.entry(view.domain.clone()).or_default(), count);
        sign.apply(self.by_rack.entry(rack).or_default(), count);
    }
}

#[derive(Clone, Copy, Debug)]
enum Sign {
    Add,
    Remove,
}

impl Sign {
    fn apply(self, total: &mut u32, count: u32) {
        *total = match self {
            Self::Add => total.saturating_add(count),
            Self::Remove => total.saturating_sub(count),
        };
    }
}

/// What a search found.
#[derive(Clone, Debug, Default)]
pub struct Found<'a> {
    /// Open VMs with room, at most about [`SAMPLE`].
    pub sample: Vec<&'a Vm>,
    /// VMs in the pool's failure domains.
    pub considered: u32,
    pub outside: u32,
    pub over_quota: u32,
    pub quarantined: u32,
    pub avoided: u32,
    pub leaving: u32,
    pub too_small: u32,
    pub held_back: u32,
    pub tried_before: u32,
    /// Open VMs without room.
    pub no_room: u32,
    /// VMs with room, or surely about that, that were not sampled.
    pub not_sampled: u32,
}

/// What a search asks for.
#[derive(Clone, Copy, Debug)]
pub struct Search<'a> {
    pub need: &'a Resources,
    pub pool: Option<&'a Pool>,
    pub avoid: &'a [VmId],
    /// VMs kept for another task.
    pub held_back: &'a [VmId],
    /// Failure domains where the team's allowance has no room.
    pub over_quota: &'a [DomainId],
    /// Decides where in each bucket the sample starts.
    pub seed: u64,
}

/// All VMs that are known.
#[derive(Clone, Debug, Default)]
pub struct Fleet {
    vms: IndexMap<VmId, Vm>,
    domains: BTreeMap<DomainId, Domain>,
    spread: IndexMap<ClassName, Spread>,
}

impl Fleet {
    /// Adds a VM or replaces what is known of it; returns the former view.
    pub fn upsert(&mut self, view: VmView) -> Option<VmView> {
        let old = self.remove(&view.vm);
        let order = xxh3_64(view.vm.as_str().as_bytes());
        let vm = Vm { order, level: Level::of(&view.free), view };
        self.enter(&vm);
        self.vms.insert(vm.view.vm.clone(), vm);
        old
    }

    /// Forgets a VM; returns what was known.
    pub fn remove(&mut self, vm: &VmId) -> Option<VmView> {
        let old = self.vms.swap_remove(vm)?;
        self.leave(&old);
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

    /// Quarantined VMs, in the order of their ids in each domain.
    pub fn quarantined(&self) -> impl Iterator<Item = &Vm> {
        self.domains.values().flat_map(|domain| &domain.quarantined).filter_map(|vm| self.get(vm))
    }

    /// Failure domains that have a VM.
    pub fn domains(&self) -> impl Iterator<Item = &DomainId> {
        self.domains.keys()
    }

    pub fn spread(&self, class: &ClassName) -> Option<&Spread> {
        self.spread.get(class)
    }

    fn enter(&mut self, vm: &Vm) {
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
        self.shift_spread(view, Sign::Add);
    }

    fn leave(&mut self, vm: &Vm) {
        let view = &vm.view;
        self.shift_spread(view, Sign::Remove);
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

    fn shift_spread(&mut self, view: &VmView, sign: Sign) {
        for entry in &view.classes {
            let spread = self.spread.entry(entry.class.clone()).or_default();
            spread.shift(view, entry.count, sign);
            if spread.total == 0 {
                self.spread.swap_remove(&entry.class);
            }
        }
    }

    /// Finds open VMs with room.
    pub fn search(&self, search: &Search<'_>) -> Found<'_> {
        let mut found = Found::default();
        let open =
            |name: &DomainId| allowed(search.pool, name) && !search.over_quota.contains(name);
        let names = self.domains.keys().filter(|name| open(name)).count();
        let share = (SAMPLE / names.max(1)).max(SAMPLE_PER_DOMAIN);
        for (name, domain) in &self.domains {
            if !allowed(search.pool, name) {
                found.outside += domain.total;
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
        domain: &Domain,
        search: &Search<'_>,
        share: usize,
        found: &mut Found<'a>,
    ) {
        let need = Level::of(search.need);
        let lowest = Level { cores: need.cores, memory: 0, accelerators: 0 };
        let mut buckets = Vec::new();
        let mut visited = 0;
        for (level, bucket) in domain.buckets.range(lowest..) {
            if level.may_hold(need) {
                buckets.push((level.surely_holds(need), bucket));
                visited += count(bucket.len());
            }
        }
        let open = domain.total - domain.avoided - domain.leaving - count(domain.quarantined.len());
        found.no_room += open - visited;
        self.sample(&buckets, search, share, found);
    }

    /// Takes VMs from buckets that are evenly spaced from the fullest to the emptiest: the fullest
    /// fit best, the emptiest have the fewest neighbours.
    fn sample<'a>(
        &'a self,
        buckets: &[(bool, &Bucket)],
        search: &Search<'_>,
        share: usize,
        found: &mut Found<'a>,
    ) {
        let enough = found.sample.len() + share;
        let stride = buckets.len().div_ceil(share).max(1);
        let per_bucket = share.div_ceil(buckets.len().max(1));
        for first in 0..stride {
            for (sure, bucket) in buckets.iter().skip(first).step_by(stride) {
                let room_left = enough.saturating_sub(found.sample.len());
                if room_left == 0 {
                    found.not_sampled += count(bucket.len());
                    continue;
                }
                let most = if first == 0 { per_bucket.min(room_left) } else { room_left };
                self.sample_bucket(bucket, *sure, search, most, found);
            }
        }
    }

    fn sample_bucket<'a>(
        &'a self,
        bucket: &Bucket,
        sure: bool,
        search: &Search<'_>,
        most: usize,
        found: &mut Found<'a>,
    ) {
        let start = (search.seed, VmId::new(""));
        let after = bucket.range((Bound::Included(&start), Bound::Unbounded));
        let before = bucket.range((Bound::Unbounded, Bound::Excluded(&start)));
        let mut taken = 0;
        for (visited, (_, id)) in after.chain(before).enumerate() {
            if taken == most {
                let rest = count(bucket.len() - visited);
                found.not_sampled += rest;
                return;
            }
            let Some(vm) = self.vms.get(id) else { continue };
            if !sure && !search.need.fits_in(&vm.view.free) {
                found.no_room += 1;
            } else if search.pool.is_some_and(|pool| !pool.min_size.fits_in(&vm.view.size)) {
                found.too_small += 1;
            } else if search.avoid.contains(id) {
                found.tried_before += 1;
            } else if search.held_back.contains(id) {
                found.held_back += 1;
            } else {
                found.sample.push(vm);
                taken += 1;
            }
        }
    }
}

/// Whether the pool uses the failure domain.
pub fn allowed(pool: Option<&Pool>, domain: &DomainId) -> bool {
    pool.is_none_or(|pool| pool.domains.is_empty() || pool.domains.contains(domain))
}

fn count(len: usize) -> u32 {
    u32::try_from(len).unwrap_or(u32::MAX)
}
