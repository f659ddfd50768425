//! The scenarios; each is printed as one table per user.

use crate::rows::{BaselinePolicy, Disabled, SchedulerPolicy, TestedPolicy};
use crate::site::{NOISY, Site};
use crate::trace::{BAD_WIRE, Load, Scenario};
use crate::world::{Outcomes, run};
use std::sync::Arc;
use waxwingstall::ids::ClassName;
use waxwingstall::model::{Config, Weights};

/// Seeds of each scenario; each row of a table aggregates them.
const SEEDS: [u64; 2] = [11, 12];

/// The name and the constructor of a policy under test.
type PolicyEntry = (&'static str, fn(&Arc<Config>, u64) -> Box<dyn TestedPolicy>);

const DEFAULT_POLICIES: [PolicyEntry; 6] = [
    ("first fit", |_, _| Box::new(BaselinePolicy::first_fit())),
    ("random", |_, seed| Box::new(BaselinePolicy::random(seed))),
    ("never colocated", |config, _| Box::new(BaselinePolicy::never_beside_services(config))),
    ("no model", |config, _| Box::new(SchedulerPolicy::without(config, Disabled::Model))),
    ("today's", |config, _| Box::new(SchedulerPolicy::new(config, 1))),
    ("oracle", |config, _| Box::new(SchedulerPolicy::oracle(config))),
];

const NO_RELIEF: PolicyEntry =
    ("without ladder", |config, _| Box::new(SchedulerPolicy::without(config, Disabled::Relief)));
const NO_BLAME: PolicyEntry =
    ("without blame", |config, _| Box::new(SchedulerPolicy::without(config, Disabled::Blame)));
const EIGHT_DAEMONS: PolicyEntry =
    ("today's, 8 daemons", |config, _| Box::new(SchedulerPolicy::new(config, 8)));

/// All scenarios, each with its policies in addition to the default ones.
pub fn all() -> Vec<(Scenario, Vec<PolicyEntry>)> {
    let steady = Scenario::steady;
    vec![
        (steady("steady load"), vec![EIGHT_DAEMONS]),
        (
            Scenario {
                load: Load::Steps,
                shift_at: Some(1500),
                ..steady("load in steps, hidden effects shift")
            },
            vec![NO_RELIEF, EIGHT_DAEMONS],
        ),
        (Scenario { waves: true, ..steady("waves of noisy tasks") }, vec![NO_RELIEF]),
        (Scenario { misdeclared: true, ..steady("declared sizes far off") }, vec![NO_RELIEF]),
        (Scenario { wire: BAD_WIRE, ..steady("reports late, lost, repeated") }, vec![NO_RELIEF]),
        (Scenario { broken: 3, ..steady("three VMs fail everything") }, vec![NO_BLAME]),
        (Scenario { bad_class: Some(3), ..steady("one class fails everywhere") }, vec![NO_BLAME]),
        (Scenario { rack_fails_at: Some(1500), ..steady("a rack fails and returns") }, vec![]),
        (Scenario { cancellations: 10_000, ..steady("10,000 cancellations amid starts") }, vec![]),
        (
            Scenario {
                impossible: 0.02,
                urgent: 0.03,
                large: 0.02,
                demand: 1.0,
                ..steady("urgent, large and impossible tasks, demand above room")
            },
            vec![],
        ),
    ]
}

/// Runs one scenario for one user under each policy.
pub fn table(site: &Site, scenario: &Scenario, additional: &[PolicyEntry]) -> String {
    let mut out = header(site, scenario);
    let config = Arc::new(configuration(site));
    for (name, create) in DEFAULT_POLICIES.iter().chain(additional) {
        out += &row(name, &run_seeds(site, scenario, &config, *create));
    }
    out
}

/// Runs both users' weights on the same trace of one user.
pub fn weights_table(site: &Site, other: &Site) -> String {
    let scenario = Scenario {
        load: Load::Steps,
        waves: true,
        ..Scenario::steady("the two users' weights on the same trace")
    };
    let mut out = header(site, &scenario);
    for (name, weights) in
        [(site.name, site.weights), (other.name, other.weights), ("equal", Weights::default())]
    {
        let config = Config { weights, ..configuration(site) };
        let default_policy: fn(&Arc<Config>, u64) -> Box<dyn TestedPolicy> = DEFAULT_POLICIES[4].1;
        let outcomes = run_seeds(site, &scenario, &Arc::new(config), default_policy);
        out += &row(&format!("weights: {name}"), &outcomes);
    }
    out
}

fn configuration(site: &Site) -> Config {
    let mut config = site.config();
    let mut noisy = config.batch[&ClassName::new(site.batch[0].name)].clone();
    noisy.resources = config.batch[&ClassName::new(site.batch[0].name)].resources;
    config.batch.insert(ClassName::new(NOISY), noisy);
    config
}

fn run_seeds(
    site: &Site,
    scenario: &Scenario,
    config: &Arc<Config>,
    create: fn(&Arc<Config>, u64) -> Box<dyn TestedPolicy>,
) -> Outcomes {
    let one = |seed: u64| run(site, scenario, create(config, seed).as_mut(), seed);
    std::thread::scope(|scope| {
        let seeds: Vec<_> = SEEDS.into_iter().map(|seed| scope.spawn(move || one(seed))).collect();
        let outcomes = seeds.into_iter().map(|seed| seed.join().expect("a run"));
        outcomes.reduce(|sum, other| add(sum, &other)).expect("at least one seed")
    })
}

fn add(mut sum: Outcomes, other: &Outcomes) -> Outcomes {
    let same = "histograms of the same bounds";
    sum.services.add(&other.services).expect(same);
    sum.waits.add(&other.waits).expect(same);
    sum.urgent_waits.add(&other.urgent_waits).expect(same);
    sum.large_waits.add(&other.large_waits).expect(same);
    sum.throughput = (sum.throughput + other.throughput) / 2.0;
    sum.predictions += other.predictions;
    sum.prediction_error += other.prediction_error;
    sum.real_excess += other.real_excess;
    sum.evictions += other.evictions;
    sum.throttles += other.throttles;
    sum.refused += other.refused;
    sum.failed_starts += other.failed_starts;
    sum.failed_tasks += other.failed_tasks;
    sum.violations += other.violations;
    sum.still_waiting += other.still_waiting;
    sum.decisions += other.decisions;
    sum.decision_time += other.decision_time;
    sum
}

fn header(site: &Site, scenario: &Scenario) -> String {
    format!(
        "\n## {}: {}\n{:<20}{:>8}{:>8}{:>9}{:>7}{:>9}{:>8}{:>7}{:>7}{:>7}{:>7}{:>7}{:>7}{:>7}{:>9}{:>8}\n",
        site.name,
        scenario.name,
        "policy",
        "p99 svc",
        "p50 svc",
        "batch/h",
        "evict",
        "throttle",
        "refused",
        "broken",
        "fails",
        "failed",
        "wait99",
        "urg99",
        "lrg99",
        "queue",
        "µs/choice",
        "pr.err"
    )
}

fn row(name: &str, out: &Outcomes) -> String {
    let slowdown = |percentile| out.services.value_at_percentile(percentile) as f64 / 1000.0;
    let micros_per_decision = out.decision_time.as_secs_f64() * 1e6 / out.decisions.max(1) as f64;
    format!(
        "{:<20}{:>8.2}{:>8.2}{:>9.1}{:>7}{:>9}{:>8}{:>7}{:>7}{:>7}{:>7}{:>7}{:>7}{:>7}{:>9.1}{:>8}\n",
        name,
        slowdown(99.0),
        slowdown(50.0),
        out.throughput,
        out.evictions,
        out.throttles,
        out.refused,
        out.violations,
        out.failed_starts,
        out.failed_tasks,
        out.waits.value_at_percentile(99.0),
        out.urgent_waits.value_at_percentile(99.0),
        out.large_waits.value_at_percentile(99.0),
        out.still_waiting,
        micros_per_decision,
        relative_prediction_error(out)
    )
}

/// Ratio of the mean error of the predicted slowdown of a class on a VM to its mean real slowdown.
fn relative_prediction_error(out: &Outcomes) -> String {
    if out.predictions == 0.0 {
        return "-".to_owned();
    }
    format!("{:.2}", out.prediction_error / out.real_excess)
}
