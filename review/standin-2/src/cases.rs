//! The cases. Each returns whether its rule held; `None` if it couldn't run.

use crate::rig::{HOST, Rig, sleep};
use crate::runner::{State, World};
use serde_json::{Value, json};
use std::collections::HashSet;
use std::path::Path;

/// Time after the end of the traffic from which jobs are judged.
const FINISH_MS: u64 = 14_000;
/// Time without a run that breaks LOST.
const IDLE_MS: u64 = 3_000;

pub fn run(name: &str, dir: &Path, trouble: bool) -> Option<bool> {
    match name {
        "held" => held(dir, trouble),
        "gang" => gang(dir, trouble),
        "offers" => offers(dir, trouble),
        "failing" => failing(dir, trouble),
        "failing-all" => failing_all(dir, trouble),
        "route" => route(dir, trouble),
        "avail" => avail(dir, trouble),
        "soak" => crate::soak::soak(dir, trouble),
        _ => None,
    }
}

fn queue(name: &str, attempts: u32) -> Value {
    json!({
        "name": name, "host": HOST, "prefix": format!("/{name}/"), "service": "shop",
        "type": "non_idempotent", "timeout_ms": 3000, "target_latency_ms": 250, "priority": 0,
        "attempts": attempts, "stretch": 2.0,
    })
}

/// Runners of kind `a`, eight to a rack.
fn add_runners(rig: &mut Rig, zone: &str, count: usize) {
    for number in 0..count {
        let rack = format!("r-{zone}-{}", number / 8);
        rig.add_runner(&format!("m-{zone}-{number}"), zone, &rack, "shop", 32_000);
    }
}

/// Waits until so many tasks run.
fn wait_for_runs(rig: &Rig, count: usize) -> bool {
    (0..150).any(|_| {
        sleep(100);
        rig.world.lock().unwrap().running().len() == count
    })
}

/// Whether a job has nothing running, though there is room for its open tasks twice over and less than
/// half of the capacity is in use. A task of `per_runner` cores takes its runner's free processors.
fn is_idle(world: &World, id: &str, open: u64, cpu: u64) -> bool {
    let here = |task: &str| task.starts_with(id);
    let up = || world.runners.iter().filter(|runner| runner.state == State::Up);
    let runs = up().any(|runner| world.runs_on(runner).iter().any(|(task, _)| here(task)));
    let used = |runner| world.runs_on(runner).iter().map(|(_, cpu)| cpu).sum::<u64>();
    let room: u64 = up().map(|runner| runner.cpu.saturating_sub(used(runner)) / cpu).sum();
    let (all, in_use): (u64, u64) = (up().map(|runner| runner.cpu).sum(), up().map(used).sum());
    !runs && room >= 2 * open && 2 * in_use < all
}

/// Judges LOST for jobs of one step from `FINISH_MS` after the end of the traffic on: prints those that
/// have nothing running for `IDLE_MS`, and their states as shown. Returns whether there is none.
fn check_lost(rig: &mut Rig, prefix: &str, jobs: &[String], count: u64, cpu: u64) -> bool {
    rig.note("traffic", "ends");
    sleep(FINISH_MS);
    let ended = |world: &World, id: &str| {
        let done = |e: &crate::runner::Event| {
            e.kind == "noted" && e.detail == "done" && e.task.starts_with(id)
        };
        world
            .events
            .iter()
            .filter(|e| done(e))
            .map(|e| e.task.clone())
            .collect::<HashSet<_>>()
            .len() as u64
    };
    let mut idle: HashSet<String> = jobs.iter().cloned().collect();
    for _ in 0..IDLE_MS / 100 {
        sleep(100);
        let world = rig.world.lock().unwrap();
        idle.retain(|id| {
            let open = count.saturating_sub(ended(&world, id));
            open > 0 && is_idle(&world, id, open, cpu)
        });
    }
    let mut held = true;
    for id in jobs {
        let state = rig.state(prefix, id);
        let is_lost = idle.contains(id) && !matches!(state.as_str(), "done" | "canceled");
        held &= !is_lost;
        let lost = if is_lost { ": nothing of it ran for 3 s, with room for it" } else { "" };
        println!("job {id} is shown as {state}{lost}");
    }
    held
}

/// LOST: tasks that last and need a runner of a kind that is gone keep all other runners from jobs.
fn held(dir: &Path, trouble: bool) -> Option<bool> {
    let mut rig = Rig::new(dir, &["z1", "z2"]);
    add_runners(&mut rig, "z1", 7);
    rig.add_runner("m-z1-b", "z1", "b:r-z1-0", "shop", 32_000);
    add_runners(&mut rig, "z2", 8);
    for zone in ["z1", "z2"] {
        (1..=2).for_each(|number| rig.add_daemon(zone, number));
    }
    rig.configure(3, &[queue("checks", 3), queue("watches", 3)], &["shop"]);
    if !rig.wait_ready() {
        return None;
    }
    let lasting = 28;
    for number in 0..lasting {
        let job = json!({ "spec": "ms=0", "steps": [{ "count": 1, "cpu": 1000, "mem_mb": 500, "est_ms": 1000,
            "long_running": true, "constraints": "b", "image": format!("watch-{number}") }] });
        if !rig.submit("/watches/", &format!("00000000000001{number:02x}"), &job) {
            return None;
        }
    }
    if !wait_for_runs(&rig, lasting) {
        return None;
    }
    sleep(1000);
    if trouble {
        let mut world = rig.world.lock().unwrap();
        let b = world.runners.iter().position(|runner| runner.kind == "b")?;
        world.drain(b, 2500);
    }
    sleep(8000);
    let mut jobs = Vec::new();
    for number in 0..6 {
        let id = format!("00000000000002{number:02x}");
        let job = json!({ "spec": "ms=800", "steps": [
            { "count": 2, "cpu": 2000, "mem_mb": 500, "est_ms": 800 }] });
        if rig.submit("/checks/", &id, &job) {
            jobs.push(id);
        }
    }
    if jobs.is_empty() {
        return None;
    }
    Some(check_lost(&mut rig, "/checks/", &jobs, 2, 2000))
}

/// LOST: a gang that fits in one zone only, and a runner of that zone is taken away.
fn gang(dir: &Path, trouble: bool) -> Option<bool> {
    let zones = [("z1", 8), ("z2", 7), ("z3", 7)];
    let mut rig = Rig::new(dir, &["z1", "z2", "z3"]);
    for (zone, runners) in zones {
        add_runners(&mut rig, zone, runners);
        (1..=2).for_each(|number| rig.add_daemon(zone, number));
    }
    rig.configure(3, &[queue("plans", 3)], &["shop"]);
    if !rig.wait_ready() {
        return None;
    }
    let job = json!({ "spec": "ms=8000", "steps": [
        { "count": 8, "cpu": 20_000, "mem_mb": 1000, "est_ms": 8000, "gang": true, "checkpoint": true }] });
    let id = "00000000000000c1".to_owned();
    if !rig.submit("/plans/", &id, &job) || !wait_for_runs(&rig, 8) {
        return None;
    }
    sleep(2500);
    if trouble {
        rig.world.lock().unwrap().drain(0, 2500);
    }
    Some(check_lost(&mut rig, "/plans/", &[id], 8, 20_000))
}

/// LOST: tasks that wait for a runner of a kind that is gone keep other jobs from the zone that has room
/// for their next step.
fn offers(dir: &Path, trouble: bool) -> Option<bool> {
    let mut rig = Rig::new(dir, &["z1", "z2"]);
    for zone in ["z1", "z2"] {
        add_runners(&mut rig, zone, 8);
        rig.add_runner(&format!("m-{zone}-b"), zone, &format!("b:r-{zone}-0"), "shop", 32_000);
        (1..=2).for_each(|number| rig.add_daemon(zone, number));
    }
    let mut plans = queue("plans", 3);
    plans["priority"] = json!(2);
    rig.configure(3, &[queue("checks", 3), plans], &["shop"]);
    if !rig.wait_ready() {
        return None;
    }
    sleep(2000);
    for number in 0..12 {
        let job = json!({ "spec": "ms=1500", "steps": [
            { "count": 24, "cpu": 900, "mem_mb": 500, "est_ms": 1500, "constraints": "b" }] });
        if !rig.submit("/checks/", &format!("00000000000003{number:02x}"), &job) {
            return None;
        }
    }
    if trouble {
        let mut world = rig.world.lock().unwrap();
        for index in 0..world.runners.len() {
            if world.runners[index].kind == "b" {
                world.end_runner(index, false);
            }
        }
    }
    sleep(4000);
    let mut jobs = Vec::new();
    for number in 0..8 {
        let id = format!("00000000000002{number:02x}");
        let job = json!({ "spec": "ms=800", "steps": [
            { "count": 2, "cpu": 2000, "mem_mb": 500, "est_ms": 800, "constraints": "r-z1-0" },
            { "count": 2, "cpu": 2000, "mem_mb": 500, "est_ms": 800, "constraints": "r-z2-0", "after": [0] }] });
        if rig.submit("/plans/", &id, &job) {
            jobs.push(id);
        }
    }
    if jobs.is_empty() {
        return None;
    }
    Some(check_lost(&mut rig, "/plans/", &jobs, 4, 2000))
}

/// BUDGET: a route is removed while a job of it runs whose task always fails.
fn route(dir: &Path, trouble: bool) -> Option<bool> {
    let mut rig = Rig::new(dir, &["z1", "z2"]);
    for zone in ["z1", "z2"] {
        add_runners(&mut rig, zone, 4);
        (1..=2).for_each(|number| rig.add_daemon(zone, number));
    }
    rig.configure(3, &[queue("plans", 3), queue("checks", 3)], &["shop"]);
    if !rig.wait_ready() {
        return None;
    }
    let job = json!({ "spec": "ms=700 fails=1000000", "steps": [
        { "count": 1, "cpu": 2000, "mem_mb": 500, "est_ms": 700 }] });
    if !rig.submit("/plans/", "00000000000000b1", &job) {
        return None;
    }
    sleep(400);
    let mut routes = vec![queue("plans", 3), queue("checks", 3)];
    if trouble {
        routes.remove(0);
    }
    rig.configure(8, &routes, &["shop"]);
    sleep(20_000);
    let world = rig.world.lock().unwrap();
    let (mut failed, mut over, mut runs) = (0, 0, 0);
    for event in &world.events {
        match event.kind {
            "noted" if event.detail == "failed" => failed += 1,
            "start" => {
                runs += 1;
                over += u64::from(failed >= 3);
            }
            _ => {}
        }
    }
    println!("{runs} starts; {failed} ends `failed` taken note of; {over} starts after 3 of them");
    (runs >= 3).then_some(over == 0)
}

/// AVAIL: an upkeep wave while a runner is dark that had a task of a step with `may_miss`.
fn avail(dir: &Path, trouble: bool) -> Option<bool> {
    let mut rig = Rig::new(dir, &["z1"]);
    add_runners(&mut rig, "z1", 8);
    (1..=3).for_each(|number| rig.add_daemon("z1", number));
    rig.configure(3, &[queue("watches", 3)], &["shop"]);
    if !rig.wait_ready() {
        return None;
    }
    let job = json!({ "spec": "ms=0", "steps": [{ "count": 3, "cpu": 4000, "mem_mb": 500, "est_ms": 1000,
        "long_running": true, "may_miss": 1, "anti_affinity": 1, "image": "watch" }] });
    if !rig.submit("/watches/", "00000000000000d1", &job) || !wait_for_runs(&rig, 3) {
        return None;
    }
    sleep(3000);
    let running = rig.world.lock().unwrap().running();
    let (first, second) = (running[0].0.clone(), running[1].0.clone());
    if trouble {
        let mut world = rig.world.lock().unwrap();
        let index = world.runners.iter().position(|runner| runner.id == first)?;
        world.end_runner(index, false);
    }
    sleep(5500);
    let machine = {
        let world = rig.world.lock().unwrap();
        world.runners.iter().find(|runner| runner.id == second)?.machine.clone()
    };
    let wave = json!({ "wave": 1, "machines": [machine], "deadline_s": 20, "max_count": 1 });
    rig.store.put("op/wave/1", &wave);
    rig.note("wave", &wave.to_string());
    sleep(16_000);
    let world = rig.world.lock().unwrap();
    let bad = crate::soak::check(&world.events, &world.jobs, &Default::default());
    bad.iter().for_each(|bad| println!("{bad}"));
    let ended = world.events.iter().any(|e| e.kind == "stop" || e.kind == "upkeep");
    ended.then_some(!bad.iter().any(|bad| bad.starts_with("AVAIL")))
}

/// LOST: a job whose lasting tasks always fail keeps all others from the runners of its kind.
fn failing(dir: &Path, trouble: bool) -> Option<bool> {
    let mut rig = Rig::new(dir, &["z1", "z2"]);
    for zone in ["z1", "z2"] {
        add_runners(&mut rig, zone, 6);
        rig.add_runner(&format!("m-{zone}-b"), zone, &format!("b:r-{zone}-0"), "shop", 32_000);
        (1..=2).for_each(|number| rig.add_daemon(zone, number));
    }
    rig.configure(3, &[queue("checks", 4), queue("watches", 3)], &["shop"]);
    if !rig.wait_ready() {
        return None;
    }
    sleep(2000);
    for number in 0..20 {
        let fails = if trouble && number == 10 { 1_000_000 } else { 0 };
        let job = json!({ "spec": format!("ms=200 fails={fails}"), "steps": [
            { "count": 6, "cpu": 250, "mem_mb": 200, "est_ms": 500, "long_running": true, "image": "watch",
              "constraints": "b" }] });
        if !rig.submit("/watches/", &format!("00000000000001{number:02x}"), &job) {
            return None;
        }
    }
    sleep(8000);
    let mut jobs = Vec::new();
    for number in 0..30 {
        let id = format!("00000000000002{number:02x}");
        let job = json!({ "spec": "ms=800", "steps": [
            { "count": 2, "cpu": 1000, "mem_mb": 500, "est_ms": 800, "constraints": "b" }] });
        if rig.submit("/checks/", &id, &job) {
            jobs.push(id);
        }
        sleep(300);
    }
    if jobs.is_empty() {
        return None;
    }
    Some(check_lost(&mut rig, "/checks/", &jobs, 2, 1000))
}

/// The same with runners of one kind: LOST in mid-job, at calm times of the day.
fn failing_all(dir: &Path, trouble: bool) -> Option<bool> {
    let mut rig = Rig::new(dir, &["z1", "z2"]);
    for zone in ["z1", "z2"] {
        add_runners(&mut rig, zone, 6);
        (1..=2).for_each(|number| rig.add_daemon(zone, number));
    }
    rig.configure(3, &[queue("checks", 4), queue("watches", 3)], &["shop"]);
    if !rig.wait_ready() {
        return None;
    }
    sleep(2000);
    for number in 0..20 {
        let fails = if trouble && number == 10 { 1_000_000 } else { 0 };
        let job = json!({ "spec": format!("ms=200 fails={fails}"), "steps": [
            { "count": 12, "cpu": 500, "mem_mb": 500, "est_ms": 500, "long_running": true, "image": "watch" }] });
        if !rig.submit("/watches/", &format!("00000000000001{number:02x}"), &job) {
            return None;
        }
    }
    // Longer than `contact_ms` and the 4 s of the rule.
    sleep(8000);
    let (mut jobs, until) = (Vec::new(), rig.now() + 55_000);
    while rig.now() < until && jobs.len() < 40 {
        let id = format!("00000000000002{:02x}", jobs.len());
        let step = |after: &[u64]| json!({ "count": 2, "cpu": 1000, "mem_mb": 500, "est_ms": 300, "after": after });
        let job = json!({ "spec": "ms=300", "steps": [step(&[]), step(&[0]), step(&[1]), step(&[2]), step(&[3])] });
        if rig.submit("/checks/", &id, &job) {
            jobs.push((id, rig.now()));
        }
        sleep(1000);
    }
    sleep(10_000);
    let world = rig.world.lock().unwrap();
    let mut times = Vec::new();
    for (id, accepted) in &jobs {
        times.push(longest_without_run(&world, id, *accepted, 10));
    }
    println!("longest times without a run of {} jobs, in ms: {times:?}", jobs.len());
    Some(times.iter().all(|time| *time < IDLE_MS))
}

/// Longest time in which a job had nothing running from its acceptance to the end of its `tasks`.
fn longest_without_run(world: &World, id: &str, accepted: u64, tasks: u64) -> u64 {
    let (mut running, mut idle_from, mut longest, mut done) = (0, accepted, 0, 0);
    for event in world.events.iter().filter(|event| event.task.starts_with(id)) {
        match event.kind {
            "start" => {
                if running == 0 {
                    longest = longest.max(event.at.saturating_sub(idle_from));
                }
                running += 1;
            }
            "end" | "lost" => {
                running -= 1;
                idle_from = event.at;
                done += u64::from(event.detail.starts_with("done"));
            }
            _ => {}
        }
    }
    if done < tasks && running == 0 {
        longest = longest.max(world.now().saturating_sub(idle_from));
    }
    longest
}
