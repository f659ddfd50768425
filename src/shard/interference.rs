//! How much leftover work slows serving tasks down, learned from their tails.
//!
//! A serving task's tail grows with its load as a queue's does: `tail = base / (1 - load)`. Its
//! load is its own, which swings within seconds, plus what each leftover task beside it adds: an
//! amount for the pair of images, times the share of the VM's processors that the leftover task
//! uses. Fitted to 40,000 tails on two sites this leaves 0.05 to 0.065 of load unexplained; the
//! amounts fall into two groups, about 0.2 and about 2, so that which image is beside which
//! decides nearly everything.
//!
//! Each tail corrects the task's own load and the amounts of the pairs beside it, each by its part
//! of the doubt (a Kalman filter that neglects covariances between the pairs). What shards learn by
//! themselves is told to all and put together by its doubt: replayed over the tails of two calm days, three or four shards together
//! tell heavy pairs from light ones within 2 to 5 s, with an error of 0.12 after 20 s; one shard
//! alone has 0.2 to 0.3.

use super::own_load::{HIGHEST_READ, OwnLoad};
use crate::job::Image;
use indexmap::{IndexMap, IndexSet};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Amount and doubt of a pair that was never seen. Most pairs are light; a first guess of 0.8
/// kept work off VMs where it would have done no harm.
const PAIR: f64 = 0.4;
const PAIR_DEVIATION: f64 = 0.8;

/// How far a known pair may have changed after a second.
const PAIR_DRIFT: f64 = 0.02;

/// Unexplained part of a load as read from a tail.
const READING_DEVIATION: f64 = 0.06;

/// Time that a tail covers; two within it tell the same.
const READ_EVERY: Duration = Duration::from_millis(350);

/// Least doubt of an amount that counts; what is learned within seconds isn't surer.
const MIN_VARIANCE: f64 = 0.0025;

/// Part of the target that tails are kept under. Of 0.85 to 1.1, 0.95 and below cost leftover work
/// more than serving tasks gained (means of eight calm days: 0.765 and 0.660 at 0.95, 0.748 and 0.696
/// at 1.0, 0.779 and 0.686 at 1.1, all within 0.03 of each other).
pub const TARGET_SHARE: f64 = 1.0;

/// An amount that is not known exactly.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Estimate {
    pub mean: f64,
    /// Mean square of the error.
    pub variance: f64,
}

/// What is known of the pairs of images.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Effects {
    /// Learned here.
    own: IndexMap<Pair, Known>,
    /// Learned by other shards, or by an earlier owner of this one.
    heard: IndexMap<String, IndexMap<Pair, Estimate>>,
    /// Both together.
    all: IndexMap<Pair, f64>,
}

/// A leftover image beside a serving one.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Pair {
    pub leftover: Image,
    pub serving: Image,
}

/// A pair's amount, as told to other shards.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Learned {
    pub pair: Pair,
    pub amount: Estimate,
}

#[derive(Clone, Copy, Debug, PartialEq)]
struct Known {
    amount: Estimate,
    at: Duration,
}

/// What is known of one serving task.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Serving {
    /// When a tail was last learned from.
    read: Option<Duration>,
    /// Since when its tail is over the target.
    pub over_since: Option<Duration>,
}

/// A leftover task beside a serving one.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Beside<'a> {
    pub image: &'a Image,
    /// Share of the VM's processors that it uses, 0 to 1.
    pub share: f64,
}

impl Effects {
    /// Load that a leftover image adds to a serving one for each whole VM's worth of processors.
    pub fn amount(&self, leftover: &Image, serving: &Image) -> f64 {
        let pair = Pair { leftover: leftover.clone(), serving: serving.clone() };
        self.all.get(&pair).copied().unwrap_or(PAIR)
    }

    /// Images of leftover work that were seen beside a serving task.
    pub fn leftover_images(&self) -> impl Iterator<Item = &Image> {
        let images: IndexSet<&Image> = self.all.keys().map(|pair| &pair.leftover).collect();
        images.into_iter()
    }

    /// Corrects what is known by one tail.
    pub fn learn(
        &mut self,
        load: &mut OwnLoad,
        image: &Image,
        tail: Duration,
        beside: &[Beside<'_>],
        now: Duration,
    ) {
        load.note_tail(tail);
        load.advance(now);
        let amounts = self.beside(image, beside, now);
        let added: f64 = amounts
            .iter()
            .map(|(pair, _, share)| self.amount(&pair.leftover, &pair.serving) * share)
            .sum();
        let doubt: f64 = amounts.iter().map(|(_, a, share)| a.variance * share * share).sum();
        let read = load.read(tail);
        let error = read - (load.expected() + added);
        if read >= HIGHEST_READ && error < 0.0 {
            return;
        }
        let variance = READING_DEVIATION.powi(2) + load.variance() + doubt;
        load.correct(error, variance);
        for (pair, mut amount, share) in amounts {
            amount.correct(share, error, variance);
            amount.mean = amount.mean.max(0.0);
            self.own.insert(pair.clone(), Known { amount, at: now });
            self.combine(pair);
        }
    }

    /// The pairs beside a serving image, with what is known of each and the share that it has.
    fn beside(
        &self,
        image: &Image,
        beside: &[Beside<'_>],
        now: Duration,
    ) -> Vec<(Pair, Estimate, f64)> {
        let mut amounts: Vec<(Pair, Estimate, f64)> = Vec::with_capacity(beside.len());
        for other in beside.iter().filter(|other| other.share > 0.0) {
            let pair = Pair { leftover: other.image.clone(), serving: image.clone() };
            match amounts.iter_mut().find(|(known, _, _)| *known == pair) {
                Some((_, _, share)) => *share += other.share,
                None => {
                    let amount = self.drifted(&pair, now);
                    amounts.push((pair, amount, other.share));
                }
            }
        }
        amounts
    }

    /// Takes over what a shard has learned by itself.
    pub fn hear(&mut self, from: &str, learned: &[Learned]) {
        let heard = self.heard.entry(from.to_owned()).or_default();
        for other in learned {
            heard.insert(other.pair.clone(), other.amount);
        }
        learned.iter().for_each(|other| self.combine(other.pair.clone()));
    }

    /// Puts together what is known of a pair: each amount counts by what it adds to a first guess.
    fn combine(&mut self, pair: Pair) {
        let first = 1.0 / PAIR_DEVIATION.powi(2);
        let own = self.own.get(&pair).map(|known| known.amount);
        let heard = self.heard.values().filter_map(|from| from.get(&pair).copied());
        let (mut weight, mut sum) = (first, first * PAIR);
        for amount in own.into_iter().chain(heard) {
            let certainty = 1.0 / amount.variance.max(MIN_VARIANCE);
            let added = (certainty - first).max(0.0);
            // The amount has the first guess in it; what is left was learned.
            sum += certainty * amount.mean - first * PAIR;
            weight += added;
        }
        self.all.insert(pair, (sum / weight).max(0.0));
    }

    /// What to tell other shards.
    pub fn learned(&self) -> Vec<Learned> {
        let learned =
            |(pair, known): (&Pair, &Known)| Learned { pair: pair.clone(), amount: known.amount };
        self.own.iter().map(learned).collect()
    }

    fn drifted(&self, pair: &Pair, now: Duration) -> Estimate {
        let unseen = Estimate { mean: PAIR, variance: PAIR_DEVIATION.powi(2) };
        let Some(known) = self.own.get(pair) else { return unseen };
        let age = now.saturating_sub(known.at).as_secs_f64();
        let variance = known.amount.variance + PAIR_DRIFT.powi(2) * age;
        Estimate { variance: variance.min(unseen.variance), ..known.amount }
    }
}

impl Estimate {
    /// Corrects an amount that went into a reading with `weight`, by its part of the error.
    fn correct(&mut self, weight: f64, error: f64, variance: f64) {
        let gain = self.variance * weight / variance;
        self.mean += gain * error;
        self.variance *= 1.0 - gain * weight;
    }
}

impl Serving {
    /// Notes a tail; true if there is something to learn from it.
    pub fn note_tail(&mut self, tail: Duration, target: Duration, now: Duration) -> bool {
        if tail > target {
            self.over_since.get_or_insert(now);
        } else {
            self.over_since = None;
        }
        let fresh = self.read.is_none_or(|at| now.saturating_sub(at) >= READ_EVERY);
        if fresh {
            self.read = Some(now);
        }
        fresh
    }
}
