//! Assignment of VMs to shards.
//!
//! A shard is a set of racks in one failure domain. A VM keeps its rack over a restart and so
//! returns to the same shard. The plan is a single value in the store. The first daemon that sees
//! a new rack adds it, and existing assignments never change, so a stale copy of the plan may be
//! incomplete but is never wrong.

use crate::ids::{DomainId, RackId};
use crate::vm::VmEntry;
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

/// Key of the plan in the store.
pub const PLAN_KEY: &str = "plan";

/// Target number of VMs in a shard. A poll of a VM costs about 0.15 ms of CPU, and so does an
/// order; at 3 polls and 2 orders a second for each VM, 32 VMs take about 25 ms of CPU a second.
pub const SHARD_VMS: usize = 32;

/// Shard numbers of all racks, by failure domain.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Plan {
    domains: IndexMap<DomainId, DomainPlan>,
}

/// Racks of one failure domain.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
struct DomainPlan {
    shards: u32,
    racks: IndexMap<RackId, PlannedRack>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct PlannedRack {
    shard: u32,
    /// Number of VMs in the rack when it was added.
    vms: u32,
}

impl Plan {
    /// The shard of a VM, if its rack is in the plan.
    pub fn shard_of(&self, vm: &VmEntry) -> Option<String> {
        self.shard_of_rack(&vm.domain, &vm.rack)
    }

    /// The shard of a rack, if the rack is in the plan.
    pub fn shard_of_rack(&self, domain: &DomainId, rack: &RackId) -> Option<String> {
        let planned = self.domains.get(domain)?.racks.get(rack)?;
        Some(shard_name(domain, planned.shard))
    }

    /// The VMs of a shard.
    pub fn vms_of<'a>(
        &'a self,
        shard: &'a str,
        vms: &'a [VmEntry],
    ) -> impl Iterator<Item = &'a VmEntry> {
        let named = shard.rsplit_once('.').and_then(|(domain, n)| Some((domain, n.parse().ok()?)));
        let (domain, number): (&str, Option<u32>) =
            named.map_or(("", None), |(domain, number)| (domain, Some(number)));
        vms.iter().filter(move |vm| {
            let planned = || Some(self.domains.get(&vm.domain)?.racks.get(&vm.rack)?.shard);
            vm.domain.as_str() == domain && number.is_some() && planned() == number
        })
    }

    /// All shards with their failure domains.
    pub fn shards(&self) -> Vec<(String, DomainId)> {
        let mut shards = Vec::new();
        for (domain, plan) in &self.domains {
            shards.extend((0..plan.shards).map(|n| (shard_name(domain, n), domain.clone())));
        }
        shards
    }

    /// Whether all racks of another plan are in this one. Plans only grow, so a plan without some of
    /// them is older.
    pub fn has_racks_of(&self, other: &Self) -> bool {
        other.domains.iter().all(|(domain, theirs)| {
            let ours = self.domains.get(domain);
            theirs.racks.keys().all(|rack| ours.is_some_and(|ours| ours.racks.contains_key(rack)))
        })
    }

    /// The plan extended with the racks of these VMs, or `None` if all of them are planned already.
    pub fn extended(&self, vms: &[VmEntry]) -> Option<Self> {
        let mut counts: IndexMap<(&DomainId, &RackId), u32> = IndexMap::new();
        for vm in vms {
            *counts.entry((&vm.domain, &vm.rack)).or_default() += 1;
        }
        let known = |domain: &DomainId, rack: &RackId| {
            self.domains.get(domain).is_some_and(|plan| plan.racks.contains_key(rack))
        };
        counts.retain(|(domain, rack), _| !known(domain, rack));
        if counts.is_empty() {
            return None;
        }
        counts.sort_unstable_keys();
        let mut plan = self.clone();
        let mut new: IndexMap<&DomainId, Vec<(&RackId, u32)>> = IndexMap::new();
        for ((domain, rack), vms) in counts {
            new.entry(domain).or_default().push((rack, vms));
        }
        for (domain, racks) in new {
            plan.domains.entry(domain.clone()).or_default().add_racks(&racks);
        }
        Some(plan)
    }
}

impl DomainPlan {
    fn add_racks(&mut self, racks: &[(&RackId, u32)]) {
        let vms = |plan: &Self| plan.racks.values().map(|rack| rack.vms).sum::<u32>();
        let all = vms(self) + racks.iter().map(|(_, vms)| vms).sum::<u32>();
        let needed = (all as usize).div_ceil(SHARD_VMS).max(1);
        self.shards = self.shards.max(u32::try_from(needed).unwrap_or(u32::MAX));
        for (rack, vms) in racks {
            let load = |shard: u32| -> u32 {
                self.racks.values().filter(|rack| rack.shard == shard).map(|rack| rack.vms).sum()
            };
            let shard = (0..self.shards).min_by_key(|shard| load(*shard)).unwrap_or(0);
            self.racks.insert((*rack).clone(), PlannedRack { shard, vms: *vms });
        }
    }
}

fn shard_name(domain: &DomainId, number: u32) -> String {
    format!("{domain}.{number}")
}
