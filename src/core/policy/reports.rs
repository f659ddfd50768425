//! Filters usage reports, which may arrive late, repeated or out of order, or not at all.
//!
//! A report is accepted only if its boot and sequence number are newer than those of the last
//! accepted one. Otherwise a repeated report would count its error twice, and a report from before
//! a restart would describe tasks that no longer exist.

use crate::ids::{BootId, ClassName, TaskId};
use crate::worker::UsageReport;
use indexmap::IndexMap;
use std::collections::VecDeque;
use std::time::Duration;

/// Reports measured longer ago are rejected as too old to describe the present.
pub const MAX_REPORT_AGE: Duration = Duration::from_secs(180);

/// Previous boots remembered in order to reject late reports from before a restart.
const MAX_PAST_BOOTS: usize = 4;

/// Why a report was rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rejection {
    Repeated,
    OutOfOrder,
    PastBoot,
    TooOld,
}

/// Usage of one class in a report.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ClassUsage {
    /// Number of tasks; a throttled one counts by its CPU share.
    pub weight: f64,
    /// Mean slowdown of the class's unthrottled tasks.
    pub slowdown: f64,
    measured: u32,
}

impl ClassUsage {
    /// Mean slowdown, if at least one unthrottled task was measured.
    pub fn measured(&self) -> Option<f64> {
        (self.measured > 0).then_some(self.slowdown)
    }
}

/// State from the reports of one VM.
#[derive(Clone, Debug, Default)]
pub struct VmReports {
    boot: Option<BootId>,
    past_boots: VecDeque<BootId>,
    seq: u64,
    /// Time of the last measurement.
    pub measured_at: Duration,
    /// Smoothed age of reports on arrival.
    pub lag: Duration,
    pub load: f64,
    pub classes: IndexMap<ClassName, ClassUsage>,
}

impl VmReports {
    /// Accepts a report, or returns why it was rejected.
    pub fn accept(
        &mut self,
        report: &UsageReport,
        share: impl Fn(&TaskId) -> f64,
        now: Duration,
    ) -> Result<(), Rejection> {
        self.check(report)?;
        if self.boot != Some(report.boot) {
            self.past_boots.extend(self.boot);
            if self.past_boots.len() > MAX_PAST_BOOTS {
                self.past_boots.pop_front();
            }
            self.boot = Some(report.boot);
        }
        self.seq = report.seq;
        if report.age > MAX_REPORT_AGE {
            return Err(Rejection::TooOld);
        }
        self.measured_at = now.saturating_sub(report.age);
        self.lag = if self.lag.is_zero() { report.age } else { (self.lag * 7 + report.age) / 8 };
        self.load = report.load.clamp(0.0, 1.0);
        self.classes = usage_by_class(report, share);
        Ok(())
    }

    /// Excess slowdowns of the classes for which `is_service` holds.
    pub fn services(
        &self,
        is_service: impl Fn(&ClassName) -> bool,
    ) -> impl Iterator<Item = (&ClassName, f64)> {
        let services = self.classes.iter().filter(move |(class, _)| is_service(class));
        services.filter_map(|(class, usage)| Some((class, usage.measured()? - 1.0)))
    }

    fn check(&self, report: &UsageReport) -> Result<(), Rejection> {
        if self.past_boots.contains(&report.boot) {
            return Err(Rejection::PastBoot);
        }
        if self.boot != Some(report.boot) {
            return Ok(());
        }
        match report.seq.cmp(&self.seq) {
            std::cmp::Ordering::Less => Err(Rejection::OutOfOrder),
            std::cmp::Ordering::Equal => Err(Rejection::Repeated),
            std::cmp::Ordering::Greater => Ok(()),
        }
    }
}

fn usage_by_class(
    report: &UsageReport,
    share: impl Fn(&TaskId) -> f64,
) -> IndexMap<ClassName, ClassUsage> {
    let mut classes: IndexMap<ClassName, ClassUsage> = IndexMap::new();
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
