//! What placing a task on a VM would cost.

use super::decide::{Offer, PPM};
use super::index::{Fleet, Vm};
use super::interference::{self as model, Band, Interference, Neighbours};
use crate::ids::ClassName;
use crate::model::{Config, Resumption};
use crate::peer::ClassCount;
use crate::task::TaskSpec;
use indexmap::IndexSet;

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
pub struct VmStats {
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
    pub fleet: &'a Fleet,
    pub services: &'a IndexSet<ClassName>,
    pub model: &'a Interference,
    pub spec: &'a TaskSpec,
    /// Processors in use for each committed one, fleet-wide.
    pub use_ratio: f64,
    /// Excess slowdown at which a service is helped.
    pub trigger: f64,
    /// Differs from task to task.
    pub seed: u64,
    class: model::ClassIndex,
    /// Cost of taking a VM without services.
    spared: f64,
}

impl<'a> Scorer<'a> {
    /// A scorer for one task, by what was learned so far.
    pub fn new(
        fleet: &'a Fleet,
        services: &'a IndexSet<ClassName>,
        model: &'a Interference,
        spec: &'a TaskSpec,
    ) -> Self {
        let class = model.lookup(&spec.class);
        let (use_ratio, trigger, seed, spared) = (1.0, 1.0, 0, 0.0);
        Self { fleet, services, model, spec, use_ratio, trigger, seed, class, spared }
    }

    /// Compares the task with what the mean class does to services.
    pub fn with_classes(mut self, config: &Config) -> Self {
        let harms = config.batch.keys().map(|class| self.harm(self.model.lookup(class)));
        let mean = harms.sum::<f64>() / config.batch.len().max(1) as f64;
        self.spared = SPARED_VM * (mean - self.harm(self.class)).max(0.0);
        self
    }

    /// Slowdown that one task of the class causes to the service that it disturbs most.
    fn harm(&self, class: model::ClassIndex) -> f64 {
        let band = Band::of(TYPICAL_LOAD);
        let services = self.services.iter().map(|service| self.model.lookup(service));
        services.map(|service| self.model.effect_of(service, class, band)).fold(0.0, f64::max)
    }

    /// The cost of placing the task on a VM that has room for it.
    pub fn offer(&self, vm: &Vm, known: VmStats) -> Offer {
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

    fn add_slowdowns(&self, vm: &Vm, known: VmStats, cost: &mut Cost) {
        let (before, after) = self.bands(vm, known);
        let tenants: Vec<_> = vm.view.classes.iter().map(|entry| self.tenant(entry)).collect();
        for (index, tenant) in tenants.iter().enumerate() {
            cost.own += tenant.count * self.model.effect_of(self.class, tenant.class, after);
            let added = self.model.effect_of(tenant.class, self.class, after);
            if !tenant.service {
                cost.others += tenant.count * added;
                continue;
            }
            let old = self.suffered(index, &tenants, before);
            let new = match before == after {
                true => old,
                false => self.suffered(index, &tenants, after),
            };
            let measured = known.suffering.unwrap_or(0.0);
            let rise = (new.all() + added - old.all()).max(0.0);
            let from = old.all().max(measured);
            cost.tail += tenant.count * (suffering(from + rise) - suffering(from));
            cost.risk = cost.risk.max(self.eviction_chance(from + rise));
            let caused =
                old.by_batch.max(measured * old.by_batch / old.all().max(f64::MIN_POSITIVE));
            cost.before = cost.before.max(caused);
            cost.after = cost.after.max(caused + rise);
            cost.services = cost.services.max(old.by_services);
        }
    }

    fn tenant(&self, entry: &ClassCount) -> Tenant {
        Tenant {
            class: self.model.lookup(&entry.class),
            count: f64::from(entry.count),
            service: self.services.contains(&entry.class),
        }
    }

    /// Predicted excess slowdown of one instance of the service at `index`. What services do to each other is
    /// kept apart: it is no reason to keep batch waiting, and a VM whose services are many would
    /// never take any.
    fn suffered(&self, index: usize, tenants: &[Tenant], band: Band) -> Suffered {
        let mut suffered = Suffered::default();
        for (other, tenant) in tenants.iter().enumerate() {
            let itself = if other == index { 1.0 } else { 0.0 };
            let beside = (tenant.count - itself).max(0.0);
            let excess = beside * self.model.effect_of(tenants[index].class, tenant.class, band);
            match tenant.service {
                true => suffered.by_services += excess,
                false => suffered.by_batch += excess,
            }
        }
        suffered
    }

    fn bands(&self, vm: &Vm, known: VmStats) -> (Band, Band) {
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
        let service = vm.view.classes.iter().any(|entry| self.services.contains(&entry.class));
        if service { 0.0 } else { self.spared }
    }

    fn spread(&self, vm: &Vm) -> f64 {
        let class = &self.spec.class;
        if !self.services.contains(class) {
            return 0.0;
        }
        let Some(spread) = self.fleet.spread(class) else { return 0.0 };
        let total = f64::from(spread.total.max(1));
        let (in_domain, in_rack) = spread.counts_near(&vm.view);
        let here = vm.view.classes.iter().find(|entry| entry.class == *class);
        let on_vm = here.map_or(0, |entry| entry.count);
        SAME_DOMAIN * f64::from(in_domain) / total
            + SAME_RACK * f64::from(in_rack) / total
            + SAME_VM * f64::from(on_vm) / total
    }
}

/// The tasks of one class on a VM.
#[derive(Clone, Copy, Debug)]
struct Tenant {
    class: model::ClassIndex,
    count: f64,
    service: bool,
}

/// Predicted excess slowdown of a service, by its cause.
#[derive(Clone, Copy, Debug, Default)]
struct Suffered {
    by_batch: f64,
    by_services: f64,
}

impl Suffered {
    fn all(&self) -> f64 {
        self.by_batch + self.by_services
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

/// Classes whose tasks are instances of a service.
pub fn services(config: &Config) -> IndexSet<ClassName> {
    let names = config.services.keys().map(|name| ClassName::new(name.as_str()));
    let all = names.chain(config.requests.keys().cloned());
    all.filter(|class| !config.batch.contains_key(class)).collect()
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
    (amount.clamp(-1e6, 1e6) * PPM).round() as i64
}
