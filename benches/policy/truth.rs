//! The hidden effects: the actual slowdown between classes, known only to the oracle.

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use waxwingstall::ids::ClassName;

/// Loads at which the oracle receives the effects, one for each load band.
pub const BAND_LOADS: [f64; 4] = [0.25, 0.5, 0.7, 0.9];

/// Fraction of the pairs that a shift changes.
const SHIFTED: f64 = 0.5;

/// Hidden effects of one neighbour on one task, before scaling by load.
#[derive(Clone, Debug)]
pub struct HiddenEffects {
    classes: Vec<ClassName>,
    /// Indexed by victim, then by aggressor.
    effects: Vec<Vec<f64>>,
    rng: SmallRng,
}

impl HiddenEffects {
    pub fn new(classes: Vec<ClassName>, noisy: &str, seed: u64) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let strengths: Vec<f64> = classes
            .iter()
            .map(|class| if class.as_str() == noisy { 0.5 } else { strength(&mut rng) })
            .collect();
        let mut effects = Vec::new();
        for _ in &classes {
            let sensitivity = rng.random_range(0.5..1.5);
            let on_class = |strength: &f64| {
                let of_pair = (standard_normal(&mut rng) * 0.7).exp();
                (sensitivity * strength * of_pair).min(1.5)
            };
            effects.push(strengths.iter().map(on_class).collect());
        }
        Self { classes, effects, rng }
    }

    /// Index of a class in these effects.
    pub fn class_index(&self, class: &ClassName) -> usize {
        self.classes.iter().position(|known| known == class).expect("a known class")
    }

    /// Excess slowdown that one task of `aggressor` causes to one of `victim`.
    pub fn effect(&self, victim: usize, aggressor: usize, load: f64) -> f64 {
        self.effects[victim][aggressor] * (0.3 + 0.9 * load * load)
    }

    /// Changes the effects of some pairs, as a new version of a class would.
    pub fn shift(&mut self) {
        let strengths: Vec<f64> = self.classes.iter().map(|_| strength(&mut self.rng)).collect();
        for on_victim in &mut self.effects {
            for (effect, strength) in on_victim.iter_mut().zip(&strengths) {
                let of_pair = (standard_normal(&mut self.rng) * 0.7).exp();
                if self.rng.random_bool(SHIFTED) {
                    *effect = (strength * of_pair).min(1.5);
                }
            }
        }
    }

    pub fn classes(&self) -> &[ClassName] {
        &self.classes
    }
}

/// Draws the strength of a class: most cause little slowdown, some cause much.
fn strength(rng: &mut SmallRng) -> f64 {
    if rng.random_bool(0.3) { rng.random_range(0.2..0.5) } else { rng.random_range(0.01..0.06) }
}

/// Approximates a standard normal deviate by the sum of twelve uniform ones.
pub fn standard_normal(rng: &mut SmallRng) -> f64 {
    (0..12).map(|_| rng.random::<f64>()).sum::<f64>() - 6.0
}
