//! State of the daemon that the front end's thread needs; published as a whole on each change.

use crate::ids::DaemonId;
use crate::listing::{EntryState, Listing};
use crate::model::Config;
use crate::peer::{Member, MemberState};
use crate::request::{EndpointInfo, EndpointState, PeerFront};
use std::sync::Arc;

/// Lifecycle stage of the daemon.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Stage {
    /// No configuration has been applied yet.
    #[default]
    Starting,
    Serving,
    /// Reports itself as not ready to the load balancer, but still serves.
    Unready,
    /// Accepts no new requests.
    Draining,
}

/// Whether the platform's list has been read; before that, an empty list of endpoints has no
/// meaning.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ListRead {
    #[default]
    NotYet,
    Read,
}

/// State of the daemon as seen by the front end.
#[derive(Clone, Debug, Default)]
pub struct FrontView {
    pub stage: Stage,
    pub config: Arc<Config>,
    pub endpoints: Vec<EndpointInfo>,
    pub list: ListRead,
    /// HTTP addresses of the serving daemons.
    pub peers: Vec<PeerFront>,
    fronts: Vec<FrontAddrs>,
    members: Vec<Member>,
}

#[derive(Clone, Debug, PartialEq, Eq)]
struct FrontAddrs {
    peer_addr: String,
    front_addr: String,
}

impl FrontView {
    /// Applies a configuration; the first one starts serving.
    pub fn configured(&mut self, config: Arc<Config>) {
        self.config = config;
        if self.stage == Stage::Starting {
            self.stage = Stage::Serving;
        }
    }

    /// Applies a list; returns false if nothing changed.
    pub fn listed(&mut self, listing: &Listing) -> bool {
        let endpoints: Vec<_> = listing
            .endpoints
            .iter()
            .map(|entry| EndpointInfo {
                vm: entry.vm.clone(),
                service: entry.service.clone(),
                domain: entry.domain.clone(),
                addr: entry.addr.clone(),
                state: match entry.state {
                    EntryState::Live => EndpointState::Live,
                    EntryState::Leaving => EndpointState::Leaving,
                },
            })
            .collect();
        let fronts: Vec<_> = listing
            .daemons
            .iter()
            .map(|entry| FrontAddrs {
                peer_addr: entry.peer_addr.clone(),
                front_addr: entry.front_addr.clone(),
            })
            .collect();
        let changed =
            endpoints != self.endpoints || fronts != self.fronts || self.list == ListRead::NotYet;
        self.list = ListRead::Read;
        self.endpoints = endpoints;
        self.fronts = fronts;
        self.join_peers();
        changed
    }

    /// Replaces the daemons that answer.
    pub fn set_members(&mut self, members: &[Member]) {
        self.members = members.to_vec();
        self.join_peers();
    }

    /// The daemons that answer and accept work.
    pub fn serving(&self) -> impl Iterator<Item = &DaemonId> {
        self.members.iter().filter(|m| m.state == MemberState::Serving).map(|m| &m.id)
    }

    /// The daemons that answer.
    pub fn members(&self) -> &[Member] {
        &self.members
    }

    fn join_peers(&mut self) {
        let front_of =
            |member: &Member| self.fronts.iter().find(|front| front.peer_addr == member.peer_addr);
        self.peers = self
            .members
            .iter()
            .filter(|member| member.state == MemberState::Serving)
            .filter_map(|member| {
                let addr = front_of(member)?.front_addr.clone();
                Some(PeerFront { id: member.id.clone(), domain: member.domain.clone(), addr })
            })
            .collect();
    }
}
