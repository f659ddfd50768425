//! Assignment of VMs and partitions to daemons.
//!
//! Uses rendezvous hashing: when a daemon joins or leaves, only the items that it gains or loses
//! move. The assignment is only a preference for which daemon tries first; a VM's lease table and
//! the compare-and-swap on a partition's log are authoritative.

use crate::core::settings::PartitionHome;
use crate::ids::{DaemonId, DomainId, PartitionId, VmId};
use crate::peer::{Member, MemberState};
use indexmap::{IndexMap, IndexSet};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// The reachable daemons, and the partitions assigned to them.
#[derive(Debug, Default)]
pub struct Members {
    serving: IndexMap<DomainId, Vec<DaemonId>>,
    known: IndexSet<DaemonId>,
    writers: IndexMap<PartitionId, DaemonId>,
}

impl Members {
    /// Replaces the members and recomputes the writers.
    pub fn update(&mut self, members: &[Member], partitions: &[PartitionHome]) {
        self.known = members.iter().map(|member| member.id.clone()).collect();
        self.serving.clear();
        for member in members.iter().filter(|member| member.state == MemberState::Serving) {
            self.serving.entry(member.domain.clone()).or_default().push(member.id.clone());
        }
        self.writers = partitions
            .iter()
            .filter_map(|home| Some((home.id, self.select_writer(home)?.clone())))
            .collect();
    }

    /// Whether the daemon is a reachable member.
    pub fn contains(&self, daemon: &DaemonId) -> bool {
        self.known.contains(daemon)
    }

    /// Daemon preferred as the holder of a VM.
    pub fn preferred_holder(&self, vm: &VmId, domain: &DomainId) -> Option<&DaemonId> {
        self.choose(vm.as_str().as_bytes(), domain)
    }

    /// Daemon preferred as the writer of a partition.
    pub fn preferred_writer(&self, partition: PartitionId) -> Option<&DaemonId> {
        self.writers.get(&partition)
    }

    /// All daemons that are the preferred writer of at least one partition.
    pub fn writers(&self) -> IndexSet<&DaemonId> {
        self.writers.values().collect()
    }

    fn select_writer(&self, home: &PartitionHome) -> Option<&DaemonId> {
        self.choose(&home.id.0.to_le_bytes(), &home.domain)
    }

    /// Daemon with the highest score in the failure domain, or among all if the domain has none.
    fn choose(&self, key: &[u8], domain: &DomainId) -> Option<&DaemonId> {
        let seed = xxh3_64_with_seed(key, 0);
        match self.serving.get(domain) {
            Some(daemons) => highest_score(daemons.iter(), seed),
            None => highest_score(self.serving.values().flatten(), seed),
        }
    }
}

fn highest_score<'a>(
    daemons: impl Iterator<Item = &'a DaemonId>,
    seed: u64,
) -> Option<&'a DaemonId> {
    daemons.max_by_key(|id| (score(seed, id), *id))
}

fn score(seed: u64, daemon: &DaemonId) -> u64 {
    xxh3_64_with_seed(daemon.as_str().as_bytes(), seed)
}
