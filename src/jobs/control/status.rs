//! Status report for operators.

use super::Control;
use crate::api::{
    ConfigStatus, DaemonState, MemberStatus, ShardStatus, Status, StoreStatus, millis,
};
use crate::cluster::{MemberStage, StoreReachability};
use crate::ids::{ClassName, Revision};
use crate::jobs::confirmed::ConfirmationStatus;
use crate::jobs::view::Readiness;
use crate::peer::MemberState;
use actix::prelude::*;
use indexmap::IndexMap;

/// Requests the daemon's status.
#[derive(Message)]
#[rtype(result = "Status")]
pub struct GetStatus;

impl Handler<GetStatus> for Control {
    type Result = MessageResult<GetStatus>;

    fn handle(&mut self, _: GetStatus, _: &mut Self::Context) -> Self::Result {
        MessageResult(self.status())
    }
}

impl Control {
    fn status(&self) -> Status {
        let now = self.clock.now();
        let me = self.ownership.me();
        let reachable = self.store_reach == StoreReachability::Reached;
        Status {
            daemon: me.id.clone(),
            domain: me.domain.clone(),
            state: self.state(),
            revision: Revision(self.queues.as_ref().map_or(0, |queues| queues.version)),
            store: StoreStatus { reachable, since_ms: millis(self.ownership.store_state_age(now)) },
            vms_held: self.hosted.values().map(|hosted| hosted.summary.vms).sum(),
            leases_near_lapse: 0,
            queued: self.queued(),
            refusals: IndexMap::new(),
            partitions: Vec::new(),
            shards: self.shards(),
            configuration: Some(ConfigStatus {
                unconfirmed_ms: millis(self.config_confirmation.age(now)),
                calls_refused: self.config_confirmation.status(now)
                    == ConfirmationStatus::Unconfirmed,
                newest_heard: Revision(self.ownership.newest_config()),
                fault: self.config_error.clone(),
            }),
            members: self.ownership.member_configs().map(member_status).collect(),
        }
    }

    fn state(&self) -> DaemonState {
        if self.ownership.me().stage == MemberStage::Draining {
            return DaemonState::Draining;
        }
        match self.view.borrow().readiness {
            Readiness::Ready => DaemonState::Serving,
            Readiness::NotReady { .. } => DaemonState::Starting,
        }
    }

    fn queued(&self) -> IndexMap<ClassName, u32> {
        let mut queued = IndexMap::new();
        for (queue, count) in self.hosted.values().flat_map(|hosted| &hosted.summary.queued) {
            *queued.entry(ClassName::new(queue.as_str())).or_default() += count;
        }
        queued
    }

    fn shards(&self) -> Vec<ShardStatus> {
        let status = |shard: String| {
            let owner = self.ownership.owner(&shard).map(|owner| owner.id);
            ShardStatus { shard, owner }
        };
        self.ownership.shards().into_iter().map(status).collect()
    }
}

fn member_status((member, config): (&crate::cluster::Member, u64)) -> MemberStatus {
    MemberStatus {
        daemon: member.id.clone(),
        domain: member.domain.clone(),
        state: match member.stage {
            MemberStage::Serving => MemberState::Serving,
            MemberStage::Draining => MemberState::Draining,
        },
        revision: Revision(config),
    }
}
