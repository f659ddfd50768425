//! Selects the paces of the leftover work on one VM that minimize the total loss.
//!
//! A serving task's load half a second ahead is known only with the error of its forecast. Pacing
//! its neighbours so that the mean load stays at the bound leaves it over the bound half of the
//! time: on days of usual load, half of all time over a target had been forecast to be below it by
//! less than 0.06. Each serving task is therefore weighted by its probability of exceeding its
//! target, and each neighbour by the work that it loses. A neighbour that adds much load is kept well below the
//! bound, and one that adds little keeps running next to a task that is near it.

use super::{HEAVY, Neighbour, ServingTask, StopTimes};
use crate::shard::interference::{InterferenceModel, chance_over};

/// Cost of one serving task over its target, in stopped neighbours. Operators count a serving task
/// over its target four times and pay 0.65 as much for a second of its work as for one of a
/// leftover task, which gives 2.6; the value is far lower because slowing leftover work also delays the
/// work queued behind it, and a step ends with its slowest task.
const OVER_TARGET_COST: f64 = 0.4;

/// Granularity of the paces tried, as a share of full speed.
const PACE_INCREMENT: f64 = 0.1;

/// Maximum number of rounds over all neighbours; paces converge within two or three.
const MAX_ROUNDS: usize = 4;

/// Minimum gain for which a pace is changed.
const MIN_GAIN: f64 = 1e-3;

/// Sets the target paces that minimize the loss and returns the serving task with the highest
/// excess load, if any neighbour is slowed. Neighbours stopped for a task that is over its target
/// stay stopped.
pub(super) fn choose_paces(
    neighbours: &mut [Neighbour],
    served: &[ServingTask],
    interference: &InterferenceModel,
    stop_times: StopTimes,
) -> Option<usize> {
    for served in served {
        stop_neighbours(neighbours, served, interference, stop_times);
    }
    let limits: Vec<f64> = neighbours.iter().map(|n| n.target_pace).collect();
    let model = PaceModel::new(neighbours, served, interference);
    let (fast, slow) = (
        model.coordinate_descent(limits.clone(), &limits),
        model.coordinate_descent(vec![0.0; limits.len()], &limits),
    );
    let best = if model.cost(&slow, &limits) < model.cost(&fast, &limits) { slow } else { fast };
    let worst = model.worst(&vec![1.0; limits.len()]);
    for (neighbour, target_pace) in neighbours.iter_mut().zip(best) {
        neighbour.target_pace = target_pace;
    }
    worst.filter(|_| neighbours.iter().any(|n| n.target_pace < 1.0))
}

/// Load of each serving task as a function of the neighbours' paces.
struct PaceModel {
    /// Load without neighbours minus the bound, by serving task.
    own: Vec<f64>,
    /// Standard error of `own`, by serving task.
    deviations: Vec<f64>,
    /// Load added at full speed, by neighbour, then by serving task.
    added: Vec<Vec<f64>>,
}

impl PaceModel {
    fn new(
        neighbours: &[Neighbour],
        served: &[ServingTask],
        interference: &InterferenceModel,
    ) -> Self {
        let added = |n: &Neighbour| {
            served.iter().map(|s| interference.amount(n.image, s.image) * n.full).collect()
        };
        Self {
            own: served.iter().map(|s| s.own - s.bound).collect(),
            deviations: served.iter().map(|s| s.deviation).collect(),
            added: neighbours.iter().map(added).collect(),
        }
    }

    /// Returns the load of each serving task above its bound.
    fn excess(&self, paces: &[f64]) -> Vec<f64> {
        let mut excess = self.own.clone();
        for (added, pace) in self.added.iter().zip(paces) {
            for (excess, added) in excess.iter_mut().zip(added) {
                *excess += added * pace;
            }
        }
        excess
    }

    /// Returns the loss, in stopped neighbours.
    fn cost(&self, paces: &[f64], limits: &[f64]) -> f64 {
        let held: f64 = limits.iter().zip(paces).map(|(limit, pace)| limit - pace).sum();
        held + self.over_cost(self.excess(paces).into_iter())
    }

    /// Improves one pace at a time until there is no further gain.
    fn coordinate_descent(&self, mut paces: Vec<f64>, limits: &[f64]) -> Vec<f64> {
        let mut excess = self.excess(&paces);
        for _ in 0..MAX_ROUNDS {
            let mut gained = 0.0;
            for (index, added) in self.added.iter().enumerate() {
                for (excess, added) in excess.iter_mut().zip(added) {
                    *excess -= added * paces[index];
                }
                let loss = |pace: f64| {
                    let there = excess.iter().zip(added).map(|(e, a)| e + a * pace);
                    limits[index] - pace + self.over_cost(there)
                };
                let before = loss(paces[index]);
                let (pace, least) = best_pace(limits[index], loss);
                if least < before - MIN_GAIN {
                    gained += before - least;
                    paces[index] = pace;
                }
                for (excess, added) in excess.iter_mut().zip(added) {
                    *excess += added * paces[index];
                }
            }
            if gained <= 0.0 {
                break;
            }
        }
        paces
    }

    /// Returns the expected loss of the serving tasks when their loads exceed their bounds by
    /// `excess`.
    fn over_cost(&self, excess: impl Iterator<Item = f64>) -> f64 {
        let chances = excess.zip(&self.deviations).map(|(e, deviation)| chance_over(e, *deviation));
        OVER_TARGET_COST * chances.sum::<f64>()
    }

    /// Returns the serving task with the highest load above its bound.
    fn worst(&self, paces: &[f64]) -> Option<usize> {
        let excess = self.excess(paces);
        let by_excess = |a: &usize, b: &usize| excess[*a].total_cmp(&excess[*b]);
        (0..excess.len()).max_by(by_excess)
    }
}

/// Returns the pace with the lowest loss, and the loss. Of paces with equal loss, the fastest is
/// selected.
fn best_pace(limit: f64, loss: impl Fn(f64) -> f64) -> (f64, f64) {
    let mut best = (limit, loss(limit));
    let steps = (limit / PACE_INCREMENT).round() as usize;
    for step in (0..steps).rev() {
        let pace = step as f64 * PACE_INCREMENT;
        let loss = loss(pace);
        if loss < best.1 {
            best = (pace, loss);
        }
    }
    best
}

/// Stops the neighbours of a task that has been over its target for long, regardless of the
/// estimated loss.
fn stop_neighbours(
    neighbours: &mut [Neighbour],
    served: &ServingTask,
    interference: &InterferenceModel,
    stop_times: StopTimes,
) {
    for neighbour in neighbours {
        let heavy = interference.amount(neighbour.image, served.image) >= HEAVY;
        if served.over >= stop_times.all || (served.over >= stop_times.heavy && heavy) {
            neighbour.target_pace = 0.0;
        }
    }
}
