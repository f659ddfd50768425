//! Which daemons answer.
//!
//! The platform's list says who might exist; it lags and is never proof of death. Each daemon
//! probes a few of the listed ones every period and counts any message from a daemon as a sign
//! of life. Before a daemon is reported dead, what has already arrived and is still unread is
//! read: the receiver's side of "SafeTimer: Tolerating Process Delays in Timeout-Based Failure
//! Detection". A receiver that was paused finds its deadline passed and the answers waiting in
//! its sockets; without the barrier it would report every daemon dead at once.
//!
//! This module does no I/O. The peers' thread carries the probes and the barrier.

#[cfg(test)]
mod tests;

use crate::ids::DaemonId;
use crate::listing::DaemonEntry;
use crate::peer::Member;
use indexmap::IndexMap;
use std::time::Duration;

/// How daemons are probed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MembershipSettings {
    /// Time between two rounds of probes.
    pub period: Duration,
    /// Silence after which a daemon is suspected.
    pub timeout: Duration,
    /// Daemons probed in a round.
    pub fanout: usize,
    pub barrier: Barrier,
}

/// Whether unread messages are read before a daemon is reported dead.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Barrier {
    Used,
    /// For measurements only.
    Skipped,
}

impl Default for MembershipSettings {
    fn default() -> Self {
        Self {
            period: Duration::from_secs(1),
            timeout: Duration::from_secs(4),
            fanout: 8,
            barrier: Barrier::Used,
        }
    }
}

/// What the caller does after a round.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Round {
    /// Peer addresses to probe.
    pub probes: Vec<String>,
    /// Whether to send a barrier behind everything that has arrived.
    pub barrier: Option<BarrierId>,
    /// Daemons found dead in this round.
    pub dead: Vec<DaemonId>,
}

/// A barrier on its way through the receiver.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct BarrierId(u64);

#[derive(Clone, Debug)]
struct Peer {
    member: Option<Member>,
    heard: Duration,
    /// The barrier that must pass before this daemon is reported dead.
    suspected: Option<BarrierId>,
}

/// The daemons as seen from this one.
#[derive(Debug)]
pub struct Membership {
    me: Member,
    settings: MembershipSettings,
    peers: IndexMap<String, Peer>,
    next_probe: usize,
    last_round: Option<Duration>,
    last_barrier: u64,
}

impl Membership {
    /// Knows only itself.
    pub fn new(me: Member, settings: MembershipSettings) -> Self {
        Self {
            me,
            settings,
            peers: IndexMap::new(),
            next_probe: 0,
            last_round: None,
            last_barrier: 0,
        }
    }

    /// This daemon as told to the others.
    pub fn me(&self) -> &Member {
        &self.me
    }

    /// Changes what this daemon says of itself.
    pub fn update_me(&mut self, change: impl FnOnce(&mut Member)) {
        change(&mut self.me);
    }

    /// Takes over the addresses of a new list. A daemon that is missing there is kept while it
    /// answers, since the list lags.
    pub fn listed(&mut self, entries: &[DaemonEntry]) {
        for entry in entries.iter().filter(|entry| entry.peer_addr != self.me.peer_addr) {
            self.peers.entry(entry.peer_addr.clone()).or_insert(Peer {
                member: None,
                heard: Duration::ZERO,
                suspected: None,
            });
        }
        self.peers.retain(|addr, peer| {
            peer.member.is_some() || entries.iter().any(|entry| entry.peer_addr == *addr)
        });
    }

    /// Counts a message from a daemon, in either direction, as a sign of life.
    pub fn heard(&mut self, now: Duration, member: &Member) {
        if member.id == self.me.id || member.peer_addr == self.me.peer_addr {
            return;
        }
        let peer = Peer { member: Some(member.clone()), heard: now, suspected: None };
        self.peers.insert(member.peer_addr.clone(), peer);
    }

    /// Suspects the silent, buries those whose barrier has passed, and says whom to probe.
    pub fn round(&mut self, now: Duration) -> Round {
        let mut round = Round::default();
        if self.last_round.is_some_and(|last| now < last + self.settings.period) {
            return round;
        }
        self.last_round = Some(now);
        round.barrier = self.suspect(now);
        if self.settings.barrier == Barrier::Skipped
            && let Some(barrier) = round.barrier.take()
        {
            round.dead = self.passed(barrier);
        }
        round.probes = self.choose_probes();
        round
    }

    /// Buries the daemons that are still silent although all that had arrived has been read.
    pub fn passed(&mut self, barrier: BarrierId) -> Vec<DaemonId> {
        let mut dead = Vec::new();
        for peer in self.peers.values_mut() {
            if peer.suspected == Some(barrier) {
                peer.suspected = None;
                dead.extend(peer.member.take().map(|member| member.id));
            }
        }
        dead
    }

    /// The daemons that answer, this one first.
    pub fn members(&self) -> Vec<Member> {
        let others = self.peers.values().filter_map(|peer| peer.member.clone());
        std::iter::once(self.me.clone()).chain(others).collect()
    }

    /// Peer addresses that are probed.
    pub fn addrs(&self) -> Vec<String> {
        self.peers.keys().cloned().collect()
    }

    /// Whether a daemon at this peer address is listed or answers.
    pub fn knows(&self, addr: &str) -> bool {
        self.peers.contains_key(addr)
    }

    fn suspect(&mut self, now: Duration) -> Option<BarrierId> {
        let timeout = self.settings.timeout;
        let barrier = BarrierId(self.last_barrier + 1);
        let mut any = false;
        for peer in self.peers.values_mut() {
            let silent = peer.member.is_some() && peer.heard + timeout <= now;
            if silent && peer.suspected.is_none() {
                peer.suspected = Some(barrier);
                any = true;
            }
        }
        if !any {
            return None;
        }
        self.last_barrier = barrier.0;
        Some(barrier)
    }

    fn choose_probes(&mut self) -> Vec<String> {
        let count = self.settings.fanout.min(self.peers.len());
        let start = self.next_probe;
        self.next_probe = (start + count) % self.peers.len().max(1);
        (0..count)
            .filter_map(|i| self.peers.get_index((start + i) % self.peers.len()))
            .map(|(addr, _)| addr.clone())
            .collect()
    }
}
