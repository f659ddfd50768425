//! Learning from reports, and which reports are ignored.

use super::interference::Band;
use super::*;

const BUSY_LOAD: f64 = 0.7;

fn effect(policy: &Policy, victim: &str, aggressor: &str) -> f64 {
    policy.interference().effect(&victim.into(), &aggressor.into(), Band::of(BUSY_LOAD))
}

fn pair(seq: u64, aggressor: &str, slowdown: f64) -> UsageReport {
    let tenants = vec![tenant("shop", 1, slowdown), tenant(aggressor, 2, 1.0)];
    report(seq, secs(5), BUSY_LOAD, tenants)
}

#[test]
fn the_slowdown_of_a_pair_is_learned_from_noisy_reports() {
    let mut policy = policy(config(), [view(0)]);
    for seq in 1..=200 {
        let noise = if seq % 2 == 0 { 0.1 } else { -0.1 };
        policy.handle_report(&vm(0), &pair(seq, "build", 1.5 + noise), secs(10 + seq));
    }
    let learned = effect(&policy, "shop", "build");
    assert!((learned - 0.5).abs() < 0.06, "learned {learned}");
}

#[test]
fn an_unobserved_pair_is_predicted_from_its_classes() {
    let mut policy = policy(config(), [view(0)]);
    for seq in 1..=300 {
        let (aggressor, slowdown) = if seq % 2 == 0 { ("build", 1.8) } else { ("wash", 1.1) };
        policy.handle_report(&vm(0), &pair(seq, aggressor, slowdown), secs(10 + seq));
    }
    let by_build = effect(&policy, "narration", "build");
    let by_wash = effect(&policy, "narration", "wash");
    assert!(by_build > by_wash, "build {by_build}, wash {by_wash}");
    assert!(by_build < effect(&policy, "shop", "build"));
}

#[test]
fn the_model_adapts_when_effects_change() {
    let mut policy = policy(config(), [view(0)]);
    for seq in 1..=300 {
        let slowdown = if seq <= 200 { 1.1 } else { 1.9 };
        policy.handle_report(&vm(0), &pair(seq, "build", slowdown), secs(10 + seq));
    }
    let learned = effect(&policy, "shop", "build");
    assert!((learned - 0.9).abs() < 0.08, "learned {learned}");
}

/// After a VM restarts, the network delivers reports from before the restart, repeated and in any
/// order. Accepting them would train the model on tasks that no longer exist, and count each
/// repetition again.
#[test]
fn repeated_reports_and_reports_from_before_a_restart_are_ignored() {
    let mut policy = policy(config(), [view(0)]);
    for seq in 1..=100 {
        policy.handle_report(&vm(0), &pair(seq, "build", 1.2), secs(10 + seq));
    }
    let mut restarted = pair(1, "build", 1.2);
    restarted.boot = BootId(2);
    policy.handle_report(&vm(0), &restarted, secs(200));
    let before = effect(&policy, "shop", "build");
    for _ in 0..50 {
        let mut repeated = pair(1, "build", 4.0);
        repeated.boot = BootId(2);
        policy.handle_report(&vm(0), &repeated, secs(201));
        policy.handle_report(&vm(0), &pair(101, "build", 4.0), secs(201));
    }
    assert_eq!(effect(&policy, "shop", "build"), before);
}

#[test]
fn a_report_that_is_out_of_order_is_ignored() {
    let mut policy = policy(config(), [view(0)]);
    policy.handle_report(&vm(0), &pair(9, "build", 1.5), secs(10));
    let before = effect(&policy, "shop", "build");
    policy.handle_report(&vm(0), &pair(8, "build", 3.0), secs(11));
    assert_eq!(effect(&policy, "shop", "build"), before);
}

#[test]
fn the_number_of_pairs_is_bounded() {
    let mut policy = policy(config(), [view(0)]);
    for seq in 1..=400 {
        let tenants = (0..40)
            .map(|index| tenant(&format!("class-{}", (seq * 7 + index * 13) % 300), index, 1.2));
        let report = report(seq, secs(1), BUSY_LOAD, tenants.collect());
        policy.handle_report(&vm(0), &report, secs(seq));
    }
    assert!(policy.interference().pairs() <= 8192, "{}", policy.interference().pairs());
    assert!(policy.interference().pairs() > 4000, "{}", policy.interference().pairs());
}

#[test]
fn batch_goes_where_it_slows_services_least() {
    let config = config();
    let quiet = with_tasks(view(1), "narration", 4);
    let busy = with_tasks(view(0), "shop", 4);
    let mut policy = policy(config.clone(), [busy, quiet]);
    for seq in 1..=100 {
        policy.handle_report(&vm(0), &pair(seq, "build", 1.9), secs(seq));
    }
    for number in 0..10 {
        let choice = policy.place(&candidate(&config, "build", number), secs(200)).choice;
        assert_eq!(choice, PlacementDecision::Place { vm: vm(1) });
    }
}
