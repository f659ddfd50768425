//! Admission control and fair queueing of requests for the slots of a service.
//!
//! Classes share slot time by their weights, and within a class teams share it evenly. A request is
//! rejected on arrival if its predicted wait exceeds the wait limit of its class, which is half of
//! the class's latency target (p99), or its deadline. Admitted requests are thus answered in time,
//! however high the offered load is.
//!
//! Weights alone don't keep short requests from waiting behind long ones, since slots are not
//! preempted. So a class of long requests leaves slots free for classes of much shorter ones: as
//! many as those used recently, up to their share by weight.

mod fair;

use crate::ids::{ClassName, TeamName};
use crate::model::RequestClass;
use crate::request::outcome::Reason;
use crate::request::route::ServiceTimeEstimate;
use fair::FairQueue;
use indexmap::IndexMap;
use std::collections::VecDeque;
use std::time::Duration;

/// Maximum number of queued requests, over all classes.
const MAX_QUEUED: usize = 4096;

/// A class leaves slots free for classes with a mean service time below this fraction of its own.
const SHORT_CLASS_RATIO: f64 = 0.25;

/// Minimum reserve of a class of short requests, as a fraction of its share by weight.
const MIN_RESERVE_SHARE: f64 = 0.25;

/// Half-life of the demand average, both for rising and for falling demand: following rises faster
/// would take random peaks for demand and keep slots idle.
const DEMAND_HALF_LIFE: Duration = Duration::from_secs(3);

/// Minimum wait limit; a shorter one is indistinguishable from timer noise.
const MIN_WAIT_LIMIT: Duration = Duration::from_millis(2);

/// A queued request.
#[derive(Clone, Debug)]
pub struct QueuedRequest<T> {
    pub ticket: u64,
    pub arrived: Duration,
    pub due: Duration,
    pub item: T,
}

/// Why a request was not admitted or was removed from the queue, and when to retry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Rejection {
    pub reason: Reason,
    pub retry_after: Duration,
}

/// The queue for the slots of one service.
#[derive(Debug)]
pub struct Admission<T> {
    classes: IndexMap<ClassName, Class<T>>,
    fair: FairQueue<ClassName>,
    last_ticket: u64,
}

#[derive(Debug)]
struct Class<T> {
    weight: u32,
    wait_limit: Duration,
    estimate: ServiceTimeEstimate,
    running: u32,
    teams: IndexMap<Option<TeamName>, VecDeque<QueuedRequest<T>>>,
    fair: FairQueue<Option<TeamName>>,
    /// Moving average of running and queued requests, and the time of its last update.
    demand: f64,
    demand_at: Duration,
    /// Running and queued requests since that update.
    current: f64,
}

impl<T> Default for Admission<T> {
    fn default() -> Self {
        Self { classes: IndexMap::new(), fair: FairQueue::default(), last_ticket: 0 }
    }
}

impl<T> Admission<T> {
    /// Creates an empty queue without classes.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds or updates a class; its measured service time is kept.
    pub fn configure(&mut self, name: &ClassName, cfg: &RequestClass) {
        let wait_limit = (cfg.target_p99 / 2).max(MIN_WAIT_LIMIT);
        match self.classes.get_mut(name) {
            Some(class) => {
                class.weight = cfg.weight;
                class.wait_limit = wait_limit;
            }
            None => {
                self.classes.insert(name.clone(), Class::new(cfg, wait_limit));
            }
        }
    }

    /// The estimated service time of a class.
    pub fn estimate(&self, class: &ClassName) -> Option<&ServiceTimeEstimate> {
        self.classes.get(class).map(|class| &class.estimate)
    }

    /// The number of queued requests by class.
    pub fn waiting(&self) -> impl Iterator<Item = (&ClassName, usize)> {
        self.classes.iter().map(|(name, class)| (name, class.len()))
    }

    /// Queues a request for one of `slots` slots, or returns why it is rejected.
    pub fn enqueue(
        &mut self,
        name: &ClassName,
        team: Option<TeamName>,
        due: Duration,
        item: T,
        slots: u32,
        now: Duration,
    ) -> Result<u64, Rejection> {
        let total = self.classes.values().map(Class::len).sum::<usize>();
        let share = self.share(name, slots);
        let Some(class) = self.classes.get_mut(name) else {
            return Err(Rejection { reason: Reason::UnknownClass, retry_after: Duration::ZERO });
        };
        let wait = class.predicted_wait(&team, share);
        let reject = |reason| Err(Rejection { reason, retry_after: wait });
        if now + wait + class.estimate.mean() > due {
            return reject(Reason::DeadlineTooShort);
        }
        if wait > class.wait_limit || total >= MAX_QUEUED {
            return reject(Reason::QueueFull);
        }
        self.last_ticket += 1;
        let waiting = QueuedRequest { ticket: self.last_ticket, arrived: now, due, item };
        class.teams.entry(team).or_default().push_back(waiting);
        class.update_demand(now);
        Ok(self.last_ticket)
    }

    /// Removes the next request to start on one of `slots` slots; it counts as running until
    /// [`Admission::ended`].
    pub fn next(&mut self, slots: u32, now: Duration) -> Option<(ClassName, QueuedRequest<T>)> {
        let waiting = self.classes.iter().filter(|(_, class)| class.len() > 0);
        let allowed = waiting.filter(|(name, class)| self.can_start(name, class, slots, now));
        let (name, _) = allowed
            .map(|(name, _)| (name.clone(), self.fair.start(name)))
            .min_by(|(_, one), (_, other)| one.total_cmp(other))?;
        let class = self.classes.get_mut(&name)?;
        let cost = class.estimate.mean().as_secs_f64();
        let waiting = class.pop(cost)?;
        class.running += 1;
        class.update_demand(now);
        let weight = class.weight;
        self.fair.serve(&name, cost, weight);
        Some((name, waiting))
    }

    /// Removes requests that exceeded the wait limit or can no longer meet their deadline.
    pub fn expire(&mut self, now: Duration) -> Vec<(QueuedRequest<T>, Rejection)> {
        let mut expired = Vec::new();
        for class in self.classes.values_mut() {
            class.expire(now, &mut expired);
        }
        expired
    }

    /// Removes all queued requests.
    pub fn clear(&mut self) -> Vec<QueuedRequest<T>> {
        let teams = self.classes.values_mut().flat_map(|class| class.teams.drain(..));
        teams.flat_map(|(_, waiting)| waiting).collect()
    }

    /// Removes a request whose caller disconnected.
    pub fn cancel(&mut self, name: &ClassName, ticket: u64) {
        let Some(class) = self.classes.get_mut(name) else { return };
        for waiting in class.teams.values_mut() {
            waiting.retain(|waiting| waiting.ticket != ticket);
        }
        class.teams.retain(|_, waiting| !waiting.is_empty());
    }

    /// Records that a started request released its slot; `took` is given if it succeeded.
    pub fn ended(&mut self, name: &ClassName, took: Option<Duration>, now: Duration) {
        let Some(class) = self.classes.get_mut(name) else { return };
        class.running = class.running.saturating_sub(1);
        class.update_demand(now);
        if let Some(took) = took {
            class.estimate.update(took);
        }
    }

    /// Slots that a class gets at least: its part by weight among the classes that have requests.
    fn share(&self, name: &ClassName, slots: u32) -> f64 {
        let busy = |(other, class): &(&ClassName, &Class<T>)| *other == name || class.is_busy();
        let weights: u32 = self.classes.iter().filter(busy).map(|(_, class)| class.weight).sum();
        let mine = self.classes.get(name).map_or(0, |class| class.weight);
        (f64::from(slots) * f64::from(mine) / f64::from(weights.max(1))).max(1.0)
    }

    fn can_start(&self, name: &ClassName, class: &Class<T>, slots: u32, now: Duration) -> bool {
        let running: u32 = self.classes.values().map(|class| class.running).sum();
        let longer = class.estimate.mean().mul_f64(SHORT_CLASS_RATIO);
        let shorter = self
            .classes
            .iter()
            .filter(|(other, short)| *other != name && short.estimate.mean() < longer);
        let weights: u32 = self.classes.values().map(|class| class.weight).sum();
        let reserved: u32 =
            shorter.map(|(_, short)| short.unused_reserve(slots, weights, now)).sum();
        // Each class may use at least one slot, so that none of them starves.
        class.running == 0 || running + reserved < slots
    }
}

impl<T> Class<T> {
    fn new(cfg: &RequestClass, wait_limit: Duration) -> Self {
        Self {
            weight: cfg.weight,
            wait_limit,
            estimate: ServiceTimeEstimate::new(cfg.expected),
            running: 0,
            teams: IndexMap::new(),
            fair: FairQueue::default(),
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

    /// Predicted wait of another request of `team` if the class has `share` slots. Teams take
    /// turns, so that it waits for the requests of its own team and as many of each other team.
    fn predicted_wait(&self, team: &Option<TeamName>, share: f64) -> Duration {
        let own = self.teams.get(team).map_or(0, VecDeque::len);
        let ahead: usize = self.teams.values().map(|waiting| waiting.len().min(own + 1)).sum();
        self.estimate.mean().mul_f64(ahead as f64 / share)
    }

    fn pop(&mut self, cost: f64) -> Option<QueuedRequest<T>> {
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

    fn expire(&mut self, now: Duration, expired: &mut Vec<(QueuedRequest<T>, Rejection)>) {
        let mean = self.estimate.mean();
        let wait_limit = self.wait_limit;
        for queue in self.teams.values_mut() {
            while let Some(first) = queue.front() {
                let reason = if now + mean > first.due {
                    Reason::DeadlinePassed
                } else if now > first.arrived + wait_limit {
                    Reason::NoSlot
                } else {
                    break;
                };
                let rejection = Rejection { reason, retry_after: wait_limit };
                expired.extend(queue.pop_front().map(|waiting| (waiting, rejection)));
            }
        }
        self.teams.retain(|_, queue| !queue.is_empty());
    }

    fn recent_demand(&self, now: Duration) -> f64 {
        let age = now.saturating_sub(self.demand_at).as_secs_f64();
        let kept = 0.5_f64.powf(age / DEMAND_HALF_LIFE.as_secs_f64());
        self.current + (self.demand - self.current) * kept
    }

    fn update_demand(&mut self, now: Duration) {
        self.demand = self.recent_demand(now);
        self.demand_at = now;
        self.current = f64::from(self.running) + self.len() as f64;
    }

    fn unused_reserve(&self, slots: u32, weights: u32, now: Duration) -> u32 {
        let share = f64::from(slots) * f64::from(self.weight) / f64::from(weights.max(1));
        let used = self.recent_demand(now);
        let reserve = used.max(share * MIN_RESERVE_SHARE).min(share).ceil() as u32;
        reserve.saturating_sub(self.running)
    }
}
