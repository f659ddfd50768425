use super::{Neighbour, ServingTask, StopTimes, paces};
use crate::job::{Image, JobId, RunNumber, TaskRef};
use crate::shard::interference::{Estimate, ImageIx, InterferenceModel, Pair, PairEstimate};
use crate::shard::vm_run::RunKey;
use std::time::Duration;

const HEAVY: f64 = 2.0;
const LIGHT: f64 = 0.2;

/// Standard error of a forecast that makes each task's load known to 0.05.
const DEVIATION: f64 = 0.04;

/// Learned effects of one heavy and one light leftover image on one serving image.
struct Known {
    interference: InterferenceModel,
    heavy: ImageIx,
    light: ImageIx,
    serving: ImageIx,
}

fn known() -> Known {
    let mut interference = InterferenceModel::default();
    let learned = |leftover: &str, mean: f64| PairEstimate {
        pair: Pair { leftover: Image::new(leftover), serving: Image::new("serving") },
        amount: Estimate { mean, variance: 0.0025 },
    };
    interference.merge("other", &[learned("heavy", HEAVY), learned("light", LIGHT)]);
    let mut number = |name| interference.number(&Image::new(name));
    let (heavy, light, serving) = (number("heavy"), number("light"), number("serving"));
    Known { interference, heavy, light, serving }
}

fn task(number: u64) -> TaskRef {
    TaskRef { job: JobId(number), ..TaskRef::default() }
}

fn neighbour(image: ImageIx, full: f64) -> Neighbour {
    let key = RunKey { task: task(1), run: RunNumber(1) };
    Neighbour { key, image, full, pace: 100, target_pace: 1.0 }
}

fn served(image: ImageIx, slack: f64, over: Duration) -> ServingTask {
    ServingTask {
        task: task(2),
        image,
        own: 0.78 - slack,
        deviation: DEVIATION,
        bound: 0.78,
        over,
        tail_ms: 12,
        target_ms: 18,
    }
}

fn stop_times() -> StopTimes {
    StopTimes::new(Duration::from_secs(4), Duration::from_millis(450))
}

fn choose_paces(
    neighbours: &mut [Neighbour],
    served: &[ServingTask],
    interference: &InterferenceModel,
) -> Option<usize> {
    paces::choose_paces(neighbours, served, interference, stop_times())
}

fn target_paces(neighbours: &[Neighbour]) -> Vec<f64> {
    neighbours.iter().map(|n| (n.target_pace * 100.0).round() / 100.0).collect()
}

// Three serving tasks have slack for a light neighbour and for half of a heavy one. The heavy one
// must be slowed to less than half, since loads are known only approximately, and the light one
// must run at full speed.
#[test]
fn the_heaviest_neighbour_is_slowed_first() {
    let known = known();
    let mut neighbours = [neighbour(known.heavy, 0.1), neighbour(known.light, 0.1)];
    let three = [0.12, 0.12, 0.12].map(|slack| served(known.serving, slack, Duration::ZERO));
    let worst = choose_paces(&mut neighbours, &three, &known.interference);
    assert!(worst.is_some());
    let [heavy, light] = target_paces(&neighbours)[..] else { panic!("two neighbours") };
    assert!((0.1..0.31).contains(&heavy), "{heavy}");
    assert!((light - 1.0).abs() < 1e-9, "{light}");
}

// One serving task at its peak load has no slack, next to twelve light neighbours that would all
// have to be stopped for it. They must keep running.
#[test]
fn many_light_neighbours_are_not_stopped_for_one_serving_task() {
    let known = known();
    let mut neighbours: Vec<Neighbour> = (0..12).map(|_| neighbour(known.light, 0.08)).collect();
    let served = [served(known.serving, 0.0, Duration::ZERO)];
    assert_eq!(choose_paces(&mut neighbours, &served, &known.interference), None);
    assert_eq!(target_paces(&neighbours), vec![1.0; 12]);
}

// The same task has been over its target for long: all neighbours must be stopped
// whatever the cost.
#[test]
fn all_neighbours_stop_for_a_task_over_its_target_for_long() {
    let known = known();
    let mut neighbours: Vec<Neighbour> = (0..12).map(|_| neighbour(known.light, 0.08)).collect();
    let served = [served(known.serving, 0.0, stop_times().all)];
    assert_eq!(choose_paces(&mut neighbours, &served, &known.interference), Some(0));
    assert_eq!(target_paces(&neighbours), vec![0.0; 12]);
}

// A heavy neighbour would push each serving task next to it over its target. Four tasks over their
// targets cost more than one neighbour that is nearly stopped, so it is slowed for four. For a
// single one it keeps running.
#[test]
fn one_heavy_neighbour_is_slowed_for_several_serving_tasks() {
    let known = known();
    let beside = |tasks: usize| {
        let mut neighbours = [neighbour(known.heavy, 0.1)];
        let served = vec![served(known.serving, 0.1, Duration::ZERO); tasks];
        choose_paces(&mut neighbours, &served, &known.interference);
        target_paces(&neighbours)[0]
    };
    let (for_four, for_one) = (beside(4), beside(1));
    assert!(for_four <= 0.3, "{for_four}");
    assert!((for_one - 1.0).abs() < 1e-9, "{for_one}");
}

// Eight serving tasks have slack for a heavy neighbour, and little more. While their load is forecast
// well the neighbour must run nearly at full speed; while the forecast is uncertain it must be slowed
// to about half, since it would push several of them over their targets.
#[test]
fn a_neighbour_runs_faster_beside_a_load_that_is_forecast_well() {
    let known = known();
    let pace = |deviation: f64| {
        let mut neighbours = [neighbour(known.heavy, 0.1)];
        let task = ServingTask { deviation, ..served(known.serving, 0.24, Duration::ZERO) };
        choose_paces(&mut neighbours, &vec![task; 8], &known.interference);
        target_paces(&neighbours)[0]
    };
    assert!(pace(0.01) > 0.75, "{}", pace(0.01));
    assert!(pace(0.1) < 0.6, "{}", pace(0.1));
}
