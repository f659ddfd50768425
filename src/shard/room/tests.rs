use super::{ServingTask, Slack, VmCapacity};
use crate::ids::{RackId, ServiceName, VmId};
use crate::job::{Image, Resume, Share, Step};
use crate::shard::interference::{Estimate, ImageIx, InterferenceModel, Pair, PairEstimate};
use crate::shard::own_load::OwnLoad;
use crate::units::Resources;
use std::f64::consts::TAU;
use std::sync::Arc;
use std::time::Duration;

const SIZE: Resources = Resources::new(32_000, 128_000, 0);

/// A leftover task that uses a ninth of a VM's processors, like the users' batch work.
fn leftover() -> Step {
    Step {
        resume: Resume::FromCheckpoint,
        share: Share::Leftover,
        ..Step::new(8, Resources::new(3500, 6400, 0), Duration::from_millis(2200))
    }
}

/// Returns the value of a leftover task on a VM with five serving tasks of one image. `slack` is
/// the load that each can take before it is over its target. `amount` is the interference of the
/// pair of images; measured pairs fall into two groups, [`HEAVY`] and [`LIGHT`].
fn worth(amount: f64, slack: f64) -> f64 {
    worth_for(amount, &Slack::constant(slack, DEVIATION), leftover().estimate)
}

/// Returns the value of a leftover task that runs for `time`.
fn worth_for(amount: f64, slack: &Slack, time: Duration) -> f64 {
    let mut interference = InterferenceModel::default();
    let pair = Pair { leftover: Image::new("leftover"), serving: Image::new("serving") };
    let amount = Estimate { mean: amount, variance: 0.0025 };
    interference.merge("other", &[PairEstimate { pair, amount }]);
    let [image, serving]: [ImageIx; 2] =
        ["leftover", "serving"].map(|name| interference.number(&Image::new(name)));
    let (rack, service) = (RackId::new("r0"), ServiceName::new("desk"));
    let mut room = VmCapacity::empty(VmId::new("vm"), Arc::from("vm"), rack, service, SIZE);
    room.served = vec![ServingTask { image: serving, slack: slack.clone() }; 5];
    room.value_after_harm(&leftover(), image, time, &interference)
}

const HEAVY: f64 = 2.0;
const LIGHT: f64 = 0.2;

/// Standard error of a forecast that makes each task's load known to 0.05.
const DEVIATION: f64 = 0.04;

// Five serving tasks are over their targets because of their own load. Work that adds little load
// makes no difference to them and must be able to start. If only the remaining slack counted, it
// would wait for the peak to pass.
#[test]
fn light_work_starts_beside_serving_tasks_at_peak_load() {
    assert!(worth(LIGHT, -0.15) > 0.9, "{}", worth(LIGHT, -0.15));
}

// Five serving tasks would just stay below their targets next to heavy work. Since loads are only
// known approximately, each has a probability of a third of exceeding its target, so the work must
// wait or run elsewhere.
#[test]
fn heavy_work_avoids_serving_tasks_close_to_their_target() {
    assert!(worth(HEAVY, 0.24) < 0.2, "{}", worth(HEAVY, 0.24));
    assert!(worth(HEAVY, 0.4) > 0.9, "{}", worth(HEAVY, 0.4));
}

// The value of a VM for leftover work must not decrease as slack grows.
#[test]
fn worth_increases_with_slack() {
    let worths: Vec<f64> = (0..9).map(|n| worth(HEAVY, 0.05 * f64::from(n))).collect();
    assert!(worths.is_sorted(), "{worths:?}");
}

// Serving tasks are at the lowest point of their load and will peak in 5 s. Heavy work that ends
// before must start; work that would still run then must not, however low the load is now.
#[test]
fn heavy_work_starts_before_a_peak_only_if_it_ends_in_time() {
    let mut load = OwnLoad::new(Duration::from_millis(18), Duration::ZERO);
    for number in 0..=1200 {
        let now = 0.025 * f64::from(number);
        load.advance(Duration::from_secs_f64(now));
        let own = 0.42 - 0.21 * (TAU * (now - 0.25) / 10.0).cos();
        load.correct(own - load.expected_reading(), 0.0036 + load.variance());
    }
    let slack = Slack::of(&load, Duration::from_secs(30));
    let value = |seconds: u64| worth_for(HEAVY, &slack, Duration::from_secs(seconds));
    assert!(value(1) > 0.9, "{}", value(1));
    assert!(value(6) < 0.1, "{}", value(6));
}
