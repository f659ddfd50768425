//! What the front's thread needs to know of the rest, replaced as a whole.

use crate::ids::DaemonId;
use crate::listing::{EntryState, Listing};
use crate::model::Config;
use crate::peer::{Member, MemberState};
use crate::request::{EndpointInfo, EndpointState, PeerFront};
use std::sync::Arc;

/// Where the daemon is in its life.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Stage {
    /// No configuration is in force yet.
    #[default]
    Starting,
    Serving,
    /// Out of the balancer's choice soon; still serves.
    Unready,
    /// Takes nothing new.
    Draining,
}

/// Whether the platform's list was ever read; before that, having no endpoints means nothing.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ListRead {
    #[default]
    NotYet,
    Read,
}

/// The front's view of the rest.
#[derive(Clone, Debug, Default)]
pub struct FrontView {
    pub stage: Stage,
    pub config: Arc<Config>,
    pub endpoints: Vec<EndpointInfo>,
    pub list: ListRead,
    /// Callers' ports of the daemons that answer.
    pub peers: Vec<PeerFront>,
    fronts: Vec<Front>,
    members: Vec<Member>,
}

#[derive(Clone, Debug, PartialEq, Eq)]
struct Front {
    peer_addr: String,
    front_addr: String,
}

impl FrontView {
    /// Puts a configuration in force; the first one makes the daemon ready.
    pub fn configured(&mut self, config: Arc<Config>) {
        self.config = config;
        if self.stage == Stage::Starting {
            self.stage = Stage::Serving;
        }
    }

    /// Takes over a list; false if nothing changed.
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
            .map(|entry| Front {
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

    /// Takes over the daemons that answer.
    pub fn set_members(&mut self, members: &[Member]) {
        self.members = members.to_vec();
        self.join_peers();
    }

    /// The daemons that answer and take on work.
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
