//! The paces of the leftover work on one VM that cost its callers least.
//!
//! What a serving task's load will be in half a second is known to about 0.05. Pacing its neighbours
//! so that the mean stays at its bound leaves it over every other time: on days of usual load, half
//! of all time over a target was foreseen to be under it by less than 0.06. So each serving task
//! counts by its chance of going over, and each neighbour by the work that it is held back from.
//! Who adds much is then kept well below a bound, and who adds little works on beside a task that is
//! near it.

use super::{HEAVY, Neighbour, OVER_LONG, OVER_TOO_LONG, Served};
use crate::shard::interference::{Effects, chance_over};

/// Neighbours that stand still for as much loss as one serving task over its target. Operators count
/// a serving task over its target four times, and pay 0.65 as much for a second of its work as for
/// one of a leftover task, which makes 2.6; but leftover work that is held back also holds up what
/// waits behind it. Mean worth of 18 days on each of three sites at 0.3: 0.620, 0.563, 0.505; at 0.5:
/// 0.625, 0.561, 0.493; at 1.1: 0.605, 0.529, 0.467; at 2.6: 0.547, 0.473, 0.405.
const OVER_COST: f64 = 0.5;

/// Steps in which paces are tried, as a share of full speed.
const STEP: f64 = 0.1;

/// Rounds over all neighbours; paces settle within two or three.
const MAX_ROUNDS: usize = 4;

/// Least gain that is worth another pace.
const LEAST_GAIN: f64 = 1e-3;

/// Sets the wanted paces so that what is lost is least; gives the worst-off serving task for whom
/// something is slowed. What was stopped for a task that is over its target stays so.
pub(super) fn choose(
    neighbours: &mut [Neighbour],
    served: &[Served],
    effects: &Effects,
) -> Option<usize> {
    for served in served {
        stop_beside(neighbours, served, effects);
    }
    let most: Vec<f64> = neighbours.iter().map(|n| n.wanted).collect();
    let plan = Plan::new(neighbours, served, effects);
    let (fast, slow) =
        (plan.settle(most.clone(), &most), plan.settle(vec![0.0; most.len()], &most));
    let best = if plan.cost(&slow, &most) < plan.cost(&fast, &most) { slow } else { fast };
    let worst = plan.worst(&vec![1.0; most.len()]);
    for (neighbour, wanted) in neighbours.iter_mut().zip(best) {
        neighbour.wanted = wanted;
    }
    worst.filter(|_| neighbours.iter().any(|n| n.wanted < 1.0))
}

/// What the neighbours at full speed add to the load of each serving task.
struct Plan {
    /// Load without neighbours, less the bound.
    own: Vec<f64>,
    /// By neighbour, then by serving task.
    added: Vec<Vec<f64>>,
}

impl Plan {
    fn new(neighbours: &[Neighbour], served: &[Served], effects: &Effects) -> Self {
        let added = |n: &Neighbour| {
            served.iter().map(|s| effects.amount(n.image, s.image) * n.full).collect()
        };
        Self {
            own: served.iter().map(|s| s.own - s.bound).collect(),
            added: neighbours.iter().map(added).collect(),
        }
    }

    /// Load over the bound of each serving task.
    fn excess(&self, paces: &[f64]) -> Vec<f64> {
        let mut excess = self.own.clone();
        for (added, pace) in self.added.iter().zip(paces) {
            for (excess, added) in excess.iter_mut().zip(added) {
                *excess += added * pace;
            }
        }
        excess
    }

    /// What is lost, in neighbours that stand still.
    fn cost(&self, paces: &[f64], most: &[f64]) -> f64 {
        let held: f64 = most.iter().zip(paces).map(|(most, pace)| most - pace).sum();
        held + over_cost(self.excess(paces).into_iter())
    }

    /// Changes one pace at a time for the better, until nothing is gained.
    fn settle(&self, mut paces: Vec<f64>, most: &[f64]) -> Vec<f64> {
        let mut excess = self.excess(&paces);
        for _ in 0..MAX_ROUNDS {
            let mut gained = 0.0;
            for (index, added) in self.added.iter().enumerate() {
                for (excess, added) in excess.iter_mut().zip(added) {
                    *excess -= added * paces[index];
                }
                let loss = |pace: f64| {
                    let there = excess.iter().zip(added).map(|(e, a)| e + a * pace);
                    most[index] - pace + over_cost(there)
                };
                let before = loss(paces[index]);
                let (pace, least) = best_pace(most[index], loss);
                if least < before - LEAST_GAIN {
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

    /// The serving task with the most load over its bound.
    fn worst(&self, paces: &[f64]) -> Option<usize> {
        let excess = self.excess(paces);
        let by_excess = |a: &usize, b: &usize| excess[*a].total_cmp(&excess[*b]);
        (0..excess.len()).max_by(by_excess)
    }
}

/// The pace at which least is lost, and what that is. Of paces that lose the same, the fastest.
fn best_pace(most: f64, loss: impl Fn(f64) -> f64) -> (f64, f64) {
    let mut best = (most, loss(most));
    let steps = (most / STEP).round() as usize;
    for step in (0..steps).rev() {
        let pace = step as f64 * STEP;
        let loss = loss(pace);
        if loss < best.1 {
            best = (pace, loss);
        }
    }
    best
}

/// What serving tasks lose whose loads are so much over their bounds.
fn over_cost(excess: impl Iterator<Item = f64>) -> f64 {
    OVER_COST * excess.map(chance_over).sum::<f64>()
}

/// A task that has been over its target for long isn't argued with.
fn stop_beside(neighbours: &mut [Neighbour], served: &Served, effects: &Effects) {
    for neighbour in neighbours {
        let heavy = effects.amount(neighbour.image, served.image) >= HEAVY;
        if served.over >= OVER_TOO_LONG || (served.over >= OVER_LONG && heavy) {
            neighbour.wanted = 0.0;
        }
    }
}
