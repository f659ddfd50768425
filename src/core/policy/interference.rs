//! Interference model: how much one class slows another, learned online from reports.
//!
//! The excess slowdown of a class is modelled as a sum over its neighbours. The effect of each
//! neighbour is a sum of terms of increasing specificity: global, victim class, aggressor class,
//! pair, and pair within a load band. The prediction error is distributed over the terms, with
//! larger corrections to the general ones while the specific ones have few observations, so a
//! rarely measured pair is predicted from its classes' means. Learning rates never fall below a
//! minimum, so that the model forgets what it learned before a change.

use crate::ids::ClassName;
use indexmap::IndexMap;

/// Maximum number of classes with terms of their own; later classes have none.
const MAX_CLASSES: usize = 1024;

/// Maximum number of pairs; above it a rarely observed pair is evicted for each new one.
const MAX_PAIRS: usize = 8192;

/// Number of pairs examined to choose the one to evict.
const PAIR_SCAN: usize = 16;

/// Number of load bands.
pub const BANDS: usize = 4;

/// Lower bound of each load band except the first.
const BAND_EDGES: [f64; BANDS - 1] = [0.4, 0.6, 0.8];

/// Limit on the error of one report, so that one broken measurement has little effect.
const MAX_ERROR: f64 = 1.0;

/// Upper bound of the effect of one neighbour.
const MAX_EFFECT: f64 = 4.0;

/// Learning rate of a term: the fraction of an error that it absorbs at first, and at least.
#[derive(Clone, Copy, Debug)]
struct LearningRate {
    initial: f64,
    min: f64,
}

const GLOBAL_RATE: LearningRate = LearningRate { initial: 0.10, min: 0.002 };
const CLASS_RATE: LearningRate = LearningRate { initial: 0.20, min: 0.01 };
const PAIR_RATE: LearningRate = LearningRate { initial: 0.30, min: 0.03 };
const BAND_RATE: LearningRate = LearningRate { initial: 0.20, min: 0.02 };

/// A load band.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Band(usize);

impl Band {
    /// The band that contains a load between 0 and 1.
    pub fn of(load: f64) -> Self {
        Self(BAND_EDGES.iter().filter(|edge| load >= **edge).count())
    }
}

/// One learned term of the model.
#[derive(Clone, Copy, Debug, Default)]
struct Term {
    value: f64,
    observations: f64,
}

impl Term {
    fn learn(&mut self, error: f64, rate: LearningRate) {
        let share = (rate.initial * 4.0 / (4.0 + self.observations)).max(rate.min);
        self.value += error * share;
        self.observations += 1.0;
    }
}

#[derive(Clone, Copy, Debug, Default)]
struct ClassTerms {
    victim: Term,
    aggressor: Term,
}

#[derive(Clone, Copy, Debug, Default)]
struct Pair {
    all_bands: Term,
    bands: [Term; BANDS],
}

/// Whether reports update the model.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Learning {
    #[default]
    On,
    Off,
}

/// The index of a class in the model; `None` if the model doesn't know the class.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClassIndex(Option<u32>);

/// The tasks of one class on a VM.
#[derive(Clone, Copy, Debug)]
pub struct Neighbours<'a> {
    pub class: &'a ClassName,
    /// Number of tasks; a throttled one counts by its CPU share.
    pub weight: f64,
}

/// The interference model.
#[derive(Clone, Debug, Default)]
pub struct Interference {
    learning: Learning,
    global: Term,
    classes: IndexMap<ClassName, ClassTerms>,
    pairs: IndexMap<(u32, u32), Pair>,
    eviction_cursor: usize,
}

impl Interference {
    /// Creates a model without observations.
    pub fn new() -> Self {
        Self::default()
    }

    /// Sets whether reports update the model.
    pub fn with_learning(mut self, learning: Learning) -> Self {
        self.learning = learning;
        self
    }

    /// Sets the effect of a pair in one band from an external source.
    pub fn set(&mut self, victim: &ClassName, aggressor: &ClassName, band: Band, effect: f64) {
        let global = self.global.value;
        let (Some(v), Some(a)) = (self.intern(victim), self.intern(aggressor)) else { return };
        let prior = global + self.victim_term(v) + self.aggressor_term(a);
        let pair = self.pair_mut(v, a);
        let correction = effect - prior - pair.all_bands.value;
        pair.bands[band.0].value = correction;
    }

    /// Looks up a class, to be reused for many effects.
    pub fn lookup(&self, class: &ClassName) -> ClassIndex {
        ClassIndex(self.classes.get_index_of(class).and_then(index))
    }

    /// Predicted excess slowdown that one task of `aggressor` causes to one of `victim`.
    pub fn effect(&self, victim: &ClassName, aggressor: &ClassName, band: Band) -> f64 {
        self.effect_of(self.lookup(victim), self.lookup(aggressor), band)
    }

    /// Same as [`effect`](Self::effect), for classes that were already looked up.
    pub fn effect_of(&self, victim: ClassIndex, aggressor: ClassIndex, band: Band) -> f64 {
        let unclamped_effect = match (victim.0, aggressor.0) {
            (Some(v), Some(a)) => self.unclamped_effect(v, a, band),
            (Some(v), None) => self.global.value + self.victim_term(v),
            (None, Some(a)) => self.global.value + self.aggressor_term(a),
            (None, None) => self.global.value,
        };
        unclamped_effect.clamp(0.0, MAX_EFFECT)
    }

    /// Predicted excess slowdown of a class beside its neighbours.
    pub fn excess(&self, victim: &ClassName, neighbours: &[Neighbours<'_>], band: Band) -> f64 {
        neighbours.iter().map(|n| n.weight * self.effect(victim, n.class, band)).sum()
    }

    /// Number of measurements of a pair, over all bands.
    pub fn observations(&self, victim: &ClassName, aggressor: &ClassName) -> f64 {
        let (v, a) = (self.lookup(victim).0, self.lookup(aggressor).0);
        let pair = v.zip(a).and_then(|key| self.pairs.get(&key));
        pair.map_or(0.0, |pair| pair.all_bands.observations)
    }

    /// Number of pairs in the model.
    pub fn pairs(&self) -> usize {
        self.pairs.len()
    }

    /// Updates the model with one measured slowdown of a class beside its neighbours.
    pub fn learn(
        &mut self,
        victim: &ClassName,
        neighbours: &[Neighbours<'_>],
        band: Band,
        slowdown: f64,
    ) {
        let norm: f64 = neighbours.iter().map(|n| n.weight * n.weight).sum();
        if self.learning == Learning::Off || norm <= 0.0 || !slowdown.is_finite() {
            return;
        }
        let predicted = self.excess(victim, neighbours, band);
        let error = ((slowdown - 1.0).max(0.0) - predicted).clamp(-MAX_ERROR, MAX_ERROR);
        let Some(v) = self.intern(victim) else { return };
        for n in neighbours {
            let Some(a) = self.intern(n.class) else { continue };
            self.distribute_error(v, a, band, error * n.weight / norm);
        }
    }

    fn distribute_error(&mut self, v: u32, a: u32, band: Band, error: f64) {
        self.global.learn(error, GLOBAL_RATE);
        self.class_mut(v).victim.learn(error, CLASS_RATE);
        self.class_mut(a).aggressor.learn(error, CLASS_RATE);
        let pair = self.pair_mut(v, a);
        pair.all_bands.learn(error, PAIR_RATE);
        pair.bands[band.0].learn(error, BAND_RATE);
    }

    fn unclamped_effect(&self, v: u32, a: u32, band: Band) -> f64 {
        let prior = self.global.value + self.victim_term(v) + self.aggressor_term(a);
        match self.pairs.get(&(v, a)) {
            Some(pair) => prior + pair.all_bands.value + pair.bands[band.0].value,
            None => prior,
        }
    }

    fn victim_term(&self, v: u32) -> f64 {
        self.class(v).map_or(0.0, |terms| terms.victim.value)
    }

    fn aggressor_term(&self, a: u32) -> f64 {
        self.class(a).map_or(0.0, |terms| terms.aggressor.value)
    }

    fn class(&self, class: u32) -> Option<&ClassTerms> {
        self.classes.get_index(usize::try_from(class).ok()?).map(|(_, terms)| terms)
    }

    fn class_mut(&mut self, class: u32) -> &mut ClassTerms {
        &mut self.classes[usize::try_from(class).unwrap_or(0)]
    }

    fn intern(&mut self, class: &ClassName) -> Option<u32> {
        if let Some(known) = self.classes.get_index_of(class) {
            return index(known);
        }
        if self.classes.len() >= MAX_CLASSES {
            return None;
        }
        let (new, _) = self.classes.insert_full(class.clone(), ClassTerms::default());
        index(new)
    }

    fn pair_mut(&mut self, v: u32, a: u32) -> &mut Pair {
        if !self.pairs.contains_key(&(v, a)) && self.pairs.len() >= MAX_PAIRS {
            self.evict_rarely_observed();
        }
        self.pairs.entry((v, a)).or_default()
    }

    fn evict_rarely_observed(&mut self) {
        let len = self.pairs.len();
        let scan = (0..PAIR_SCAN).map(|step| (self.eviction_cursor + step) % len);
        let least = scan.min_by(|left, right| {
            let observations = |index: &usize| self.pairs[*index].all_bands.observations;
            observations(left).total_cmp(&observations(right))
        });
        self.eviction_cursor = (self.eviction_cursor + PAIR_SCAN) % len;
        if let Some(least) = least {
            self.pairs.swap_remove_index(least);
        }
    }
}

fn index(index: usize) -> Option<u32> {
    u32::try_from(index).ok()
}
