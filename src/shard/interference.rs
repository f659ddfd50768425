//! Model of how much leftover work slows down serving tasks, learned from their tail latencies.
//!
//! A serving task's tail latency grows with its load as in a queue: `tail = base / (1 - load)`. The
//! load is the task's own, which changes within seconds, plus a contribution from each leftover
//! task next to it: an amount specific to the pair of images, multiplied by the share of the VM's
//! processors that the leftover task uses. Fitted to 40,000 tails from two sites, this leaves 0.05
//! to 0.065 of load unexplained. The amounts fall into two groups, about 0.2 and about 2, so the
//! combination of images decides nearly everything.
//!
//! Each tail updates the task's own load and the amounts of the neighbouring pairs, each in
//! proportion to its variance (a Kalman filter that neglects covariances between pairs). Shards
//! share their local estimates, which are combined weighted by inverse variance. Replayed over the
//! tails of two calm days, three or four shards together tell heavy pairs from light ones within 2
//! to 5 s, with an error of 0.12 after 20 s; a single shard has 0.2 to 0.3.

#[cfg(test)]
mod tests;

use super::own_load::{MAX_MEASURED_LOAD, OwnLoad};
use crate::job::Image;
use indexmap::{IndexMap, IndexSet};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Initial amount and deviation of a pair that was never observed. Most pairs are light; an initial
/// amount of 0.8 kept work off VMs where it would have done no harm.
const INITIAL_AMOUNT: f64 = 0.4;
const INITIAL_AMOUNT_DEVIATION: f64 = 0.8;

/// Largest amount that a report or record may hold. Measured amounts are about 0.2 and 2.
const MAX_AMOUNT: f64 = 100.0;

/// Deviation by which a known amount may have changed after one second.
const AMOUNT_DRIFT: f64 = 0.02;

/// Standard deviation of the unexplained part of a load derived from a tail.
const READING_DEVIATION: f64 = 0.06;

/// Minimum time between two independent readings. Tails reported closer together cover the same
/// measurement window.
const READING_INTERVAL: Duration = Duration::from_millis(350);

/// Minimum variance of an amount. Estimates learned within seconds aren't more certain than this.
const MIN_VARIANCE: f64 = 0.0025;

/// Weight below which an estimate isn't worth keeping, as an inverse variance; the initial estimate
/// has 1.6.
const MIN_WEIGHT: f64 = 0.2;

/// Share of the target below which tails are kept. Values of 0.95 and below cost leftover work more
/// than serving tasks gain.
pub const TARGET_SHARE: f64 = 1.0;

/// Standard deviation of a single task's load from the one expected of its step with its
/// neighbours, apart from the error of the forecast.
const TASK_DEVIATION: f64 = 0.03;

/// Returns the probability that a task's load will be above its bound, using the logistic
/// approximation of the normal distribution. The forecast exceeds the bound by `excess`, and its
/// standard error is `deviation`.
pub fn chance_over(excess: f64, deviation: f64) -> f64 {
    /// Scale at which the logistic curve approximates the normal distribution best.
    const LOGISTIC: f64 = 1.702;
    1.0 / (1.0 + (-LOGISTIC * excess / deviation.hypot(TASK_DEVIATION)).exp())
}

/// An estimated amount.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Estimate {
    pub mean: f64,
    /// Mean squared error.
    pub variance: f64,
}

/// Maximum number of images told apart; all others count as one. An entry is kept for each pair of
/// images.
const MAX_IMAGES: usize = 256;

/// Index of an image in [`InterferenceModel`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ImageIx(u16);

/// Estimated interference between pairs of images.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct InterferenceModel {
    images: IndexSet<Image>,
    /// Estimates learned by this shard.
    local: IndexMap<PairIx, LearnedAmount>,
    /// Estimates from other shards, or from an earlier owner of this one.
    from_shards: IndexMap<String, IndexMap<PairIx, Estimate>>,
    /// Local and received estimates combined, indexed by leftover image, then serving image.
    combined: Vec<Vec<Option<f32>>>,
}

/// A leftover image next to a serving image.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct PairIx {
    leftover: ImageIx,
    serving: ImageIx,
}

/// Names of a leftover image and of a serving image next to it.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Pair {
    pub leftover: Image,
    pub serving: Image,
}

/// A pair's estimated amount as sent to other shards.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PairEstimate {
    pub pair: Pair,
    pub amount: Estimate,
}

#[derive(Clone, Copy, Debug, PartialEq)]
struct LearnedAmount {
    amount: Estimate,
    at: Duration,
}

/// Tail latency state of one serving task.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TailState {
    /// Time of the last tail that was used as a reading.
    last_reading: Option<Duration>,
    /// When the task was last known to be below its target; `None` if that was before this owner
    /// took over.
    under_at: Option<Duration>,
    /// Time since which the task may have been over its target without a break. Set once a tail has
    /// been over it.
    over: Option<OverTime>,
    /// The last time over the target that tails beside leftover work have ended, and when.
    closed: Option<(OverTime, Duration)>,
    low: LowTails,
    /// Whether the last tail was far over the target.
    is_far: bool,
}

/// Time for which a serving task may have been over its target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OverTime {
    /// `None` if it began before this owner took over.
    since: Option<Duration>,
    /// When this owner first read a tail over the target.
    pub read_since: Duration,
    /// Highest tail since then.
    pub peak: Duration,
}

impl OverTime {
    /// Returns how long the time has lasted, at most.
    pub fn length(&self, now: Duration) -> Duration {
        self.since.map_or(Duration::MAX, |since| now.saturating_sub(since))
    }
}

/// The last tails of a serving task that may show that it is below its target.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct LowTails {
    /// Number of them in a row.
    count: u8,
    last: Duration,
}

/// What a response of a VM tells about one of its serving tasks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TailReading {
    /// Whether it is a new reading to learn from.
    pub is_new: bool,
    /// The time over the target that the reading ends.
    pub ended: Option<OverTime>,
}

/// Whether any leftover work ran next to a serving task while its tail was measured.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Company {
    Alone,
    BesideLeftover,
}

/// Evidence that a task is below its target: a single tail at or below a share of the target, or some
/// in a row at or below a larger one. Tails are rough: one in ten is too low by a fifth.
#[derive(Clone, Copy, Debug)]
struct UnderEvidence {
    single_share: f64,
    row_share: f64,
    row_length: u8,
}

/// Evidence for a task that isn't known to be over its target.
const STILL_UNDER: UnderEvidence =
    UnderEvidence { single_share: 0.7, row_share: 0.8, row_length: 2 };

/// Evidence for a task that is. A wrong end delays the stop of its neighbours by a whole period.
const UNDER_AGAIN: UnderEvidence =
    UnderEvidence { single_share: 0.6, row_share: 0.8, row_length: 3 };

/// Multiple of the target from which a tail is far over it.
const FAR_OVER: u32 = 2;

/// Time after the end of a time over the target, shown by tails beside leftover work, in which a tail
/// over the target continues it.
const REOPEN_TIME: Duration = Duration::from_millis(1000);

/// A leftover task next to a serving task.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LeftoverNeighbour {
    pub image: ImageIx,
    /// Share of the VM's processors that the task uses, from 0 to 1.
    pub share: f64,
}

impl InterferenceModel {
    /// Returns the index of an image, adding the image if necessary.
    pub fn number(&mut self, image: &Image) -> ImageIx {
        if let Some(known) = self.images.get_index_of(image) {
            return ImageIx(u16::try_from(known).unwrap_or(u16::MAX));
        }
        if self.images.len() < MAX_IMAGES {
            self.images.insert(image.clone());
        }
        ImageIx(u16::try_from(self.images.len() - 1).unwrap_or(u16::MAX))
    }

    /// Returns the load that a leftover image adds to a serving image if it uses all of a VM's
    /// processors.
    pub fn amount(&self, leftover: ImageIx, serving: ImageIx) -> f64 {
        let known = self.combined.get(usize::from(leftover.0));
        let known = known.and_then(|row| row.get(usize::from(serving.0)).copied().flatten());
        known.map_or(INITIAL_AMOUNT, f64::from)
    }

    /// Returns the images of leftover work that have been observed next to a serving task.
    pub fn leftover_images(&self) -> impl Iterator<Item = (ImageIx, &Image)> {
        self.images.iter().enumerate().filter_map(|(number, image)| {
            let seen = self.combined.get(number)?.iter().any(Option::is_some);
            let number = ImageIx(u16::try_from(number).ok()?);
            seen.then_some((number, image))
        })
    }

    /// Updates the estimates with one tail.
    pub fn learn(
        &mut self,
        load: &mut OwnLoad,
        image: ImageIx,
        tail: Duration,
        beside: &[LeftoverNeighbour],
        now: Duration,
    ) {
        load.note_tail(tail);
        load.advance(now);
        let amounts = self.pairs_beside(image, beside, now);
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
            self.local.insert(pair, LearnedAmount { amount, at: now });
            self.combine(pair);
        }
    }

    /// Returns the pairs of a serving image and its neighbours, with the local estimate and total
    /// share of each.
    fn pairs_beside(
        &self,
        serving: ImageIx,
        beside: &[LeftoverNeighbour],
        now: Duration,
    ) -> Vec<(PairIx, Estimate, f64)> {
        let mut amounts: Vec<(PairIx, Estimate, f64)> = Vec::with_capacity(beside.len());
        for other in beside.iter().filter(|other| other.share > 0.0) {
            let pair = PairIx { leftover: other.image, serving };
            match amounts.iter_mut().find(|(known, _, _)| *known == pair) {
                Some((_, _, share)) => *share += other.share,
                None => amounts.push((pair, self.local_estimate(pair, now), other.share)),
            }
        }
        amounts
    }

    /// Restores what an earlier owner of this shard had learned.
    pub fn restore(&mut self, learned: &[PairEstimate], now: Duration) {
        for PairEstimate { pair, amount } in learned {
            let leftover = self.number(&pair.leftover);
            let pair = PairIx { leftover, serving: self.number(&pair.serving) };
            self.local.insert(pair, LearnedAmount { amount: *amount, at: now });
            self.combine(pair);
        }
    }

    /// Merges the estimates that another shard has learned locally. Those of an earlier report on
    /// the same pair are replaced.
    pub fn merge(&mut self, from: &str, learned: &[PairEstimate]) {
        for other in learned {
            let leftover = self.number(&other.pair.leftover);
            let pair = PairIx { leftover, serving: self.number(&other.pair.serving) };
            self.from_shards.entry(from.to_owned()).or_default().insert(pair, other.amount);
            self.combine(pair);
        }
    }

    /// Combines all estimates of a pair, weighted by the information that each adds to the initial
    /// one.
    fn combine(&mut self, pair: PairIx) {
        let first = 1.0 / INITIAL_AMOUNT_DEVIATION.powi(2);
        let own = self.local.get(&pair).map(|known| known.amount);
        let heard = self.from_shards.values().filter_map(|from| from.get(&pair).copied());
        let (mut weight, mut sum) = (first, first * INITIAL_AMOUNT);
        for amount in own.into_iter().chain(heard) {
            let certainty = 1.0 / amount.variance.max(MIN_VARIANCE);
            let added = (certainty - first).max(0.0);
            // Each estimate includes the initial one; subtracting it leaves what was learned.
            sum += certainty * amount.mean - first * INITIAL_AMOUNT;
            weight += added;
        }
        let (row, column) = (usize::from(pair.leftover.0), usize::from(pair.serving.0));
        if self.combined.len() <= row {
            self.combined.resize(row + 1, Vec::new());
        }
        if self.combined[row].len() <= column {
            self.combined[row].resize(column + 1, None);
        }
        self.combined[row][column] = Some((sum / weight).max(0.0) as f32);
    }

    /// Returns the local estimates, to be sent to other shards.
    pub fn learned(&self) -> Vec<PairEstimate> {
        self.local.iter().filter_map(|(pair, known)| self.named(*pair, known.amount)).collect()
    }

    /// Returns the local estimates with their weight reduced by `weight_after` of the time since
    /// each was last learned, without those that tell nearly nothing.
    pub fn learned_weighted(
        &self,
        now: Duration,
        weight_after: impl Fn(Duration) -> f64,
    ) -> Vec<PairEstimate> {
        let aged = |(pair, known): (&PairIx, &LearnedAmount)| {
            let amount = known.amount.scaled(weight_after(now.saturating_sub(known.at)));
            self.named(*pair, amount).filter(|_| amount.is_significant())
        };
        self.local.iter().filter_map(aged).collect()
    }

    /// Multiplies the weight of what was heard, and forgets pairs of which nearly nothing is left.
    /// `weight_after` is the weight that is left of a local estimate after some time.
    pub fn decay(&mut self, factor: f64, now: Duration, weight_after: impl Fn(Duration) -> f64) {
        self.local.retain(|_, known| {
            let weight = weight_after(now.saturating_sub(known.at));
            weight > 0.5 || known.amount.scaled(weight).is_significant()
        });
        for pairs in self.from_shards.values_mut() {
            pairs.values_mut().for_each(|amount| *amount = amount.scaled(factor));
            pairs.retain(|_, amount| amount.is_significant());
        }
        self.from_shards.retain(|_, pairs| !pairs.is_empty());
        self.combined.iter_mut().flatten().for_each(|amount| *amount = None);
        let heard = self.from_shards.values().flat_map(IndexMap::keys);
        let pairs: IndexSet<PairIx> = self.local.keys().chain(heard).copied().collect();
        pairs.into_iter().for_each(|pair| self.combine(pair));
    }

    fn named(&self, pair: PairIx, amount: Estimate) -> Option<PairEstimate> {
        let name = |number: ImageIx| self.images.get_index(usize::from(number.0)).cloned();
        let pair = Pair { leftover: name(pair.leftover)?, serving: name(pair.serving)? };
        Some(PairEstimate { pair, amount })
    }

    fn local_estimate(&self, pair: PairIx, now: Duration) -> Estimate {
        let unseen = Estimate { mean: INITIAL_AMOUNT, variance: INITIAL_AMOUNT_DEVIATION.powi(2) };
        let Some(known) = self.local.get(&pair) else { return unseen };
        let age = now.saturating_sub(known.at).as_secs_f64();
        let variance = known.amount.variance + AMOUNT_DRIFT.powi(2) * age;
        Estimate { variance: variance.min(unseen.variance), ..known.amount }
    }
}

impl Estimate {
    /// Returns the estimate with a part of the information that it adds to the initial one. Both
    /// mean and variance approach the initial ones.
    pub fn scaled(self, factor: f64) -> Self {
        let first = 1.0 / INITIAL_AMOUNT_DEVIATION.powi(2);
        let (weight, left) = (first + self.weight(), first + self.weight() * factor);
        let added = (weight * self.mean - first * INITIAL_AMOUNT) * factor;
        Self { mean: (first * INITIAL_AMOUNT + added) / left, variance: 1.0 / left }
    }

    /// Returns the information that the estimate adds to the initial one, as an inverse variance.
    pub fn weight(&self) -> f64 {
        let first = 1.0 / INITIAL_AMOUNT_DEVIATION.powi(2);
        (1.0 / self.variance.max(MIN_VARIANCE) - first).max(0.0)
    }

    /// Returns whether enough is known to keep it.
    pub fn is_significant(&self) -> bool {
        self.weight() >= MIN_WEIGHT
    }

    /// Returns whether the values are possible ones.
    pub fn is_valid(&self) -> bool {
        // A variance above the initial one would count as negative weight.
        let max_variance = 1.001 * INITIAL_AMOUNT_DEVIATION.powi(2);
        (0.0..=MAX_AMOUNT).contains(&self.mean)
            && self.variance > 0.0
            && self.variance <= max_variance
    }

    /// Corrects an amount that contributed to a reading with `weight`, given the reading's error
    /// and variance.
    fn correct(&mut self, weight: f64, error: f64, variance: f64) {
        let gain = self.variance * weight / variance;
        self.mean += gain * error;
        self.variance *= 1.0 - gain * weight;
    }
}

impl TailState {
    /// Creates the state of a task that starts now, below its target.
    pub fn started(now: Duration) -> Self {
        Self { under_at: Some(now), ..Self::default() }
    }

    /// Records a tail.
    pub fn note_tail(
        &mut self,
        tail: Duration,
        target: Duration,
        company: Company,
        now: Duration,
    ) -> TailReading {
        let is_new = self.last_reading.is_none_or(|at| now.saturating_sub(at) >= READING_INTERVAL);
        if is_new {
            self.last_reading = Some(now);
        }
        let is_under = self.shows_below_target(tail, target, company, is_new);
        self.is_far = tail >= target * FAR_OVER;
        let mut ended = None;
        if is_under {
            ended = self.over.take();
            self.under_at = Some(now);
            self.closed = match company {
                Company::Alone => None,
                Company::BesideLeftover => ended.map(|over| (over, now)).or(self.closed),
            };
        } else if tail >= target {
            let reopens = |(_, at): &(_, Duration)| now.saturating_sub(*at) <= REOPEN_TIME;
            let reopened = self.closed.take().filter(reopens).map(|(over, _)| over);
            let new = OverTime { since: self.under_at, read_since: now, peak: Duration::ZERO };
            let over = self.over.get_or_insert(reopened.unwrap_or(new));
            over.peak = over.peak.max(tail);
        }
        TailReading { is_new, ended }
    }

    /// Returns for how long the task may have been over its target; zero if its last tails don't
    /// show that it is.
    pub fn time_over(&self, now: Duration) -> Duration {
        self.over.map_or(Duration::ZERO, |over| over.length(now))
    }

    /// Returns whether the last tail was far over the target.
    pub fn is_far_over(&self) -> bool {
        self.over.is_some() && self.is_far
    }

    /// Returns whether the task may have been over its target for at least `time`.
    pub fn is_over_for(&self, time: Duration, now: Duration) -> bool {
        self.over.is_some() && self.time_over(now) >= time
    }

    /// Returns whether a tail shows that the task is below its target, or over it by its own load
    /// only.
    ///
    /// Tails are rough whole milliseconds. A task slightly over its target reports some that are
    /// below it, also two in a row, so only tails well below the target count.
    ///
    /// A VM measures about every 200 ms but may respond ten times as often and repeat a
    /// measurement. The same value within the measurement window counts once.
    fn shows_below_target(
        &mut self,
        tail: Duration,
        target: Duration,
        company: Company,
        is_new: bool,
    ) -> bool {
        let evidence = if self.over.is_some() { UNDER_AGAIN } else { STILL_UNDER };
        if company == Company::Alone || tail <= target.mul_f64(evidence.single_share) {
            self.low = LowTails::default();
            return true;
        }
        if tail > target.mul_f64(evidence.row_share) {
            self.low = LowTails::default();
            return false;
        }
        let is_repeated = !is_new && (self.low.count == 0 || tail == self.low.last);
        if is_repeated {
            return false;
        }
        self.low = LowTails { count: self.low.count.saturating_add(1), last: tail };
        self.low.count >= evidence.row_length
    }
}
