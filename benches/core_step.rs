//! Cost of a core step as the number of running tasks grows.
//!
//! A writer with 1,000 to 130,000 running tasks processes tasks from submission to end, with 1,000
//! VMs held by another daemon. A holder of seven VMs with ten tasks each processes ticks and the
//! responses to renewals. The cost of a step must not grow with the number of running tasks.

#[allow(dead_code)] // the rest is used by the tests
#[path = "../tests/common/mod.rs"]
mod common;

use common::solo::{Solo, tenant};
use common::{DOMAIN, Kind, PARTITION, daemon, ms, spec};
use std::time::Duration;
use waxwingstall::clock::{Clock, SystemClock};
use waxwingstall::core::event::CommitResult;
use waxwingstall::core::{Action, Event};
use waxwingstall::ids::{Attempt, BootId, DomainId, IdempotencyKey, RackId, TaskId, VmId};
use waxwingstall::peer::{PeerMsg, VmHealth, VmView};
use waxwingstall::task::{Change, Outcome, TaskState};
use waxwingstall::units::Resources;
use waxwingstall::worker::Tenant;

const HOLDER: &str = "holder";
const VMS: u64 = 1_000;
const SUBMISSIONS: u64 = 2_000;
const TICKS: u32 = 2_000;
const HELD: [&str; 7] = ["w0", "w1", "w2", "w3", "w4", "w5", "w6"];

fn view(number: u64) -> VmView {
    VmView {
        vm: VmId::new(&format!("v{number}")),
        holder: daemon(HOLDER),
        domain: DomainId::new(DOMAIN),
        rack: RackId::new(&format!("r{}", number / 8)),
        size: Resources::new(400_000, 800_000, 0),
        free: Resources::new(200_000, 400_000, 0),
        classes: Vec::new(),
        health: VmHealth::Open,
    }
}

fn running(number: u64) -> TaskState {
    let key = IdempotencyKey::new(&format!("old-{number}"));
    let mut state =
        TaskState::new(TaskId::new(PARTITION, number), key, spec(Kind::Narration, ms(60_000)));
    let vm = VmId::new(&format!("v{}", number % VMS));
    state.apply(&Change::Bound { vm, boot: BootId(1), attempt: Attempt(1) });
    state
}

/// Creates a writer with `tasks` running tasks.
fn writer(tasks: u64) -> Solo {
    let mut solo = Solo::new(&[]);
    let members = [common::solo::ME, HOLDER].map(common::solo::member).to_vec();
    solo.tell(Event::Members(members));
    solo.wait(ms(600));
    solo.recover((0..tasks).map(running).collect());
    solo.receive(HOLDER, PeerMsg::Views { views: (0..VMS).map(view).collect() });
    for number in 0..tasks {
        let vm = VmId::new(&format!("v{}", number % VMS));
        let task = TaskId::new(PARTITION, number);
        solo.receive(HOLDER, PeerMsg::Started { vm, task, attempt: Attempt(1) });
    }
    solo.take();
    solo
}

/// Counters of a measurement.
#[derive(Default)]
struct Progress {
    steps: u64,
    ended: u64,
}

/// Responds to the core's actions until it requests nothing more.
fn respond_to_all(solo: &mut Solo, progress: &mut Progress) {
    loop {
        let actions = solo.take();
        let mut responded = false;
        for action in actions {
            let acknowledged = matches!(action, Action::Send { msg: PeerMsg::EndedAck { .. }, .. });
            progress.ended += u64::from(acknowledged);
            let Some(event) = response_to(action) else { continue };
            solo.tell(event);
            progress.steps += 1;
            responded = true;
        }
        if !responded {
            return;
        }
    }
}

fn response_to(action: Action) -> Option<Event> {
    let msg = match action {
        Action::Commit { ticket, .. } => {
            return Some(Event::Committed { ticket, result: CommitResult::Durable });
        }
        Action::Send { msg: PeerMsg::Reserve { vm, task, attempt, .. }, .. } => {
            PeerMsg::Reserved { vm, boot: BootId(1), task, attempt }
        }
        Action::Send { msg: PeerMsg::Start { vm, task, attempt, .. }, .. } => {
            PeerMsg::Ended { vm, task, attempt, outcome: Outcome::Succeeded }
        }
        _ => return None,
    };
    Some(Event::Peer { from: daemon(HOLDER), msg })
}

fn micros(time: Duration, count: u64) -> f64 {
    time.as_secs_f64() * 1e6 / count as f64
}

/// Sends the holder's views, as at each renewal, and ticks the core for two seconds.
fn advance_two_seconds(solo: &mut Solo, progress: &mut Progress) {
    solo.receive(HOLDER, PeerMsg::Views { views: (0..VMS).map(view).collect() });
    for _ in 0..20 {
        solo.wait(ms(100));
        progress.steps += 1;
        respond_to_all(solo, progress);
    }
}

fn measure_writer(tasks: u64, clock: &SystemClock) -> [f64; 3] {
    let mut solo = writer(tasks);
    let begin = clock.now();
    for _ in 0..TICKS {
        solo.wait(ms(1));
    }
    let tick = micros(clock.now() - begin, u64::from(TICKS));
    solo.take();
    let begin = clock.now();
    let mut progress = Progress::default();
    for number in 0..SUBMISSIONS {
        solo.submit(tasks + number, spec(Kind::Narration, ms(1_000)));
        if number % 100 == 99 {
            advance_two_seconds(&mut solo, &mut progress);
        }
    }
    while progress.ended < SUBMISSIONS {
        advance_two_seconds(&mut solo, &mut progress);
    }
    let whole = micros(clock.now() - begin, SUBMISSIONS);
    [tick, whole, micros(clock.now() - begin, progress.steps + SUBMISSIONS)]
}

fn measure_holder(clock: &SystemClock) -> [f64; 2] {
    let mut solo = Solo::new(&HELD);
    let spec = spec(Kind::Narration, ms(60_000));
    let tasks = |vm: u64| -> Vec<Tenant> {
        (0..10).map(|n| tenant(TaskId::new(PARTITION, vm * 10 + n), 1, &spec)).collect()
    };
    for (number, vm) in HELD.iter().enumerate() {
        solo.grant(vm, 1, tasks(number as u64));
    }
    let rounds = 1_000;
    let begin = clock.now();
    for _ in 0..rounds {
        let sent = solo.now;
        for (number, vm) in HELD.iter().enumerate() {
            solo.synced(vm, sent, tasks(number as u64), Vec::new());
        }
        solo.take();
        solo.now += ms(10);
    }
    let sync = micros(clock.now() - begin, rounds * HELD.len() as u64);
    let begin = clock.now();
    for _ in 0..TICKS {
        solo.wait(ms(1));
        solo.take();
    }
    [sync, micros(clock.now() - begin, u64::from(TICKS))]
}

fn main() {
    let clock = SystemClock;
    println!("writer among {VMS} VMs, {SUBMISSIONS} tasks from submission to end");
    println!("| running tasks | µs a tick | µs a task | µs a step | ticks to 1,000 tasks' |");
    println!("|---|---|---|---|---|");
    let mut first = None;
    for tasks in [1_000, 2_300, 10_000, 130_000] {
        let [tick, whole, step] = measure_writer(tasks, &clock);
        let base = *first.get_or_insert(tick);
        println!("| {tasks} | {tick:.2} | {whole:.1} | {step:.2} | {:.2} |", tick / base);
    }
    let [sync, tick] = measure_holder(&clock);
    println!("holder of {} VMs with 10 tasks each", HELD.len());
    println!("| µs a renewal's answer | µs a tick |");
    println!("|---|---|");
    println!("| {sync:.2} | {tick:.2} |");
}
