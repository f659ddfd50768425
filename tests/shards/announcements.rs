//! The instances of VMs that the platform lists.
//!
//! The list holds the running VMs and nothing else, unless a test asks for more. The platform is
//! not that exact: the entry of an ended instance stands for some time and can come back, and the
//! entry of a new one can come late.

use indexmap::{IndexMap, IndexSet};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::ops::Range;
use std::sync::Arc;
use std::time::Duration;
use waxwingstall::ids::VmId;
use waxwingstall::kv::Rev;
use waxwingstall::vm::VmEntry;

/// Longest time in milliseconds for which an ended instance stays listed.
const STAYS: u64 = 6000;
/// Longest time until its entry comes back, and for which it then stands.
const GAP: u64 = 4000;
const AGAIN: u64 = 3000;
/// Longest time until a new instance is listed.
const LATE: u64 = 2500;

/// An ended instance, listed at these times.
struct Ended {
    entry: VmEntry,
    listed: Vec<Range<Duration>>,
    /// Whether the list names it before the running VMs.
    first: bool,
}

/// What the platform lists.
#[derive(Default)]
pub struct Announcements {
    /// Listed at all times.
    pub extra: Vec<VmEntry>,
    /// Lists that the next owners of these shards start with.
    pub outdated: IndexMap<Arc<str>, Vec<VmEntry>>,
    ended: Vec<Ended>,
    /// Running instances that are not listed at these times.
    hidden: Vec<(VmId, Range<Duration>)>,
    /// Draws how long the entries of ended instances stand and how late new ones come, if they do.
    rng: Option<SmallRng>,
}

impl Announcements {
    /// Draws from now on how long the entries of ended instances stand and how late new ones come.
    pub fn randomize(&mut self, seed: u64) {
        self.rng = Some(SmallRng::seed_from_u64(seed));
    }

    /// The list of a shard's VMs, of which `running` run.
    pub fn list(&self, now: Duration, shard: &str, mut running: Vec<VmEntry>) -> Vec<VmEntry> {
        running.retain(|vm| {
            !self.hidden.iter().any(|(id, times)| *id == vm.id && times.contains(&now))
        });
        let mut list = running;
        list.extend(self.extra.iter().filter(|vm| vm.domain.as_str() == shard).cloned());
        let ended = self.ended.iter().filter(|ended| ended.entry.domain.as_str() == shard);
        for ended in ended.filter(|ended| ended.listed.iter().any(|times| times.contains(&now))) {
            let at = if ended.first { 0 } else { list.len() };
            list.insert(at, ended.entry.clone());
        }
        // A key of the store holds one announcement.
        let mut keys = IndexSet::new();
        list.retain(|vm| keys.insert(vm.id.registered().to_owned()));
        list
    }

    /// Lists a running instance at no time in `times`.
    pub fn hide(&mut self, vm: &VmId, times: Range<Duration>) {
        self.hidden.push((vm.clone(), times));
    }

    /// Draws when an instance is listed that ends now.
    pub fn note_end(&mut self, entry: &VmEntry, now: Duration) {
        let Some(rng) = &mut self.rng else { return };
        let mut draw = |most| Duration::from_millis(rng.random_range(0..most));
        let until = now + draw(STAYS);
        let back = until + draw(GAP);
        let again = back..back + draw(AGAIN);
        let listed = if rng.random() { vec![now..until, again] } else { vec![now..until] };
        let first = rng.random();
        let mut entry = entry.clone();
        if entry.id.started().is_some() {
            // A late announcement is written after the next instance's under the same key.
            entry.announced = Rev(entry.announced.0 + 1);
        }
        self.ended.push(Ended { entry, listed, first });
    }

    /// Draws from when on an instance is listed that begins now.
    pub fn note_start(&mut self, vm: &VmId, now: Duration) {
        let Some(rng) = &mut self.rng else { return };
        if rng.random() {
            let late = Duration::from_millis(rng.random_range(0..LATE));
            self.hide(vm, now..now + late);
        }
    }
}
