//! The platform: stand-ins on loopback, sized as two racks of Inkuru's workers.

use std::time::Duration;
use waxwingstall::daemon::{Daemon, Serving};
use waxwingstall::ids::{
    Attempt, BootId, ClassName, DomainId, PartitionId, RackId, ServiceName, TaskId, VmId,
};
use waxwingstall::listing::{DaemonEntry, EndpointEntry, EntryState, WorkerEntry};
use waxwingstall::settings::Settings;
use waxwingstall::units::Resources;
use waxwingstall::worker::{Tenant, TenantKind, VmStatus};
use waxwingstall_standin::balancer::Balancer;
use waxwingstall_standin::endpoint::{Endpoint, EndpointSettings};
use waxwingstall_standin::kv::Kv;
use waxwingstall_standin::ledger::Ledger;
use waxwingstall_standin::list::List;
use waxwingstall_standin::rack::Rack;
use waxwingstall_standin::worker::TableSettings;

const DOMAINS: [&str; 2] = ["kacyiru", "nyamirambo"];
const WORKERS: usize = 4;
const RUNNERS: usize = 2;
const WORKER_SIZE: Resources = Resources::new(32_000, 125_000, 0);
const INSTANCE_SIZE: Resources = Resources::new(8_000, 16_384, 0);
const LIST_LAG: Duration = Duration::from_millis(300);
/// Partition that no daemon writes: its ids name the platform's own tenants.
const PLATFORM_PARTITION: PartitionId = PartitionId(u16::MAX);

/// Every stand-in.
pub struct Platform {
    pub kv: Kv,
    pub list: List,
    pub balancer: Balancer,
    pub ledger: Ledger,
    pub endpoints: Vec<Endpoint>,
    racks: Vec<Rack>,
}

impl Platform {
    /// Starts the stand-ins and fills the list.
    pub fn start() -> Self {
        let ledger = Ledger::new();
        let list = List::start(LIST_LAG);
        let table = TableSettings {
            report_period: Duration::from_secs(1),
            report_lag: Duration::from_secs(1),
            ..TableSettings::default()
        };
        let mut racks = Vec::new();
        let mut endpoints = Vec::new();
        for domain in DOMAINS {
            let rack = Rack::start(workers(domain), &table, &ledger);
            list.update(|listing| listing.workers.extend(entries(domain, &rack)));
            racks.push(rack);
            for i in 0..RUNNERS {
                let endpoint = Endpoint::start(EndpointSettings {
                    slots: 8,
                    service_time: Duration::from_millis(20),
                });
                list.update(|listing| listing.endpoints.push(runner(domain, i, &endpoint)));
                endpoints.push(endpoint);
            }
        }
        Self { kv: Kv::start(), list, balancer: Balancer::start(), ledger, endpoints, racks }
    }

    /// Settings of two daemons in each failure domain.
    pub fn settings(&self) -> Vec<Settings> {
        let partitions: String = DOMAINS
            .iter()
            .enumerate()
            .map(|(id, domain)| format!("[[partitions]]\nid = {id}\ndomain = \"{domain}\"\n"))
            .collect();
        DOMAINS
            .iter()
            .flat_map(|domain| (0..2).map(move |i| (domain, i)))
            .map(|(domain, i)| {
                let text = format!(
                    "name = \"{domain}-{i}\"\ndomain = \"{domain}\"\n\
                     [listen]\nfront = \"127.0.0.1:0\"\npeer = \"127.0.0.1:0\"\n\
                     [platform]\nstore = [\"{}\"]\nlist = \"{}\"\n\
                     [leases]\nttl = \"3s\"\nrenew = \"500ms\"\ndrift_margin = \"200ms\"\n\
                     {partitions}",
                    self.kv.url(),
                    self.list.url()
                );
                Settings::parse("quickstart", &text).expect("settings without faults")
            })
            .collect()
    }

    /// Puts a daemon on the list and behind the balancer.
    pub fn add_daemon(&self, daemon: &Daemon<Serving>) {
        let entry = DaemonEntry {
            domain: DomainId::new(DOMAINS[0]),
            peer_addr: daemon.peer_addr().to_string(),
            front_addr: daemon.front_addr().to_string(),
        };
        self.list.update(|listing| listing.daemons.push(entry));
        self.balancer.add(daemon.front_addr());
    }

    /// Says on the list and on the worker itself that it takes no new work.
    pub fn leave(&self, vm: &VmId) {
        self.list.update(|listing| {
            for entry in listing.workers.iter_mut().filter(|entry| entry.vm == *vm) {
                entry.state = EntryState::Leaving;
            }
        });
        for rack in &self.racks {
            rack.with_table(vm, |table| table.leave());
        }
    }

    /// Restarts a worker: everything that ran there is gone.
    pub fn restart(&self, vm: &VmId) {
        for rack in &self.racks {
            rack.with_table(vm, |table| table.restart());
        }
    }
}

fn workers(domain: &str) -> Vec<VmStatus> {
    (0..WORKERS).map(|i| worker(domain, i)).collect()
}

fn worker(domain: &str, i: usize) -> VmStatus {
    let number = u64::try_from(i).unwrap_or(u64::MAX);
    let instance = Tenant {
        task: TaskId::new(PLATFORM_PARTITION, number),
        attempt: Attempt(1),
        class: ClassName::new("shop"),
        resources: INSTANCE_SIZE,
        kind: TenantKind::Service,
    };
    VmStatus {
        vm: VmId::new(&format!("{domain}-w{i}")),
        domain: DomainId::new(domain),
        rack: RackId::new(&format!("{domain}-r0")),
        size: WORKER_SIZE,
        boot: BootId(1),
        tasks: if i < RUNNERS { vec![instance] } else { Vec::new() },
    }
}

fn entries(domain: &str, rack: &Rack) -> Vec<WorkerEntry> {
    (0..WORKERS)
        .map(|i| {
            let vm = VmId::new(&format!("{domain}-w{i}"));
            let url = rack.url(&vm);
            WorkerEntry { vm, domain: DomainId::new(domain), url, state: EntryState::Live }
        })
        .collect()
}

fn runner(domain: &str, i: usize, endpoint: &Endpoint) -> EndpointEntry {
    EndpointEntry {
        vm: VmId::new(&format!("{domain}-runner{i}")),
        service: ServiceName::new("shop"),
        domain: DomainId::new(domain),
        addr: endpoint.addr().to_string(),
        state: EntryState::Live,
    }
}
