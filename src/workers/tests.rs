use super::*;
use crate::clock::ManualClock;
use crate::ids::{
    Attempt, BootId, CheckpointId, ClassName, DomainId, PartitionId, RackId, TaskId, Token,
};
use crate::units::Resources;
use crate::worker::{
    AttemptReq, Closed, Earlier, Granted, StartReq, SyncResp, ThrottleReq, VmStatus,
};
use futures::executor::block_on;
use std::cell::Cell;

const UNTIL: Duration = Duration::from_secs(10);

/// A worker that only counts what reaches it.
#[derive(Default)]
struct Counted {
    effects: Cell<u32>,
}

impl Counted {
    fn effect<T>(&self, answer: T) -> Result<T> {
        self.effects.set(self.effects.get() + 1);
        Ok(answer)
    }
}

impl Worker for Counted {
    async fn acquire(&self, _: AcquireReq) -> Result<Granted> {
        let status = VmStatus {
            vm: VmId::new("w1"),
            domain: DomainId::new("kacyiru"),
            rack: RackId::new("r1"),
            size: Resources::ZERO,
            boot: BootId(1),
            tasks: Vec::new(),
        };
        self.effect(Granted { token: Token(1), earlier: Earlier::None, status })
    }

    async fn sync(&self, _: SyncReq) -> Result<SyncResp> {
        Err(Error::Refused { reason: "not asked for".to_owned() })
    }

    async fn release(&self, _: Token) -> Result<()> {
        self.effect(())
    }

    async fn start(&self, _: StartReq) -> Result<()> {
        self.effect(())
    }

    async fn throttle(&self, _: ThrottleReq) -> Result<()> {
        self.effect(())
    }

    async fn checkpoint(&self, _: AttemptReq) -> Result<CheckpointId> {
        self.effect(CheckpointId::new("c"))
    }

    async fn close(&self, _: AttemptReq) -> Result<Closed> {
        self.effect(Closed { ended: None, checkpoint: None, started: false })
    }
}

fn actions() -> Vec<Action> {
    let (vm, valid_until) = (VmId::new("w1"), UNTIL);
    let (task, attempt) = (TaskId::new(PartitionId(0), 1), Attempt(1));
    let req = AttemptReq { token: Token(1), task, attempt };
    let start = StartReq {
        token: Token(1),
        task,
        attempt,
        class: ClassName::new("narration"),
        resources: Resources::ZERO,
        payload: String::new(),
        resume: None,
    };
    let throttle = ThrottleReq { token: Token(1), task, share: 0.5 };
    vec![
        Action::Start { vm: vm.clone(), req: start, valid_until },
        Action::Throttle { vm: vm.clone(), req: throttle, valid_until },
        Action::Checkpoint { vm: vm.clone(), req: req.clone(), valid_until },
        Action::Close { vm, req, valid_until },
    ]
}

// The caller's task would run in two places. Order: the core decides to start it and the thread is
// paused; the control lease lapses and another daemon takes the VM; the thread goes on. Why: the
// decision was right when it was made, so that only the clock at the moment of sending can tell.
#[test]
fn a_call_whose_lease_lapsed_before_it_was_sent_is_not_sent() {
    for (paused, sent) in [(UNTIL - Duration::from_millis(1), 1), (UNTIL, 0)] {
        for action in actions() {
            let (worker, clock) = (Counted::default(), ManualClock::new());
            clock.advance(paused);
            let me = DaemonId::new("d@1");
            let answer = block_on(perform(&worker, me, action.clone(), &clock));
            assert_eq!(worker.effects.get(), sent, "{action:?} after {paused:?}");
            let told = !matches!(action, Action::Throttle { .. });
            assert_eq!(answer.is_some(), told, "{action:?} after {paused:?}");
        }
    }
}

#[test]
fn a_call_that_was_not_sent_is_answered_as_refused() {
    let clock = ManualClock::new();
    clock.advance(UNTIL);
    let action = actions().swap_remove(0);
    let answer = block_on(perform(&Counted::default(), DaemonId::new("d@1"), action, &clock));
    let Some(Event::StartAnswered { result: Err(Error::Refused { .. }), .. }) = answer else {
        panic!("{answer:?}");
    };
}
