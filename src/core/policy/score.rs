//! What placing a task on a VM would cost.

use super::decide::{Offer, PARTS};
use super::index::{Fleet, Vm};
use super::interference::{Band, Interference, Neighbours};
use crate::ids::ClassName;
use crate::model::{Config, Resumption};
use crate::task::TaskSpec;

/// Cost of room left over, at most; small, so that it only decides between like VMs.
const LEFT_OVER: f64 = 0.04;

/// Cost of processors left over without memory, or the reverse.
const UNLIKE_LEFT_OVER: f64 = 0.06;

/// Cost of putting a task without need for accelerators on a VM with free ones.
const STRANDED_ACCELERATOR: f64 = 0.15;

/// Cost of giving a VM without services to a task that would disturb them less than others do, for
/// each part of slowdown that it disturbs less.
const SPARED_VM: f64 = 2.0;

/// Cost of all instances of a service being in one failure domain, rack or VM.
const SAME_DOMAIN: f64 = 0.6;
const SAME_RACK: f64 = 0.6;
const SAME_VM: f64 = 0.6;

/// Load at which classes are compared.
const TYPICAL_LOAD: f64 = 0.7;

/// Cost of one failure that is blamed on the VM.
const BLAMED_FAILURE: f64 = 0.3;

/// Squared slowdown against plain slowdown in the suffering of a service: a percentile of all
/// requests is made by the VMs that are worst.
const SQUARED: f64 = 2.0;

/// What is known of a VM beside its view.
#[derive(Clone, Copy, Debug, Default)]
pub struct Known {
    /// Measured load, where the VM is held here.
    pub load: Option<f64>,
    /// Measured excess slowdown of the services there.
    pub suffering: Option<f64>,
    /// Failures blamed on the VM.
    pub blame: f64,
}

/// Scores VMs for one task.
#[derive(Clone, Copy, Debug)]
pub struct Scorer<'a> {
    pub config: &'a Config,
    pub fleet: &'a Fleet,
    pub model: &'a Interference,
    pub spec: &'a TaskSpec,
    /// Processors in use for each committed one, fleet-wide.
    pub use_ratio: f64,
    /// Excess slowdown at which a service is helped.
    pub trigger: f64,
    /// Differs from task to task.
    pub seed: u64,
}

impl Scorer<'_> {
    /// The cost of placing the task on a VM that has room for it.
    pub fn offer(&self, vm: &Vm, known: Known) -> Offer {
        let mut cost = Cost::default();
        self.add_slowdowns(vm, known, &mut cost);
        let penalty = self.spread(vm) + known.blame * BLAMED_FAILURE;
        Offer {
            vm: vm.view.vm.clone(),
            tail: parts(cost.tail),
            risk: parts(cost.risk * self.eviction_loss()),
            before: parts(cost.before),
            after: parts(cost.after),
            by_services: parts(cost.services),
            own: parts(cost.own),
            others: parts(cost.others),
            left: parts(self.left_over(vm) + self.spared(vm)),
            penalty: parts(penalty),
            order: vm.order_from(self.seed),
            probe: false,
        }
    }

    fn add_slowdowns(&self, vm: &Vm, known: Known, cost: &mut Cost) {
        let (before, after) = self.bands(vm, known);
        let class = &self.spec.class;
        let classes = &vm.view.classes;
        let neighbours: Vec<_> = classes
            .iter()
            .map(|entry| Neighbours { class: &entry.class, weight: f64::from(entry.count) })
            .collect();
        cost.own = self.model.excess(class, &neighbours, after);
        for (index, entry) in classes.iter().enumerate() {
            let count = f64::from(entry.count);
            let added = self.model.effect(&entry.class, class, after);
            if !is_service(self.config, &entry.class) {
                cost.others += count * added;
                continue;
            }
            let others = without_self(&neighbours, index);
            let excess_before = self.model.excess(&entry.class, &others, before);
            let excess_after = self.model.excess(&entry.class, &others, after) + added;
            let floor = known.suffering.unwrap_or(0.0);
            let rise = (excess_after - excess_before).max(0.0);
            let from = excess_before.max(floor);
            cost.tail += count * (suffering(from + rise) - suffering(from));
            let by_batch = self.by_batch(&entry.class, &neighbours, before);
            let caused = by_batch.max(floor * by_batch / excess_before.max(f64::MIN_POSITIVE));
            cost.before = cost.before.max(caused);
            cost.after = cost.after.max(caused + rise);
            cost.services = cost.services.max(excess_before - by_batch);
            cost.risk = cost.risk.max(self.eviction_chance(from + rise));
        }
    }

    /// Excess slowdown of a service by batch tasks alone. What services do to each other is no
    /// reason to keep batch waiting: without this a VM whose services are many would never take any.
    fn by_batch(&self, service: &ClassName, neighbours: &[Neighbours<'_>], band: Band) -> f64 {
        let batch = neighbours.iter().filter(|n| !is_service(self.config, n.class));
        batch.map(|n| n.weight * self.model.effect(service, n.class, band)).sum()
    }

    fn bands(&self, vm: &Vm, known: Known) -> (Band, Band) {
        let size = f64::from(vm.view.size.milli_cores.0.max(1));
        let added = f64::from(self.spec.resources.milli_cores.0) / size * self.use_ratio;
        let load = known.load.unwrap_or(vm.committed() * self.use_ratio);
        (Band::of(load), Band::of(load + added))
    }

    fn eviction_chance(&self, excess: f64) -> f64 {
        ((excess - 0.5 * self.trigger) / self.trigger).clamp(0.0, 1.0)
    }

    /// How bad an eviction of the task would be; one that can't be evicted makes others go.
    fn eviction_loss(&self) -> f64 {
        match self.spec.resumption {
            Resumption::Checkpoint => 0.7,
            Resumption::FromStart => 1.0,
            Resumption::Never => 1.3,
        }
    }

    fn left_over(&self, vm: &Vm) -> f64 {
        let view = &vm.view;
        let free = view.free.saturating_sub(&self.spec.resources);
        let cores = ratio(free.milli_cores.0, view.size.milli_cores.0);
        let memory = ratio(free.memory_mib.0, view.size.memory_mib.0);
        let wants_none = self.spec.resources.accelerators.0 == 0;
        let stranded =
            if wants_none && free.accelerators.0 > 0 { STRANDED_ACCELERATOR } else { 0.0 };
        LEFT_OVER * cores + UNLIKE_LEFT_OVER * (cores - memory).abs() + stranded
    }

    /// VMs without services are best kept for the classes that disturb services most.
    fn spared(&self, vm: &Vm) -> f64 {
        if vm.view.classes.iter().any(|entry| is_service(self.config, &entry.class)) {
            return 0.0;
        }
        let harm = |class: &ClassName| self.harm_anywhere(class);
        let classes = self.config.batch.keys().map(harm);
        let mean = classes.sum::<f64>() / self.config.batch.len().max(1) as f64;
        SPARED_VM * (mean - harm(&self.spec.class)).max(0.0)
    }

    /// Slowdown that one task of the class causes to the service that it disturbs most.
    fn harm_anywhere(&self, class: &ClassName) -> f64 {
        let band = Band::of(TYPICAL_LOAD);
        let services = self.config.services.keys().map(|name| ClassName::new(name.as_str()));
        services.map(|service| self.model.effect(&service, class, band)).fold(0.0, f64::max)
    }

    fn spread(&self, vm: &Vm) -> f64 {
        let class = &self.spec.class;
        if !is_service(self.config, class) {
            return 0.0;
        }
        let Some(spread) = self.fleet.spread(class) else { return 0.0 };
        let total = f64::from(spread.total.max(1));
        let (in_domain, in_rack) = spread.beside(&vm.view);
        let here = vm.view.classes.iter().find(|entry| entry.class == *class);
        let on_vm = here.map_or(0, |entry| entry.count);
        SAME_DOMAIN * f64::from(in_domain) / total
            + SAME_RACK * f64::from(in_rack) / total
            + SAME_VM * f64::from(on_vm) / total
    }
}

#[derive(Clone, Copy, Debug, Default)]
struct Cost {
    tail: f64,
    risk: f64,
    before: f64,
    after: f64,
    services: f64,
    own: f64,
    others: f64,
}

/// Whether tasks of the class are instances of a service.
pub fn is_service(config: &Config, class: &ClassName) -> bool {
    if config.batch.contains_key(class) {
        return false;
    }
    config.services.keys().any(|service| service.as_str() == class.as_str())
        || config.requests.contains_key(class)
}

/// The neighbours of one task of the class at `index`.
pub fn without_self<'a>(all: &[Neighbours<'a>], index: usize) -> Vec<Neighbours<'a>> {
    let mut others = all.to_vec();
    others[index].weight = (others[index].weight - 1.0).max(0.0);
    others
}

fn suffering(excess: f64) -> f64 {
    excess + SQUARED * excess * excess
}

fn ratio(part: u32, whole: u32) -> f64 {
    if whole == 0 { 0.0 } else { f64::from(part) / f64::from(whole) }
}

fn parts(amount: f64) -> i64 {
    (amount.clamp(-1e6, 1e6) * PARTS).round() as i64
}
