//! Compares routing policies on the same arrivals. Each daemon sees only its own requests,
//! endpoints differ in service time, and a changing set of them is temporarily slowed down.

use crate::virtual_time::{EventQueue, exponential, histogram, log_normal, millis, record};
use hdrhistogram::Histogram;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::collections::VecDeque;
use std::time::Duration;
use waxwingstall::ids::{DaemonId, VmId};
use waxwingstall::request::route::{Candidate, Policy, ServiceTimeEstimate, Slowdown, choose};
use waxwingstall::request::share::even_split;

const SEED: u64 = 11;
const DAEMONS: usize = 4;
const ENDPOINTS: usize = 50;
const SLOTS: u32 = 8;
const SERVICE: Duration = Duration::from_millis(50);
const RUN: Duration = Duration::from_secs(60);
const WAVE: Duration = Duration::from_secs(7);
/// Slowdown of an endpoint that is affected by a wave, and the fraction of affected endpoints.
const NOISE: f64 = 4.0;
const NOISY: f64 = 0.2;
const LOADS: [f64; 2] = [0.25, 0.4];

enum Event {
    Arrival { daemon: usize, base: Duration },
    End { daemon: usize, endpoint: usize, started: Duration, arrived: Duration },
    Wave,
}

/// Whether the slots are split among the daemons, or each uses all of them.
#[derive(Clone, Copy, PartialEq)]
enum Split {
    Even,
    None,
}

struct Endpoint {
    factor: f64,
    noise: f64,
    running: u32,
}

struct Daemon {
    in_flight: Vec<Vec<Duration>>,
    slowdowns: Vec<Slowdown>,
    estimate: ServiceTimeEstimate,
    shares: Vec<u32>,
    waiting: VecDeque<(Duration, Duration)>,
}

struct World {
    rng: SmallRng,
    endpoints: Vec<Endpoint>,
    daemons: Vec<Daemon>,
    events: EventQueue<Event>,
    policy: Policy,
    times: Histogram<u64>,
    violations: u64,
}

pub fn run() {
    println!("routing: {DAEMONS} daemons, {ENDPOINTS} endpoints of {SLOTS} slots, mean service");
    println!("time {SERVICE:?}, every {WAVE:?} another {NOISY} of them {NOISE} times as slow");
    println!("load  way                      p50 ms   p99 ms  p99.9 ms  slot violations");
    for load in LOADS {
        let ways = [
            (Policy::Random, Split::Even, "random"),
            (Policy::TwoChoices, Split::Even, "two choices"),
            (Policy::LeastInFlight, Split::Even, "least in flight"),
            (Policy::LeastPredictedFinish, Split::Even, "least predicted finish"),
            (Policy::LeastPredictedFinish, Split::None, "the same without shares"),
        ];
        for (policy, split, name) in ways {
            let world = World::new(policy, split, load).run();
            println!(
                "{load:<5} {name:<23} {:>7.1} {:>8.1} {:>9.1} {:>10}",
                millis(&world.times, 0.5),
                millis(&world.times, 0.99),
                millis(&world.times, 0.999),
                world.violations,
            );
        }
    }
}

impl World {
    fn new(policy: Policy, split: Split, load: f64) -> Self {
        let mut trace = SmallRng::seed_from_u64(SEED);
        let endpoints = (0..ENDPOINTS)
            .map(|_| Endpoint { factor: trace.random_range(0.7..1.5), noise: 1.0, running: 0 })
            .collect();
        let ids: Vec<DaemonId> = (0..DAEMONS).map(|at| DaemonId::new(&format!("d{at}"))).collect();
        let share = |vm: usize, me: &DaemonId| match split {
            Split::Even => even_split(&VmId::new(&format!("vm-{vm}")), SLOTS, me, &ids),
            Split::None => SLOTS,
        };
        let daemons = ids
            .iter()
            .map(|me| Daemon {
                in_flight: vec![Vec::new(); ENDPOINTS],
                slowdowns: vec![Slowdown::default(); ENDPOINTS],
                estimate: ServiceTimeEstimate::new(SERVICE),
                shares: (0..ENDPOINTS).map(|vm| share(vm, me)).collect(),
                waiting: VecDeque::new(),
            })
            .collect();
        let mut events = EventQueue::new();
        let gap = SERVICE.div_f64(load * (ENDPOINTS as u32 * SLOTS) as f64);
        let mut at = Duration::ZERO;
        while at < RUN {
            at += exponential(&mut trace, gap);
            let base = log_normal(&mut trace, SERVICE, 0.5);
            events.add(at, Event::Arrival { daemon: trace.random_range(0..DAEMONS), base });
        }
        let waves = (RUN.as_secs() / WAVE.as_secs()) as u32;
        (0..waves).for_each(|wave| events.add(WAVE * wave, Event::Wave));
        let rng = SmallRng::seed_from_u64(SEED + 1);
        let times = histogram();
        Self { rng, endpoints, daemons, events, policy, times, violations: 0 }
    }

    fn run(mut self) -> Self {
        // The noise has its own random generator, so that it is the same for every policy.
        let mut noise = SmallRng::seed_from_u64(SEED + 2);
        while let Some((now, event)) = self.events.next() {
            match event {
                Event::Wave => {
                    for endpoint in &mut self.endpoints {
                        endpoint.noise = if noise.random_bool(NOISY) { NOISE } else { 1.0 };
                    }
                }
                Event::Arrival { daemon, base } => {
                    self.daemons[daemon].waiting.push_back((now, base));
                    self.start_next(daemon, now);
                }
                Event::End { daemon, endpoint, started, arrived } => {
                    self.end(daemon, endpoint, started, now);
                    record(&mut self.times, now - arrived);
                    self.start_next(daemon, now);
                }
            }
        }
        self
    }

    fn start_next(&mut self, at: usize, now: Duration) {
        let daemon = &mut self.daemons[at];
        if daemon.waiting.is_empty() {
            return;
        }
        let free: Vec<usize> = (0..ENDPOINTS)
            .filter(|vm| (daemon.in_flight[*vm].len() as u32) < daemon.shares[*vm])
            .collect();
        let candidates: Vec<Candidate> = free.iter().map(|vm| daemon.candidate(*vm, now)).collect();
        let Some(chosen) = choose(self.policy, &candidates, &mut self.rng) else { return };
        let vm = free[chosen];
        let Some((arrived, base)) = daemon.waiting.pop_front() else { return };
        daemon.in_flight[vm].push(now);
        let endpoint = &mut self.endpoints[vm];
        endpoint.running += 1;
        self.violations += u64::from(endpoint.running > SLOTS);
        let crowding = 1.0 + 0.5 * f64::from(endpoint.running) / f64::from(SLOTS);
        let took = base.mul_f64(endpoint.factor * endpoint.noise * crowding);
        let end = Event::End { daemon: at, endpoint: vm, started: now, arrived };
        self.events.add(now + took, end);
    }

    fn end(&mut self, at: usize, vm: usize, started: Duration, now: Duration) {
        self.endpoints[vm].running -= 1;
        let daemon = &mut self.daemons[at];
        let position = daemon.in_flight[vm].iter().position(|start| *start == started);
        daemon.in_flight[vm].swap_remove(position.expect("it was started"));
        let ratio = daemon.estimate.ratio(now - started);
        daemon.slowdowns[vm].update(ratio, now);
        daemon.estimate.update(now - started);
    }
}

impl Daemon {
    fn candidate(&self, vm: usize, now: Duration) -> Candidate {
        let oldest = self.in_flight[vm].iter().min();
        let overdue = oldest.map_or(0.0, |start| self.estimate.ratio(now - *start));
        Candidate {
            in_flight: self.in_flight[vm].len() as u32,
            usable: self.shares[vm],
            slowness: self.slowdowns[vm].factor(now, overdue),
            failed_share: 0.0,
        }
    }
}
