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
//! of the doubt (a Kalman filter that neglects covariances). An own load strays back to the usual
//! one between readings, since it swings. What shards learn by themselves is told to all and put
//! together by its doubt: replayed over the tails of two calm days, three or four shards together
//! tell heavy pairs from light ones within 2 to 5 s, with an error of 0.12 after 20 s; one shard
//! alone has 0.2 to 0.3.

use crate::job::Image;
use indexmap::{IndexMap, IndexSet};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Usual own load of a serving task, and how far it strays: mean and deviation over both sites.
const OWN_LOAD: f64 = 0.44;
const OWN_DEVIATION: f64 = 0.16;

/// Time in which an own load forgets what was read: it swings within 10 to 14 s. Of 0.5 to 5 s,
/// this one gave the least error.
const OWN_MEMORY: f64 = 2.0;

/// Amount and doubt of a pair that was never seen. Most pairs are light; a first guess of 0.8
/// kept work off VMs where it would have done no harm.
const PAIR: f64 = 0.4;
const PAIR_DEVIATION: f64 = 0.8;

/// How far a known pair may have changed after a second.
const PAIR_DRIFT: f64 = 0.02;

/// Unexplained part of a load as read from a tail.
const READING_DEVIATION: f64 = 0.06;

/// Part of its target that a task's tail has without any load, until a lower tail was seen. Both
/// users set targets 4.5 times as high.
const BASE_SHARE: f64 = 1.0 / 4.5;

/// Load at the least tail that is usually seen; the base is that much below it.
const LEAST_LOAD: f64 = 0.2;

/// Highest load that a tail tells apart; beyond it a tail is cut off by its callers' patience.
const HIGHEST_LOAD: f64 = 0.97;

/// Time that a tail covers; two within it tell the same.
const READ_EVERY: Duration = Duration::from_millis(350);

/// Least doubt of an amount that counts; what is learned within seconds isn't surer.
const MIN_VARIANCE: f64 = 0.0025;

/// Part of the target that tails are kept under, which leaves room for half a second of swing.
pub const TARGET_SHARE: f64 = 0.95;

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
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Serving {
    own: Estimate,
    at: Duration,
    /// When a tail was last learned from.
    read: Duration,
    /// Tail without any load.
    base: f64,
    target: f64,
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
        serving: &mut Serving,
        image: &Image,
        tail: Duration,
        beside: &[Beside<'_>],
        now: Duration,
    ) {
        serving.note_tail(tail, now);
        if now.saturating_sub(serving.read) < READ_EVERY {
            return;
        }
        serving.read = now;
        serving.drift(now);
        let mut amounts: Vec<(Pair, Estimate, f64)> = Vec::with_capacity(beside.len());
        for other in beside.iter().filter(|other| other.share > 0.0) {
            let pair = Pair { leftover: other.image.clone(), serving: image.clone() };
            let known = amounts.iter_mut().find(|(known, _, _)| *known == pair);
            match known {
                Some((_, _, share)) => *share += other.share,
                None => {
                    let amount = self.drifted(&pair, now);
                    amounts.push((pair, amount, other.share));
                }
            }
        }
        let added: f64 = amounts
            .iter()
            .map(|(pair, _, share)| self.amount(&pair.leftover, &pair.serving) * share)
            .sum();
        let doubt: f64 = amounts.iter().map(|(_, a, share)| a.variance * share * share).sum();
        let read = serving.load_at(tail);
        let error = read - (serving.own.mean + added);
        if read >= HIGHEST_LOAD && error < 0.0 {
            return;
        }
        let variance = READING_DEVIATION.powi(2) + serving.own.variance + doubt;
        serving.own.correct(1.0, error, variance);
        for (pair, mut amount, share) in amounts {
            amount.correct(share, error, variance);
            amount.mean = amount.mean.max(0.0);
            self.own.insert(pair.clone(), Known { amount, at: now });
            self.combine(pair);
        }
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
        let learned = |(pair, known): (&Pair, &Known)| Learned {
            pair: pair.clone(),
            amount: known.amount,
        };
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
    /// A task that has told nothing yet.
    pub fn new(target: Duration, now: Duration) -> Self {
        let target = target.as_secs_f64();
        Self {
            own: Estimate { mean: OWN_LOAD, variance: OWN_DEVIATION.powi(2) },
            at: now,
            read: Duration::ZERO,
            base: target * BASE_SHARE,
            target,
            over_since: None,
        }
    }

    /// Load that the task itself brings.
    pub fn own_load(&self) -> f64 {
        self.own.mean.clamp(0.0, 1.0)
    }

    /// Load at which its tail is this share of the target.
    pub fn load_for(&self, share: f64) -> f64 {
        1.0 - self.base / (share * self.target)
    }

    fn load_at(&self, tail: Duration) -> f64 {
        let tail = tail.as_secs_f64().max(self.base);
        (1.0 - self.base / tail).min(HIGHEST_LOAD)
    }

    fn drift(&mut self, now: Duration) {
        let age = now.saturating_sub(self.at).as_secs_f64();
        self.at = now;
        let kept = (-age / OWN_MEMORY).exp();
        self.own.mean = OWN_LOAD + (self.own.mean - OWN_LOAD) * kept;
        let strayed = OWN_DEVIATION.powi(2) * (1.0 - kept * kept);
        self.own.variance = self.own.variance * kept * kept + strayed;
    }

    fn note_tail(&mut self, tail: Duration, now: Duration) {
        let seconds = tail.as_secs_f64();
        if seconds > 0.0 {
            let base = seconds * (1.0 - LEAST_LOAD);
            self.base = self.base.min(base).max(self.target / 50.0);
        }
        if seconds > self.target {
            self.over_since.get_or_insert(now);
        } else {
            self.over_since = None;
        }
    }
}
