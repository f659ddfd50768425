//! Random work and disturbances, and checks of all rules that the stand-ins can see.

use crate::rig::{HOST, Rig, sleep};
use crate::runner::{Advice, Event, State};
use rustix::process::Signal;
use serde_json::{Value, json};
use std::collections::{HashMap, HashSet};
use std::path::Path;

struct Random(u64);

impl Random {
    fn next(&mut self) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0 >> 11
    }
    fn below(&mut self, n: u64) -> u64 {
        self.next() % n.max(1)
    }
    fn range(&mut self, a: u64, b: u64) -> u64 {
        a + self.below(b - a + 1)
    }
}

fn queue(name: &str, version: u64) -> Value {
    let mut queue = json!({
        "name": name, "host": HOST, "prefix": format!("/{name}/"), "service": "shop",
        "type": "non_idempotent", "timeout_ms": 3000 + version % 7, "target_latency_ms": 250, "priority": 0,
        "attempts": 3, "stretch": 20.0,
    });
    if name == "adv" {
        queue["advice"] = json!({ "decide_ms": 40, "per_item_ms": 4, "valid_ms": 3000 });
    }
    queue
}

fn unix_ms() -> u64 {
    std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap().as_millis() as u64
}

fn job(random: &mut Random) -> (&'static str, Value) {
    if std::env::var("GANGADV").is_ok() {
        let ms = random.range(300, 1500);
        let spec = format!("ms={ms} fails=0");
        let gang = random.below(3) > 0;
        let cpu = if gang { random.range(6000, 14000) } else { random.range(8000, 24000) };
        let count = if gang { random.range(3, 7) } else { random.range(1, 6) };
        let mut one = json!({ "count": count, "cpu": cpu, "mem_mb": 500, "est_ms": ms });
        one["gang"] = json!(gang);
        let queue = if gang || random.below(2) == 0 { "adv" } else { "a" };
        return (queue, json!({ "spec": spec, "steps": [one] }));
    }
    let kind = random.below(100);
    let ms = random.range(200, 2500);
    let fails = if random.below(5) == 0 { random.range(1, 2) } else { 0 };
    let spec = format!("ms={ms} fails={fails}");
    let cpu = random.range(500, 8000);
    let step = |count: u64| json!({ "count": count, "cpu": cpu, "mem_mb": 500, "est_ms": ms });
    if kind < 30 {
        let mut steps = vec![step(random.range(1, 6))];
        for at in 0..random.below(3) {
            let mut next = step(random.range(1, 6));
            next["after"] = json!([at]);
            next["checkpoint"] = json!(random.below(2) == 0);
            steps.push(next);
        }
        let queue = if random.below(3) == 0 { "adv" } else { "a" };
        (queue, json!({ "spec": spec, "steps": steps }))
    } else if kind < 60 {
        let mut gang = step(random.range(2, 6));
        gang["gang"] = json!(true);
        gang["checkpoint"] = json!(random.below(2) == 0);
        if random.below(3) == 0 {
            gang["anti_affinity"] = json!(1);
        }
        let mut steps = vec![gang.clone()];
        if random.below(2) == 0 {
            gang["after"] = json!([0]);
            steps.push(gang);
        }
        let queue = if random.below(3) == 0 { "adv" } else { "a" };
        (queue, json!({ "spec": spec, "steps": steps }))
    } else if kind < 75 {
        let times = random.range(2, 5);
        let start = unix_ms() + random.range(500, 4000);
        let mut one = step(random.range(1, 4));
        one["gang"] = json!(random.below(3) == 0);
        (
            "a",
            json!({ "spec": spec, "steps": [one], "times": times, "start_at_ms": start,
            "interval_ms": random.range(500, 3000) }),
        )
    } else if kind < 85 {
        let mut one = step(random.range(1, 5));
        one["speculative"] = json!(true);
        ("a", json!({ "spec": spec, "steps": [one] }))
    } else if kind < 95 {
        let mut one = step(random.range(2, 5));
        one["anti_affinity"] = json!(random.range(1, 2));
        ("a", json!({ "spec": spec, "steps": [one] }))
    } else {
        let mut one = step(4);
        one["long_running"] = json!(true);
        one["may_miss"] = json!(1);
        one["cpu"] = json!(3000);
        one.as_object_mut().unwrap().remove("est_ms");
        ("a", json!({ "spec": "ms=0", "steps": [one] }))
    }
}

pub fn soak(dir: &Path, trouble: bool) -> Option<bool> {
    let get =
        |name: &str, or: u64| std::env::var(name).ok().and_then(|v| v.parse().ok()).unwrap_or(or);
    let seed = get("SEED", 1);
    let modes =
        std::env::var("MODES").unwrap_or("kill term stop crash drain store config wave".to_owned());
    let modes: Vec<&str> = if trouble { modes.split(' ').collect() } else { vec![] };
    let mut random = Random(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1);
    for _ in 0..10 {
        random.next();
    }
    let zones = ["z1", "z2", "z3"];
    let mut rig = Rig::new(dir, &zones);
    for zone in zones {
        for number in 0..7 {
            rig.add_runner(
                &format!("m-{zone}-{number}"),
                zone,
                &format!("r-{zone}-{}", number / 4),
                "shop",
                32_000,
            );
        }
        (1..=2).for_each(|number| rig.add_daemon(zone, number));
    }
    rig.world.lock().unwrap().advice = Some(Advice::new(40, 4, 3000, 2));
    rig.world.lock().unwrap().guards = seed % 2 == 0;
    let mut version = 3;
    rig.configure(version, &[queue("a", version), queue("adv", version)], &["shop"]);
    if !rig.wait_ready() {
        return None;
    }
    let began = rig.now();
    let length = get("LENGTH", 55_000);
    let (mut next_job, mut next_trouble, mut next_check) = (began, began + 3000, began);
    let mut accepted: Vec<(String, String)> = Vec::new();
    let mut long: Vec<(String, String)> = Vec::new();
    let mut cancelled: HashMap<String, u64> = HashMap::new();
    let mut restarts: Vec<(u64, usize, &str)> = Vec::new();
    let mut store_back = None;
    let mut quiet: Vec<(u64, &str)> = Vec::new();
    let mut wave = 0;
    let mut refused = 0;
    while rig.now() < began + length {
        let now = rig.now();
        if now >= next_check {
            next_check = now + 1000;
            rig.check_rotation();
        }
        if now >= next_job {
            next_job = now + random.range(60, 240);
            let (queue, mut job) = job(&mut random);
            let id = format!("{:016x}", random.next() | 1 << 50);
            let prefix = format!("/{queue}/");
            job["advised"] = json!(queue == "adv");
            let is_long = job["steps"][0]["long_running"] == true;
            if is_long && long.len() >= 4 {
                continue;
            }
            if rig.submit(&prefix, &id, &job) {
                accepted.push((prefix.clone(), id.clone()));
                if is_long {
                    long.push((prefix, id));
                } else if random.below(12) == 0 {
                    let (status, _) = rig.request("DELETE", &format!("{prefix}{id}"), "");
                    if status == 200 {
                        cancelled.insert(id.clone(), rig.now());
                    }
                }
            } else {
                refused += 1;
            }
        }
        while let Some(at) = restarts.iter().position(|(at, ..)| now >= *at) {
            let (_, index, what) = restarts.remove(at);
            match what {
                "continue" => rig.signal(index, Signal::CONT),
                "started" => {
                    rig.kill_daemon(index);
                    rig.start_daemon(index);
                }
                _ => {}
            }
        }
        quiet.retain(|(at, what)| {
            if now < *at {
                return true;
            }
            match *what {
                "lost" => rig.world.lock().unwrap().lost = 0,
                "late" => rig.world.lock().unwrap().late = 0,
                _ => rig.store.set_lossy(0, 0),
            }
            false
        });
        if store_back.is_some_and(|at| now >= at) {
            store_back = None;
            rig.store.set_refusing(false);
            rig.note("store", "back");
        }
        if now >= next_trouble && !modes.is_empty() && now + 6000 < began + length {
            next_trouble = now + random.range(800, 5000);
            let busy: Vec<usize> = restarts.iter().map(|(_, index, _)| *index).collect();
            let index = random.below(6) as usize;
            match modes[random.below(modes.len() as u64) as usize] {
                "kill" if !busy.contains(&index) => {
                    rig.kill_daemon(index);
                    restarts.push((now + random.range(300, 3000), index, "started"));
                }
                "term" if !busy.contains(&index) => {
                    rig.signal(index, Signal::TERM);
                    restarts.push((now + 6000, index, "started"));
                }
                "stop" if !busy.contains(&index) => {
                    rig.signal(index, Signal::STOP);
                    restarts.push((now + random.range(500, 4000), index, "continue"));
                }
                "crash" => {
                    let mut world = rig.world.lock().unwrap();
                    let up: Vec<usize> = (0..world.runners.len())
                        .filter(|i| world.runners[*i].state == State::Up)
                        .collect();
                    if up.len() > 15 {
                        let index = up[random.below(up.len() as u64) as usize];
                        world.end_runner(index, false);
                        let runner = &world.runners[index];
                        let (m, z, r, a) = (
                            runner.machine.clone(),
                            runner.zone.clone(),
                            runner.rack.clone(),
                            runner.addr.clone(),
                        );
                        if random.below(2) == 0 {
                            world.add_runner(&m, &z, &r, "shop", &a, 32_000);
                        }
                    }
                }
                "drain" => {
                    let mut world = rig.world.lock().unwrap();
                    let up: Vec<usize> = (0..world.runners.len())
                        .filter(|i| world.runners[*i].state == State::Up)
                        .collect();
                    if up.len() > 15 {
                        let index = up[random.below(up.len() as u64) as usize];
                        world.drain(index, 2000 + random.below(3000));
                    }
                }
                "store" => {
                    rig.store.set_refusing(true);
                    rig.note("store", "refuses");
                    store_back = Some(now + random.range(500, 4500));
                }
                "lost" => {
                    rig.world.lock().unwrap().lost = 16;
                    rig.note("store", "answers of runners are lost");
                    quiet.push((now + 5000, "lost"));
                }
                "late" => {
                    rig.world.lock().unwrap().late = get("LATE", 6);
                    rig.note("store", "orders are carried out late");
                    quiet.push((now + 5500, "late"));
                }
                "slost" => {
                    rig.store.set_lossy(18, 17);
                    rig.note("store", "writes are not answered");
                    quiet.push((now + 4500, "slost"));
                }
                "config" => {
                    version += random.range(1, 5);
                    rig.configure(
                        version,
                        &[queue("a", version), queue("adv", version)],
                        &["shop"],
                    );
                }
                "wave"
                    if wave == 0
                        || rig
                            .store
                            .get(&format!("status/wave/{wave}"))
                            .is_some_and(|s| s["state"] == "done") =>
                {
                    wave += 1;
                    let machines: Vec<String> = {
                        let world = rig.world.lock().unwrap();
                        let up = world.runners.iter().filter(|runner| runner.state == State::Up);
                        let names: HashSet<String> =
                            up.map(|runner| runner.machine.clone()).collect();
                        let mut names: Vec<String> = names.into_iter().collect();
                        names.sort();
                        let from = random.below(names.len() as u64) as usize;
                        (0..6)
                            .map(|n| names[(from + n * 3) % names.len()].clone())
                            .collect::<HashSet<_>>()
                            .into_iter()
                            .collect()
                    };
                    let order = json!({ "wave": wave, "machines": machines, "deadline_s": 20, "max_count": 2 });
                    rig.store.put(&format!("op/wave/{wave}"), &order);
                    rig.note("wave", &order.to_string());
                }
                _ => {}
            }
        }
        sleep(10);
    }
    rig.world.lock().unwrap().lost = 0;
    rig.world.lock().unwrap().late = 0;
    rig.store.set_lossy(0, 0);
    if store_back.is_some() {
        rig.store.set_refusing(false);
        rig.note("store", "back");
    }
    for (_, index, what) in restarts {
        match what {
            "continue" => rig.signal(index, Signal::CONT),
            _ => {
                rig.kill_daemon(index);
                rig.start_daemon(index);
            }
        }
    }
    rig.note("calm", "");
    for (prefix, id) in &long {
        rig.check_rotation();
        rig.request("DELETE", &format!("{prefix}{id}"), "");
    }
    let mut bad: Vec<String> = Vec::new();
    let end = rig.now() + 17_000;
    let mut open: Vec<(String, String)> = accepted.clone();
    while rig.now() < end && !open.is_empty() {
        rig.check_rotation();
        open.retain(|(prefix, id)| {
            !matches!(rig.state(prefix, id).as_str(), "done" | "failed" | "canceled")
        });
        sleep(500);
    }
    let states: HashMap<String, String> =
        open.iter().map(|(p, id)| (id.clone(), rig.state(p, id))).collect();
    bad.extend(states.iter().map(|(id, state)| format!("LOST {id} is {state} 17 s after the end")));
    for index in 0..rig.daemons.len() {
        if rig.has_ended(index) {
            bad.push(format!("daemon {index} ended by itself"));
        }
    }
    let world = rig.world.lock().unwrap();
    bad.extend(check(&world.events, &world.jobs, &cancelled));
    println!("{} jobs accepted, {refused} refused, {} events", accepted.len(), world.events.len());
    bad.sort();
    bad.dedup();
    bad.iter().take(30).for_each(|bad| println!("{bad}"));
    Some(bad.is_empty())
}

fn split(task: &str) -> (String, u64, usize, String) {
    let parts: Vec<&str> = task.split('.').collect();
    let step = parts[..3].join(".");
    (parts[0].to_owned(), parts[1].parse().unwrap(), parts[2].parse().unwrap(), step)
}

pub fn check(
    events: &[Event],
    jobs: &HashMap<String, Value>,
    cancelled: &HashMap<String, u64>,
) -> Vec<String> {
    let mut bad = Vec::new();
    let mut running: HashMap<(String, String), (u64, u64)> = HashMap::new();
    let mut done: HashMap<String, (u64, String, u64)> = HashMap::new();
    let mut noted_failed: HashMap<String, HashSet<u64>> = HashMap::new();
    let mut saved: HashMap<String, HashSet<String>> = HashMap::new();
    let mut gang_from: HashMap<(String, u64), String> = HashMap::new();
    let unix0 = unix_ms() - events.last().map_or(0, |event| event.at);
    let noted: HashSet<(String, String, u64)> = events
        .iter()
        .filter(|e| e.kind == "noted")
        .map(|e| (e.runner.clone(), e.task.clone(), e.run))
        .collect();
    let lapsed: Vec<(u64, String)> = events
        .iter()
        .filter(|e| e.kind == "end" && e.detail.starts_with("lapsed"))
        .map(|e| (e.at, e.runner.clone()))
        .collect();
    let trouble = ["daemon-kill", "daemon-start", "signal", "gone", "draining", "store", "upkeep"];
    for event in events {
        let at = event.at;
        match event.kind {
            "start" => {
                let (id, k, step, step_name) = split(&event.task);
                let job = &jobs[&id];
                let spec = &job["steps"][step];
                let is_gang = spec["gang"] == true;
                let is_copied = spec["speculative"] == true;
                let is_long = spec["long_running"] == true;
                let others = running
                    .iter()
                    .filter(|((task, runner), _)| *task == event.task && *runner != event.runner);
                if !is_copied && others.count() > 0 {
                    bad.push(format!(
                        "TWICE {} {} starts at {at} while it runs",
                        event.task, event.run
                    ));
                }
                if let Some((ended, runner, run)) = done.get(&event.task) {
                    let excused = lapsed.iter().any(|(l, r)| r == runner && *l >= *ended);
                    if !is_copied
                        && !is_long
                        && !excused
                        && noted.contains(&(runner.clone(), event.task.clone(), *run))
                    {
                        bad.push(format!(
                            "TWICE {} {} starts at {at}, done at {ended}",
                            event.task, event.run
                        ));
                    }
                }
                for after in spec["after"].as_array().into_iter().flatten() {
                    let before = after.as_u64().unwrap() as usize;
                    let count = job["steps"][before]["count"].as_u64().unwrap();
                    let is_gang = job["steps"][before]["gang"] == true;
                    let is_done = |n| done.contains_key(&format!("{id}.{k}.{before}.{n}"));
                    let all =
                        if is_gang { (0..count).any(is_done) } else { (0..count).all(is_done) };
                    if !all {
                        bad.push(format!(
                            "ORDER {} starts at {at} before step {before}",
                            event.task
                        ));
                    }
                }
                if let (Some(start), Some(interval)) =
                    (job["start_at_ms"].as_u64(), job["interval_ms"].as_u64())
                {
                    let due = start + k * interval;
                    if unix0 + at + 250 < due {
                        bad.push(format!(
                            "ORDER {} starts {} ms early",
                            event.task,
                            due - unix0 - at
                        ));
                    }
                }
                let key = if is_gang { step_name.clone() } else { event.task.clone() };
                if !is_long && noted_failed.get(&key).is_some_and(|runs| runs.len() >= 3) {
                    bad.push(format!("BUDGET {} {} starts at {at}", event.task, event.run));
                }
                if event.detail.contains("OVER") {
                    bad.push(format!("LIMIT {} on {} at {at}", event.task, event.runner));
                }
                if let Some(most) = spec["anti_affinity"].as_u64().filter(|most| *most > 0) {
                    let here = running.keys().filter(|(task, runner)| {
                        *runner == event.runner && *task != event.task && split(task).3 == step_name
                    });
                    if here.count() as u64 >= most {
                        bad.push(format!("ROUTE {} on {} at {at}", event.task, event.runner));
                    }
                }
                if cancelled.get(&id).is_some_and(|c| at > c + 3000) {
                    bad.push(format!("UNASKED {} starts at {at} after its cancelling", event.task));
                }
                let spec = event.detail.split('[').nth(1).and_then(|rest| rest.split(']').next());
                if spec != job["spec"].as_str() {
                    bad.push(format!("UNASKED {} has another spec", event.task));
                }
                let from = event
                    .detail
                    .split(" from ")
                    .nth(1)
                    .and_then(|rest| rest.split(' ').next())
                    .unwrap_or("-");
                let is_listed = from
                    .strip_prefix('c')
                    .and_then(|v| v.parse::<u64>().ok())
                    .is_some_and(|v| v % 2000 == 0);
                if from != "-"
                    && !is_listed
                    && !saved.get(&key).is_some_and(|known| known.contains(from))
                {
                    bad.push(format!(
                        "UNASKED {} {} at {at} from {from}, never saved",
                        event.task, event.run
                    ));
                }
                if is_gang {
                    let first =
                        gang_from.entry((step_name.clone(), event.run)).or_insert(from.to_owned());
                    if first != from {
                        bad.push(format!(
                            "UNASKED {} {} at {at} from {from}, another from {first}",
                            event.task, event.run
                        ));
                    }
                }
                running.insert((event.task.clone(), event.runner.clone()), (event.run, at));
            }
            "end" | "lost" => {
                running.remove(&(event.task.clone(), event.runner.clone()));
                let (id, _, step, step_name) = split(&event.task);
                if event.kind == "lost" {
                    continue;
                }
                let spec = &jobs[&id]["steps"][step];
                let key = if spec["gang"] == true { step_name } else { event.task.clone() };
                let (how, value) = event.detail.split_once(' ').unwrap_or((&event.detail, ""));
                if how == "done" {
                    done.entry(event.task.clone()).or_insert((at, event.runner.clone(), event.run));
                }
                if how == "alone" && !cancelled.get(&id).is_some_and(|c| at > *c) {
                    let near = events
                        .iter()
                        .find(|e| trouble.contains(&e.kind) && e.at + 7000 >= at && e.at <= at);
                    if near.is_none() {
                        bad.push(format!("GANG {} {} alone at {at}", event.task, event.run));
                    } else if std::env::var("ALONE").is_ok() {
                        println!(
                            "{} {} alone at {at}, near {:?}",
                            event.task,
                            event.run,
                            near.map(|e| (e.kind, e.at))
                        );
                    }
                }
                if !value.is_empty() {
                    saved.entry(key.clone()).or_default().insert(value.to_owned());
                }
                // Values that were only listed are multiples of the checkpoint's work.
                for n in 1..40 {
                    saved.entry(key.clone()).or_default().insert(format!("c{}", n * 2000));
                }
            }
            "noted" if event.detail == "failed" => {
                let (id, _, step, step_name) = split(&event.task);
                let is_gang = jobs[&id]["steps"][step]["gang"] == true;
                let key = if is_gang { step_name } else { event.task.clone() };
                noted_failed.entry(key).or_default().insert(event.run);
            }
            _ => {}
        }
    }
    bad.extend(check_waves(events, jobs));
    bad
}

fn check_waves(events: &[Event], jobs: &HashMap<String, Value>) -> Vec<String> {
    let mut bad = Vec::new();
    for event in events.iter().filter(|e| e.kind == "upkeep") {
        let down: u64 = event
            .detail
            .split("before ")
            .nth(1)
            .and_then(|r| r.split(' ').next()?.parse().ok())
            .unwrap_or(0);
        if down >= 2 {
            bad.push(format!("LIMIT upkeep of {} at {} with {down} down", event.runner, event.at));
        }
    }
    // AVAIL: a task at work is ended by a stop while others of its step are away.
    let mut at_work: HashMap<String, (u64, String)> = HashMap::new();
    let mut away: HashMap<String, (u64, bool)> = HashMap::new();
    let mut draining: HashSet<String> = HashSet::new();
    let mut by_upkeep: HashMap<String, u64> = HashMap::new();
    for event in events {
        if event.kind == "draining" {
            draining.insert(event.runner.clone());
        }
        if event.kind == "upkeep" {
            let ends = event.detail.split("ends ").nth(1).unwrap_or_default();
            ends.split(',').filter(|t| !t.is_empty()).for_each(|t| {
                by_upkeep.insert(t.to_owned(), event.at);
            });
        }
        if event.task.is_empty() || !matches!(event.kind, "start" | "stop" | "end" | "lost") {
            continue;
        }
        let (id, k, step, _) = split(&event.task);
        let spec = &jobs[&id]["steps"][step];
        let Some(most) = spec["may_miss"].as_u64() else { continue };
        match event.kind {
            "start" => {
                at_work.insert(event.task.clone(), (event.at, event.runner.clone()));
                away.remove(&event.task);
            }
            "stop" | "lost" | "end" => {
                let upkeep = event.kind == "lost"
                    && by_upkeep.get(&event.task).is_some_and(|at| *at + 50 >= event.at);
                let ordered = event.kind == "stop" || upkeep;
                let Some((since, runner)) = at_work.remove(&event.task) else { continue };
                if runner != event.runner {
                    at_work.insert(event.task.clone(), (since, runner));
                    continue;
                }
                away.insert(event.task.clone(), (event.at, ordered));
                if !ordered || draining.contains(&event.runner) || event.at < since + 300 {
                    continue;
                }
                if events.iter().any(|e| {
                    e.kind == "ask"
                        && e.at <= event.at
                        && e.detail.starts_with(&format!("DELETE /a/{id}"))
                }) {
                    continue;
                }
                let count = spec["count"].as_u64().unwrap();
                let others =
                    (0..count).map(|n| format!("{id}.{k}.{step}.{n}")).filter(|t| *t != event.task);
                let missing = others.filter(|t| match (at_work.get(t), away.get(t)) {
                    (Some((since, _)), _) => event.at < since + 300,
                    (None, Some((at, ordered))) => *ordered || *at + 4500 <= event.at,
                    (None, None) => false,
                });
                let missing = missing.count() as u64;
                if missing >= most {
                    bad.push(format!(
                        "AVAIL {} ended at {} with {missing} away",
                        event.task, event.at
                    ));
                }
            }
            _ => {}
        }
    }
    bad
}
