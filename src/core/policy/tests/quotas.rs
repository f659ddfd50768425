//! Splitting quotas over failure domains, and transferring unused allowance.

use super::quota::Usage;
use super::*;
use std::collections::BTreeSet;

fn domains(count: usize) -> BTreeSet<DomainId> {
    (0..count).map(|index| DomainId::new(&format!("domain-{index}"))).collect()
}

#[test]
fn the_allowances_of_a_quota_add_up_to_it() {
    for count in 1..=14 {
        for cores in [1, 7, 13, 64, 1000] {
            let quota = Resources::new(cores * 1000 + 1, cores * 4096 + 3, cores / 3);
            let largest = Resources::new(8000, 16_384, 0);
            let split = Allowances::split(&"audio".into(), &quota, &largest, &domains(count));
            assert_eq!(split.total(), quota, "{count} domains, {cores} cores");
        }
    }
}

#[test]
fn a_split_quota_still_fits_the_largest_task() {
    let quota = Resources::new(24_000, 96_000, 1);
    let largest = Resources::new(10_000, 16_384, 0);
    let split = Allowances::split(&"audio".into(), &quota, &largest, &domains(4));
    let holding = domains(4).iter().filter(|domain| largest.fits_in(&split.of(domain))).count();
    assert_eq!(holding, 2);
}

#[test]
fn transferring_allowance_keeps_the_total_and_the_usage() {
    let names: Vec<_> = domains(3).into_iter().collect();
    let quota = Resources::new(90_000, 300_000, 9);
    let mut split = Allowances::split(&"audio".into(), &quota, &Resources::ZERO, &domains(3));
    let used = Resources::new(20_000, 90_000, 3);
    let usage = Usage::from([(names[0].clone(), used)]);
    for _ in 0..40 {
        split.transfer(&names[0], &names[1], &usage);
        assert_eq!(split.total(), quota);
        assert!(used.fits_in(&split.of(&names[0])));
    }
    assert!(split.of(&names[1]).milli_cores.0 > 39_000, "{:?}", split.of(&names[1]));
}

/// A failure domain is partitioned and its VMs disappear from this daemon's list. If its allowance
/// went to the other domains, the team could commit its full quota here and keep its tasks there.
#[test]
fn a_partitioned_domain_keeps_its_allowance() {
    let config = with_quota(config(), "audio", 16);
    let mut remote = view(1);
    remote.domain = "remera".into();
    let mut policy = policy(config.clone(), [view(0), remote]);
    policy.remove_vm(&vm(1));
    policy.upsert_vm(with_tasks(view(0), "build", 1));
    let choice = policy.place(&candidate(&config, "build", 1), secs(1)).choice;
    assert!(matches!(choice, PlacementDecision::Wait { .. }), "{choice:?}");
}

#[test]
fn usage_follows_the_views_and_a_new_configuration() {
    let config = with_quota(config(), "audio", 16);
    let mut policy = policy(config.clone(), [with_tasks(view(0), "build", 2)]);
    let build = candidate(&config, "build", 1);
    assert!(matches!(policy.place(&build, secs(1)).choice, PlacementDecision::Wait { .. }));
    policy.upsert_vm(with_tasks(view(0), "build", 1));
    assert!(matches!(policy.place(&build, secs(2)).choice, PlacementDecision::Place { .. }));
    policy.upsert_vm(with_tasks(view(0), "build", 2));
    policy.configure(Arc::new(with_quota(config, "audio", 24)));
    assert!(matches!(policy.place(&build, secs(3)).choice, PlacementDecision::Place { .. }));
}
