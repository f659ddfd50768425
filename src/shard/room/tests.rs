use super::{Room, Served};
use crate::ids::{RackId, ServiceName, VmId};
use crate::job::{Image, Resume, Share, Step};
use crate::shard::interference::{Effects, Estimate, ImageIx, Learned, Pair};
use crate::units::Resources;
use std::sync::Arc;
use std::time::Duration;

const SIZE: Resources = Resources::new(32_000, 128_000, 0);

/// A leftover task of a ninth of a VM's processors, as batch work of the users asks for.
fn leftover() -> Step {
    Step {
        resume: Resume::FromCheckpoint,
        share: Share::Leftover,
        ..Step::new(8, Resources::new(3500, 6400, 0), Duration::from_millis(2200))
    }
}

/// A VM with five serving tasks of one image, whose loads may rise by `slack` before they are over
/// their targets; amounts are those of the two groups that pairs of images fall into.
fn worth(amount: f64, slack: f64) -> f64 {
    let mut effects = Effects::default();
    let pair = Pair { leftover: Image::new("leftover"), serving: Image::new("serving") };
    let amount = Estimate { mean: amount, variance: 0.0025 };
    effects.merge("other", &[Learned { pair, amount }]);
    let [image, serving]: [ImageIx; 2] =
        ["leftover", "serving"].map(|name| effects.number(&Image::new(name)));
    let (rack, service) = (RackId::new("r0"), ServiceName::new("desk"));
    let mut room = Room::empty(VmId::new("vm"), Arc::from("vm"), rack, service, SIZE);
    room.served = vec![Served { image: serving, slack }; 5];
    room.harmless_worth(&leftover(), image, &effects)
}

const HEAVY: f64 = 2.0;
const LIGHT: f64 = 0.2;

// Five serving tasks are over their targets by their own load. Work that adds little changes nothing
// for them, and may begin; counted by the load that is left it would have waited for the peak to pass.
#[test]
fn light_work_begins_beside_tasks_at_their_peak() {
    assert!(worth(LIGHT, -0.15) > 0.9, "{}", worth(LIGHT, -0.15));
}

// Five serving tasks would just stay under their targets beside work that adds much. Each is over with
// a chance of a third, since loads aren't known exactly: the work waits or goes elsewhere.
#[test]
fn heavy_work_keeps_away_from_tasks_that_would_just_stay_under() {
    assert!(worth(HEAVY, 0.24) < 0.2, "{}", worth(HEAVY, 0.24));
    assert!(worth(HEAVY, 0.4) > 0.9, "{}", worth(HEAVY, 0.4));
}

// The more load would be left, the more the work is worth there.
#[test]
fn worth_rises_with_what_is_left() {
    let worths: Vec<f64> = (0..9).map(|n| worth(HEAVY, 0.05 * f64::from(n))).collect();
    assert!(worths.is_sorted(), "{worths:?}");
}
