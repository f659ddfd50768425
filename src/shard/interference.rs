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
//! themselves is told to all and put together by its doubt: replayed over the tails of two calm
//! days, three or four shards together tell heavy pairs from light ones within 2 to 5 s, with an
//! error of 0.12 after 20 s; one shard alone has 0.2 to 0.3.

#[cfg(test)]
mod tests;

use super::own_load::{MAX_MEASURED_LOAD, OwnLoad};
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

/// Deviation of a serving task's load half a second ahead from what is foreseen.
const DEVIATION: f64 = 0.05;

/// Chance that a load which is foreseen so much over its bound will be over it: the logistic curve
/// nearest to the normal distribution's.
pub fn chance_over(excess: f64) -> f64 {
    /// Makes the two curves' deviations the same.
    const LOGISTIC: f64 = 1.702;
    1.0 / (1.0 + (-LOGISTIC * excess / DEVIATION).exp())
}

/// An amount that is not known exactly.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Estimate {
    pub mean: f64,
    /// Mean square of the error.
    pub variance: f64,
}

/// Images told apart; the rest count as one. Pairs are kept for each two of them.
const MAX_IMAGES: usize = 256;

/// An image's number in [`Effects`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ImageIx(u16);

/// What is known of the pairs of images.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Effects {
    images: IndexSet<Image>,
    /// Learned here.
    own: IndexMap<PairIx, Known>,
    /// Learned by other shards, or by an earlier owner of this one.
    heard: IndexMap<String, IndexMap<PairIx, Estimate>>,
    /// Both together, by leftover and serving image.
    all: Vec<Vec<Option<f32>>>,
}

/// A leftover image beside a serving one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct PairIx {
    leftover: ImageIx,
    serving: ImageIx,
}

/// The names of a leftover image and of a serving one beside it.
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
    last: Last,
}

/// What the last tail of a serving task told, if it was over its target before.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Last {
    #[default]
    Over,
    /// Under the target by little; the tail.
    JustUnder(Duration),
}

/// Part of its target below which one tail alone shows that a task isn't over it any more.
const CLEARLY_UNDER: f64 = 0.85;

/// A leftover task beside a serving one.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Beside {
    pub image: ImageIx,
    /// Share of the VM's processors that it uses, 0 to 1.
    pub share: f64,
}

impl Effects {
    /// The number of an image.
    pub fn number(&mut self, image: &Image) -> ImageIx {
        if let Some(known) = self.images.get_index_of(image) {
            return ImageIx(u16::try_from(known).unwrap_or(u16::MAX));
        }
        if self.images.len() < MAX_IMAGES {
            self.images.insert(image.clone());
        }
        ImageIx(u16::try_from(self.images.len() - 1).unwrap_or(u16::MAX))
    }

    /// Load that a leftover image adds to a serving one for each whole VM's worth of processors.
    pub fn amount(&self, leftover: ImageIx, serving: ImageIx) -> f64 {
        let known = self.all.get(usize::from(leftover.0));
        let known = known.and_then(|row| row.get(usize::from(serving.0)).copied().flatten());
        known.map_or(PAIR, f64::from)
    }

    /// Images of leftover work that were seen beside a serving task.
    pub fn leftover_images(&self) -> impl Iterator<Item = (ImageIx, &Image)> {
        self.images.iter().enumerate().filter_map(|(number, image)| {
            let seen = self.all.get(number)?.iter().any(Option::is_some);
            let number = ImageIx(u16::try_from(number).ok()?);
            seen.then_some((number, image))
        })
    }

    /// Corrects what is known by one tail.
    pub fn learn(
        &mut self,
        load: &mut OwnLoad,
        image: ImageIx,
        tail: Duration,
        beside: &[Beside],
        now: Duration,
    ) {
        load.note_tail(tail);
        load.advance(now);
        let amounts = self.beside(image, beside, now);
        let added: f64 = amounts
            .iter()
            .map(|(pair, _, share)| self.amount(pair.leftover, pair.serving) * share)
            .sum();
        let doubt: f64 = amounts.iter().map(|(_, a, share)| a.variance * share * share).sum();
        let read = load.load_from_tail(tail);
        let error = read - (load.expected_reading() + added);
        if read >= MAX_MEASURED_LOAD && error < 0.0 {
            return;
        }
        let variance = READING_DEVIATION.powi(2) + load.variance() + doubt;
        load.correct(error, variance);
        for (pair, mut amount, share) in amounts {
            amount.correct(share, error, variance);
            amount.mean = amount.mean.max(0.0);
            self.own.insert(pair, Known { amount, at: now });
            self.combine(pair);
        }
    }

    /// The pairs beside a serving image, with what is known of each and the share that it has.
    fn beside(
        &self,
        serving: ImageIx,
        beside: &[Beside],
        now: Duration,
    ) -> Vec<(PairIx, Estimate, f64)> {
        let mut amounts: Vec<(PairIx, Estimate, f64)> = Vec::with_capacity(beside.len());
        for other in beside.iter().filter(|other| other.share > 0.0) {
            let pair = PairIx { leftover: other.image, serving };
            match amounts.iter_mut().find(|(known, _, _)| *known == pair) {
                Some((_, _, share)) => *share += other.share,
                None => amounts.push((pair, self.drifted(pair, now), other.share)),
            }
        }
        amounts
    }

    /// Takes over what a shard has learned by itself.
    pub fn hear(&mut self, from: &str, learned: &[Learned]) {
        for other in learned {
            let leftover = self.number(&other.pair.leftover);
            let pair = PairIx { leftover, serving: self.number(&other.pair.serving) };
            self.heard.entry(from.to_owned()).or_default().insert(pair, other.amount);
            self.combine(pair);
        }
    }

    /// Puts together what is known of a pair: each amount counts by what it adds to a first guess.
    fn combine(&mut self, pair: PairIx) {
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
        let (row, column) = (usize::from(pair.leftover.0), usize::from(pair.serving.0));
        if self.all.len() <= row {
            self.all.resize(row + 1, Vec::new());
        }
        if self.all[row].len() <= column {
            self.all[row].resize(column + 1, None);
        }
        self.all[row][column] = Some((sum / weight).max(0.0) as f32);
    }

    /// What to tell other shards.
    pub fn learned(&self) -> Vec<Learned> {
        let name = |number: ImageIx| self.images.get_index(usize::from(number.0)).cloned();
        let learned = |(pair, known): (&PairIx, &Known)| {
            let pair = Pair { leftover: name(pair.leftover)?, serving: name(pair.serving)? };
            Some(Learned { pair, amount: known.amount })
        };
        self.own.iter().filter_map(learned).collect()
    }

    fn drifted(&self, pair: PairIx, now: Duration) -> Estimate {
        let unseen = Estimate { mean: PAIR, variance: PAIR_DEVIATION.powi(2) };
        let Some(known) = self.own.get(&pair) else { return unseen };
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
        let fresh = self.read.is_none_or(|at| now.saturating_sub(at) >= READ_EVERY);
        if fresh {
            self.read = Some(now);
        }
        self.note_over(tail, target, now, fresh);
        fresh
    }

    /// Whether its tail has been over the target for so long.
    pub fn is_over_for(&self, time: Duration, now: Duration) -> bool {
        self.over_since.is_some_and(|since| now.saturating_sub(since) >= time)
    }

    /// Follows how long the task is over its target.
    ///
    /// Tails are rough figures in whole milliseconds. A task a tenth over its target tells one just
    /// under it every few readings; when each of these began the count anew, a task was over for
    /// four seconds on end before everything beside it had stopped. So one tail just under the target,
    /// or at it, doesn't end the count; two in a row do, or one that is clearly under it. A VM measures
    /// about every 200 ms and may answer ten times as often, so that it tells one measurement again: the
    /// same figure within the time that a tail covers counts once.
    fn note_over(&mut self, tail: Duration, target: Duration, now: Duration, fresh: bool) {
        if tail >= target {
            self.over_since.get_or_insert(now);
            self.last = Last::Over;
        } else if tail <= target.mul_f64(CLEARLY_UNDER) {
            self.over_since = None;
        } else {
            self.note_just_under(tail, fresh);
        }
    }

    fn note_just_under(&mut self, tail: Duration, fresh: bool) {
        match self.last {
            Last::Over if fresh => self.last = Last::JustUnder(tail),
            Last::JustUnder(before) if fresh || tail != before => self.over_since = None,
            Last::Over | Last::JustUnder(_) => {}
        }
    }
}
