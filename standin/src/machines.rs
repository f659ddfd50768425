//! Machines that go down for upkeep and come back with another life of their VM.

use indexmap::{IndexMap, IndexSet};
use std::time::Duration;
use waxwingstall::ids::{DomainId, RackId, VmId};
use waxwingstall::upkeep::{Error, Machine, MachineId, MachineState, Result, UpkeepReq, Wave};
use waxwingstall::vm::Fence;

/// An upkeep that began.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Begun {
    pub at: Duration,
    pub machine: MachineId,
    pub wave: u64,
    /// Machines of the wave that were down for theirs at that moment.
    pub down_beside: usize,
}

#[derive(Debug)]
struct Kept {
    machine: Machine,
    lives: u32,
    fence: Fence,
    back_at: Option<Duration>,
    wave: u64,
    had: IndexSet<u64>,
}

/// Every machine of the platform.
#[derive(Debug, Default)]
pub struct MachineTable {
    machines: IndexMap<MachineId, Kept>,
    upkeep: Duration,
    pub begun: Vec<Begun>,
}

impl MachineTable {
    /// No machines yet; an upkeep takes `upkeep`.
    pub fn new(upkeep: Duration) -> Self {
        Self { upkeep, ..Self::default() }
    }

    /// Adds a machine that is up.
    pub fn add(&mut self, name: &str, domain: &str, rack: &str) -> MachineId {
        let id = MachineId::new(name);
        let machine = Machine {
            id: id.clone(),
            vm: Some(VmId::new(&format!("{name}/0"))),
            domain: DomainId::new(domain),
            rack: RackId::new(rack),
            state: MachineState::Up,
        };
        let kept = Kept {
            machine,
            lives: 0,
            fence: Fence(0),
            back_at: None,
            wave: 0,
            had: IndexSet::new(),
        };
        self.machines.insert(id.clone(), kept);
        id
    }

    /// A machine is gone for good.
    pub fn remove(&mut self, id: &MachineId) {
        self.machines.shift_remove(id);
    }

    /// Every machine as it is.
    pub fn list(&mut self, now: Duration) -> Vec<Machine> {
        self.pass(now);
        self.machines.values().map(|kept| kept.machine.clone()).collect()
    }

    /// Whether a machine has had its upkeep of a wave, or is having it.
    pub fn has_had(&self, id: &MachineId, wave: u64) -> bool {
        self.machines.get(id).is_some_and(|kept| kept.had.contains(&wave))
    }

    /// Begins an upkeep.
    pub fn upkeep(&mut self, now: Duration, req: &UpkeepReq, wave: &Wave) -> Result<()> {
        self.pass(now);
        let of_wave = |kept: &&Kept| kept.back_at.is_some() && kept.wave == req.wave;
        let down_beside = self.machines.values().filter(of_wave).count();
        let Some(kept) = self.machines.get_mut(&req.machine) else {
            return Err(Error::Refused { status: 400 });
        };
        if !wave.machines.contains(&req.machine) {
            return Err(Error::NotInWave);
        }
        if req.fence < kept.fence {
            return Err(Error::Fenced);
        }
        kept.fence = req.fence;
        if kept.had.contains(&req.wave) {
            return Ok(());
        }
        if kept.machine.state != MachineState::Up {
            return Err(Error::Busy);
        }
        kept.machine.state = MachineState::Upkeep;
        kept.machine.vm = None;
        kept.back_at = Some(now + self.upkeep);
        kept.wave = req.wave;
        kept.had.insert(req.wave);
        let (machine, wave) = (req.machine.clone(), req.wave);
        self.begun.push(Begun { at: now, machine, wave, down_beside });
        Ok(())
    }

    fn pass(&mut self, now: Duration) {
        for kept in self.machines.values_mut() {
            if kept.back_at.is_some_and(|at| now >= at) {
                kept.back_at = None;
                kept.lives += 1;
                kept.machine.state = MachineState::Up;
                kept.machine.vm = Some(VmId::new(&format!("{}/{}", kept.machine.id, kept.lives)));
            }
        }
    }
}
