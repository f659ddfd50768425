//! The escalation ladder, its hysteresis, and evictions for urgent tasks.

use super::*;

/// Simulates a VM with a slowed `shop` service until `until`; returns the steps with their times.
fn run_ladder(
    policy: &mut Policy,
    running_tasks: &mut Vec<RunningTask>,
    slowdown: impl Fn(&Policy, Duration) -> f64,
    until: u64,
) -> Vec<(u64, ReliefStep)> {
    let lag = secs(6);
    let mut steps = Vec::new();
    for now in 1..=until {
        let measured = slowdown(policy, secs(now).saturating_sub(lag));
        let mut tenants = vec![tenant("shop", 1000, measured)];
        for running_task in running_tasks.iter() {
            tenants.push(tenant(running_task.spec.class.as_str(), running_task.task.number, 1.0));
        }
        if now % 2 == 0 {
            policy.handle_report(&vm(0), &report(now, lag, 0.7, tenants), secs(now));
        }
        let decision = policy.decide_relief(&vm(0), running_tasks, secs(now));
        apply_health(policy, &decision);
        for step in decision {
            assert_replays(&step);
            if let ReliefStep::Evict { task, .. } = &step.choice {
                running_tasks.retain(|running_task| running_task.task != *task);
            }
            steps.push((now, step.choice));
        }
    }
    steps
}

fn config_with_weights(tail: f64, evictions: f64) -> Config {
    let mut config = config();
    config.weights = Weights { tail, evictions, throughput: 1.0 };
    config
}

#[test]
fn the_ladder_throttles_then_avoids_then_evicts() {
    let config = config_with_weights(4.0, 1.0);
    let mut policy = policy(config.clone(), [with_tasks(view(0), "shop", 2)]);
    let mut running_tasks = vec![running_task(&config, "build", 1, secs(0))];
    let steps = run_ladder(&mut policy, &mut running_tasks, |_, _| 2.0, 120);
    let kinds: Vec<_> = steps
        .iter()
        .map(|(_, step)| match step {
            ReliefStep::Throttle { .. } => "throttle",
            ReliefStep::Health { health: VmHealth::Avoided, .. } => "avoid",
            ReliefStep::Health { .. } => "open",
            ReliefStep::Evict { .. } => "evict",
        })
        .collect();
    assert_eq!(kinds[..4], ["throttle", "avoid", "throttle", "evict"], "{steps:?}");
}

/// Each report describes the state of six seconds ago. A ladder that evaluates a report from before
/// its last step escalates to the top within seconds, and evicts a task whose throttle was enough.
#[test]
fn steps_are_spaced_by_more_than_the_report_lag() {
    let config = config_with_weights(4.0, 1.0);
    let mut policy = policy(config.clone(), [with_tasks(view(0), "shop", 2)]);
    let mut running_tasks = vec![running_task(&config, "build", 1, secs(0))];
    let steps = run_ladder(&mut policy, &mut running_tasks, |_, _| 2.0, 120);
    for pair in steps.windows(2) {
        assert!(pair[1].0 >= pair[0].0 + 8, "{steps:?}");
    }
}

#[test]
fn a_sufficient_throttle_is_the_last_step_and_is_lifted_after_a_calm_period() {
    let config = config_with_weights(1.0, 1.0);
    let mut policy = policy(config.clone(), [with_tasks(view(0), "shop", 2)]);
    let mut running_tasks = vec![running_task(&config, "build", 1, secs(0))];
    let steps = run_ladder(
        &mut policy,
        &mut running_tasks,
        |_, at| if at < secs(5) { 1.6 } else { 1.05 },
        400,
    );
    assert_eq!(steps.len(), 2, "{steps:?}");
    let (throttled, restored) = (&steps[0], &steps[1]);
    assert!(matches!(throttled.1, ReliefStep::Throttle { share, .. } if share == 0.5));
    assert!(matches!(restored.1, ReliefStep::Throttle { share, .. } if share == 1.0));
    assert!(restored.0 > throttled.0 + 30, "{steps:?}");
}

#[test]
fn evictions_are_limited_by_the_budget() {
    let config = config_with_weights(1.0, 1.0);
    let mut policy = policy(config.clone(), [with_tasks(view(0), "shop", 2)]);
    let mut running_tasks: Vec<_> =
        (1..=40).map(|number| running_task(&config, "build", number, secs(0))).collect();
    for running_task in &mut running_tasks {
        running_task.checkpoint_at = Some(secs(600));
    }
    let steps = run_ladder(&mut policy, &mut running_tasks, |_, _| 4.0, 600);
    let evictions =
        steps.iter().filter(|(_, step)| matches!(step, ReliefStep::Evict { .. })).count();
    // The budget allows three at once, and one per minute with equal weights.
    assert!((4..=13).contains(&evictions), "{evictions}: {steps:?}");
}

#[test]
fn a_task_that_must_not_be_resumed_is_never_evicted() {
    let config = config_with_weights(10.0, 0.1);
    let mut policy = policy(config.clone(), [with_tasks(view(0), "shop", 2)]);
    let mut unresumable = running_task(&config, "build", 1, secs(0));
    unresumable.spec.resumption = Resumption::Never;
    let mut running_tasks = vec![unresumable.clone()];
    let steps = run_ladder(&mut policy, &mut running_tasks, |_, _| 4.0, 300);
    assert!(!steps.iter().any(|(_, step)| matches!(step, ReliefStep::Evict { .. })), "{steps:?}");
    let mut urgent = candidate(&config, "build", 9);
    urgent.spec.urgency = Urgency::Urgent;
    urgent.spec.resources = Resources::new(32_000, 60_000, 0);
    let running_tasks = IndexMap::from([(vm(0), vec![unresumable])]);
    assert_eq!(policy.plan_preemption(&urgent, &running_tasks, secs(301)), None);
}

#[test]
fn a_higher_eviction_weight_causes_fewer_evictions_on_the_same_trace() {
    let count = |config: Config| {
        let mut policy = policy(config.clone(), [with_tasks(view(0), "shop", 2)]);
        let mut running_tasks: Vec<_> =
            (1..=4).map(|number| running_task(&config, "build", number, secs(0))).collect();
        let steps = run_ladder(&mut policy, &mut running_tasks, |_, _| 2.0, 600);
        steps.iter().filter(|(_, step)| matches!(step, ReliefStep::Evict { .. })).count()
    };
    let (tail_weighted, evictions_weighted) =
        (count(config_with_weights(5.0, 1.0)), count(config_with_weights(1.0, 5.0)));
    assert!(
        tail_weighted > evictions_weighted,
        "tail_weighted {tail_weighted}, evictions_weighted {evictions_weighted}"
    );
}

#[test]
fn an_urgent_task_evicts_the_cheapest_resumable_one_and_no_more_than_needed() {
    let config = config();
    let full = |index| with_tasks(view(index), "build", 4);
    let mut policy = policy(config.clone(), [full(0), full(1)]);
    let mut fresh = running_task(&config, "build", 4, secs(900));
    fresh.checkpoint_at = Some(secs(999));
    let old = |number| running_task(&config, "build", number, secs(0));
    let running_tasks = IndexMap::from([
        (vm(0), vec![old(1), old(2), old(3), fresh]),
        (vm(1), vec![old(5), old(6), old(7), old(8)]),
    ]);
    let mut urgent = candidate(&config, "narration", 9);
    urgent.spec.urgency = Urgency::Urgent;
    let decision =
        policy.plan_preemption(&urgent, &running_tasks, secs(1000)).expect("room can be made");
    assert_replays(&decision);
    let ReliefStep::Evict { vm: from, task, .. } = &decision.choice else { panic!("{decision:?}") };
    assert_eq!((from, task.number), (&vm(0), 4));
    assert_eq!(policy.plan_preemption(&urgent, &running_tasks, secs(1001)), None);
}

/// After the victim of an urgent task is closed, the next task to be placed could take its room.
/// Without a reservation a small task takes it, and the urgent task causes another eviction.
#[test]
fn room_made_for_an_urgent_task_is_reserved_for_it() {
    let config = config();
    let mut policy = policy(config.clone(), [with_tasks(view(0), "build", 4)]);
    let running_tasks = IndexMap::from([(vm(0), vec![running_task(&config, "build", 1, secs(0))])]);
    let mut urgent = candidate(&config, "build", 9);
    urgent.spec.urgency = Urgency::Urgent;
    assert!(policy.plan_preemption(&urgent, &running_tasks, secs(100)).is_some());
    policy.upsert_vm(with_tasks(view(0), "build", 3));
    let small = policy.place(&candidate(&config, "wash", 10), secs(101)).choice;
    assert!(matches!(small, PlacementDecision::Wait { .. }), "{small:?}");
    let placed = policy.place(&urgent, secs(102)).choice;
    assert_eq!(placed, PlacementDecision::Place { vm: vm(0) });
}

/// A non-idempotent task that has started must not run twice, so an eviction could only end it with
/// an unknown outcome. The holder refuses a plan that includes it, and the plan would be repeated.
#[test]
fn a_task_that_is_not_idempotent_is_never_evicted() {
    let config = config();
    let mut policy = policy(config.clone(), [with_tasks(view(0), "build", 4)]);
    let mut non_idempotent: Vec<_> =
        (1..=4).map(|number| running_task(&config, "build", number, secs(0))).collect();
    for wash in &mut non_idempotent {
        wash.spec.idempotency = Idempotency::NonIdempotent;
    }
    let mut urgent = candidate(&config, "build", 9);
    urgent.spec.urgency = Urgency::Urgent;
    let running_tasks = IndexMap::from([(vm(0), non_idempotent)]);
    assert_eq!(policy.plan_preemption(&urgent, &running_tasks, secs(100)), None);
}

/// A lease lapses briefly, and the VM is removed and added again. The worker still throttles the
/// task; if the policy dropped the throttle, nothing would ever lift it.
#[test]
fn a_throttle_is_kept_when_its_vm_returns() {
    let config = config_with_weights(1.0, 1.0);
    let mut policy = policy(config.clone(), [with_tasks(view(0), "shop", 2)]);
    let mut running_tasks = vec![running_task(&config, "build", 1, secs(0))];
    let steps = run_ladder(&mut policy, &mut running_tasks, |_, _| 1.6, 5);
    assert!(matches!(steps[0].1, ReliefStep::Throttle { .. }), "{steps:?}");
    policy.remove_vm(&vm(0));
    policy.upsert_vm(with_tasks(view(0), "shop", 2));
    for now in 20..200 {
        let tenants = vec![tenant("shop", 1000, 1.0), tenant("build", 1, 1.0)];
        policy.handle_report(&vm(0), &report(100 + now, secs(1), 0.7, tenants), secs(now));
        let steps = policy.decide_relief(&vm(0), &running_tasks, secs(now));
        if let [Decision { choice: ReliefStep::Throttle { share, .. }, .. }] = &steps[..] {
            assert!(*share > 0.9, "{share}");
            return;
        }
    }
    panic!("the throttle was never lifted");
}
