//! Measures the processor time of one decision for fleets of 50 to 14,000 VMs.

use crate::site::{Site, inkuru};
use crate::world::cpu_time;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::sync::Arc;
use std::time::Duration;
use waxwingstall::core::policy::{Candidate, PlacementDecision, Policy};
use waxwingstall::ids::{
    Attempt, BootId, ClassName, DaemonId, DomainId, PartitionId, RackId, TaskId,
};
use waxwingstall::model::{Config, Idempotency, Urgency};
use waxwingstall::peer::{ClassCount, VmHealth, VmView};
use waxwingstall::task::TaskSpec;
use waxwingstall::units::Resources;
use waxwingstall::worker::{TenantUsage, UsageReport};

/// Numbers of VMs known to one policy.
const FLEET_SIZES: [usize; 5] = [50, 200, 1_000, 4_000, 14_000];

/// Number of VMs in one failure domain.
const VMS_PER_DOMAIN: usize = 1000;

const DECISIONS: usize = 3000;

/// Task starts per second at the projected size in two years, and the log writers that share them.
const STARTS_PER_SECOND: f64 = 910.0;
const WRITERS: f64 = 56.0;

/// Prints the cost of decisions for each fleet size.
pub fn table() {
    println!("\n## cost of one decision by VMs known (processor time)");
    println!(
        "{:>8}{:>12}{:>12}{:>14}{:>16}{:>22}",
        "VMs", "choose µs", "wait µs", "upsert µs", "of 50 VMs' cost", "% of a core a writer"
    );
    let mut first = None;
    for vms in FLEET_SIZES {
        let (place, wait, upsert) = measure(vms);
        let base = *first.get_or_insert(place);
        let view_changes = 2.0 * STARTS_PER_SECOND * (vms.min(VMS_PER_DOMAIN) as f64 / 14_000.0);
        let core = (STARTS_PER_SECOND / WRITERS * place + view_changes * upsert) / 1e6 * 100.0;
        println!(
            "{vms:>8}{place:>12.1}{wait:>12.1}{upsert:>14.2}{:>15.2}x{core:>21.2}%",
            place / base
        );
    }
}

fn measure(vms: usize) -> (f64, f64, f64) {
    let site = inkuru();
    let mut config = site.config();
    config.teams.clear();
    let config = Arc::new(config);
    let mut rng = SmallRng::seed_from_u64(7);
    let mut policy = Policy::new(config.clone()).with_settle(Duration::ZERO);
    let mut views: Vec<_> = (0..vms).map(|index| view(&site, index, &mut rng)).collect();
    for view in &views {
        policy.upsert_vm(view.clone());
    }
    let upsert = micros_per_decision(|| {
        for step in 0..DECISIONS {
            let view = &mut views[step % vms];
            view.free.milli_cores.0 = 1000 * rng.random_range(0..16);
            policy.upsert_vm(view.clone());
        }
    });
    train(&mut policy, &views, &mut rng);
    let place = micros_per_decision(|| choose_all(&mut policy, &config, 4));
    for view in &mut views {
        view.free.milli_cores.0 = view.free.milli_cores.0.min(3000);
        policy.upsert_vm(view.clone());
    }
    let wait = micros_per_decision(|| choose_all(&mut policy, &config, 4));
    (place, wait, upsert)
}

/// Trains the policy with one report from each of the first 50 VMs.
fn train(policy: &mut Policy, views: &[VmView], rng: &mut SmallRng) {
    for (index, view) in views.iter().take(50).enumerate() {
        let load = rng.random_range(0.2..0.9);
        let tenants = view.classes.iter().map(|entry| TenantUsage {
            task: TaskId::new(PartitionId(2), index as u64),
            class: entry.class.clone(),
            milli_cores: 0,
            memory_mib: 0,
            slowdown: rng.random_range(1.0..1.1),
            progress: 0.0,
        });
        let report = UsageReport {
            boot: BootId(1),
            seq: 1,
            age: Duration::ZERO,
            load,
            tenants: tenants.collect(),
        };
        policy.handle_report(&view.vm, &report, Duration::from_secs(1));
    }
}

/// Runs `work`, which makes [`DECISIONS`] decisions, and returns the microseconds per decision.
fn micros_per_decision<T>(work: impl FnOnce() -> T) -> f64 {
    let before = cpu_time();
    std::hint::black_box(work());
    (cpu_time() - before).as_secs_f64() * 1e6 / DECISIONS as f64
}

fn choose_all(policy: &mut Policy, config: &Config, cores: u32) -> usize {
    let mut placed = 0;
    for number in 0..DECISIONS {
        let candidate = candidate(config, number as u64, cores);
        let decision = policy.place(&candidate, Duration::from_secs(10));
        placed += usize::from(matches!(decision.choice, PlacementDecision::Place { .. }));
    }
    placed
}

fn candidate(config: &Config, number: u64, cores: u32) -> Candidate {
    let (class, batch) = config.batch.get_index(0).expect("a batch class");
    Candidate {
        task: TaskId::new(PartitionId(1), number),
        attempt: Attempt(1),
        spec: TaskSpec {
            class: class.clone(),
            team: batch.team.clone(),
            pool: batch.pool.clone(),
            resources: Resources::new(cores * 1000, 4096, 0),
            expected: batch.expected,
            idempotency: Idempotency::Idempotent,
            resumption: batch.resumption,
            urgency: Urgency::Normal,
            max_failures: 3,
            payload: String::new(),
        },
        waited: Duration::ZERO,
        avoid: Vec::new(),
    }
}

/// A VM with a random mix of tasks and random free resources.
fn view(site: &Site, index: usize, rng: &mut SmallRng) -> VmView {
    let mut classes = vec![ClassCount { class: ClassName::new(site.services[0]), count: 2 }];
    for class in &site.batch {
        let count = rng.random_range(0..3);
        if count > 0 {
            classes.push(ClassCount { class: ClassName::new(class.name), count });
        }
    }
    let free = Resources::new(1000 * rng.random_range(0..16), 1024 * rng.random_range(0..60), 0);
    VmView {
        vm: site.vm(index),
        holder: DaemonId::from("daemon-1"),
        domain: DomainId::new(&format!("domain-{}", index / VMS_PER_DOMAIN)),
        rack: RackId::new(&format!("rack-{}", index / 8)),
        size: site.size,
        free,
        classes,
        health: VmHealth::Open,
    }
}
