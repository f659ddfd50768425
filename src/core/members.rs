//! Which daemon is proposed for a VM or a partition.
//!
//! Rendezvous hashing: when a daemon joins or leaves, only what it wins or had moves. It merely
//! proposes who asks; a VM's lease table and the log's compare-and-swap decide.

use crate::core::settings::PartitionHome;
use crate::ids::{DaemonId, DomainId, PartitionId, VmId};
use crate::peer::{Member, MemberState};
use indexmap::{IndexMap, IndexSet};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// The daemons that answer, and what is proposed to each.
#[derive(Debug, Default)]
pub struct Members {
    serving: IndexMap<DomainId, Vec<DaemonId>>,
    known: IndexSet<DaemonId>,
    writers: IndexMap<PartitionId, DaemonId>,
}

impl Members {
    /// Replaces the members.
    pub fn update(&mut self, members: &[Member], partitions: &[PartitionHome]) {
        self.known = members.iter().map(|member| member.id.clone()).collect();
        self.serving.clear();
        for member in members.iter().filter(|member| member.state == MemberState::Serving) {
            self.serving.entry(member.domain.clone()).or_default().push(member.id.clone());
        }
        self.writers = partitions
            .iter()
            .filter_map(|home| Some((home.id, self.writer(home)?.clone())))
            .collect();
    }

    /// Whether the daemon answers.
    pub fn contains(&self, daemon: &DaemonId) -> bool {
        self.known.contains(daemon)
    }

    /// Daemon proposed to hold a VM.
    pub fn holder_of(&self, vm: &VmId, domain: &DomainId) -> Option<&DaemonId> {
        self.choose(vm.as_str().as_bytes(), domain)
    }

    /// Daemon proposed to write a partition.
    pub fn writer_of(&self, partition: PartitionId) -> Option<&DaemonId> {
        self.writers.get(&partition)
    }

    /// Every daemon proposed to write some partition.
    pub fn writers(&self) -> IndexSet<&DaemonId> {
        self.writers.values().collect()
    }

    fn writer(&self, home: &PartitionHome) -> Option<&DaemonId> {
        self.choose(&home.id.0.to_le_bytes(), &home.domain)
    }

    /// Highest score among the domain's daemons; among all, where the domain has none.
    fn choose(&self, key: &[u8], domain: &DomainId) -> Option<&DaemonId> {
        let seed = xxh3_64_with_seed(key, 0);
        match self.serving.get(domain) {
            Some(daemons) => highest(daemons.iter(), seed),
            None => highest(self.serving.values().flatten(), seed),
        }
    }
}

fn highest<'a>(daemons: impl Iterator<Item = &'a DaemonId>, seed: u64) -> Option<&'a DaemonId> {
    daemons.max_by_key(|id| (score(seed, id), *id))
}

fn score(seed: u64, daemon: &DaemonId) -> u64 {
    xxh3_64_with_seed(daemon.as_str().as_bytes(), seed)
}
