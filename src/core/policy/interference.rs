//! How much one class slows another, learned from reports.
//!
//! The excess slowdown of a class is taken as a sum over its neighbours. Each neighbour's effect is
//! a sum of terms from the general to the particular: of all classes, of the victim's class, of the
//! aggressor's, of the pair, and of the pair in one band of load. An error is shared out over the
//! terms, more to the general ones while the particular ones have seen little; so a pair that was
//! rarely measured is predicted from its classes' means. The gains never fall below a floor, so
//! that what was learned before a shift is forgotten.

use crate::ids::ClassName;
use indexmap::IndexMap;

/// Classes told apart; later ones are predicted by the general term alone.
const MAX_CLASSES: usize = 1024;

/// Pairs remembered; beyond it a little-seen one makes room.
const MAX_PAIRS: usize = 8192;

/// Pairs looked at to find one that makes room.
const PAIR_SCAN: usize = 16;

/// Bands of load.
pub const BANDS: usize = 4;

/// Lowest load of each band but the first.
const BAND_EDGES: [f64; BANDS - 1] = [0.4, 0.6, 0.8];

/// One report's error counts at most this much, so that one broken measurement teaches little.
const MAX_ERROR: f64 = 1.0;

/// Largest effect of one neighbour.
const MAX_EFFECT: f64 = 4.0;

/// Share of an error that a term takes when it is new, and at the least.
#[derive(Clone, Copy, Debug)]
struct Gain {
    first: f64,
    floor: f64,
}

const GENERAL: Gain = Gain { first: 0.10, floor: 0.002 };
const CLASS: Gain = Gain { first: 0.20, floor: 0.01 };
const PAIR: Gain = Gain { first: 0.30, floor: 0.03 };
const CELL: Gain = Gain { first: 0.20, floor: 0.02 };

/// A band of load.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Band(usize);

impl Band {
    /// The band of a load of 0 to 1.
    pub fn of(load: f64) -> Self {
        Self(BAND_EDGES.iter().filter(|edge| load >= **edge).count())
    }
}

/// One learned term.
#[derive(Clone, Copy, Debug, Default)]
struct Term {
    value: f64,
    seen: f64,
}

impl Term {
    fn learn(&mut self, error: f64, gain: Gain) {
        let share = (gain.first * 4.0 / (4.0 + self.seen)).max(gain.floor);
        self.value += error * share;
        self.seen += 1.0;
    }
}

#[derive(Clone, Copy, Debug, Default)]
struct ClassTerms {
    victim: Term,
    aggressor: Term,
}

#[derive(Clone, Copy, Debug, Default)]
struct Pair {
    all: Term,
    cells: [Term; BANDS],
}

/// Whether reports change the model.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Learning {
    #[default]
    On,
    Off,
}

/// A class as the model knows it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Known(Option<u32>);

/// Tasks of one class beside each other.
#[derive(Clone, Copy, Debug)]
pub struct Neighbours<'a> {
    pub class: &'a ClassName,
    /// Number of tasks; a throttled one counts by its share.
    pub weight: f64,
}

/// The learned effects.
#[derive(Clone, Debug, Default)]
pub struct Interference {
    learning: Learning,
    general: Term,
    classes: IndexMap<ClassName, ClassTerms>,
    pairs: IndexMap<(u32, u32), Pair>,
    hand: usize,
}

impl Interference {
    /// A model that knows nothing yet.
    pub fn new() -> Self {
        Self::default()
    }

    /// Whether reports change the model.
    pub fn with_learning(mut self, learning: Learning) -> Self {
        self.learning = learning;
        self
    }

    /// Sets the effect of a pair in one band, as known from elsewhere.
    pub fn set(&mut self, victim: &ClassName, aggressor: &ClassName, band: Band, effect: f64) {
        let general = self.general.value;
        let (Some(v), Some(a)) = (self.intern(victim), self.intern(aggressor)) else { return };
        let prior = general + self.victim_term(v) + self.aggressor_term(a);
        let pair = self.pair_mut(v, a);
        let rest = effect - prior - pair.all.value;
        pair.cells[band.0].value = rest;
    }

    /// Looks a class up, once for many effects.
    pub fn known(&self, class: &ClassName) -> Known {
        Known(self.classes.get_index_of(class).and_then(index))
    }

    /// Excess slowdown that one task of `aggressor` causes to one of `victim`.
    pub fn effect(&self, victim: &ClassName, aggressor: &ClassName, band: Band) -> f64 {
        self.effect_of(self.known(victim), self.known(aggressor), band)
    }

    /// The same of classes that were looked up.
    pub fn effect_of(&self, victim: Known, aggressor: Known, band: Band) -> f64 {
        let raw = match (victim.0, aggressor.0) {
            (Some(v), Some(a)) => self.raw(v, a, band),
            (Some(v), None) => self.general.value + self.victim_term(v),
            (None, Some(a)) => self.general.value + self.aggressor_term(a),
            (None, None) => self.general.value,
        };
        raw.clamp(0.0, MAX_EFFECT)
    }

    /// Excess slowdown of a class beside its neighbours.
    pub fn excess(&self, victim: &ClassName, neighbours: &[Neighbours<'_>], band: Band) -> f64 {
        neighbours.iter().map(|n| n.weight * self.effect(victim, n.class, band)).sum()
    }

    /// Times that a pair was measured, in any band.
    pub fn seen(&self, victim: &ClassName, aggressor: &ClassName) -> f64 {
        let (v, a) = (self.known(victim).0, self.known(aggressor).0);
        let pair = v.zip(a).and_then(|key| self.pairs.get(&key));
        pair.map_or(0.0, |pair| pair.all.seen)
    }

    /// Pairs that are remembered.
    pub fn pairs(&self) -> usize {
        self.pairs.len()
    }

    /// Learns from one measured slowdown of a class beside its neighbours.
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
            self.share_out(v, a, band, error * n.weight / norm);
        }
    }

    fn share_out(&mut self, v: u32, a: u32, band: Band, error: f64) {
        self.general.learn(error, GENERAL);
        self.class_mut(v).victim.learn(error, CLASS);
        self.class_mut(a).aggressor.learn(error, CLASS);
        let pair = self.pair_mut(v, a);
        pair.all.learn(error, PAIR);
        pair.cells[band.0].learn(error, CELL);
    }

    fn raw(&self, v: u32, a: u32, band: Band) -> f64 {
        let prior = self.general.value + self.victim_term(v) + self.aggressor_term(a);
        match self.pairs.get(&(v, a)) {
            Some(pair) => prior + pair.all.value + pair.cells[band.0].value,
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
            self.drop_little_seen();
        }
        self.pairs.entry((v, a)).or_default()
    }

    fn drop_little_seen(&mut self) {
        let len = self.pairs.len();
        let scan = (0..PAIR_SCAN).map(|step| (self.hand + step) % len);
        let least = scan.min_by(|left, right| {
            let seen = |index: &usize| self.pairs[*index].all.seen;
            seen(left).total_cmp(&seen(right))
        });
        self.hand = (self.hand + PAIR_SCAN) % len;
        if let Some(least) = least {
            self.pairs.swap_remove_index(least);
        }
    }
}

fn index(index: usize) -> Option<u32> {
    u32::try_from(index).ok()
}
