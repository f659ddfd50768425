//! Every stand-in together, sized as a few racks of Inkuru's workers.

use crate::balancer::Balancer;
use crate::endpoint::{Endpoint, EndpointSettings};
use crate::kv::Kv;
use crate::ledger::Ledger;
use crate::list::List;
use crate::rack::{Rack, Reach};
use crate::worker::TableSettings;
use std::time::Duration;
use waxwingstall::daemon::{Daemon, Serving};
use waxwingstall::ids::{
    Attempt, BootId, ClassName, DomainId, PartitionId, RackId, ServiceName, TaskId, VmId,
};
use waxwingstall::listing::{DaemonEntry, EndpointEntry, EntryState, WorkerEntry};
use waxwingstall::settings::Settings;
use waxwingstall::units::Resources;
use waxwingstall::worker::{Tenant, TenantKind, VmStatus};

const WORKER_SIZE: Resources = Resources::new(32_000, 125_000, 0);
const INSTANCE_SIZE: Resources = Resources::new(8_000, 16_384, 0);
const LIST_LAG: Duration = Duration::from_millis(300);
/// Partition that no daemon writes: its ids name the platform's own tenants.
const PLATFORM_PARTITION: PartitionId = PartitionId(u16::MAX);

/// How much of everything there is.
#[derive(Clone, Debug)]
pub struct PlatformSettings {
    pub domains: Vec<DomainId>,
    /// Workers of each failure domain, in one rack.
    pub workers: usize,
    /// Runners of each failure domain.
    pub runners: usize,
    /// Daemons of each failure domain.
    pub daemons: usize,
}

impl Default for PlatformSettings {
    fn default() -> Self {
        let domains = ["kacyiru", "nyamirambo"].map(DomainId::new).to_vec();
        Self { domains, workers: 4, runners: 2, daemons: 2 }
    }
}

/// Every stand-in.
pub struct Platform {
    settings: PlatformSettings,
    pub kv: Kv,
    pub list: List,
    pub balancer: Balancer,
    pub ledger: Ledger,
    pub endpoints: Vec<Endpoint>,
    racks: Vec<Rack>,
}

impl Platform {
    /// Starts the stand-ins and fills the list.
    pub fn start(settings: PlatformSettings) -> Self {
        let ledger = Ledger::new();
        let list = List::start(LIST_LAG);
        let table = TableSettings {
            report_period: Duration::from_secs(1),
            report_lag: Duration::from_secs(1),
            ..TableSettings::default()
        };
        let mut racks = Vec::new();
        let mut endpoints = Vec::new();
        for domain in &settings.domains {
            let vms: Vec<_> = (0..settings.workers)
                .map(|i| worker(domain, i, if i < settings.runners { 1 } else { 0 }))
                .collect();
            let names: Vec<_> = vms.iter().map(|status| status.vm.clone()).collect();
            let rack = Rack::start(vms, &table, &ledger);
            list.update(|listing| listing.workers.extend(entries(domain, &names, &rack)));
            racks.push(rack);
            for i in 0..settings.runners {
                let endpoint = Endpoint::start(EndpointSettings {
                    slots: 8,
                    service_time: Duration::from_millis(20),
                    ..EndpointSettings::default()
                });
                list.update(|listing| listing.endpoints.push(runner(domain, i, &endpoint)));
                endpoints.push(endpoint);
            }
        }
        let (kv, balancer) = (Kv::start(), Balancer::start());
        Self { settings, kv, list, balancer, ledger, endpoints, racks }
    }

    /// Texts of the settings files of all daemons, with ports chosen at their start.
    pub fn settings_texts(&self) -> Vec<String> {
        let domains = self.settings.domains.iter();
        domains
            .flat_map(|domain| (0..self.settings.daemons).map(move |i| (domain, i)))
            .map(|(domain, i)| self.settings_text(domain, i))
            .collect()
    }

    /// Settings of all daemons.
    ///
    /// # Panics
    ///
    /// If the texts have faults, which is a mistake in this stand-in.
    pub fn settings(&self) -> Vec<Settings> {
        let parse = |text: &String| Settings::parse("stand-in", text).expect("sound settings");
        self.settings_texts().iter().map(parse).collect()
    }

    fn settings_text(&self, domain: &DomainId, i: usize) -> String {
        let domains = self.settings.domains.iter().enumerate();
        let partitions: String = domains
            .map(|(id, domain)| format!("\n[[partitions]]\nid = {id}\ndomain = \"{domain}\"\n"))
            .collect();
        format!(
            "name = \"{domain}-{i}\"\ndomain = \"{domain}\"\n\n\
             [listen]\nfront = \"127.0.0.1:0\"\npeer = \"127.0.0.1:0\"\n\n\
             [platform]\nstore = [\"{}\"]\nlist = \"{}\"\n\n\
             [leases]\nttl = \"3s\"\nrenew = \"500ms\"\ndrift_margin = \"200ms\"\n\
             {partitions}",
            self.kv.url(),
            self.list.url()
        )
    }

    /// Puts a daemon on the list and behind the balancer.
    pub fn add_daemon(&self, daemon: &Daemon<Serving>) {
        let entry = DaemonEntry {
            domain: daemon.domain().clone(),
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

    /// Every worker.
    pub fn vms(&self) -> Vec<VmId> {
        let domains = self.settings.domains.iter();
        let name = |domain: &DomainId, i: usize| VmId::new(&format!("{domain}-w{i}"));
        domains.flat_map(|d| (0..self.settings.workers).map(move |i| name(d, i))).collect()
    }

    /// Batch tasks that a worker runs now.
    pub fn batch_tasks(&self, vm: &VmId) -> usize {
        let count = |status: VmStatus| {
            status.tasks.iter().filter(|tenant| tenant.kind == TenantKind::Batch).count()
        };
        let racks = self.racks.iter();
        racks.filter_map(|rack| rack.with_table(vm, |table| count(table.status()))).sum()
    }

    /// Lets time pass for workers that nobody calls.
    pub fn advance(&self) {
        self.racks.iter().for_each(Rack::advance);
    }

    /// Lets no call reach any worker.
    pub fn cut_off_workers(&self) {
        for vm in self.vms() {
            for rack in &self.racks {
                rack.set_reach(&vm, Reach::CutOff);
            }
        }
    }

    /// Restarts a worker: everything that ran there is gone.
    pub fn restart(&self, vm: &VmId) {
        for rack in &self.racks {
            rack.with_table(vm, |table| table.restart());
        }
    }
}

fn worker(domain: &DomainId, i: usize, instances: u64) -> VmStatus {
    let first = u64::try_from(i).unwrap_or(u64::MAX) << 8;
    let instance = |n: u64| Tenant {
        task: TaskId::new(PLATFORM_PARTITION, first + n),
        attempt: Attempt(1),
        class: ClassName::new("shop"),
        resources: INSTANCE_SIZE,
        kind: TenantKind::Service,
    };
    VmStatus {
        vm: VmId::new(&format!("{domain}-w{i}")),
        domain: domain.clone(),
        rack: RackId::new(&format!("{domain}-r0")),
        size: WORKER_SIZE,
        boot: BootId(1),
        tasks: (0..instances).map(instance).collect(),
    }
}

fn entries(domain: &DomainId, vms: &[VmId], rack: &Rack) -> Vec<WorkerEntry> {
    vms.iter()
        .map(|vm| WorkerEntry {
            vm: vm.clone(),
            domain: domain.clone(),
            url: rack.url(vm),
            state: EntryState::Live,
        })
        .collect()
}

fn runner(domain: &DomainId, i: usize, endpoint: &Endpoint) -> EndpointEntry {
    EndpointEntry {
        vm: VmId::new(&format!("{domain}-w{i}")),
        service: ServiceName::new("shop"),
        domain: domain.clone(),
        addr: endpoint.addr().to_string(),
        state: EntryState::Live,
    }
}
