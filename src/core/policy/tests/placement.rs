//! Placements, waits and refusals.

use super::*;

#[test]
fn a_task_is_never_placed_where_it_has_no_room() {
    let config = config();
    let full = (0..20).map(|index| with_tasks(view(index), "build", 4));
    let one_left = with_tasks(view(20), "build", 3);
    let mut policy = policy(config.clone(), full.chain([one_left]));
    let decision = policy.place(&candidate(&config, "build", 1), secs(1));
    assert_eq!(decision.choice, PlacementDecision::Place { vm: vm(20) });
    policy.upsert_vm(with_tasks(view(20), "build", 4));
    let decision = policy.place(&candidate(&config, "build", 2), secs(2));
    let PlacementDecision::Wait { reason } = &decision.choice else { panic!("{decision:?}") };
    assert!(reason.contains("no room (21 VMs)"), "{reason}");
}

#[test]
fn a_task_larger_than_every_vm_is_refused_with_the_nearest_size() {
    let config = config();
    let mut policy = policy(config.clone(), (0..8).map(view));
    let mut oversized = candidate(&config, "build", 1);
    oversized.spec.resources = Resources::new(48_000, 20_000, 0);
    let decision = policy.check_admission(&oversized, secs(1));
    let PlacementDecision::Never { nearest, .. } = decision.choice else { panic!("{decision:?}") };
    assert_eq!(nearest, Some(Resources::new(32_000, 20_000, 0)));
    let verdict = decision.record.verdict;
    assert!(verdict.contains("nearest size that fits is 32000m"), "{verdict}");
}

#[test]
fn a_waiting_task_is_refused_when_a_new_configuration_makes_it_infeasible() {
    let config = config();
    let mut policy =
        policy(config.clone(), (0..2).map(|index| with_tasks(view(index), "build", 4)));
    let candidate = candidate(&config, "build", 1);
    let before = policy.place(&candidate, secs(1)).choice;
    assert!(matches!(before, PlacementDecision::Wait { .. }), "{before:?}");
    let mut narrower = config;
    let pool = Pool { domains: vec!["remera".into()], min_size: Resources::ZERO };
    narrower.pools.insert("all".into(), pool);
    policy.configure(Arc::new(narrower));
    let after = policy.place(&candidate, secs(2)).choice;
    assert!(matches!(after, PlacementDecision::Never { nearest: None, .. }), "{after:?}");
}

/// A daemon that has just started knows only one small VM until the views of other daemons' VMs
/// arrive. Without the settle time it would refuse a task for a large VM for good, although every
/// other daemon would accept it.
#[test]
fn nothing_is_refused_for_its_size_before_the_other_daemons_views_arrived() {
    let config = config();
    let mut policy = Policy::new(Arc::new(config.clone()));
    let mut small = view(0);
    small.size = Resources::new(4000, 8000, 0);
    small.free = small.size;
    policy.upsert_vm(small);
    let candidate = candidate(&config, "build", 1);
    let early = policy.check_admission(&candidate, secs(100)).choice;
    assert!(matches!(early, PlacementDecision::Wait { .. }), "{early:?}");
    let late = policy.check_admission(&candidate, secs(106)).choice;
    assert!(matches!(late, PlacementDecision::Never { .. }), "{late:?}");
}

#[test]
fn choices_do_not_depend_on_the_order_in_which_vms_became_known() {
    let config = config();
    let mut forward = policy(config.clone(), (0..300).map(view));
    let mut backward = policy(config.clone(), (0..300).rev().map(view));
    for number in 0..50 {
        let candidate = candidate(&config, "narration", number);
        assert_eq!(forward.place(&candidate, secs(1)), backward.place(&candidate, secs(1)));
    }
}

#[test]
fn concurrent_writers_with_the_same_views_choose_different_vms() {
    let config = config();
    let mut policy = policy(config.clone(), (0..1000).map(view));
    let mut chosen = std::collections::BTreeSet::new();
    for number in 0..56 {
        if let PlacementDecision::Place { vm } =
            policy.place(&candidate(&config, "build", number), secs(1)).choice
        {
            chosen.insert(vm);
        }
    }
    assert!(chosen.len() > 40, "{} VMs for 56 tasks", chosen.len());
}

#[test]
fn every_placement_record_can_be_replayed() {
    let config = with_quota(config(), "audio", 200);
    let views = (0..40).map(|index| with_tasks(view(index), "narration", (index % 9) as u32));
    let mut policy = policy(config.clone(), views);
    for number in 0..60 {
        let mut candidate = candidate(&config, "build", number);
        candidate.spec.resources.milli_cores.0 = 1000 * number as u32;
        let decision = policy.place(&candidate, secs(1));
        let text = serde_json::to_string(&decision.record).expect("a record can be written");
        let record = serde_json::from_str(&text).expect("a record can be read");
        let replayed = explain::replay(&record).expect("it can be replayed");
        assert_eq!(replayed, explain::Replayed::Choice(decision.choice));
    }
}

#[test]
fn a_team_at_its_quota_waits_while_others_are_placed() {
    let config = with_quota(config(), "audio", 8);
    let mut policy = policy(config.clone(), [with_tasks(view(0), "build", 1), view(1)]);
    let audio = policy.place(&candidate(&config, "narration", 1), secs(1)).choice;
    let PlacementDecision::Wait { reason } = audio else { panic!("{audio:?}") };
    assert!(reason.contains("allowance"), "{reason}");
    let cellar = policy.place(&candidate(&config, "wash", 2), secs(1)).choice;
    assert!(matches!(cellar, PlacementDecision::Place { .. }), "{cellar:?}");
}

#[test]
fn room_that_is_short_by_the_least_amount_is_no_room() {
    let config = config();
    let size = Resources::new(32_000, 125_000, 4);
    for (cores, memory, accelerators) in [(7999, 16_384, 1), (8000, 16_383, 1), (8000, 16_384, 0)] {
        let mut short = view(0);
        short.size = size;
        short.free = Resources::new(cores, memory, accelerators);
        let mut policy = policy(config.clone(), [short.clone()]);
        let mut build = candidate(&config, "build", 1);
        build.spec.resources = Resources::new(8000, 16_384, 1);
        let choice = policy.place(&build, secs(1)).choice;
        assert!(matches!(choice, PlacementDecision::Wait { .. }), "{:?}: {choice:?}", short.free);
        short.free = build.spec.resources;
        policy.upsert_vm(short);
        let choice = policy.place(&build, secs(2)).choice;
        assert_eq!(choice, PlacementDecision::Place { vm: vm(0) });
    }
}

#[test]
fn placement_records_with_services_can_be_replayed() {
    let config = config();
    let views = (0..12).map(|index| with_tasks(view(index), "shop", (index % 4) as u32));
    let mut policy = policy(config.clone(), views);
    for seq in 1..=60 {
        let tenants = vec![tenant("shop", 1, 1.25), tenant("build", 2, 1.1)];
        policy.handle_report(&vm(1), &report(seq, secs(1), 0.7, tenants), secs(seq));
    }
    let mut kinds = std::collections::BTreeSet::new();
    for number in 0..80 {
        let mut build = candidate(&config, "build", number);
        build.waited = secs(number * 10);
        let decision = policy.place(&build, secs(100));
        kinds.insert(decision.record.verdict.split(&[' ', ':'][..]).next().map(str::to_owned));
        let text = serde_json::to_string(&decision.record).expect("a record can be written");
        let record = serde_json::from_str(&text).expect("a record can be read");
        let replayed = explain::replay(&record).expect("it can be replayed");
        assert_eq!(replayed, explain::Replayed::Choice(decision.choice.clone()));
        if let PlacementDecision::Place { vm: to } = decision.choice {
            let known = policy.fleet.get(&to).expect("a known VM").view.clone();
            policy.upsert_vm(with_tasks(known, "build", 1));
        }
    }
    assert_eq!(kinds.len(), 2, "both placements and waits: {kinds:?}");
}
