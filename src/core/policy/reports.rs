//! Reports as they arrive: late, lost, repeated and out of order.
//!
//! A report is taken only if it is newer, by boot and sequence, than the last one taken. Without
//! that a repeated report would count its error twice, and one from before a restart would speak of
//! tasks that are gone.

use crate::ids::{BootId, ClassName, TaskId};
use crate::worker::UsageReport;
use indexmap::IndexMap;
use std::collections::VecDeque;
use std::time::Duration;

/// A report measured longer ago teaches nothing about now.
pub const MAX_AGE: Duration = Duration::from_secs(180);

/// Boots remembered, to refuse late reports from before a restart.
const PAST_BOOTS: usize = 4;

/// Why a report was not taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stale {
    Repeated,
    OutOfOrder,
    PastBoot,
    TooOld,
}

/// One class in a report.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ClassUse {
    /// Tasks; a throttled one counts by its share.
    pub weight: f64,
    /// Mean slowdown of the class's tasks that are not throttled.
    pub slowdown: f64,
    measured: u32,
}

impl ClassUse {
    /// Mean slowdown, if it was measured on a task that is not throttled.
    pub fn measured(&self) -> Option<f64> {
        (self.measured > 0).then_some(self.slowdown)
    }
}

/// Reports of one VM.
#[derive(Clone, Debug, Default)]
pub struct Reports {
    boot: Option<BootId>,
    past: VecDeque<BootId>,
    seq: u64,
    /// Time of the last measurement.
    pub measured_at: Duration,
    /// Smoothed age on arrival.
    pub lag: Duration,
    pub load: f64,
    pub classes: IndexMap<ClassName, ClassUse>,
}

impl Reports {
    /// Takes a report, or says why not.
    pub fn take(
        &mut self,
        report: &UsageReport,
        share: impl Fn(&TaskId) -> f64,
        now: Duration,
    ) -> Result<(), Stale> {
        self.check(report)?;
        if self.boot != Some(report.boot) {
            self.past.extend(self.boot);
            if self.past.len() > PAST_BOOTS {
                self.past.pop_front();
            }
            self.boot = Some(report.boot);
        }
        self.seq = report.seq;
        if report.age > MAX_AGE {
            return Err(Stale::TooOld);
        }
        self.measured_at = now.saturating_sub(report.age);
        self.lag = if self.lag.is_zero() { report.age } else { (self.lag * 7 + report.age) / 8 };
        self.load = report.load.clamp(0.0, 1.0);
        self.classes = group(report, share);
        Ok(())
    }

    /// Excess slowdowns of the classes that `is_service` accepts.
    pub fn services(
        &self,
        is_service: impl Fn(&ClassName) -> bool,
    ) -> impl Iterator<Item = (&ClassName, f64)> {
        let services = self.classes.iter().filter(move |(class, _)| is_service(class));
        services.filter_map(|(class, used)| Some((class, used.measured()? - 1.0)))
    }

    fn check(&self, report: &UsageReport) -> Result<(), Stale> {
        if self.past.contains(&report.boot) {
            return Err(Stale::PastBoot);
        }
        if self.boot != Some(report.boot) {
            return Ok(());
        }
        match report.seq.cmp(&self.seq) {
            std::cmp::Ordering::Less => Err(Stale::OutOfOrder),
            std::cmp::Ordering::Equal => Err(Stale::Repeated),
            std::cmp::Ordering::Greater => Ok(()),
        }
    }
}

fn group(report: &UsageReport, share: impl Fn(&TaskId) -> f64) -> IndexMap<ClassName, ClassUse> {
    let mut classes: IndexMap<ClassName, ClassUse> = IndexMap::new();
    for tenant in report.tenants.iter().filter(|tenant| tenant.slowdown.is_finite()) {
        let share = share(&tenant.task);
        let class = classes.entry(tenant.class.clone()).or_default();
        class.weight += share;
        if share >= 1.0 {
            class.measured += 1;
            class.slowdown += (tenant.slowdown - class.slowdown) / f64::from(class.measured);
        }
    }
    classes
}
