//! Attribution of failures, quarantine and probes.

use super::*;

fn failed() -> Outcome {
    Outcome::Failed { reason: "exit 1".to_owned() }
}

fn relieve(policy: &mut Policy, index: usize, now: Duration) -> Vec<Decision<ReliefStep>> {
    let steps = policy.decide_relief(&vm(index), &[], now);
    apply_health(policy, &steps);
    steps
}

/// One VM of eight fails every task immediately, so it always has the most free resources. Without
/// quarantine every waiting task would be placed there and fail. Failures of classes that succeed
/// elsewhere are attributed to the VM; it is quarantined after a few and gets single probes.
#[test]
fn a_vm_that_fails_everything_does_not_drain_the_queue() {
    let config = config();
    let mut policy = policy(config.clone(), [view(0)]);
    let mut lost = 0;
    for number in 0..400 {
        let now = secs(number);
        let others = if number % 3 == 0 { 4 } else { 8 };
        for index in 1..8 {
            policy.upsert_vm(with_tasks(view(index), "narration", others));
        }
        let task = candidate(&config, ["build", "wash"][number as usize % 2], number);
        let class = task.spec.class.clone();
        let PlacementDecision::Place { vm: to } = policy.place(&task, now).choice else { continue };
        let outcome = if to == vm(0) { failed() } else { Outcome::Succeeded };
        lost += u32::from(to == vm(0));
        policy.record_outcome(&to, &class, &outcome, now);
        for step in relieve(&mut policy, 0, now) {
            assert_replays(&step);
        }
    }
    assert!((2..=12).contains(&lost), "{lost} tasks were sent to the broken VM");
}

#[test]
fn a_class_that_fails_everywhere_quarantines_no_vm_and_is_backed_off() {
    let config = config();
    let mut policy = policy(config.clone(), (0..8).map(view));
    let mut starts = 0;
    for number in 0..600 {
        let now = secs(number);
        let good = candidate(&config, "wash", 10_000 + number);
        if let PlacementDecision::Place { vm } = policy.place(&good, now).choice {
            policy.record_outcome(&vm, &good.spec.class, &Outcome::Succeeded, now);
        }
        let bad = candidate(&config, "build", number);
        if let PlacementDecision::Place { vm } = policy.place(&bad, now).choice {
            starts += 1;
            policy.record_outcome(&vm, &bad.spec.class, &failed(), now);
        }
        for index in 0..8 {
            assert_eq!(relieve(&mut policy, index, now), [], "at {now:?}");
        }
    }
    assert!((20..60).contains(&starts), "{starts} starts of the bad class");
}

#[test]
fn a_repaired_vm_is_opened_after_good_probes() {
    let config = config();
    let mut policy = policy(config.clone(), [view(0), with_tasks(view(1), "build", 4)]);
    let wash: ClassName = "wash".into();
    policy.record_outcome(&vm(1), &wash, &Outcome::Succeeded, secs(1));
    for number in 0..4 {
        policy.record_outcome(&vm(0), &wash, &failed(), secs(2 + number));
    }
    let steps = relieve(&mut policy, 0, secs(10));
    let quarantined = ReliefStep::Health { vm: vm(0), health: VmHealth::Quarantined };
    assert_eq!(steps[0].choice, quarantined);
    let too_early = policy.place(&candidate(&config, "wash", 1), secs(11)).choice;
    assert!(matches!(too_early, PlacementDecision::Wait { .. }), "{too_early:?}");
    for number in 0..2 {
        let now = secs(120 + 60 * number);
        let probe = policy.place(&candidate(&config, "wash", number), now).choice;
        assert_eq!(probe, PlacementDecision::Place { vm: vm(0) });
        let second = policy.place(&candidate(&config, "wash", 50 + number), now).choice;
        assert!(matches!(second, PlacementDecision::Wait { .. }), "two probes at once: {second:?}");
        policy.record_outcome(&vm(0), &wash, &Outcome::Succeeded, now + secs(1));
    }
    let steps = relieve(&mut policy, 0, secs(300));
    assert_eq!(steps[0].choice, ReliefStep::Health { vm: vm(0), health: VmHealth::Open });
}

#[test]
fn a_non_idempotent_task_is_not_used_as_a_probe() {
    let config = config();
    let mut quarantined = view(0);
    quarantined.health = VmHealth::Quarantined;
    let mut policy = policy(config.clone(), [quarantined]);
    let mut build = candidate(&config, "build", 1);
    build.spec.idempotency = Idempotency::NonIdempotent;
    let choice = policy.place(&build, HOUR).choice;
    assert!(matches!(choice, PlacementDecision::Wait { .. }), "{choice:?}");
}

#[test]
fn cancelled_tasks_are_not_attributed_to_the_vm() {
    let config = config();
    let mut policy = policy(config, [view(0)]);
    for number in 0..10_000 {
        policy.record_outcome(
            &vm(0),
            &"build".into(),
            &Outcome::Cancelled,
            Duration::from_millis(number),
        );
    }
    assert_eq!(policy.decide_relief(&vm(0), &[], secs(11)), []);
}
