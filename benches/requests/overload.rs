//! Simulates more requests than slots: previews and builds through the admission queue with wait
//! limits and weights, compared with an unbounded FIFO queue.

use crate::virtual_time::{EventQueue, exponential, histogram, log_normal, millis, record};
use hdrhistogram::Histogram;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use std::collections::VecDeque;
use std::time::Duration;
use waxwingstall::ids::{ClassName, ServiceName};
use waxwingstall::model::{Idempotency, RequestClass};
use waxwingstall::request::admission::Admission;

const SEED: u64 = 5;
const SLOTS: u32 = 40;
const RUN: Duration = Duration::from_secs(300);
const TICK: Duration = Duration::from_millis(20);

/// Classes with mean service time and deadline in ms, log-normal sigma, weight, and the fraction of
/// the slots used at load 1.
const CLASSES: [Class; 2] = [
    Class { name: "preview", mean: 40, sigma: 0.6, deadline: 2_000, weight: 4, slot_fraction: 0.4 },
    Class {
        name: "build",
        mean: 2_000,
        sigma: 0.4,
        deadline: 30_000,
        weight: 1,
        slot_fraction: 0.4,
    },
];

struct Class {
    name: &'static str,
    mean: u64,
    sigma: f64,
    deadline: u64,
    weight: u32,
    slot_fraction: f64,
}

#[derive(Clone, Copy)]
struct Job {
    class: usize,
    arrived: Duration,
    took: Duration,
}

enum Event {
    Arrival(Job),
    End(Job),
    Tick,
}

/// Whether previews arrive at a constant rate, or alternately at 0.5 and 1.5 times that rate.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Arrivals {
    Even,
    Bursts,
}

/// Duration of each phase of [`Arrivals::Bursts`].
const PHASE: Duration = Duration::from_secs(10);

/// The queue under test.
trait Queue {
    fn offer(&mut self, job: Job, now: Duration);
    fn next(&mut self, now: Duration) -> Option<Job>;
    fn ended(&mut self, job: &Job, now: Duration);
    fn tick(&mut self, now: Duration);
}

/// An unbounded FIFO queue.
#[derive(Default)]
struct Fifo {
    waiting: VecDeque<Job>,
    running: u32,
}

struct Weighted {
    admission: Admission<Job>,
    running: u32,
}

/// Results of a run.
struct Outcome {
    previews: Histogram<u64>,
    /// Slot time of requests answered in time, as a fraction of the total slot time.
    useful: f64,
    in_time: [u64; 2],
    offered: [u64; 2],
}

pub fn run() {
    let targets = unloaded_p99();
    println!();
    println!("overload: {SLOTS} slots; at load 1 previews and builds ask for 0.4 of them each");
    println!("unloaded p99: previews {} ms", targets[0].as_millis());
    println!(
        "queue     load (preview, build)  preview p99 ms  x unloaded  in time: preview  build  useful slot time"
    );
    let mut peaks = [0.0_f64; 2];
    let cases = [
        ([1.0, 1.0], Arrivals::Even),
        ([1.25, 1.25], Arrivals::Even),
        ([2.0, 2.0], Arrivals::Even),
        ([5.0, 5.0], Arrivals::Even),
        ([1.0, 5.0], Arrivals::Even),
        ([1.0, 5.0], Arrivals::Bursts),
    ];
    for (loads, arrivals) in cases {
        for (at, name) in ["naive", "weighted"].into_iter().enumerate() {
            let outcome = match at {
                0 => simulate(loads, arrivals, &mut Fifo::default()),
                _ => simulate(loads, arrivals, &mut Weighted::new(&targets)),
            };
            peaks[at] = peaks[at].max(outcome.useful);
            report(name, loads, arrivals, &outcome, &targets, peaks[at]);
        }
    }
}

fn report(
    name: &str,
    loads: [f64; 2],
    arrivals: Arrivals,
    outcome: &Outcome,
    targets: &[Duration; 2],
    peak: f64,
) {
    let p99 = millis(&outcome.previews, 0.99);
    let share =
        |class: usize| 100.0 * outcome.in_time[class] as f64 / outcome.offered[class].max(1) as f64;
    println!(
        "{name:<9} {:>4} {:>4} {arrivals:<7?} {:>17.0} {:>11.2} {:>15.1}% {:>5.1}% {:>8.3} ({:.0}% of the best)",
        loads[0],
        loads[1],
        p99,
        p99 / (targets[0].as_secs_f64() * 1000.0),
        share(0),
        share(1),
        outcome.useful,
        100.0 * outcome.useful / peak,
    );
}

/// The 99th percentile of the service time of each class, without queueing.
fn unloaded_p99() -> [Duration; 2] {
    CLASSES.each_ref().map(|class| {
        let mut rng = SmallRng::seed_from_u64(SEED);
        let mut times = histogram();
        let mean = Duration::from_millis(class.mean);
        (0..100_000).for_each(|_| record(&mut times, log_normal(&mut rng, mean, class.sigma)));
        Duration::from_micros(times.value_at_quantile(0.99))
    })
}

fn simulate(loads: [f64; 2], arrivals: Arrivals, queue: &mut dyn Queue) -> Outcome {
    let mut events = EventQueue::new();
    for (at, class) in CLASSES.iter().enumerate() {
        let mut rng = SmallRng::seed_from_u64(SEED + at as u64);
        let mean = Duration::from_millis(class.mean);
        let gap = mean.div_f64(class.slot_fraction * loads[at] * f64::from(SLOTS));
        let mut arrived = Duration::ZERO;
        while arrived < RUN {
            let bursts = arrivals == Arrivals::Bursts && at == 0;
            let busy = !(arrived.as_secs() / PHASE.as_secs()).is_multiple_of(2);
            let rate = if !bursts {
                1.0
            } else if busy {
                1.5
            } else {
                0.5
            };
            arrived += exponential(&mut rng, gap.div_f64(rate));
            let took = log_normal(&mut rng, mean, class.sigma);
            events.add(arrived, Event::Arrival(Job { class: at, arrived, took }));
        }
    }
    let ticks = (RUN.as_millis() / TICK.as_millis()) as u32;
    (0..ticks).for_each(|tick| events.add(TICK * tick, Event::Tick));
    let mut outcome =
        Outcome { previews: histogram(), useful: 0.0, in_time: [0; 2], offered: [0; 2] };
    while let Some((now, event)) = events.next() {
        if now > RUN {
            break;
        }
        match event {
            Event::Tick => queue.tick(now),
            Event::Arrival(job) => {
                outcome.offered[job.class] += 1;
                queue.offer(job, now);
            }
            Event::End(job) => {
                queue.ended(&job, now);
                outcome.note(&job, now);
            }
        }
        while let Some(job) = queue.next(now) {
            events.add(now + job.took, Event::End(job));
        }
    }
    outcome.useful /= RUN.as_secs_f64() * f64::from(SLOTS);
    outcome
}

impl Outcome {
    fn note(&mut self, job: &Job, now: Duration) {
        let took = now - job.arrived;
        if job.class == 0 {
            record(&mut self.previews, took);
        }
        if took <= Duration::from_millis(CLASSES[job.class].deadline) {
            self.in_time[job.class] += 1;
            self.useful += job.took.as_secs_f64();
        }
    }
}

impl Queue for Fifo {
    fn offer(&mut self, job: Job, _now: Duration) {
        self.waiting.push_back(job);
    }

    fn next(&mut self, _now: Duration) -> Option<Job> {
        if self.running >= SLOTS {
            return None;
        }
        let job = self.waiting.pop_front()?;
        self.running += 1;
        Some(job)
    }

    fn ended(&mut self, _job: &Job, _now: Duration) {
        self.running -= 1;
    }

    fn tick(&mut self, _now: Duration) {}
}

impl Weighted {
    fn new(targets: &[Duration; 2]) -> Self {
        let mut admission = Admission::new();
        for (class, target) in CLASSES.iter().zip(targets) {
            let cfg = RequestClass {
                service: ServiceName::new("shop"),
                deadline: Duration::from_millis(class.deadline),
                target_p99: *target,
                expected: Duration::from_millis(class.mean),
                idempotency: Idempotency::Idempotent,
                weight: class.weight,
            };
            admission.configure(&ClassName::new(class.name), &cfg);
        }
        Self { admission, running: 0 }
    }
}

impl Queue for Weighted {
    fn offer(&mut self, job: Job, now: Duration) {
        let class = &CLASSES[job.class];
        let due = now + Duration::from_millis(class.deadline);
        let _ = self.admission.enqueue(&ClassName::new(class.name), None, due, job, SLOTS, now);
    }

    fn next(&mut self, now: Duration) -> Option<Job> {
        if self.running >= SLOTS {
            return None;
        }
        let (_, waiting) = self.admission.next(SLOTS, now)?;
        self.running += 1;
        Some(waiting.item)
    }

    fn ended(&mut self, job: &Job, now: Duration) {
        self.running -= 1;
        let class = ClassName::new(CLASSES[job.class].name);
        self.admission.ended(&class, Some(job.took), now);
    }

    fn tick(&mut self, now: Duration) {
        self.admission.expire(now);
    }
}
