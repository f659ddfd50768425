//! Bounds on waiting times, and fairness between teams.

use super::*;

/// Small tasks take every processor that becomes free, so a task for half a VM never finds enough
/// at once. After a while one VM must be reserved for it and drain.
#[test]
fn a_large_task_is_not_starved_by_small_ones() {
    let config = config();
    let mut counts = [8_u32; 4];
    let filled = |index: usize, count: u32| with_tasks(view(index), "narration", count);
    let mut policy = policy(config.clone(), (0..4).map(|index| filled(index, 8)));
    let mut large = candidate(&config, "build", 1);
    large.spec.resources = Resources::new(20_000, 40_000, 0);
    let mut number = 100;
    for second in 0..600 {
        let now = secs(second);
        let done = (second % 4) as usize;
        counts[done] = counts[done].saturating_sub(1);
        policy.upsert_vm(filled(done, counts[done]));
        large.waited = now;
        if let PlacementDecision::Place { .. } = policy.place(&large, now).choice {
            assert!(second < 120, "placed after {second} s");
            return;
        }
        number += 1;
        let small = candidate(&config, "narration", number);
        if let PlacementDecision::Place { vm: to } = policy.place(&small, now).choice {
            let index = (0..4).find(|index| vm(*index) == to).expect("a known VM");
            counts[index] += 1;
            policy.upsert_vm(filled(index, counts[index]));
        }
    }
    panic!("the large task was starved");
}

#[test]
fn reservations_are_limited_however_many_large_tasks_wait() {
    let config = config();
    let mut policy =
        policy(config.clone(), (0..64).map(|index| with_tasks(view(index), "build", 3)));
    for number in 0..100 {
        let mut large = candidate(&config, "build", number);
        large.spec.resources = Resources::new(30_000, 40_000, 0);
        large.waited = secs(100);
        policy.place(&large, secs(100));
    }
    let decision = policy.place(&candidate(&config, "wash", 1000), secs(101));
    let reserved = decision.record.passed_over.get("held for a task that waited longer");
    assert!(reserved.copied().unwrap_or(0) <= 2, "{:?}", decision.record.passed_over);
    assert!(matches!(decision.choice, PlacementDecision::Place { .. }));
}

#[test]
fn a_task_delayed_to_protect_a_service_is_eventually_placed() {
    let config = config();
    let mut policy = policy(config.clone(), [with_tasks(view(0), "shop", 4)]);
    for seq in 1..=100 {
        let tenants = vec![tenant("shop", 1, 3.5), tenant("build", 2, 1.0)];
        policy.handle_report(&vm(0), &report(seq, secs(1), 0.7, tenants), secs(seq));
    }
    let mut build = candidate(&config, "build", 1);
    let first = policy.place(&build, secs(101)).choice;
    let PlacementDecision::Wait { reason } = first else { panic!("{first:?}") };
    assert!(reason.contains("would suffer"), "{reason}");
    build.waited = secs(600);
    let last = policy.place(&build, secs(701)).choice;
    assert_eq!(last, PlacementDecision::Place { vm: vm(0) });
}

#[test]
fn a_burst_of_one_team_waits_behind_another_teams_tasks() {
    let config = with_quota(with_quota(config(), "audio", 320), "cellar", 320);
    let policy = policy(config.clone(), (0..8).map(|index| with_tasks(view(index), "build", 4)));
    let mut burst = candidate(&config, "build", 1);
    burst.waited = secs(500);
    let other = candidate(&config, "wash", 2);
    assert!(policy.priority(&other) < policy.priority(&burst));
    burst.spec.urgency = Urgency::Urgent;
    assert!(policy.priority(&burst) < policy.priority(&other));
}
