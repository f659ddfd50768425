//! The duty that sends metrics.

use crate::control::{Control, Inspect};
use crate::core::Counters;
use crate::front::view::FrontView;
use crate::metrics::{Counter, Gauge, Metrics};
use crate::peer::VmHealth;
use crate::ring::RING_CAPACITY;
use crate::storage::{Answers, GetStanding, Storage};
use crate::usage::Usage;
use actix::prelude::*;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::watch;

const PERIOD: Duration = Duration::from_secs(10);

/// The reporting duty.
pub struct Report {
    metrics: Arc<Metrics>,
    usage: Arc<Usage>,
    control: Addr<Control>,
    storage: Addr<Storage>,
    front: watch::Receiver<FrontView>,
    counted: Counters,
    peer_bytes: u64,
    peer_messages: u64,
}

/// What the core tells of itself.
struct CoreFigures {
    counters: Counters,
    vms_held: usize,
    vms_quarantined: usize,
    partitions: usize,
    waiting: usize,
    bound: usize,
}

impl Report {
    /// A duty that has sent nothing yet.
    pub fn new(
        metrics: Arc<Metrics>,
        usage: Arc<Usage>,
        control: Addr<Control>,
        storage: Addr<Storage>,
        front: watch::Receiver<FrontView>,
    ) -> Self {
        Self {
            metrics,
            usage,
            control,
            storage,
            front,
            counted: Counters::default(),
            peer_bytes: 0,
            peer_messages: 0,
        }
    }

    fn gather(&mut self, cx: &mut Context<Self>) {
        let core = self.control.send(Inspect(figures));
        let storage = self.storage.send(GetStanding);
        let both = async move { (core.await, storage.await) };
        cx.spawn(both.into_actor(self).map(|(core, storage), this, _| {
            // A duty that has ended has nothing to report.
            if let (Ok(core), Ok(standing)) = (core, storage) {
                this.count(&core);
                let reachable = standing.reach.answers == Answers::Reached;
                this.metrics.set(Gauge::StoreReachable, u64::from(reachable));
                this.metrics.flush();
            }
        }));
    }

    fn count(&mut self, core: &CoreFigures) {
        let rise = |now: u64, before: u64| now.saturating_sub(before);
        let (now, before) = (core.counters, self.counted);
        self.metrics.add(Counter::TasksStarted, rise(now.starts, before.starts));
        self.metrics.add(Counter::TasksEvicted, rise(now.evictions, before.evictions));
        self.metrics.add(Counter::LogCommits, rise(now.commits, before.commits));
        self.metrics.add(Counter::LeasesLapsed, rise(now.leases_lost, before.leases_lost));
        self.counted = now;
        self.gauge(Gauge::VmsHeld, core.vms_held);
        self.gauge(Gauge::VmsQuarantined, core.vms_quarantined);
        self.gauge(Gauge::PartitionsWritten, core.partitions);
        self.gauge(Gauge::TasksWaiting, core.waiting);
        self.gauge(Gauge::TasksBound, core.bound);
        self.count_peers();
        let view = self.front.borrow();
        self.gauge(Gauge::Members, view.members().len());
        self.metrics.set(Gauge::ConfigRevision, view.config.revision.0);
    }

    fn count_peers(&mut self) {
        let (bytes, messages) = (self.usage.peer_bytes(), self.usage.peer_messages());
        self.metrics.add(Counter::PeerBytes, bytes.saturating_sub(self.peer_bytes));
        self.metrics.add(Counter::PeerMessages, messages.saturating_sub(self.peer_messages));
        self.peer_bytes = bytes;
        self.peer_messages = messages;
    }

    fn gauge(&self, gauge: Gauge, value: usize) {
        self.metrics.set(gauge, u64::try_from(value).unwrap_or(u64::MAX));
    }
}

fn figures(control: &Control) -> CoreFigures {
    let core = control.core();
    let vms = core.vms();
    let partitions = core.partitions();
    CoreFigures {
        counters: core.counters(),
        vms_held: vms.len(),
        vms_quarantined: vms.iter().filter(|vm| vm.health == VmHealth::Quarantined).count(),
        partitions: partitions.len(),
        waiting: partitions.iter().map(|partition| partition.waiting).sum(),
        bound: vms.iter().map(|vm| vm.attempts.len()).sum(),
    }
}

impl Actor for Report {
    type Context = Context<Self>;

    fn started(&mut self, cx: &mut Self::Context) {
        cx.set_mailbox_capacity(RING_CAPACITY);
        cx.run_interval(PERIOD, Self::gather);
    }
}
