//! How quotas are split over failure domains, and how unused allowance moves.

use super::quota::Usage;
use super::*;
use std::collections::BTreeSet;

fn domains(count: usize) -> BTreeSet<DomainId> {
    (0..count).map(|index| DomainId::new(&format!("domain-{index}"))).collect()
}

#[test]
fn the_parts_of_a_quota_never_exceed_it() {
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
fn a_quota_that_holds_one_large_task_is_not_split_into_parts_that_hold_none() {
    let quota = Resources::new(24_000, 96_000, 1);
    let largest = Resources::new(10_000, 16_384, 0);
    let split = Allowances::split(&"audio".into(), &quota, &largest, &domains(4));
    let holding = domains(4).iter().filter(|domain| largest.fits_in(&split.of(domain))).count();
    assert_eq!(holding, 2);
}

#[test]
fn moving_allowance_keeps_the_sum_and_what_is_in_use() {
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

/// A failure domain is cut off and its VMs leave this daemon's list. Had its allowance been given
/// to the others, the team would commit its quota here and keep its tasks over there as well.
#[test]
fn the_allowance_of_a_domain_that_is_cut_off_stays_there() {
    let config = with_quota(config(), "audio", 16);
    let mut far = view(1);
    far.domain = "remera".into();
    let mut policy = policy(config.clone(), [view(0), far]);
    policy.remove_vm(&vm(1));
    policy.upsert_vm(beside(view(0), "build", 1));
    let choice = policy.choose(&candidate(&config, "build", 1), secs(1)).choice;
    assert!(matches!(choice, Choice::Wait { .. }), "{choice:?}");
}

#[test]
fn usage_follows_the_views_and_a_new_configuration() {
    let config = with_quota(config(), "audio", 16);
    let mut policy = policy(config.clone(), [beside(view(0), "build", 2)]);
    let build = candidate(&config, "build", 1);
    assert!(matches!(policy.choose(&build, secs(1)).choice, Choice::Wait { .. }));
    policy.upsert_vm(beside(view(0), "build", 1));
    assert!(matches!(policy.choose(&build, secs(2)).choice, Choice::Place { .. }));
    policy.upsert_vm(beside(view(0), "build", 2));
    policy.configure(Arc::new(with_quota(config, "audio", 24)));
    assert!(matches!(policy.choose(&build, secs(3)).choice, Choice::Place { .. }));
}
