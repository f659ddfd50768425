//! A service that permits steps on some VMs.
//!
//! Which ones follows from the names alone, so that asking again gives the same verdict.

use std::time::Duration;
use waxwingstall::ids::VmId;
use waxwingstall::job::StepRef;
use waxwingstall::permit::{Permit, PermitReq, PermitResp};
use xxhash_rust::xxh3::xxh3_64;

/// The service's verdicts, and what it was asked.
#[derive(Clone, Debug)]
pub struct PermitTable {
    /// Share of VMs that are permitted, of 100.
    percent: u64,
    validity: Duration,
    /// VMs on which no step is permitted.
    pub denied: Vec<VmId>,
    /// Steps that are permitted on no VM.
    pub denied_steps: Vec<StepRef>,
    /// Questions answered: the step, and the VMs that each named.
    pub asked: Vec<(StepRef, Vec<VmId>)>,
    /// Starts that were refused for want of a permit.
    pub refused: u32,
}

impl PermitTable {
    /// A service that permits a step on so many in a hundred VMs, for some time.
    pub fn new(percent: u64, validity: Duration) -> Self {
        let (denied, denied_steps, asked) = Default::default();
        Self { percent, validity, denied, denied_steps, asked, refused: 0 }
    }

    /// Answers a question.
    pub fn ask(&mut self, now: Duration, req: &PermitReq) -> PermitResp {
        self.asked.push((req.step, req.vms.clone()));
        let permitted = req.vms.iter().filter(|vm| self.permits(req.step, vm));
        let permit = |vm: &VmId| (vm.clone(), self.permit(now, req.step, vm));
        PermitResp { permits: permitted.map(permit).collect(), validity: self.validity }
    }

    /// Whether a start may go on; counts those that may not.
    pub fn check(
        &mut self,
        now: Duration,
        step: StepRef,
        vm: &VmId,
        permit: Option<&Permit>,
    ) -> bool {
        let valid = permit.is_some_and(|permit| is_valid(permit, now, step, vm));
        self.refused += u32::from(!valid);
        valid
    }

    fn permits(&self, step: StepRef, vm: &VmId) -> bool {
        let is_chosen = xxh3_64(format!("{step}@{vm}").as_bytes()) % 100 < self.percent;
        is_chosen && !self.denied.contains(vm) && !self.denied_steps.contains(&step)
    }

    fn permit(&self, now: Duration, step: StepRef, vm: &VmId) -> Permit {
        Permit::new(&format!("{step}@{vm} until {}", (now + self.validity).as_millis()))
    }
}

fn is_valid(permit: &Permit, now: Duration, step: StepRef, vm: &VmId) -> bool {
    let Some((what, until)) = permit.as_str().split_once(" until ") else { return false };
    let until = until.parse().map(Duration::from_millis);
    what == format!("{step}@{vm}") && until.is_ok_and(|until| now < until)
}
