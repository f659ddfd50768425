//! Fleet sizes and classes of the two users, and the configurations built from them.

use std::time::Duration;
use waxwingstall::ids::{ClassName, DomainId, RackId, TeamName, VmId};
use waxwingstall::model::{
    BatchClass, Config, Idempotency, Pool, Resumption, Service, Team, Urgency, Weights,
};
use waxwingstall::units::Resources;

/// Number of VMs in a rack.
pub const VMS_PER_RACK: usize = 8;

/// A class of batch tasks as declared.
#[derive(Clone, Copy, Debug)]
pub struct Batch {
    pub name: &'static str,
    pub team: &'static str,
    pub cores: u32,
    pub memory_gib: u32,
    pub expected: u64,
    pub resumption: Resumption,
    /// Fraction of the batch load.
    pub load: f64,
}

/// One user's site.
#[derive(Clone, Debug)]
pub struct Site {
    pub name: &'static str,
    pub vms: usize,
    pub size: Resources,
    pub domains: &'static [&'static str],
    pub services: [&'static str; 2],
    pub service_cores: u32,
    pub batch: Vec<Batch>,
    pub weights: Weights,
}

const fn batch(
    name: &'static str,
    team: &'static str,
    cores: u32,
    expected: u64,
    resumption: Resumption,
    load: f64,
) -> Batch {
    Batch { name, team, cores, memory_gib: cores * 3, expected, resumption, load }
}

/// Inkuru Nziza: the tail latency of previews has the highest weight.
pub fn inkuru() -> Site {
    Site {
        name: "Inkuru",
        vms: 50,
        size: Resources::new(32_000, 125 * 1024, 0),
        domains: &["kacyiru", "nyamirambo", "remera"],
        services: ["previews", "orders"],
        service_cores: 4,
        batch: vec![
            batch("narration", "audio", 4, 400, Resumption::Checkpoint, 0.30),
            batch("mastering", "audio", 8, 300, Resumption::Checkpoint, 0.20),
            batch("printing", "books", 6, 200, Resumption::Checkpoint, 0.20),
            batch("thumbnails", "books", 2, 90, Resumption::FromStart, 0.10),
            batch("indexing", "library", 4, 250, Resumption::FromStart, 0.10),
            batch("archive", "library", 2, 500, Resumption::Never, 0.10),
        ],
        weights: Weights { tail: 6.0, evictions: 1.0, throughput: 1.0 },
    }
}

/// Pivnița Brânzei: evictions have the highest weight.
pub fn pivnita() -> Site {
    Site {
        name: "Pivnița",
        vms: 65,
        size: Resources::new(16_000, 60 * 1024, 0),
        domains: &["pivnita-nord", "pivnita-sud", "sala-telemea", "sala-cascaval"],
        services: ["checks", "pages"],
        service_cores: 2,
        batch: vec![
            batch("planning", "affinage", 4, 400, Resumption::Checkpoint, 0.30),
            batch("washing", "affinage", 2, 200, Resumption::Never, 0.10),
            batch("imaging", "dairies", 4, 300, Resumption::Checkpoint, 0.20),
            batch("spectra", "dairies", 3, 250, Resumption::FromStart, 0.15),
            batch("reports", "office", 1, 90, Resumption::FromStart, 0.10),
            batch("training", "office", 6, 500, Resumption::Checkpoint, 0.15),
        ],
        weights: Weights { tail: 1.0, evictions: 6.0, throughput: 1.0 },
    }
}

/// A class of tasks that slow all their neighbours; it is configured like any other class.
pub const NOISY: &str = "noisy";

impl Site {
    pub fn config(&self) -> Config {
        let mut config = Config { weights: self.weights, ..Config::default() };
        config.pools.insert("all".into(), Pool::default());
        for class in &self.batch {
            config.batch.insert(ClassName::new(class.name), self.class(class));
            let quota = self.size.saturating_mul(u32::try_from(self.vms).unwrap_or(u32::MAX));
            config.teams.insert(TeamName::new(class.team), Team { quota });
        }
        for name in self.services {
            let resources = self.service_size();
            config.services.insert(name.into(), Service { slots: 8, connections: 64, resources });
        }
        config
    }

    fn class(&self, class: &Batch) -> BatchClass {
        BatchClass {
            pool: "all".into(),
            team: class.team.into(),
            resources: Resources::new(class.cores * 1000, class.memory_gib * 1024, 0),
            expected: Duration::from_secs(class.expected),
            idempotency: Idempotency::Idempotent,
            resumption: class.resumption,
            urgency: Urgency::Normal,
            max_failures: 4,
        }
    }

    pub fn service_size(&self) -> Resources {
        Resources::new(self.service_cores * 1000, self.service_cores * 2048, 0)
    }

    pub fn vm(&self, index: usize) -> VmId {
        VmId::new(&format!("vm-{index:05}"))
    }

    pub fn domain(&self, index: usize) -> DomainId {
        DomainId::new(self.domains[(index / VMS_PER_RACK) % self.domains.len()])
    }

    pub fn rack(&self, index: usize) -> RackId {
        RackId::new(&format!("rack-{}", index / VMS_PER_RACK))
    }
}
