//! Queues under loads that don't fit, with the decision about new jobs and without it.

use super::{
    Backlog, Capacity, Demand, Range, Room, Target, VmRoom, WaitingStep, is_in_time, is_of_no_use,
    retry_delay,
};
use crate::ids::ServiceName;
use crate::job::{Job, JobId, Label, QueueName, Repeat, Share, Step};
use crate::shard::Summary;
use crate::shard::order::{Outlook, USEFUL_DURATION_FACTOR};
use crate::shard::run_times::RunTimes;
use crate::units::Resources;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::sync::Arc;
use std::time::Duration;

const TICK: f64 = 0.05;
const VM: Resources = Resources::new(64_000, 256_000, 0);
/// Part of the processors that lasting tasks leave idle.
const IDLE: f64 = 0.6;
/// Speed down to which leftover tasks are placed.
const MIN_SPEED: f64 = 0.8;
const MAX_RETRIES: u32 = 4;

/// A queue and its arrivals.
#[derive(Clone, Copy)]
struct Stream {
    queue: &'static str,
    priority: u32,
    share: Share,
    steps: u16,
    tasks: u32,
    milli_cores: u32,
    seconds: f64,
    target: Target,
    /// Jobs a second at a time.
    rate: fn(f64) -> f64,
}

const URGENT: Stream = Stream {
    queue: "pairing",
    priority: 0,
    share: Share::Reserved,
    steps: 2,
    tasks: 10,
    milli_cores: 7500,
    seconds: 0.64,
    target: Target { stretch: 1.5, latency: Duration::from_millis(250) },
    rate: |_| 0.0,
};

const LEFTOVER: Stream = Stream {
    queue: "standings",
    priority: 2,
    share: Share::Leftover,
    tasks: 20,
    milli_cores: 7000,
    seconds: 1.7,
    target: Target { stretch: 2.0, latency: Duration::from_secs(1) },
    ..URGENT
};

/// Jobs too large for the room that they can use.
const HUGE: Stream = Stream { queue: "season", tasks: 1500, rate: |at| burst(at, 0.5), ..LEFTOVER };

/// A rate from the fifth to the eleventh second, and a third of it otherwise.
fn burst(at: f64, rate: f64) -> f64 {
    if (5.0..11.0).contains(&at) { rate } else { rate / 3.0 }
}

struct Known {
    job: Job,
    stream: Stream,
    /// True run time of a task.
    seconds: f64,
    submit_at: f64,
    retries: u32,
    accepted: Option<f64>,
    ended: Option<f64>,
    step: usize,
    waiting: u32,
    /// Work that remains of each running task, in seconds.
    running: Vec<f64>,
}

/// What callers get, counted from the acceptance of their jobs.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct Outcomes {
    in_time: u32,
    late: u32,
    refused: u32,
    /// Done when the result was of no use any more, or never.
    for_nothing: u32,
}

#[derive(Clone, Copy, PartialEq)]
enum Admit {
    All,
    ByEstimate,
}

struct Simulation {
    vms: fn(f64) -> u32,
    lasting: f64,
    jobs: Vec<Known>,
    times: RunTimes,
    now: f64,
}

impl Simulation {
    fn new(seed: u64, streams: &[Stream], vms: fn(f64) -> u32, lasting: f64) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let (mut jobs, mut times) = (Vec::new(), RunTimes::default());
        for stream in streams {
            let queue = QueueName::new(stream.queue);
            let random = |rng: &mut SmallRng| {
                let seconds = stream.seconds * 1.35_f64.powf(rng.random_range(-1.0..1.0));
                (seconds, seconds * 1.5_f64.powf(rng.random_range(-1.0..1.0)))
            };
            for _ in 0..500 {
                let (seconds, estimate) = random(&mut rng);
                let time = Duration::from_secs_f64;
                times.learn(&queue, time(estimate), time(seconds));
            }
            let mut at = 0.0;
            while at < 16.0 {
                at += TICK;
                if rng.random_range(0.0..1.0) >= (stream.rate)(at) * TICK {
                    continue;
                }
                let (seconds, estimate) = random(&mut rng);
                let size = Resources::new(stream.milli_cores, 4000, 0);
                let step = |number: u16| Step {
                    after: number.checked_sub(1).into_iter().collect(),
                    share: stream.share,
                    ..Step::new(stream.tasks, size, Duration::from_secs_f64(estimate))
                };
                let job = Job {
                    id: JobId(rng.random()),
                    queue: queue.clone(),
                    service: ServiceName::new("shop"),
                    payload: Arc::from(""),
                    steps: (0..stream.steps).map(step).collect(),
                    repeat: Repeat::Once,
                    accepted: Duration::ZERO,
                    terms: None,
                };
                jobs.push(Known {
                    job,
                    stream: *stream,
                    seconds,
                    submit_at: at,
                    retries: 0,
                    accepted: None,
                    ended: None,
                    step: 0,
                    waiting: stream.tasks,
                    running: Vec::new(),
                });
            }
        }
        Self { vms, lasting, jobs, times, now: 0.0 }
    }

    fn capacity(&self) -> Capacity {
        let all = f64::from((self.vms)(self.now)) * f64::from(VM.milli_cores.0);
        let leftover = all * (1.0 - self.lasting * (1.0 - IDLE));
        Capacity { milli_cores: all * (1.0 - self.lasting), leftover, mib: 1e9 }
    }

    fn room(&self) -> Room {
        let capacity = self.capacity();
        let vm = VmRoom {
            service: ServiceName::new("shop"),
            labels: Vec::new(),
            most: capacity,
            largest: VM,
            usual: capacity,
            harmless: Vec::new(),
        };
        Room { vms: vec![vm] }
    }

    fn outlook(&self, known: &Known) -> Outlook {
        let left = &known.job.steps[known.step..];
        let time = |step: &Step| self.times.expect(&known.job.queue, step.estimate);
        let tasks = |index: usize, step: &Step| match index {
            0 => known.waiting as usize + known.running.len(),
            _ => step.tasks as usize,
        };
        let path = |steps: &[Step]| steps.iter().map(time).sum::<Duration>();
        let work = left.iter().enumerate().map(|(index, step)| {
            tasks(index, step) as f64
                * time(step).as_secs_f64()
                * f64::from(step.size.milli_cores.0)
        });
        let target = path(&known.job.steps).mul_f64(known.stream.target.stretch);
        Outlook {
            spent: Duration::from_secs_f64(self.now - known.accepted.unwrap_or(self.now)),
            target: target + known.stream.target.latency,
            left: path(left),
            work: work.sum::<f64>() / 1000.0,
        }
    }

    fn open(&self) -> impl Iterator<Item = &Known> {
        self.jobs.iter().filter(|known| known.accepted.is_some() && known.ended.is_none())
    }

    fn backlog(&self) -> Backlog {
        let steps = self.open().map(|known| {
            let step = &known.job.steps[known.step];
            let time = self.times.expect(&known.job.queue, step.estimate);
            WaitingStep {
                queue: known.job.queue.clone(),
                service: known.job.service.clone(),
                priority: known.stream.priority,
                share: step.share,
                size: step.size,
                outlook: self.outlook(known),
                time: Range::around(time, self.times.deviation(&known.job.queue)),
                ready: known.waiting,
                open: f64::from(known.waiting) + known.running.len() as f64 / 2.0,
            }
        });
        Backlog { steps: steps.collect() }
    }

    /// Submits a job; a refused caller comes back up to four times.
    fn submit(&mut self, index: usize, admit: Admit) {
        let (room, backlog, known) = (self.room(), self.backlog(), &self.jobs[index]);
        let demand = Demand::new(&known.job, &self.times);
        let target = demand.target(known.stream.target);
        let done = demand.estimate(&room, &backlog, known.stream.priority, &[]);
        let refused =
            done.filter(|done| admit == Admit::ByEstimate && is_of_no_use(done.soonest, target));
        let delay = refused.map(|estimate| retry_delay(known.job.id, estimate.done, target));
        let (now, known) = (self.now, &mut self.jobs[index]);
        match delay {
            None => known.accepted = Some(now),
            Some(_) if known.retries == MAX_RETRIES => known.submit_at = f64::INFINITY,
            Some(delay) => {
                known.retries += 1;
                known.submit_at = now + delay.as_secs_f64().ceil();
            }
        }
    }

    fn place(&mut self) {
        let mut order: Vec<(u32, Outlook, usize)> = (0..self.jobs.len())
            .filter(|index| {
                let known = &self.jobs[*index];
                known.accepted.is_some() && known.waiting > 0
            })
            .map(|index| (self.jobs[index].stream.priority, self.outlook(&self.jobs[index]), index))
            .collect();
        order.sort_by(|a, b| a.0.cmp(&b.0).then_with(|| a.1.compare(&b.1)));
        let capacity = self.capacity();
        for (_, _, index) in order {
            let share = self.jobs[index].stream.share;
            let room = match share {
                Share::Reserved => capacity.milli_cores,
                Share::Leftover => capacity.leftover / MIN_SPEED,
            };
            let mut used = self.used(share);
            let known = &mut self.jobs[index];
            let cores = f64::from(known.stream.milli_cores);
            while known.waiting > 0 && used + cores <= room {
                (known.waiting, used) = (known.waiting - 1, used + cores);
                known.running.push(known.seconds);
            }
        }
    }

    fn used(&self, share: Share) -> f64 {
        let of = |known: &&Known| known.stream.share == share;
        let cores =
            |known: &Known| known.running.len() as f64 * f64::from(known.stream.milli_cores);
        self.jobs.iter().filter(of).map(cores).sum()
    }

    fn advance(&mut self) {
        let capacity = self.capacity();
        let leftover_speed = (capacity.leftover / self.used(Share::Leftover).max(1.0)).min(1.0);
        let now = self.now;
        for known in self.jobs.iter_mut().filter(|known| !known.running.is_empty()) {
            let speed = if known.stream.share == Share::Leftover { leftover_speed } else { 1.0 };
            known.running.iter_mut().for_each(|left| *left -= TICK * speed);
            known.running.retain(|left| *left > 0.0);
            if known.running.is_empty() && known.waiting == 0 {
                known.step += 1;
                match known.job.steps.get(known.step) {
                    Some(step) => known.waiting = step.tasks,
                    None => known.ended = Some(now),
                }
            }
        }
    }

    /// Runs the jobs; returns the outcome of each.
    fn run(mut self, admit: Admit) -> Vec<(Stream, Outcomes)> {
        while self.now < 60.0 {
            self.now += TICK;
            for index in 0..self.jobs.len() {
                let known = &self.jobs[index];
                if known.accepted.is_none() && known.submit_at <= self.now {
                    self.submit(index, admit);
                }
            }
            self.place();
            self.advance();
        }
        let outcome = |known: &Known| {
            let path = known.seconds * f64::from(known.stream.steps);
            let target = known.stream.target;
            let target = path * target.stretch + target.latency.as_secs_f64();
            let took = known.ended.zip(known.accepted).map(|(end, start)| end - start);
            let one = |count: bool| u32::from(count);
            let is_refused = known.accepted.is_none();
            let in_time = took.is_some_and(|took| took <= target);
            let useful = took.is_some_and(|took| took <= USEFUL_DURATION_FACTOR * target);
            Outcomes {
                in_time: one(in_time),
                late: one(useful && !in_time),
                refused: one(is_refused),
                for_nothing: one(!useful && !is_refused),
            }
        };
        self.jobs.iter().map(|known| (known.stream, outcome(known))).collect()
    }
}

fn sum<'a>(outcomes: impl Iterator<Item = &'a (Stream, Outcomes)>) -> Outcomes {
    outcomes.fold(Outcomes::default(), |sum, (_, one)| Outcomes {
        in_time: sum.in_time + one.in_time,
        late: sum.late + one.late,
        refused: sum.refused + one.refused,
        for_nothing: sum.for_nothing + one.for_nothing,
    })
}

/// Runs a load without and with the decision. No job may be refused that would have been of use.
fn compare(name: &str, streams: &[Stream], vms: fn(f64) -> u32, lasting: f64) -> [Outcomes; 2] {
    let mut totals = [Outcomes::default(); 2];
    for seed in 1..4 {
        let run = |admit| Simulation::new(seed, streams, vms, lasting).run(admit);
        let (without, with) = (run(Admit::All), run(Admit::ByEstimate));
        for ((_, without), (stream, with)) in without.iter().zip(&with) {
            let is_false = with.refused == 1 && without.for_nothing == 0;
            assert!(!is_false, "{name}, seed {seed}: a useful job of {} refused", stream.queue);
        }
        for (total, outcomes) in totals.iter_mut().zip([without, with]) {
            *total = sum(outcomes.iter().chain([&(URGENT, *total)]));
        }
    }
    println!("{name}: without {:?}, with {:?}", totals[0], totals[1]);
    let [without, with] = totals;
    assert!(with.in_time >= without.in_time, "{name}: fewer in time");
    assert!(with.for_nothing <= without.for_nothing, "{name}: more for nothing");
    totals
}

const ALL_VMS: fn(f64) -> u32 = |_| 20;
const QUARTER_LOST: fn(f64) -> u32 = |at| if (5.0..11.0).contains(&at) { 15 } else { 20 };

// Guards against the refusal of jobs that a burst only makes late: the usual load of leftover work
// is six tenths of the room, 2.6 times of it comes for 6 s, and a quarter of the VMs is lost.
#[test]
fn bursts_of_leftover_jobs_during_an_evacuation_are_not_refused() {
    let stream = Stream { rate: |at| burst(at, 3.0), ..LEFTOVER };
    let [_, with] = compare("leftover burst", &[stream], QUARTER_LOST, 0.5);
    assert_eq!(with.refused, 0);
}

// Guards against the refusal of urgent jobs in a burst, and of leftover jobs beside one.
#[test]
fn bursts_of_urgent_jobs_are_not_refused() {
    let urgent = Stream { rate: |at| burst(at, 7.0), ..URGENT };
    let leftover = Stream { rate: |at| burst(at, 2.0), ..LEFTOVER };
    for (name, streams) in [("urgent burst", &[urgent][..]), ("both", &[urgent, leftover])] {
        let [_, with] = compare(name, streams, QUARTER_LOST, 0.5);
        assert_eq!(with.refused, 0, "{name}");
    }
}

// Guards against jobs that are accepted and wait for nothing: the whole room takes longer for one of
// them than its result is of use.
#[test]
fn jobs_too_large_for_the_room_are_refused() {
    let usual = Stream { rate: |_| 1.0, ..LEFTOVER };
    let [without, with] = compare("large jobs", &[HUGE, usual], ALL_VMS, 0.5);
    assert!(without.for_nothing > 0 && with.for_nothing * 10 <= without.for_nothing);
}

// Guards against jobs of a lower priority that wait for nothing behind more urgent work than the
// room does while they are of use. Those refused come back and are in time.
#[test]
fn jobs_behind_a_flood_of_urgent_work_are_refused() {
    let flood = Stream { steps: 1, tasks: 20, ..URGENT };
    let flood = Stream { rate: |at| if at < 5.0 { 20.0 } else { 0.0 }, ..flood };
    let low = Stream { queue: "reports", priority: 1, rate: |_| 2.0, ..URGENT };
    let [without, with] = compare("urgent flood", &[flood, low], ALL_VMS, 0.5);
    assert!(with.for_nothing < without.for_nothing && with.in_time > without.in_time);
}

// Guards against refusals while two queues of a priority swing between no load and twice the room.
#[test]
fn waves_are_not_refused() {
    let wave = |rate| Stream { rate, ..LEFTOVER };
    let in_step: fn(f64) -> f64 = |at| 1.5 * (1.0 + (at * std::f64::consts::TAU / 10.0).sin());
    let opposite: fn(f64) -> f64 = |at| 1.5 * (1.0 - (at * std::f64::consts::TAU / 10.0).sin());
    for (name, second) in [("waves in step", in_step), ("waves out of step", opposite)] {
        let other = Stream { queue: "digests", ..wave(second) };
        let [_, with] = compare(name, &[wave(in_step), other], ALL_VMS, 0.5);
        assert_eq!(with.refused, 0, "{name}");
    }
}

// Guards against retries that arrive at once, or later than a caller who retries four times waits.
#[test]
fn retries_are_spread_within_their_bounds() {
    let range = |value| Range { early: value, likely: value, late: value };
    let delays = (0..200).map(|id| retry_delay(JobId(id), range(60.0), range(4.0)));
    let delays: Vec<Duration> = delays.collect();
    let within = |from: u64, to: u64| {
        let span = Duration::from_secs(from)..Duration::from_secs(to);
        delays.iter().filter(|delay| span.contains(*delay)).count()
    };
    assert_eq!(within(5, 8), 200);
    assert!(within(5, 6) >= 50 && within(6, 7) >= 50, "{delays:?}");
}

// Guards against the refusal of a job that other shards have room for, by lending if not alone.
#[test]
fn room_of_other_shards_counts() {
    let simulation = Simulation::new(1, &[HUGE], |_| 5, 0.0);
    let known = &simulation.jobs[0];
    let demand = Demand::new(&known.job, &simulation.times);
    let target = demand.target(HUGE.target);
    let capacity = 12_800_000;
    let other = Summary { vms: 200, capacity, leftover: capacity, ..Summary::default() };
    let (room, backlog) = (simulation.room(), Backlog::default());
    let done = |others: &[&Summary]| {
        demand.estimate(&room, &backlog, 2, others).expect("there is room").soonest
    };
    assert!(is_of_no_use(done(&[]), target));
    assert!(!is_of_no_use(done(&[&other]), target));
    let elsewhere = demand.estimate_elsewhere(&other);
    assert!(elsewhere.is_some_and(|done| is_in_time(done, target)));
}

// Guards against a job that waits for nothing because its tasks all go to one hot rack, and against
// the refusal of the same job where it may run on any rack.
#[test]
fn only_jobs_bound_to_a_hot_rack_are_refused() {
    let hot = Label::new("r7");
    let simulation = Simulation::new(1, &[Stream { tasks: 300, ..HUGE }], |_| 1, 0.0);
    let cold = simulation.room().vms.remove(0);
    let mut vms = vec![cold.clone(); 19];
    vms.push(VmRoom { labels: vec![hot.clone()], ..cold });
    let (room, backlog) = (Room { vms }, Backlog::default());
    let is_refused = |label: Option<Label>| {
        let mut job = simulation.jobs[0].job.clone();
        job.steps.iter_mut().for_each(|step| step.label = label.clone());
        let demand = Demand::new(&job, &simulation.times);
        let done = demand.estimate(&room, &backlog, 2, &[]).expect("there is room");
        is_of_no_use(done.soonest, demand.target(HUGE.target))
    };
    assert!(is_refused(Some(hot)) && !is_refused(None));
}

// Guards against the refusal of all jobs of a queue whose configuration names no target.
#[test]
fn jobs_without_a_target_are_of_use() {
    let simulation = Simulation::new(1, &[HUGE], |_| 5, 0.0);
    let demand = Demand::new(&simulation.jobs[0].job, &simulation.times);
    let target = demand.target(Target { stretch: 0.0, latency: Duration::ZERO });
    let done = demand.estimate(&simulation.room(), &Backlog::default(), 2, &[]);
    assert!(!is_of_no_use(done.expect("there is room").soonest, target));
}

/// The early wait of an urgent job of two large tasks behind many small tasks of 0.64 s.
fn wait_behind_small_tasks(tasks: u32, vms: Vec<VmRoom>, others: &[&Summary]) -> f64 {
    let simulation =
        Simulation::new(1, &[Stream { tasks: 2, rate: |_| 1.0, ..URGENT }], |_| 1, 0.0);
    let demand = Demand::new(&simulation.jobs[0].job, &simulation.times);
    let time = Range { early: 0.6, likely: 0.64, late: 0.7 };
    let outlook = Outlook {
        spent: Duration::ZERO,
        target: Duration::from_secs(9),
        left: Duration::ZERO,
        work: 0.1,
    };
    let ahead = WaitingStep {
        queue: QueueName::new("small"),
        service: ServiceName::new("shop"),
        priority: 0,
        share: Share::Reserved,
        size: Resources::new(2000, 1000, 0),
        outlook,
        time,
        ready: tasks,
        open: f64::from(tasks),
    };
    let backlog = Backlog { steps: vec![ahead] };
    let own = demand.estimate(&Room { vms: vms.clone() }, &Backlog::default(), 1, others);
    let done = demand.estimate(&Room { vms }, &backlog, 1, others);
    done.expect("there is room").soonest.early - own.expect("there is room").soonest.early
}

// Guards against a wait for the room of the VMs alone that are large enough for the job's own tasks,
// while the smaller tasks ahead also run on all other VMs.
#[test]
fn work_ahead_also_runs_on_small_vms() {
    let simulation = Simulation::new(1, &[URGENT], |_| 1, 0.0);
    let large = simulation.room().vms.remove(0);
    let size = Resources::new(4000, 16_000, 0);
    let most = Capacity { milli_cores: 4000.0, leftover: 4000.0, mib: 16_000.0 };
    let small = VmRoom { most, largest: size, usual: most, ..large.clone() };
    let mut vms = vec![small; 100];
    vms.push(large);
    let wait = wait_behind_small_tasks(400, vms, &[]);
    assert!(wait < 2.0, "{wait} s");
}

// Guards against a wait for the waiting work of another shard, which may be of a lower priority and
// run there, while this shard would be done with its own work earlier.
#[test]
fn waiting_work_of_another_shard_does_not_lengthen_the_wait() {
    let simulation = Simulation::new(1, &[URGENT], |_| 1, 0.0);
    let vms = simulation.room().vms;
    let other =
        Summary { vms: 1, capacity: 64_000, waiting_work: 64_000 * 600_000, ..Summary::default() };
    let alone = wait_behind_small_tasks(40, vms.clone(), &[]);
    let wait = wait_behind_small_tasks(40, vms, &[&other]);
    assert!(wait <= alone + 0.001, "{wait} s, {alone} s alone");
}
