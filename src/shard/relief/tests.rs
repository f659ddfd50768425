use super::{Neighbour, OVER_TOO_LONG, Served, paces::choose};
use crate::job::{Image, JobId, RunNumber, TaskRef};
use crate::shard::interference::{Effects, Estimate, ImageIx, Learned, Pair};
use crate::shard::vm_run::RunKey;
use std::time::Duration;

const HEAVY: f64 = 2.0;
const LIGHT: f64 = 0.2;

/// What is known of one heavy and one light leftover image beside one serving image.
struct Known {
    effects: Effects,
    heavy: ImageIx,
    light: ImageIx,
    serving: ImageIx,
}

fn known() -> Known {
    let mut effects = Effects::default();
    let learned = |leftover: &str, mean: f64| Learned {
        pair: Pair { leftover: Image::new(leftover), serving: Image::new("serving") },
        amount: Estimate { mean, variance: 0.0025 },
    };
    effects.merge("other", &[learned("heavy", HEAVY), learned("light", LIGHT)]);
    let mut number = |name| effects.number(&Image::new(name));
    let (heavy, light, serving) = (number("heavy"), number("light"), number("serving"));
    Known { effects, heavy, light, serving }
}

fn task(number: u64) -> TaskRef {
    TaskRef { job: JobId(number), ..TaskRef::default() }
}

fn neighbour(image: ImageIx, full: f64) -> Neighbour {
    let key = RunKey { task: task(1), run: RunNumber(1) };
    Neighbour { key, image, full, pace: 100, wanted: 1.0 }
}

fn served(image: ImageIx, slack: f64, over: Duration) -> Served {
    Served {
        task: task(2),
        image,
        own: 0.78 - slack,
        bound: 0.78,
        over,
        tail_ms: 12,
        target_ms: 18,
    }
}

fn wanted(neighbours: &[Neighbour]) -> Vec<f64> {
    neighbours.iter().map(|n| (n.wanted * 100.0).round() / 100.0).collect()
}

// Three serving tasks have room for a light neighbour and for half of a heavy one. The heavy one is
// slowed to less than that, since their load isn't known exactly; the light one works on.
#[test]
fn who_adds_most_is_slowed_first() {
    let known = known();
    let mut neighbours = [neighbour(known.heavy, 0.1), neighbour(known.light, 0.1)];
    let three = [0.12, 0.12, 0.12].map(|slack| served(known.serving, slack, Duration::ZERO));
    let worst = choose(&mut neighbours, &three, &known.effects);
    assert!(worst.is_some());
    let [heavy, light] = wanted(&neighbours)[..] else { panic!("two neighbours") };
    assert!((0.1..0.31).contains(&heavy), "{heavy}");
    assert!((light - 1.0).abs() < 1e-9, "{light}");
}

// One serving task's load is at its height and leaves no room at all, beside twelve light neighbours
// that would all have to stand still for it: they work on.
#[test]
fn a_dozen_is_not_stopped_for_one() {
    let known = known();
    let mut neighbours: Vec<Neighbour> = (0..12).map(|_| neighbour(known.light, 0.08)).collect();
    let served = [served(known.serving, 0.0, Duration::ZERO)];
    assert_eq!(choose(&mut neighbours, &served, &known.effects), None);
    assert_eq!(wanted(&neighbours), vec![1.0; 12]);
}

// The same task has been over its target for more than two seconds: whatever it costs, they stop.
#[test]
fn a_task_that_was_over_for_long_is_relieved() {
    let known = known();
    let mut neighbours: Vec<Neighbour> = (0..12).map(|_| neighbour(known.light, 0.08)).collect();
    let served = [served(known.serving, 0.0, OVER_TOO_LONG)];
    assert_eq!(choose(&mut neighbours, &served, &known.effects), Some(0));
    assert_eq!(wanted(&neighbours), vec![0.0; 12]);
}

// Four serving tasks beside one heavy neighbour, whose work would take each of them over its target:
// four that are over cost more than one that stands nearly still. For a single one it works on.
#[test]
fn one_stops_for_many() {
    let known = known();
    let beside = |tasks: usize| {
        let mut neighbours = [neighbour(known.heavy, 0.1)];
        let served = vec![served(known.serving, 0.1, Duration::ZERO); tasks];
        choose(&mut neighbours, &served, &known.effects);
        wanted(&neighbours)[0]
    };
    let (for_four, for_one) = (beside(4), beside(1));
    assert!(for_four <= 0.3, "{for_four}");
    assert!((for_one - 1.0).abs() < 1e-9, "{for_one}");
}
