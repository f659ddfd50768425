//! Stand-ins of the runners, of the service at `advice` and of the machines' platform.

use crate::http::{Req, Resp};
use crate::store::Store;
use serde_json::{Value, json};
use std::collections::{BTreeMap, HashMap};
use std::io::Write;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

pub const MAX_HOLD_MS: u64 = 10_000;
pub const GANG_TIMEOUT_MS: u64 = 3_000;
pub const STOP_MS: u64 = 400;
pub const CHECKPOINT_MS: u64 = 2_000;
pub const RESTORE_MS: u64 = 600;
pub const HEARTBEAT_MS: u64 = 1_500;
pub const UPKEEP_MS: u64 = 2_000;
const START_UP_MS: u64 = 300;

/// Something that was sent, answered or run.
#[derive(Clone, Debug)]
pub struct Event {
    pub at: u64,
    pub kind: &'static str,
    pub runner: String,
    pub task: String,
    pub run: u64,
    pub detail: String,
}

struct Run {
    run: u64,
    started: u64,
    /// Work in milliseconds; zero for a task that lasts.
    work: u64,
    done: u64,
    /// When it begins to work, after a restore.
    ready: u64,
    at: u64,
    stop_at: Option<u64>,
    fails: bool,
    cpu: u64,
    mem: u64,
    fills: bool,
    saves: bool,
    gang: Option<(String, u64)>,
}

#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum State {
    Up,
    Draining,
    Gone,
}

pub struct Runner {
    pub id: String,
    pub machine: String,
    pub zone: String,
    pub rack: String,
    pub kind: String,
    pub service: String,
    pub addr: String,
    pub cpu: u64,
    pub mem: u64,
    pub state: State,
    leave_at: Option<u64>,
    born: u64,
    fence: u64,
    until: u64,
    runs: BTreeMap<String, Run>,
    barred: HashMap<String, u64>,
    ended: Vec<(u64, String, u64, &'static str, String)>,
    ends: u64,
    acked: u64,
    lease: u64,
    seq: u64,
    announced: u64,
}

/// A machine and what it does: its runner, or an upkeep until then.
pub struct Machine {
    pub name: String,
    pub upkeep_until: Option<u64>,
    pub waves: Vec<u64>,
    fence: u64,
}

pub struct World {
    began: Instant,
    pub store: Store,
    pub runners: Vec<Runner>,
    pub machines: Vec<Machine>,
    /// The jobs handed in, by id.
    pub jobs: HashMap<String, Value>,
    pub events: Vec<Event>,
    out: std::fs::File,
    /// Whether the services guard their runners' capacity.
    pub guards: bool,
    pub advice: Option<Advice>,
    /// Share of the orders, in percent, whose answer is lost, and that are carried out late.
    pub lost: u64,
    pub late: u64,
    draws: u64,
    next_id: u64,
}

/// The policy of the service at `advice`.
pub struct Advice {
    pub decide_ms: u64,
    pub per_item_ms: u64,
    pub valid_ms: u64,
    /// One runner in so many may run a step.
    pub one_in: u64,
    tickets: HashMap<String, (String, String, u64)>,
}

impl Advice {
    pub fn new(decide_ms: u64, per_item_ms: u64, valid_ms: u64, one_in: u64) -> Self {
        Self { decide_ms, per_item_ms, valid_ms, one_in, tickets: HashMap::new() }
    }
}

pub type Shared = Arc<Mutex<World>>;

fn words(spec: &str) -> HashMap<&str, &str> {
    spec.split(' ').filter_map(|word| word.split_once('=')).collect()
}

fn number(value: &Value, name: &str) -> u64 {
    value[name].as_f64().unwrap_or(0.0) as u64
}

/// Number of a task's step, and the id of its job.
fn parts(task: &str) -> (&str, usize) {
    let mut parts = task.split('.');
    let job = parts.next().unwrap_or_default();
    (job, parts.nth(1).and_then(|step| step.parse().ok()).unwrap_or(0))
}

impl World {
    pub fn new(store: Store, out: std::fs::File) -> Self {
        Self {
            began: Instant::now(),
            store,
            runners: Vec::new(),
            machines: Vec::new(),
            jobs: HashMap::new(),
            events: Vec::new(),
            out,
            guards: false,
            advice: None,
            lost: 0,
            late: 0,
            draws: 1,
            next_id: 0,
        }
    }

    /// Milliseconds since the case began, by the steady clock.
    pub fn now(&self) -> u64 {
        self.began.elapsed().as_millis() as u64
    }

    pub fn note(&mut self, kind: &'static str, runner: &str, task: &str, run: u64, detail: &str) {
        let at = self.now();
        let _ = writeln!(
            self.out,
            "{:>8.3} {kind:<12} {runner:<8} {task} {run} {detail}",
            at as f64 / 1000.0
        );
        let (runner, task, detail) = (runner.to_owned(), task.to_owned(), detail.to_owned());
        self.events.push(Event { at, kind, runner, task, run, detail });
    }

    pub fn add_runner(
        &mut self,
        machine: &str,
        zone: &str,
        rack: &str,
        service: &str,
        addr: &str,
        cpu: u64,
    ) {
        // A rack may be given with the kind of the machine before it.
        let (kind, rack) = rack.split_once(':').unwrap_or(("a", rack));
        self.next_id += 1;
        let id = format!("i-{:04x}", self.next_id * 7 + 0x20);
        let now = self.now();
        self.runners.push(Runner {
            id: id.clone(),
            machine: machine.to_owned(),
            zone: zone.to_owned(),
            rack: rack.to_owned(),
            kind: kind.to_owned(),
            service: service.to_owned(),
            addr: addr.to_owned(),
            cpu,
            mem: 65_536,
            state: State::Up,
            leave_at: None,
            born: now,
            fence: 0,
            until: 0,
            runs: BTreeMap::new(),
            barred: HashMap::new(),
            ended: Vec::new(),
            ends: 0,
            acked: 0,
            lease: 0,
            seq: 0,
            announced: 0,
        });
        if !self.machines.iter().any(|known| known.name == machine) {
            let name = machine.to_owned();
            self.machines.push(Machine { name, upkeep_until: None, waves: Vec::new(), fence: 0 });
        }
        self.note("up", &id, "", 0, zone);
        let index = self.runners.len() - 1;
        self.announce(index);
    }

    fn announce(&mut self, index: usize) {
        let now = self.now();
        let store = self.store.clone();
        let runner = &mut self.runners[index];
        runner.announced = now;
        runner.seq += 1;
        let left = runner.leave_at.map(|at| at.saturating_sub(now));
        let mut entry = json!({
            "service": runner.service, "address": runner.addr, "zone": runner.zone, "version": "v1",
            "slots": 8, "state": if left.is_some() { "draining" } else { "ready" },
            "cold_left_ms": 0, "seq": runner.seq, "labels": [runner.kind, runner.rack],
            "capacity": { "cpu": runner.cpu, "mem_mb": runner.mem, "gpu": 0 },
        });
        if let Some(left) = left {
            entry["remaining_ms"] = json!(left);
        }
        if runner.lease == 0 || !store.keep(runner.lease) {
            runner.lease = store.grant(Duration::from_millis(3 * HEARTBEAT_MS));
        }
        store.put_leased(&format!("servers/{}", runner.id), &entry, runner.lease);
    }

    /// The runner reports `draining`, and leaves for good `after` ms later.
    pub fn drain(&mut self, index: usize, after: u64) {
        let (id, now) = (self.runners[index].id.clone(), self.now());
        self.runners[index].state = State::Draining;
        self.runners[index].leave_at = Some(now + after);
        self.note("draining", &id, "", 0, &format!("leaves in {after} ms"));
        self.announce(index);
    }

    /// The runner is gone, with all that runs there. It removes its entry only if it leaves in order.
    pub fn end_runner(&mut self, index: usize, in_order: bool) {
        let id = self.runners[index].id.clone();
        if self.runners[index].state == State::Gone {
            return;
        }
        self.runners[index].state = State::Gone;
        let runs = std::mem::take(&mut self.runners[index].runs);
        self.note("gone", &id, "", 0, if in_order { "left" } else { "crashed" });
        for (task, run) in runs {
            self.note("lost", &id, &task, run.run, "");
            self.break_gang(&run.gang);
        }
        if in_order {
            self.store.end_lease(self.runners[index].lease);
        }
    }

    fn end_run(&mut self, index: usize, task: &str, how: &'static str) {
        let now = self.now();
        let runner = &mut self.runners[index];
        let Some(run) = runner.runs.remove(task) else { return };
        runner.ends += 1;
        let barred = runner.barred.entry(task.to_owned()).or_default();
        *barred = (*barred).max(run.run);
        let done =
            if how == "stopped" { run.done } else { run.done / CHECKPOINT_MS * CHECKPOINT_MS };
        let saved = if run.saves && done > 0 { format!("c{done}") } else { String::new() };
        let (number, id) = (runner.ends, runner.id.clone());
        runner.ended.push((number, task.to_owned(), run.run, how, saved.clone()));
        let _ = now;
        self.note("end", &id, task, run.run, &format!("{how} {saved}"));
        if how != "done" {
            self.break_gang(&run.gang);
        }
    }

    /// Ends the other members of a gang's run.
    fn break_gang(&mut self, gang: &Option<(String, u64)>) {
        if gang.is_none() {
            return;
        }
        let members = self.members(gang);
        for (index, task) in members {
            self.end_run(index, &task, "broken");
        }
    }

    fn members(&self, gang: &Option<(String, u64)>) -> Vec<(usize, String)> {
        let mut members = Vec::new();
        for (index, runner) in self.runners.iter().enumerate() {
            let here = runner.runs.iter().filter(|(_, run)| run.gang == *gang);
            members.extend(here.map(|(task, _)| (index, task.clone())));
        }
        members
    }

    /// Number of a gang's tasks.
    fn gang_size(&self, task: &str) -> usize {
        let (job, step) = parts(task);
        self.jobs.get(job).map_or(0, |job| number(&job["steps"][step], "count") as usize)
    }

    /// Lets time pass: work is done, runs end, runners announce themselves and leave.
    pub fn pass(&mut self) {
        let now = self.now();
        for index in 0..self.runners.len() {
            if self.runners[index].state == State::Gone {
                continue;
            }
            if self.runners[index].leave_at.is_some_and(|at| now >= at) {
                self.end_runner(index, true);
                continue;
            }
            if now >= self.runners[index].announced + HEARTBEAT_MS {
                self.announce(index);
            }
            let tasks: Vec<String> = self.runners[index].runs.keys().cloned().collect();
            for task in tasks {
                self.pass_run(index, &task, now);
            }
        }
        let back: Vec<usize> = (0..self.machines.len())
            .filter(|m| self.machines[*m].upkeep_until.is_some_and(|until| now >= until))
            .collect();
        for machine in back {
            self.machines[machine].upkeep_until = None;
            let name = self.machines[machine].name.clone();
            let last = self.runners.iter().rev().find(|runner| runner.machine == name);
            let Some(last) = last else { continue };
            let rack = format!("{}:{}", last.kind, last.rack);
            let (zone, service) = (last.zone.clone(), last.service.clone());
            let (addr, cpu) = (last.addr.clone(), last.cpu);
            self.add_runner(&name, &zone, &rack, &service, &addr, cpu);
        }
    }

    fn pass_run(&mut self, index: usize, task: &str, now: u64) {
        let gang = self.runners[index].runs.get(task).and_then(|run| run.gang.clone());
        let is_whole = gang.is_none() || self.members(&gang).len() == self.gang_size(task);
        let until = self.runners[index].until;
        let Some(run) = self.runners[index].runs.get_mut(task) else { return };
        if is_whole {
            run.done += now.saturating_sub(run.at.max(run.ready));
        }
        run.at = now;
        let is_done = run.work > 0 && run.done >= run.work;
        let how = if now >= until {
            Some("lapsed")
        } else if run.stop_at.is_some_and(|at| now >= at) {
            Some("stopped")
        } else if is_done {
            Some(if run.fails { "failed" } else { "done" })
        } else if !is_whole && run.done == 0 && now >= run.started + GANG_TIMEOUT_MS {
            Some("alone")
        } else {
            None
        };
        let Some(how) = how else { return };
        if how == "done" && gang.is_some() {
            for (member, task) in self.members(&gang) {
                self.end_run(member, &task, "done");
            }
            return;
        }
        self.end_run(index, task, how);
    }

    fn extend(&mut self, index: usize, deadline: u64) {
        let clock = self.clock(index);
        let (now, runner) = (self.now(), &mut self.runners[index]);
        let left = deadline.saturating_sub(clock).min(MAX_HOLD_MS);
        runner.until = runner.until.max(now + left);
    }

    /// A runner's own clock: it began at its start with another value.
    fn clock(&self, index: usize) -> u64 {
        self.now() - self.runners[index].born + 50_000
    }

    /// What a runner answers; `None` while it has to wait for an end.
    fn call(&mut self, index: usize, req: &Req, body: &Value, may_wait: bool) -> Option<Resp> {
        self.pass();
        let clock = self.clock(index);
        let refuse = |reason: &str| {
            Some(Resp::Json(409, json!({ "clock_ms": clock, "reason": reason }).to_string()))
        };
        if self.runners[index].state == State::Gone {
            return Some(Resp::Close);
        }
        if req.header("waxwingstall-expect-instance") != self.runners[index].id {
            return Some(Resp::Json(421, "{}".to_owned()));
        }
        let fence = number(body, "fence");
        if fence < self.runners[index].fence {
            return refuse("fence");
        }
        self.runners[index].fence = fence;
        let id = self.runners[index].id.clone();
        let task = body["task"].as_str().unwrap_or_default().to_owned();
        let run = number(body, "run");
        match req.path.as_str() {
            "/api/hold" => {
                let deadline = body["deadline_ms"].as_u64();
                deadline.into_iter().for_each(|deadline| self.extend(index, deadline));
                let acked = number(body, "acked_upto");
                let before = self.runners[index].acked;
                if acked > before {
                    self.runners[index].acked = acked;
                    let noted: Vec<_> = self.runners[index]
                        .ended
                        .iter()
                        .filter(|end| end.0 <= acked)
                        .cloned()
                        .collect();
                    self.runners[index].ended.retain(|end| end.0 > acked);
                    for (_, task, run, how, _) in noted {
                        self.note("noted", &id, &task, run, how);
                    }
                }
                if may_wait && self.runners[index].ended.is_empty() {
                    return None;
                }
                let runner = &self.runners[index];
                let running: Vec<Value> = runner
                    .runs
                    .iter()
                    .map(|(task, run)| {
                        let saved = run.done / CHECKPOINT_MS * CHECKPOINT_MS;
                        let saved = if run.saves && saved > 0 {
                            format!("c{saved}")
                        } else {
                            String::new()
                        };
                        let percent = match run.work {
                            0 => 100 * u64::from(run.done >= START_UP_MS),
                            work => (100 * run.done / work).min(99),
                        };
                        json!([task, run.run, saved, percent, run.cpu])
                    })
                    .collect();
                let ended: Vec<Value> = runner
                    .ended
                    .iter()
                    .take(500)
                    .map(|(n, task, run, how, saved)| json!([n, task, run, how, saved]))
                    .collect();
                let answer = json!({ "clock_ms": clock, "running": running, "ended": ended });
                Some(Resp::Json(200, answer.to_string()))
            }
            "/api/run-start" => self.start(index, &task, run, body),
            "/api/run-stop" => {
                let now = self.now();
                let runner = &mut self.runners[index];
                match runner.runs.get_mut(&task) {
                    Some(known) if known.run <= run => {
                        known.stop_at.get_or_insert(now + STOP_MS);
                        self.note("stop", &id, &task, run, "");
                    }
                    _ => {
                        let barred = runner.barred.entry(task.clone()).or_default();
                        *barred = (*barred).max(run);
                    }
                }
                Some(Resp::Json(200, json!({ "clock_ms": clock }).to_string()))
            }
            "/api/pace" => Some(Resp::Json(200, json!({ "clock_ms": clock }).to_string())),
            _ => Some(Resp::Json(400, "{}".to_owned())),
        }
    }

    fn start(&mut self, index: usize, task: &str, run: u64, body: &Value) -> Option<Resp> {
        let (clock, now) = (self.clock(index), self.now());
        let id = self.runners[index].id.clone();
        let answer = |status: u16, reason: &str| {
            let mut body = json!({ "clock_ms": clock });
            if !reason.is_empty() {
                body["reason"] = json!(reason);
            }
            Some(Resp::Json(status, body.to_string()))
        };
        let deadline = number(body, "deadline_ms");
        let known = self.runners[index].runs.get(task).map(|known| known.run);
        let barred = self.runners[index].barred.get(task).copied().unwrap_or(0);
        if known != Some(run) && (known.is_some() || run <= barred) {
            self.extend(index, deadline);
            return answer(409, "old");
        }
        if deadline <= clock {
            return answer(409, "late");
        }
        self.extend(index, deadline);
        if known == Some(run) {
            return answer(200, "");
        }
        let (job, step) = parts(task);
        let advised = self.jobs.get(job).is_some_and(|job| job["advised"] == true);
        if let Some(advice) = self.advice.as_ref().filter(|_| advised) {
            let ticket = body["ticket"].as_str().unwrap_or_default();
            let step_name = task.rsplit_once('.').map_or("", |(step, _)| step);
            let valid = advice.tickets.get(ticket).is_some_and(|(step, runner, until)| {
                step == step_name && *runner == id && now < *until
            });
            if !valid {
                self.note("no-ticket", &id, task, run, "");
                return answer(409, "ticket");
            }
        }
        let spec = body["spec"].as_str().unwrap_or_default().to_owned();
        let step = self.jobs.get(job).map(|job| job["steps"][step].clone()).unwrap_or(Value::Null);
        let (cpu, mem) = (number(&step, "cpu"), number(&step, "mem_mb"));
        let fills = step["fills"].as_bool().unwrap_or(false);
        let runner = &self.runners[index];
        let used: u64 = runner.runs.values().filter(|run| !run.fills).map(|run| run.cpu).sum();
        let used_mem: u64 = runner.runs.values().map(|run| run.mem).sum();
        let is_over = (!fills && used + cpu > runner.cpu) || used_mem + mem > runner.mem;
        if is_over && self.guards {
            self.note("no-room", &id, task, run, "");
            return answer(409, "room");
        }
        let words = words(&spec);
        let get = |name: &str| words.get(name).and_then(|value| value.parse::<u64>().ok());
        let resumed =
            body["checkpointed"].as_str().and_then(|saved| saved.strip_prefix('c')?.parse().ok());
        let is_long = step["long_running"].as_bool().unwrap_or(false);
        let is_gang = step["gang"].as_bool().unwrap_or(false);
        let step_name = task.rsplit_once('.').map_or("", |(step, _)| step).to_owned();
        let fails = get("fails").is_some_and(|fails| run <= fails);
        let state = Run {
            run,
            started: now,
            work: if is_long && !fails { 0 } else { get("ms").unwrap_or(1000) },
            done: resumed.unwrap_or(0),
            ready: now + if resumed.is_some() { RESTORE_MS } else { 0 },
            at: now,
            stop_at: None,
            fails,
            cpu,
            mem,
            fills,
            saves: step["checkpoint"].as_bool().unwrap_or(false),
            gang: is_gang.then_some((step_name, run)),
        };
        self.runners[index].runs.insert(task.to_owned(), state);
        let over = if is_over { "OVER" } else { "" };
        let saved = body["checkpointed"].as_str().unwrap_or("-");
        let detail = format!("spec[{spec}] from {saved} fence {} {over}", number(body, "fence"));
        self.note("start", &id, task, run, &detail);
        answer(200, "")
    }

    /// Tasks on a runner, with their processors.
    pub fn runs_on(&self, runner: &Runner) -> Vec<(String, u64)> {
        runner.runs.iter().map(|(task, run)| (task.clone(), run.cpu)).collect()
    }

    /// Whether the answer to an order is lost, and after how long it is carried out if that is late.
    fn draw(&mut self, req: &Req) -> (bool, Option<u64>) {
        self.draws = self.draws.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695);
        let draw = (self.draws >> 33) % 100;
        let is_order = req.path != "/api/hold";
        let late = is_order && draw >= self.lost && draw < self.lost + self.late;
        (draw < self.lost, late.then(|| 2000 + (self.draws >> 40) % 10_000))
    }

    /// Tasks at work now, as runner and task.
    pub fn running(&self) -> Vec<(String, String)> {
        let runners = self.runners.iter().filter(|runner| runner.state != State::Gone);
        let runs =
            runners.flat_map(|r| r.runs.keys().map(move |task| (r.id.clone(), task.clone())));
        runs.collect()
    }
}

pub fn handle_runner(world: &Shared, machine: &str, req: &Req) -> Resp {
    let body: Value = serde_json::from_slice(&req.body).unwrap_or(Value::Null);
    let wait = body["wait_ms"].as_u64().unwrap_or(0).min(2000);
    let end = Instant::now() + Duration::from_millis(wait);
    std::thread::sleep(Duration::from_millis(1));
    let (is_lost, late) = world.lock().unwrap().draw(req);
    if let Some(wait) = late {
        let (world, machine) = (world.clone(), machine.to_owned());
        let req = Req {
            method: req.method.clone(),
            path: req.path.clone(),
            query: Vec::new(),
            headers: req.headers.clone(),
            body: req.body.clone(),
        };
        std::thread::spawn(move || {
            std::thread::sleep(Duration::from_millis(wait));
            let mut world = world.lock().unwrap();
            let last = world.runners.iter().rposition(|runner| runner.machine == machine);
            let Some(index) = last else { return };
            let id = world.runners[index].id.clone();
            let task = body["task"].as_str().unwrap_or_default().to_owned();
            world.note("late-order", &id, &task, number(&body, "run"), &req.path);
            world.call(index, &req, &body, false);
        });
        return Resp::Close;
    }
    loop {
        let may_wait = Instant::now() < end;
        {
            let mut world = world.lock().unwrap();
            let last = world.runners.iter().rposition(|runner| runner.machine == machine);
            let Some(index) = last else { return Resp::Close };
            if let Some(resp) = world.call(index, req, &body, may_wait) {
                return if is_lost { Resp::Close } else { resp };
            }
        }
        std::thread::sleep(Duration::from_millis(10));
    }
}

pub fn handle_advice(world: &Shared, req: &Req) -> Resp {
    let body: Value = serde_json::from_slice(&req.body).unwrap_or(Value::Null);
    let workers = body["workers"].as_array().cloned().unwrap_or_default();
    let step = body["step"].as_str().unwrap_or_default().to_owned();
    let times = {
        let world = world.lock().unwrap();
        let Some(advice) = &world.advice else { return Resp::Close };
        advice.decide_ms + advice.per_item_ms * workers.len() as u64
    };
    std::thread::sleep(Duration::from_millis(times));
    let mut world = world.lock().unwrap();
    let now = world.now();
    let all: Vec<String> = world.runners.iter().map(|runner| runner.id.clone()).collect();
    let (job, number) = parts(&step);
    let is_gang = world.jobs.get(job).is_some_and(|job| job["steps"][number]["gang"] == true);
    let Some(advice) = &mut world.advice else { return Resp::Close };
    let mut good = Vec::new();
    for worker in workers.iter().filter_map(Value::as_str) {
        let hash =
            format!("{step}@{worker}").bytes().fold(7u64, |h, b| h.wrapping_mul(31) + u64::from(b));
        if all.iter().any(|id| id == worker) && (is_gang || hash % advice.one_in == 0) {
            let ticket = format!("t{}-{now}-{worker}", advice.tickets.len());
            let until = now + advice.valid_ms;
            advice.tickets.insert(ticket.clone(), (step.clone(), worker.to_owned(), until));
            good.push(json!([worker, ticket]));
        }
    }
    let valid = advice.valid_ms;
    let detail = format!("{} asked, {} good", workers.len(), good.len());
    world.note("advise", "", &step, 0, &detail);
    Resp::Json(200, json!({ "good": good, "valid_ms": valid }).to_string())
}

pub fn handle_cloud(world: &Shared, req: &Req) -> Resp {
    std::thread::sleep(Duration::from_millis(4));
    let mut world = world.lock().unwrap();
    world.pass();
    let now = world.now();
    if req.path == "/api/machines" {
        let rows = world.machines.iter().map(|machine| {
            let last = world.runners.iter().rev().find(|runner| runner.machine == machine.name);
            let up = last.filter(|runner| runner.state != State::Gone && machine.upkeep_until.is_none());
            let state = match (machine.upkeep_until, up) {
                (Some(_), _) => "upkeep",
                (None, Some(_)) => "up",
                (None, None) => "down",
            };
            let (zone, rack) = last.map_or(("", ""), |runner| (&runner.zone, &runner.rack));
            let cpu = last.map_or(0, |runner| runner.cpu);
            json!({
                "machine": machine.name, "pool": last.map_or("", |runner| &runner.service), "state": state,
                "zone": zone, "labels": ["a", rack],
                "capacity": { "cpu": cpu, "mem_mb": 65_536, "gpu": 0 },
                "id": up.map(|runner| runner.id.clone()),
            })
        });
        let rows: Vec<Value> = rows.collect();
        return Resp::Json(200, json!({ "machines": rows, "next_token": null }).to_string());
    }
    let body: Value = serde_json::from_slice(&req.body).unwrap_or(Value::Null);
    let name = body["machine"].as_str().unwrap_or_default().to_owned();
    let wave = number(&body, "wave");
    let fence: u64 = req.header("waxwingstall-fencing-token").parse().unwrap_or(0);
    let holder = req.header("waxwingstall-lease-holder").to_owned();
    let Some(index) = world.machines.iter().position(|machine| machine.name == name) else {
        return Resp::Json(400, "{}".to_owned());
    };
    world.note("upkeep-call", &name, "", wave, &format!("{holder} fence {fence}"));
    if fence < world.machines[index].fence {
        return Resp::Json(409, json!({ "reason": "fence" }).to_string());
    }
    world.machines[index].fence = fence;
    if world.machines[index].waves.contains(&wave) {
        return Resp::Json(200, "{}".to_owned());
    }
    let runner = world.runners.iter().rposition(|runner| runner.machine == name);
    let Some(runner) = runner.filter(|at| world.runners[*at].state == State::Up) else {
        return Resp::Json(409, json!({ "reason": "busy" }).to_string());
    };
    let ended: Vec<String> = world.runners[runner].runs.keys().cloned().collect();
    let down = world.machines.iter().filter(|machine| machine.upkeep_until.is_some()).count();
    world.note(
        "upkeep",
        &name,
        "",
        wave,
        &format!("{holder} down before {down} ends {}", ended.join(",")),
    );
    world.end_runner(runner, true);
    world.machines[index].waves.push(wave);
    world.machines[index].upkeep_until = Some(now + UPKEEP_MS);
    Resp::Json(200, "{}".to_owned())
}
