//! The cases. Each returns how the rule was broken; nothing if it held.

use crate::rig::{HEARTBEAT, HOST, Layout, Result, Rig, SERVICE, ZONES};
use crate::runner::{AT_WORK_AFTER, Seen};
use serde_json::{Value, json};
use std::path::Path;
use std::thread::sleep;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Prefix of the queue.
const PREFIX: &str = "/lohu930/";

/// Bounds of the deployment, as its settings tell them.
const CONTACT: Duration = Duration::from_millis(3000);
const LEASE: Duration = Duration::from_millis(3000);
const FINISH: Duration = Duration::from_secs(14);
const VISIBLE: Duration = Duration::from_millis(3000);
const GRACE: Duration = Duration::from_secs(6);

/// Time for which nothing of a job runs that breaks LOST.
const IDLE: Duration = Duration::from_secs(3);

/// The same for a task that lasts: from 6 s after its last run, for 3 s.
const IDLE_LASTING: Duration = Duration::from_secs(9);

/// Runs a case; gives it up after `timeout`.
pub fn run(
    case: &str,
    root: &Path,
    record: &Path,
    trouble: bool,
    timeout: Duration,
) -> Result<Vec<String>> {
    let case: fn(&mut Rig, bool) -> Result<Vec<String>> = match case {
        "crash" => crash,
        "estimate" => estimate,
        "schedule" => schedule,
        "silent" => silent,
        "upkeep" => upkeep,
        "pending" => pending,
        _ => return Err(format!("no case is called `{case}`")),
    };
    let layout = Layout {
        daemons_per_zone: 2,
        runners_per_zone: 4,
        cpu: 16_000,
        mem_mb: 62_500,
        max_hold_ms: 6000,
    };
    let mut rig = Rig::start(root, record, &layout, &config())?;
    rig.give_up_after(timeout);
    rig.note(if trouble { "with the disruption" } else { "without the disruption" });
    let broken = case(&mut rig, trouble)?;
    rig.note_runs();
    rig.note_ends();
    broken.iter().for_each(|line| rig.note(&format!("BROKEN: {line}")));
    Ok(broken)
}

fn config() -> Value {
    json!({
        "version": 3,
        "routes": [{
            "name": "plans", "host": HOST, "prefix": PREFIX, "service": SERVICE,
            "type": "non_idempotent", "timeout_ms": 3000, "target_latency_ms": 1000,
            "priority": 0, "attempts": 4, "stretch": 2.0,
        }],
        "services": [{ "name": SERVICE, "enforces_capacity": false, "spare": false }],
        "limits": { "max_body_bytes": 262_144 },
    })
}

fn path(id: u64) -> String {
    format!("{PREFIX}{id:016x}")
}

/// Waits until so many seconds after the start of the rig.
fn wait(rig: &Rig, until: f64) {
    let left = until - rig.at(Instant::now());
    if left > 0.0 {
        sleep(Duration::from_secs_f64(left));
    }
}

/// Hands in jobs that all have to be accepted, since nothing is disturbed yet.
fn submit_in_calm(rig: &Rig, ids: &[u64], body: impl Fn(u64) -> Value) -> Result<()> {
    for id in ids {
        if !rig.submit(&path(*id), &body(*id).to_string(), *id as usize) {
            return Err(format!("job {id:016x} was not accepted in calm"));
        }
    }
    Ok(())
}

fn runs_of(seen: &[Seen], id: u64) -> impl Iterator<Item = &Seen> {
    seen.iter().filter(move |run| run.task.starts_with(&format!("{id:016x}.")))
}

/// A job whose tasks last, at most one of which may be away.
fn lasting(id: u64, count: usize) -> Value {
    json!({ "spec": "work_ms=0", "steps": [{ "count": count, "cpu": 500, "mem_mb": 500, "est_ms": 500,
        "long_running": true, "anti_affinity": 1, "may_miss": MAY_MISS, "image": format!("image-{id}") }] })
}

const MAY_MISS: usize = 1;

/// A runner crashes right after two tasks of a step that lasts have started there.
fn crash(rig: &mut Rig, trouble: bool) -> Result<Vec<String>> {
    const WATCHER: u64 = 0xb0;
    const DOWN: Duration = Duration::from_millis(3500);
    // Long tasks that leave room on one runner of each zone only.
    let full: Vec<u64> = (0..9).map(|number| 0xa0 + number).collect();
    submit_in_calm(rig, &full, |id| {
        let label = format!("l{}{}", (id - 0xa0) / 3, 1 + (id - 0xa0) % 3);
        json!({ "spec": "work_ms=100000", "steps": [{ "count": 1, "cpu": 14_000, "mem_mb": 2000,
            "est_ms": 100_000, "constraints": label }] })
    })?;
    wait(rig, 4.0);
    if rig.seen().len() < full.len() {
        return Err("not all long tasks have started in calm".to_owned());
    }
    submit_in_calm(rig, &[WATCHER], |_| {
        json!({ "spec": "work_ms=0", "steps": [{ "count": 2, "cpu": 6000, "mem_mb": 2000, "est_ms": 500,
            "long_running": true }] })
    })?;
    let deadline = Instant::now() + Duration::from_secs(5);
    let on = loop {
        let seen = rig.seen();
        let on: Vec<String> = runs_of(&seen, WATCHER).map(|run| run.runner.clone()).collect();
        if let [first, second] = &on[..] {
            if first != second {
                return Err("the tasks have started on two runners".to_owned());
            }
            break first.clone();
        }
        if Instant::now() > deadline {
            return Err("the tasks that last have not started in calm".to_owned());
        }
        sleep(Duration::from_millis(10));
    };
    sleep(Duration::from_millis(100));
    if trouble {
        let runner = rig.runners.iter().find(|runner| runner.id() == on).cloned();
        let runner = runner.ok_or("no such runner")?;
        rig.note(&format!("{on} crashes"));
        runner.crash(HEARTBEAT);
        sleep(DOWN);
        runner.begin_life(HEARTBEAT);
        rig.note(&format!("{on} is back as {}", runner.id()));
    }
    sleep(Duration::from_secs(25));
    Ok(idle_lasting(rig, &[WATCHER]))
}

/// LOST: tasks that last and have not run for 3 s, from 6 s after their last run.
fn idle_lasting(rig: &Rig, jobs: &[u64]) -> Vec<String> {
    let (seen, now) = (rig.seen(), Instant::now());
    let mut broken = Vec::new();
    for id in jobs {
        let mut tasks: Vec<&str> = runs_of(&seen, *id).map(|run| run.task.as_str()).collect();
        tasks.sort_unstable();
        tasks.dedup();
        for task in tasks {
            let ends = seen.iter().filter(|run| run.task == task);
            let last = ends.map(|run| run.ended.map_or(now, |(at, _)| at)).max().unwrap_or(now);
            let idle = now.saturating_duration_since(last);
            if idle > IDLE_LASTING {
                let (last, idle) = (rig.at(last), idle.as_secs_f64());
                broken.push(format!(
                    "LOST: {task} lasts, and has not run since {last:.1}, for {idle:.1} s"
                ));
            }
        }
    }
    broken
}

/// One small job with a very large estimate.
fn estimate(rig: &mut Rig, trouble: bool) -> Result<Vec<String>> {
    const TASKS: usize = 2;
    let watchers: Vec<u64> = (0xa0..0xa9).collect();
    submit_in_calm(rig, &watchers, |id| lasting(id, TASKS))?;
    wait(rig, 6.0);
    if rig.seen().len() < TASKS * watchers.len() {
        return Err("not all tasks that last have started in calm".to_owned());
    }
    let est_ms = if trouble { "1e22" } else { "1000" };
    rig.note(&format!("one job whose est_ms is {est_ms}"));
    let step = format!(r#"{{"count":1,"cpu":500,"mem_mb":256,"est_ms":{est_ms}}}"#);
    rig.submit(&path(0xb0), &format!(r#"{{"spec":"work_ms=500","steps":[{step}]}}"#), 0);
    let ordinary = json!({ "spec": "work_ms=800", "steps": [
        { "count": 2, "cpu": 1000, "mem_mb": 500, "est_ms": 800 }] });
    let mut accepted = Vec::new();
    for id in 0xc0..0xc4 {
        if rig.submit(&path(id), &ordinary.to_string(), id as usize) {
            accepted.push(id);
        }
    }
    rig.note(&format!("of 4 ordinary jobs since, {} were accepted", accepted.len()));
    wait(rig, 45.0);
    let mut broken = idle_lasting(rig, &watchers);
    for id in &watchers[..2] {
        broken.extend(unknown(rig, *id));
    }
    Ok(broken)
}

/// LOST: an accepted job that isn't known, or whose state nobody tells.
fn unknown(rig: &Rig, id: u64) -> Option<String> {
    for daemon in 0..rig.daemons.len().min(4) {
        if let Some((200, _)) = rig.call(daemon, "GET", &path(id), "") {
            return None;
        }
    }
    Some(format!("LOST: job {id:016x} was accepted, and four daemons asked don't tell its state"))
}

/// One scheduled job without the time of its first occurrence, so that all are due.
fn schedule(rig: &mut Rig, trouble: bool) -> Result<Vec<String>> {
    const DAY_MS: u64 = 86_400_000;
    let plans: Vec<u64> = (0xa0..0xa9).collect();
    let step = |after: Value| json!({ "count": 2, "cpu": 1000, "mem_mb": 500, "est_ms": 4000, "after": after });
    submit_in_calm(
        rig,
        &plans,
        |_| json!({ "spec": "work_ms=4000", "steps": [step(json!([])), step(json!([0]))] }),
    )?;
    let mut job = json!({ "spec": "work_ms=500", "times": 30_000, "interval_ms": DAY_MS,
        "steps": [{ "count": 8, "cpu": 500, "mem_mb": 256, "est_ms": 500 }] });
    if !trouble {
        let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        job["start_at_ms"] = json!(now.as_millis() as u64 + DAY_MS);
    }
    rig.note("one daily job");
    rig.submit(&path(0xb0), &job.to_string(), 0);
    let end_of_traffic = Instant::now();
    sleep(FINISH + IDLE + Duration::from_secs(8));
    let (refused, largest) = rig.store.too_large();
    rig.note(&format!(
        "the store has refused {refused} writes of too large a value, the largest of {largest} bytes; \
         value_bytes is {}",
        crate::store::VALUE_BYTES
    ));
    let ready: Vec<bool> = rig.daemons.iter().map(|daemon| daemon.is_ready()).collect();
    rig.note(&format!("the daemons are ready: {ready:?}"));
    let (seen, now) = (rig.seen(), Instant::now());
    let mut broken = Vec::new();
    for id in &plans {
        let second =
            runs_of(&seen, *id).any(|run| run.task.starts_with(&format!("{id:016x}.0.1.")));
        let ends: Vec<Instant> = runs_of(&seen, *id).filter_map(|run| Some(run.ended?.0)).collect();
        let Some(last) = ends.into_iter().max().filter(|_| !second) else { continue };
        let since = last.max(end_of_traffic + FINISH);
        if now.saturating_duration_since(since) > IDLE {
            let (last, now) = (rig.at(last), rig.at(now));
            broken.push(format!(
                "LOST: nothing of job {id:016x} has run from {last:.1}, when its first step was done, to \
                 {now:.1}, though the runners are idle"
            ));
        }
    }
    for id in &plans[..2] {
        broken.extend(unknown(rig, *id));
    }
    Ok(broken)
}

/// Open connections to runners go silent for good, while new ones work.
fn silent(rig: &mut Rig, trouble: bool) -> Result<Vec<String>> {
    const TASKS: usize = 4;
    const WIDTH: usize = 64;
    let watchers: Vec<u64> = (0xa0..0xa9).collect();
    submit_in_calm(rig, &watchers, |id| lasting(id, TASKS))?;
    wait(rig, 5.0);
    if rig.seen().len() < TASKS * watchers.len() {
        return Err("not all tasks that last have started in calm".to_owned());
    }
    rig.note("large jobs come at once");
    let large: Vec<u64> = (0xb0..0xbc).collect();
    for id in &large {
        submit_in_calm(
            rig,
            &[*id],
            |_| json!({ "spec": "work_ms=400", "steps": [{ "count": WIDTH, "cpu": 500, "mem_mb": 100, "est_ms": 400 }] }),
        )?;
        sleep(Duration::from_millis(100));
    }
    let deadline = Instant::now() + Duration::from_secs(25);
    let is_done = |run: &&Seen| run.ended.is_some_and(|(_, how)| how == "done");
    while rig.seen().iter().filter(is_done).count() < WIDTH * large.len() {
        if Instant::now() > deadline {
            return Err("the large jobs weren't done in calm".to_owned());
        }
        sleep(Duration::from_millis(100));
    }
    sleep(Duration::from_secs(4));
    let open: Vec<u64> = rig.runner_proxies().iter().map(|proxy| proxy.open()).collect();
    rig.note(&format!("open connections to each runner: {open:?}"));
    let at = Instant::now();
    if trouble {
        rig.runner_proxies().iter().for_each(|proxy| proxy.silence());
        rig.note("they are silent for good from now on; new ones work");
    }
    sleep(Duration::from_secs(25));
    let seen = rig.seen();
    let mut broken = Vec::new();
    for id in &watchers {
        // Leases that lapse with no disturbance near: later than `contact_ms` after it.
        let mut lapses: Vec<(Instant, &str)> = runs_of(&seen, *id)
            .filter_map(|run| {
                let (end, how) = run.ended?;
                (how == "lapsed" && end > at + CONTACT).then_some((end, run.task.as_str()))
            })
            .collect();
        lapses.sort();
        for (number, (end, task)) in lapses.iter().enumerate() {
            // Others whose lease has lapsed before, and that aren't at work again.
            let away = lapses[..number].iter().filter(|(earlier, other)| {
                let is_back = seen.iter().any(|run| {
                    run.task == *other
                        && run.started > *earlier
                        && run.started + AT_WORK_AFTER < *end
                });
                other != task && !is_back
            });
            let away = away.count();
            if away >= MAY_MISS {
                let after = end.duration_since(at).as_secs_f64();
                broken.push(format!(
                    "AVAIL: the lease of {task} lapsed {after:.1} s after the connections went silent, while \
                     {away} others of its step were away in the same way; {MAY_MISS} may be"
                ));
            }
        }
    }
    Ok(broken)
}

/// A wave of upkeeps, while a zone's daemons come back and take their shard over in calm.
fn upkeep(rig: &mut Rig, trouble: bool) -> Result<Vec<String>> {
    const WAVE: u64 = 7;
    let zone = format!("front-{}-", ZONES[0]);
    let daemons: Vec<usize> = (0..rig.daemons.len())
        .filter(|daemon| rig.daemons[*daemon].name.starts_with(&zone))
        .collect();
    wait(rig, 3.0);
    if trouble {
        daemons.iter().for_each(|daemon| rig.kill(*daemon));
    }
    wait(rig, 11.2);
    let machines: Vec<String> =
        rig.cloud.machines().into_iter().filter(|machine| machine.starts_with("m-0")).collect();
    rig.cloud.set_wave(WAVE, &machines);
    let wave = json!({ "wave": WAVE, "machines": machines, "deadline_s": 60, "max_count": 1 });
    rig.store.put(&format!("op/wave/{WAVE}"), &wave, 0);
    rig.note(&format!("the operator orders a wave: {wave}"));
    let mut started = rig.began;
    if trouble {
        wait(rig, 12.4);
        for daemon in &daemons {
            rig.restart(*daemon)?;
        }
        started = Instant::now();
    }
    wait(rig, 32.0);
    let orders = rig.cloud.orders();
    for order in &orders {
        let (at, machine, outcome) = (rig.at(order.at), &order.machine, order.outcome);
        rig.note(&format!(
            "upkeep order at {at:.3} for {machine} by {} with fence {}: {outcome}",
            order.holder, order.fence
        ));
    }
    let mut broken = Vec::new();
    for machine in &machines {
        let orders: Vec<_> = orders.iter().filter(|order| order.machine == *machine).collect();
        for pair in orders.windows(2) {
            let gap = pair[1].at.duration_since(pair[0].at);
            // Those that came back are in touch `contact_ms` after their start; the others all the while.
            let in_touch = |order: &crate::cloud::Order| {
                let came_back =
                    daemons.iter().any(|daemon| rig.daemons[*daemon].name == order.holder);
                !came_back || order.at > started + CONTACT
            };
            let (first, second) = (&pair[0].holder, &pair[1].holder);
            if first != second && gap < LEASE && in_touch(pair[0]) && in_touch(pair[1]) {
                let gap = gap.as_secs_f64();
                broken.push(format!("ONE: {machine} is ordered by {first} and {gap:.1} s later by {second}, both in touch"));
            }
        }
    }
    Ok(broken)
}

/// Jobs that wait for an unhealthy runner, and a planned stop of their shard's owner.
fn pending(rig: &mut Rig, trouble: bool) -> Result<Vec<String>> {
    /// Label of one runner only.
    const LABEL: &str = "l00";
    let sick =
        rig.runners.iter().position(|runner| runner.name == "i-000").ok_or("no such runner")?;
    wait(rig, 4.0);
    let began = Instant::now();
    rig.note("i-000 answers starts with 503");
    rig.runners[sick].set_refusing(true);
    let jobs: Vec<u64> = (0xa0..0xa3).collect();
    submit_in_calm(rig, &jobs, |_| {
        json!({ "spec": "work_ms=500", "steps": [
            { "count": 1, "cpu": 1000, "mem_mb": 500, "est_ms": 500, "constraints": LABEL }] })
    })?;
    let accepted = Instant::now();
    sleep(Duration::from_secs(2));
    let owner = rig
        .owner(&format!("shard/{}.0", ZONES[0]))
        .ok_or("the store names no owner of the shard")?;
    rig.note(&format!("the owner of the shard is {}", rig.daemons[owner].name));
    if trouble {
        rig.signal(owner, "TERM");
    }
    let mut broken = Vec::new();
    while began.elapsed() < Duration::from_millis(6400) {
        sleep(Duration::from_millis(200));
        if accepted.elapsed() < VISIBLE + Duration::from_millis(2200) {
            continue;
        }
        for daemon in (0..rig.daemons.len()).filter(|daemon| *daemon != owner) {
            let Some((200, answer)) = rig.call(daemon, "GET", PREFIX, "") else { continue };
            let answer: Value = serde_json::from_str(&answer).unwrap_or(Value::Null);
            let seen = rig.seen();
            let waiting = jobs.iter().filter(|id| runs_of(&seen, **id).next().is_none()).count();
            let Some(pending) = answer["pending"].as_u64() else { continue };
            if pending as usize * 2 < waiting {
                let name = &rig.daemons[daemon].name;
                broken.push(format!(
                    "MIXED: {name} gives {pending} as pending; {waiting} jobs were accepted over 5 s before \
                     and haven't begun"
                ));
            }
        }
    }
    rig.runners[sick].set_refusing(false);
    rig.note(&format!("i-000 is well again, after {} refusals", rig.runners[sick].refused()));
    if trouble {
        rig.wait_for_end(owner, GRACE);
    }
    sleep(Duration::from_secs(6));
    Ok(broken)
}
