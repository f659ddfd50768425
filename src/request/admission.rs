//! Who waits for a slot, who goes next, and who is told at once that it won't be their turn.
//!
//! Classes share slot time by their weights, and within a class teams share it evenly. A request
//! is refused when it arrives if its predicted wait is longer than its class's patience, half of
//! the class's target for the 99th percentile, or passes its deadline; so that what is admitted is
//! still answered in time, however much more is offered.
//!
//! Weights alone don't keep short requests from waiting for long ones, which hold their slots once
//! they have them. So a class of long requests leaves slots free for classes of much shorter ones:
//! as many as those lately used, up to their share by weight.

mod fair;

use crate::ids::{ClassName, TeamName};
use crate::model::RequestClass;
use crate::request::outcome::Reason;
use crate::request::route::Usual;
use fair::Fair;
use indexmap::IndexMap;
use std::collections::VecDeque;
use std::time::Duration;

/// Requests that wait, of all classes.
const MOST_WAITING: usize = 4096;

/// A class leaves slots free for classes whose requests take less than this share of its time.
const MUCH_SHORTER: f64 = 0.25;

/// Part of its share by weight that is kept free for a class of short requests in any case.
const LEAST_RESERVE: f64 = 0.25;

/// Time in which half of the way to another use is learned. Learning rises faster than falls
/// would take chance for demand, and keep slots idle.
const DEMAND_HALF_LIFE: Duration = Duration::from_secs(3);

/// Shortest patience: less can't be told from the noise of timers.
const LEAST_PATIENCE: Duration = Duration::from_millis(2);

/// A request that waits.
#[derive(Clone, Debug)]
pub struct Waiting<T> {
    pub ticket: u64,
    pub arrived: Duration,
    pub due: Duration,
    pub item: T,
}

/// Why a request may not wait, and when to come back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refused {
    pub reason: Reason,
    pub retry_after: Duration,
}

/// Requests that wait for the slots of one service.
#[derive(Debug)]
pub struct Admission<T> {
    classes: IndexMap<ClassName, Class<T>>,
    fair: Fair<ClassName>,
    last_ticket: u64,
}

#[derive(Debug)]
struct Class<T> {
    weight: u32,
    patience: Duration,
    usual: Usual,
    running: u32,
    teams: IndexMap<Option<TeamName>, VecDeque<Waiting<T>>>,
    fair: Fair<Option<TeamName>>,
    /// Mean of what was used or waited for lately, and when that was noted.
    demand: f64,
    demand_at: Duration,
    /// What is used or waited for since then.
    current: f64,
}

impl<T> Default for Admission<T> {
    fn default() -> Self {
        Self { classes: IndexMap::new(), fair: Fair::default(), last_ticket: 0 }
    }
}

impl<T> Admission<T> {
    /// Nobody waits, and no class is known.
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes a class as configured; what was learned of it stays.
    pub fn configure(&mut self, name: &ClassName, cfg: &RequestClass) {
        let patience = (cfg.target_p99 / 2).max(LEAST_PATIENCE);
        match self.classes.get_mut(name) {
            Some(class) => {
                class.weight = cfg.weight;
                class.patience = patience;
            }
            None => {
                self.classes.insert(name.clone(), Class::new(cfg, patience));
            }
        }
    }

    /// The usual service time of a class.
    pub fn usual(&self, class: &ClassName) -> Option<&Usual> {
        self.classes.get(class).map(|class| &class.usual)
    }

    /// Requests that wait, by class.
    pub fn waiting(&self) -> impl Iterator<Item = (&ClassName, usize)> {
        self.classes.iter().map(|(name, class)| (name, class.len()))
    }

    /// Lets a request wait for one of `slots`, or says why not.
    pub fn offer(
        &mut self,
        name: &ClassName,
        team: Option<TeamName>,
        due: Duration,
        item: T,
        slots: u32,
        now: Duration,
    ) -> Result<u64, Refused> {
        let total = self.classes.values().map(Class::len).sum::<usize>();
        let share = self.share(name, slots);
        let Some(class) = self.classes.get_mut(name) else {
            return Err(Refused { reason: Reason::UnknownClass, retry_after: Duration::ZERO });
        };
        let wait = class.predicted_wait(&team, share);
        let refuse = |reason| Err(Refused { reason, retry_after: wait });
        if now + wait + class.usual.mean() > due {
            return refuse(Reason::DeadlineTooShort);
        }
        if wait > class.patience || total >= MOST_WAITING {
            return refuse(Reason::QueueFull);
        }
        self.last_ticket += 1;
        let waiting = Waiting { ticket: self.last_ticket, arrived: now, due, item };
        class.teams.entry(team).or_default().push_back(waiting);
        class.note_demand(now);
        Ok(self.last_ticket)
    }

    /// The next request to start on a free one of `slots`; it counts as running until
    /// [`Admission::ended`].
    pub fn next(&mut self, slots: u32, now: Duration) -> Option<(ClassName, Waiting<T>)> {
        let waiting = self.classes.iter().filter(|(_, class)| class.len() > 0);
        let allowed = waiting.filter(|(name, class)| self.may_start(name, class, slots, now));
        let (name, _) = allowed
            .map(|(name, _)| (name.clone(), self.fair.start(name)))
            .min_by(|(_, one), (_, other)| one.total_cmp(other))?;
        let class = self.classes.get_mut(&name)?;
        let cost = class.usual.mean().as_secs_f64();
        let waiting = class.pop(cost)?;
        class.running += 1;
        class.note_demand(now);
        let weight = class.weight;
        self.fair.serve(&name, cost, weight);
        Some((name, waiting))
    }

    /// Takes out everyone who has waited beyond patience or can no longer be answered in time.
    pub fn give_up(&mut self, now: Duration) -> Vec<(Waiting<T>, Refused)> {
        let mut given_up = Vec::new();
        for class in self.classes.values_mut() {
            class.give_up(now, &mut given_up);
        }
        given_up
    }

    /// Takes out everyone.
    pub fn clear(&mut self) -> Vec<Waiting<T>> {
        let teams = self.classes.values_mut().flat_map(|class| class.teams.drain(..));
        teams.flat_map(|(_, waiting)| waiting).collect()
    }

    /// Takes out a request whose caller no longer waits.
    pub fn cancel(&mut self, name: &ClassName, ticket: u64) {
        let Some(class) = self.classes.get_mut(name) else { return };
        for waiting in class.teams.values_mut() {
            waiting.retain(|waiting| waiting.ticket != ticket);
        }
        class.teams.retain(|_, waiting| !waiting.is_empty());
    }

    /// A started request gave its slot back; `took` if it was answered well.
    pub fn ended(&mut self, name: &ClassName, took: Option<Duration>, now: Duration) {
        let Some(class) = self.classes.get_mut(name) else { return };
        class.running = class.running.saturating_sub(1);
        class.note_demand(now);
        if let Some(took) = took {
            class.usual.learn(took);
        }
    }

    /// Slots that a class can count on: its part by weight of those classes that have work.
    fn share(&self, name: &ClassName, slots: u32) -> f64 {
        let busy = |(other, class): &(&ClassName, &Class<T>)| *other == name || class.is_busy();
        let weights: u32 = self.classes.iter().filter(busy).map(|(_, class)| class.weight).sum();
        let mine = self.classes.get(name).map_or(0, |class| class.weight);
        (f64::from(slots) * f64::from(mine) / f64::from(weights.max(1))).max(1.0)
    }

    fn may_start(&self, name: &ClassName, class: &Class<T>, slots: u32, now: Duration) -> bool {
        let running: u32 = self.classes.values().map(|class| class.running).sum();
        let longer = class.usual.mean().mul_f64(MUCH_SHORTER);
        let shorter = self
            .classes
            .iter()
            .filter(|(other, short)| *other != name && short.usual.mean() < longer);
        let weights: u32 = self.classes.values().map(|class| class.weight).sum();
        let reserved: u32 =
            shorter.map(|(_, short)| short.unused_reserve(slots, weights, now)).sum();
        // One slot is left even to the longest, so that it gets on at all.
        class.running == 0 || running + reserved < slots
    }
}

impl<T> Class<T> {
    fn new(cfg: &RequestClass, patience: Duration) -> Self {
        Self {
            weight: cfg.weight,
            patience,
            usual: Usual::new(cfg.expected),
            running: 0,
            teams: IndexMap::new(),
            fair: Fair::default(),
            demand: 0.0,
            demand_at: Duration::ZERO,
            current: 0.0,
        }
    }

    fn len(&self) -> usize {
        self.teams.values().map(VecDeque::len).sum()
    }

    fn is_busy(&self) -> bool {
        self.running > 0 || !self.teams.is_empty()
    }

    /// Wait of one more request of `team`, with `share` slots for the class. Teams take turns, so
    /// that a team waits for its own requests and as many of each other team's.
    fn predicted_wait(&self, team: &Option<TeamName>, share: f64) -> Duration {
        let own = self.teams.get(team).map_or(0, VecDeque::len);
        let ahead: usize = self.teams.values().map(|waiting| waiting.len().min(own + 1)).sum();
        self.usual.mean().mul_f64(ahead as f64 / share)
    }

    fn pop(&mut self, cost: f64) -> Option<Waiting<T>> {
        let teams = self.teams.keys().map(|team| (team.clone(), self.fair.start(team)));
        let (team, _) = teams.min_by(|(_, one), (_, other)| one.total_cmp(other))?;
        let queue = self.teams.get_mut(&team)?;
        let waiting = queue.pop_front();
        if queue.is_empty() {
            self.teams.shift_remove(&team);
        }
        self.fair.serve(&team, cost, 1);
        waiting
    }

    fn give_up(&mut self, now: Duration, given_up: &mut Vec<(Waiting<T>, Refused)>) {
        let mean = self.usual.mean();
        let patience = self.patience;
        for queue in self.teams.values_mut() {
            while let Some(first) = queue.front() {
                let reason = if now + mean > first.due {
                    Reason::DeadlinePassed
                } else if now > first.arrived + patience {
                    Reason::NoSlot
                } else {
                    break;
                };
                let refused = Refused { reason, retry_after: patience };
                given_up.extend(queue.pop_front().map(|waiting| (waiting, refused)));
            }
        }
        self.teams.retain(|_, queue| !queue.is_empty());
    }

    fn lately(&self, now: Duration) -> f64 {
        let age = now.saturating_sub(self.demand_at).as_secs_f64();
        let kept = 0.5_f64.powf(age / DEMAND_HALF_LIFE.as_secs_f64());
        self.current + (self.demand - self.current) * kept
    }

    fn note_demand(&mut self, now: Duration) {
        self.demand = self.lately(now);
        self.demand_at = now;
        self.current = f64::from(self.running) + self.len() as f64;
    }

    fn unused_reserve(&self, slots: u32, weights: u32, now: Duration) -> u32 {
        let share = f64::from(slots) * f64::from(self.weight) / f64::from(weights.max(1));
        let used = self.lately(now);
        let reserve = used.max(share * LEAST_RESERVE).min(share).ceil() as u32;
        reserve.saturating_sub(self.running)
    }
}
