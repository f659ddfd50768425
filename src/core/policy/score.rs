//! Scores the predicted cost of placing a task on a VM.

use super::decide::{Offer, PPM};
use super::index::{Fleet, Vm};
use super::interference::{self as model, Band, Interference, Neighbours};
use crate::ids::ClassName;
use crate::model::{Config, Resumption};
use crate::peer::ClassCount;
use crate::task::TaskSpec;
use indexmap::IndexSet;

/// Maximum cost of leftover processors; small, so that it only decides between similar VMs.
const LEFTOVER_COST: f64 = 0.04;

/// Maximum cost of leftover processors without memory, or the reverse.
const UNBALANCED_LEFTOVER_COST: f64 = 0.06;

/// Cost of placing a task that needs no accelerator on a VM with free accelerators.
const STRANDED_ACCELERATOR_COST: f64 = 0.15;

/// Cost of using a VM without services for a task that slows services less than the mean class, per
/// unit of excess slowdown below the mean.
const SERVICE_FREE_VM_COST: f64 = 2.0;

/// Cost if all instances of a service are in the same failure domain, rack or VM.
const SAME_DOMAIN_COST: f64 = 0.6;
const SAME_RACK_COST: f64 = 0.6;
const SAME_VM_COST: f64 = 0.6;

/// Load at which the effects of classes are compared.
const TYPICAL_LOAD: f64 = 0.7;

/// Cost of one failure attributed to the VM.
const FAILURE_COST: f64 = 0.3;

/// Weight of squared relative to linear slowdown in the tail cost of a service, because the slowest
/// VMs determine a high percentile over all requests.
const SQUARED_WEIGHT: f64 = 2.0;

/// Measurements of a VM that are not part of its view.
#[derive(Clone, Copy, Debug, Default)]
pub struct VmStats {
    /// Measured load, if this daemon holds the VM.
    pub load: Option<f64>,
    /// Measured excess slowdown of the most affected service there.
    pub worst_excess: Option<f64>,
    /// Decayed count of failures attributed to the VM.
    pub blame: f64,
}

/// Scores VMs for one task.
#[derive(Clone, Copy, Debug)]
pub struct Scorer<'a> {
    pub fleet: &'a Fleet,
    pub services: &'a IndexSet<ClassName>,
    pub model: &'a Interference,
    pub spec: &'a TaskSpec,
    /// Fleet-wide ratio of used to committed processors.
    pub use_ratio: f64,
    /// Excess slowdown above which a service is relieved.
    pub trigger: f64,
    /// Differs between tasks.
    pub seed: u64,
    class: model::ClassIndex,
    /// Cost of using a VM without services.
    service_free_cost: f64,
}

impl<'a> Scorer<'a> {
    /// Creates a scorer for one task from the current model.
    pub fn new(
        fleet: &'a Fleet,
        services: &'a IndexSet<ClassName>,
        model: &'a Interference,
        spec: &'a TaskSpec,
    ) -> Self {
        let class = model.lookup(&spec.class);
        let (use_ratio, trigger, seed, service_free_cost) = (1.0, 1.0, 0, 0.0);
        Self { fleet, services, model, spec, use_ratio, trigger, seed, class, service_free_cost }
    }

    /// Sets the cost of using a VM without services, by comparing the task with the mean class.
    pub fn with_classes(mut self, config: &Config) -> Self {
        let harms = config.batch.keys().map(|class| self.harm(self.model.lookup(class)));
        let mean = harms.sum::<f64>() / config.batch.len().max(1) as f64;
        self.service_free_cost = SERVICE_FREE_VM_COST * (mean - self.harm(self.class)).max(0.0);
        self
    }

    /// Excess slowdown that one task of the class causes to the service that it affects most.
    fn harm(&self, class: model::ClassIndex) -> f64 {
        let band = Band::of(TYPICAL_LOAD);
        let services = self.services.iter().map(|service| self.model.lookup(service));
        services.map(|service| self.model.effect_of(service, class, band)).fold(0.0, f64::max)
    }

    /// Predicts the cost of placing the task on a VM that fits it.
    pub fn offer(&self, vm: &Vm, stats: VmStats) -> Offer {
        let mut cost = SlowdownCost::default();
        self.add_slowdowns(vm, stats, &mut cost);
        let penalty = self.spread_cost(vm) + stats.blame * FAILURE_COST;
        Offer {
            vm: vm.view.vm.clone(),
            tail: to_ppm(cost.tail),
            risk: to_ppm(cost.risk * self.eviction_loss()),
            before: to_ppm(cost.before),
            after: to_ppm(cost.after),
            by_services: to_ppm(cost.services),
            own: to_ppm(cost.own),
            others: to_ppm(cost.others),
            left: to_ppm(self.leftover_cost(vm) + self.service_free_cost(vm)),
            penalty: to_ppm(penalty),
            order: vm.order_from(self.seed),
            probe: false,
        }
    }

    fn add_slowdowns(&self, vm: &Vm, stats: VmStats, cost: &mut SlowdownCost) {
        let (before, after) = self.bands(vm, stats);
        let classes: Vec<_> = vm.view.classes.iter().map(|entry| self.class_on_vm(entry)).collect();
        for (index, class_on_vm) in classes.iter().enumerate() {
            cost.own +=
                class_on_vm.count * self.model.effect_of(self.class, class_on_vm.class, after);
            let added = self.model.effect_of(class_on_vm.class, self.class, after);
            if !class_on_vm.service {
                cost.others += class_on_vm.count * added;
                continue;
            }
            let old = self.predicted_excess(index, &classes, before);
            let new = match before == after {
                true => old,
                false => self.predicted_excess(index, &classes, after),
            };
            let measured = stats.worst_excess.unwrap_or(0.0);
            let rise = (new.total() + added - old.total()).max(0.0);
            let from = old.total().max(measured);
            cost.tail += class_on_vm.count * (tail_cost(from + rise) - tail_cost(from));
            cost.risk = cost.risk.max(self.eviction_chance(from + rise));
            let caused =
                old.by_batch.max(measured * old.by_batch / old.total().max(f64::MIN_POSITIVE));
            cost.before = cost.before.max(caused);
            cost.after = cost.after.max(caused + rise);
            cost.services = cost.services.max(old.by_services);
        }
    }

    fn class_on_vm(&self, entry: &ClassCount) -> ClassOnVm {
        ClassOnVm {
            class: self.model.lookup(&entry.class),
            count: f64::from(entry.count),
            service: self.services.contains(&entry.class),
        }
    }

    /// Predicted excess slowdown of one instance of the service at `index`.
    ///
    /// The slowdown that services cause each other is kept separate. It is no reason to delay batch
    /// tasks; otherwise a VM with many services would never accept any.
    fn predicted_excess(&self, index: usize, classes: &[ClassOnVm], band: Band) -> ExcessByCause {
        let mut predicted_excess = ExcessByCause::default();
        for (other, class_on_vm) in classes.iter().enumerate() {
            let itself = if other == index { 1.0 } else { 0.0 };
            let beside = (class_on_vm.count - itself).max(0.0);
            let excess =
                beside * self.model.effect_of(classes[index].class, class_on_vm.class, band);
            match class_on_vm.service {
                true => predicted_excess.by_services += excess,
                false => predicted_excess.by_batch += excess,
            }
        }
        predicted_excess
    }

    fn bands(&self, vm: &Vm, stats: VmStats) -> (Band, Band) {
        let size = f64::from(vm.view.size.milli_cores.0.max(1));
        let added = f64::from(self.spec.resources.milli_cores.0) / size * self.use_ratio;
        let load = stats.load.unwrap_or(vm.committed() * self.use_ratio);
        (Band::of(load), Band::of(load + added))
    }

    fn eviction_chance(&self, excess: f64) -> f64 {
        ((excess - 0.5 * self.trigger) / self.trigger).clamp(0.0, 1.0)
    }

    /// Relative cost of evicting the task. A task that can't be evicted costs most, because other
    /// tasks are evicted instead.
    fn eviction_loss(&self) -> f64 {
        match self.spec.resumption {
            Resumption::Checkpoint => 0.7,
            Resumption::FromStart => 1.0,
            Resumption::Never => 1.3,
        }
    }

    fn leftover_cost(&self, vm: &Vm) -> f64 {
        let view = &vm.view;
        let free = view.free.saturating_sub(&self.spec.resources);
        let cores = ratio(free.milli_cores.0, view.size.milli_cores.0);
        let memory = ratio(free.memory_mib.0, view.size.memory_mib.0);
        let wants_none = self.spec.resources.accelerators.0 == 0;
        let stranded =
            if wants_none && free.accelerators.0 > 0 { STRANDED_ACCELERATOR_COST } else { 0.0 };
        LEFTOVER_COST * cores + UNBALANCED_LEFTOVER_COST * (cores - memory).abs() + stranded
    }

    /// Cost of using a VM without services, which are best left to the classes that slow services
    /// most.
    fn service_free_cost(&self, vm: &Vm) -> f64 {
        let service = vm.view.classes.iter().any(|entry| self.services.contains(&entry.class));
        if service { 0.0 } else { self.service_free_cost }
    }

    fn spread_cost(&self, vm: &Vm) -> f64 {
        let class = &self.spec.class;
        if !self.services.contains(class) {
            return 0.0;
        }
        let Some(spread) = self.fleet.spread(class) else { return 0.0 };
        let total = f64::from(spread.total.max(1));
        let (in_domain, in_rack) = spread.counts_near(&vm.view);
        let here = vm.view.classes.iter().find(|entry| entry.class == *class);
        let on_vm = here.map_or(0, |entry| entry.count);
        SAME_DOMAIN_COST * f64::from(in_domain) / total
            + SAME_RACK_COST * f64::from(in_rack) / total
            + SAME_VM_COST * f64::from(on_vm) / total
    }
}

/// Tasks of one class on a VM.
#[derive(Clone, Copy, Debug)]
struct ClassOnVm {
    class: model::ClassIndex,
    count: f64,
    service: bool,
}

/// Predicted excess slowdown of a service by cause.
#[derive(Clone, Copy, Debug, Default)]
struct ExcessByCause {
    by_batch: f64,
    by_services: f64,
}

impl ExcessByCause {
    fn total(&self) -> f64 {
        self.by_batch + self.by_services
    }
}

#[derive(Clone, Copy, Debug, Default)]
struct SlowdownCost {
    tail: f64,
    risk: f64,
    before: f64,
    after: f64,
    services: f64,
    own: f64,
    others: f64,
}

/// Classes whose tasks are instances of a service.
pub fn services(config: &Config) -> IndexSet<ClassName> {
    let names = config.services.keys().map(|name| ClassName::new(name.as_str()));
    let all = names.chain(config.requests.keys().cloned());
    all.filter(|class| !config.batch.contains_key(class)).collect()
}

/// The neighbours of one task of the class at `index`, not counting the task itself.
pub fn without_self<'a>(all: &[Neighbours<'a>], index: usize) -> Vec<Neighbours<'a>> {
    let mut others = all.to_vec();
    others[index].weight = (others[index].weight - 1.0).max(0.0);
    others
}

fn tail_cost(excess: f64) -> f64 {
    excess + SQUARED_WEIGHT * excess * excess
}

fn ratio(part: u32, whole: u32) -> f64 {
    if whole == 0 { 0.0 } else { f64::from(part) / f64::from(whole) }
}

fn to_ppm(amount: f64) -> i64 {
    (amount.clamp(-1e6, 1e6) * PPM).round() as i64
}
