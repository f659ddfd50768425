//! Stand-ins of the platform: its store, and the runners with what they run.
//!
//! Everything follows PROTOCOL.md. Where it is silent, they behave like a sound store or runner.

use crate::http::{Answer, Json, Request, base64, num, obj, text};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::fs::File;
use std::io::Write;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

/// Bounds as in the site file.
pub const MAX_HOLD_MS: u64 = 6000;
pub const GANG_TIMEOUT_MS: u64 = 3000;
pub const CHECKPOINT_MS: f64 = 2000.0;
pub const RESTORE_MS: u64 = 100;
pub const HEARTBEAT_MS: u64 = 1100;
/// A stop takes some time, at most `stop_timeout_ms` (900).
const STOP_TAKES: Duration = Duration::from_millis(200);
/// Tasks that last are at work after a short startup.
const STARTUP_MS: f64 = 500.0;
/// Times of the advice service, and how long its tickets are valid.
pub const DECIDE_MS: u64 = 100;
pub const PER_ITEM_MS: u64 = 5;
pub const VALID_MS: u64 = 3000;
/// An unhealthy runner fails what it has begun to work on after this time.
const GREY_FAILS_AFTER: Duration = Duration::from_millis(100);

#[derive(Clone)]
struct Item {
    value: String,
    rev: u64,
    created: u64,
    lease: u64,
}

struct Lease {
    ttl: Duration,
    ends: Instant,
}

/// A step of a job as its requester handed it in.
#[derive(Clone)]
pub struct StepDef {
    pub count: usize,
    pub cpu: u64,
    pub work_ms: f64,
    pub gang: bool,
    pub checkpoint: bool,
    /// Whether the tasks last until their job is cancelled.
    pub lasts: bool,
    /// Whether starts need a ticket of the advice service.
    pub advised: bool,
}

/// A job that a requester has sent.
#[derive(Clone)]
pub struct JobDef {
    pub spec: String,
    pub steps: Vec<StepDef>,
}

/// One run of a task on a runner.
pub struct Run {
    pub task: String,
    pub run: u64,
    pub step: usize,
    /// Name of the gang's run: job, occurrence, step and run number.
    pub group: String,
    pub checkpointed: String,
    pub saved: String,
    pub started: Instant,
    /// When it began to work; `None` while it waits for its gang.
    pub working: Option<Instant>,
    pub progress: f64,
    stopping: Option<Instant>,
}

struct End {
    number: u64,
    task: String,
    run: u64,
    how: &'static str,
    saved: String,
}

/// One life of a runner.
pub struct Runner {
    pub id: String,
    pub zone: String,
    pub rack: String,
    pub address: String,
    pub cpu: u64,
    pub up: bool,
    /// Set once it has ended: its port then refuses connections.
    pub ended_flag: Arc<AtomicBool>,
    pub draining: Option<Instant>,
    pub grey_until: Option<Instant>,
    pub running: Vec<Run>,
    fence: u64,
    deadline_ms: u64,
    born: Instant,
    ended: Vec<End>,
    last_number: u64,
    /// Highest run of each task that was stopped or has ended here.
    closed_runs: HashMap<String, u64>,
    beat: Option<Instant>,
    seq: u64,
}

impl Runner {
    fn clock_ms(&self, now: Instant) -> u64 {
        480_000 + now.saturating_duration_since(self.born).as_millis() as u64
    }
}

/// An end of a run, as the checks see it.
#[derive(Clone)]
pub struct SeenEnd {
    pub at: Instant,
    pub task: String,
    pub group: String,
    pub how: &'static str,
}

/// A start that a runner has carried out.
pub struct SeenStart {
    pub task: String,
    pub run: u64,
    pub checkpointed: String,
}

pub struct Platform {
    pub runners: Vec<Runner>,
    pub jobs: BTreeMap<String, JobDef>,
    pub ends: Vec<SeenEnd>,
    pub starts: Vec<SeenStart>,
    /// Gang runs of which a member has ended.
    broken_groups: BTreeSet<String>,
    began: Instant,
    last_tick: Instant,
    record: File,
    /// Until when a ticket is valid.
    tickets: HashMap<String, Instant>,
    items: BTreeMap<String, Item>,
    history: Vec<(u64, String, Option<Item>)>,
    revision: u64,
    leases: BTreeMap<u64, Lease>,
}

/// The platform, shared by all servers.
pub struct World {
    pub platform: Mutex<Platform>,
    pub changed: Condvar,
}

impl World {
    pub fn new(record: File) -> Self {
        let now = Instant::now();
        let platform = Platform {
            runners: Vec::new(),
            jobs: BTreeMap::new(),
            ends: Vec::new(),
            starts: Vec::new(),
            broken_groups: BTreeSet::new(),
            began: now,
            last_tick: now,
            record,
            tickets: HashMap::new(),
            items: BTreeMap::new(),
            history: Vec::new(),
            revision: 100,
            leases: BTreeMap::new(),
        };
        Self { platform: Mutex::new(platform), changed: Condvar::new() }
    }

    /// Advances everything to now.
    pub fn tick(&self) {
        let mut platform = self.platform.lock().expect("lock");
        if platform.advance(Instant::now()) {
            self.changed.notify_all();
        }
    }

    /// Answers a call to the store.
    pub fn store(&self, request: &Request) -> Answer {
        let mut platform = self.platform.lock().expect("lock");
        let query = |name: &str| request.query.get(name).cloned().unwrap_or_default();
        let (method, path) = (request.method.as_str(), request.path.as_str());
        match (method, path) {
            ("GET", "/api/kv-key") => {
                let key = query("key");
                let revision = ("store_revision", num(platform.revision));
                Some(match platform.items.get(&key) {
                    Some(item) => (200, item_json(&key, item, Some(revision))),
                    None => (404, obj(vec![revision])),
                })
            }
            ("GET", "/api/kv-range") => {
                let (prefix, after) = (query("prefix"), query("after"));
                let all = platform.items.iter().filter(|(key, _)| key.starts_with(&prefix));
                let mut items: Vec<Json> = all
                    .filter(|(key, _)| after.is_empty() || **key > after)
                    .take(501)
                    .map(|(key, item)| item_json(key, item, None))
                    .collect();
                let more = items.len() > 500;
                items.truncate(500);
                Some((
                    200,
                    obj(vec![
                        ("items", Json::Arr(items)),
                        ("more_pages", Json::Bool(more)),
                        ("store_revision", num(platform.revision)),
                    ]),
                ))
            }
            ("GET", "/api/kv-watch") => {
                let (prefix, after) = (query("prefix"), query("after").parse().unwrap_or(0));
                let wait = Duration::from_millis(query("wait_ms").parse().unwrap_or(0));
                let until = Instant::now() + wait;
                loop {
                    let events = platform.events(&prefix, after);
                    let now = Instant::now();
                    if !events.is_empty() || now >= until {
                        let revision = num(platform.revision);
                        let fields =
                            vec![("events", Json::Arr(events)), ("store_revision", revision)];
                        return Some((200, obj(fields)));
                    }
                    let waited = self.changed.wait_timeout(platform, until - now);
                    platform = waited.expect("lock").0;
                }
            }
            ("POST", "/api/kv-txn") => {
                let answer = platform.transact(&request.body);
                self.changed.notify_all();
                Some(answer)
            }
            ("POST", "/api/kv-lease") => {
                let ttl_ms = request.body.get("ttl_ms").num().unwrap_or(1000).max(1000);
                let ttl = Duration::from_millis(ttl_ms);
                let id = platform.leases.keys().last().map_or(7001, |last| last + 1);
                platform.leases.insert(id, Lease { ttl, ends: Instant::now() + ttl });
                Some((200, obj(vec![("lease", num(id)), ("ttl_ms", num(ttl_ms))])))
            }
            ("POST", path) if path.starts_with("/api/kv-keep/") => {
                let id: u64 = path["/api/kv-keep/".len()..].parse().unwrap_or(0);
                Some(match platform.leases.get_mut(&id) {
                    Some(lease) => {
                        lease.ends = Instant::now() + lease.ttl;
                        (200, obj(vec![("ttl_ms", num(lease.ttl.as_millis() as u64))]))
                    }
                    None => (404, obj(vec![])),
                })
            }
            ("DELETE", path) if path.starts_with("/api/kv-lease-end/") => {
                let id: u64 = path["/api/kv-lease-end/".len()..].parse().unwrap_or(0);
                let known = platform.leases.remove(&id).is_some();
                platform.drop_leased(id);
                Some((if known { 200 } else { 404 }, obj(vec![])))
            }
            ("GET", "/api/machines") => {
                let fields = vec![("machines", Json::Arr(vec![])), ("next_token", Json::Null)];
                Some((200, obj(fields)))
            }
            _ => Some((404, obj(vec![]))),
        }
    }

    /// Answers a call to the advice service, which lets no step run on each zone's last runner.
    pub fn advise(&self, request: &Request) -> Answer {
        let (step, workers) = (request.body.get("step").str(), request.body.get("workers").arr());
        let time = Duration::from_millis(DECIDE_MS + PER_ITEM_MS * workers.len() as u64);
        std::thread::sleep(time);
        let mut platform = self.platform.lock().expect("lock");
        let now = Instant::now();
        let mut good = Vec::new();
        for worker in workers {
            if !platform.may_run_advised(worker.str()) {
                continue;
            }
            let ticket = format!("{step} {} {}", worker.str(), platform.tickets.len());
            let until = now + Duration::from_millis(VALID_MS);
            platform.tickets.insert(ticket.clone(), until);
            good.push(Json::Arr(vec![worker.clone(), text(&ticket)]));
        }
        platform.note(&format!("advice: {step} may run on {} of {}", good.len(), workers.len()));
        Some((200, obj(vec![("good", Json::Arr(good)), ("valid_ms", num(VALID_MS))])))
    }

    /// Answers a call to a runner.
    pub fn runner(&self, index: usize, request: &Request) -> Answer {
        let mut platform = self.platform.lock().expect("lock");
        let now = Instant::now();
        platform.advance(now);
        let runner = &mut platform.runners[index];
        if !runner.up {
            return None;
        }
        let expected = request.headers.get("waxwingstall-expect-instance");
        if expected.is_some_and(|id| *id != runner.id) {
            return Some((421, obj(vec![("clock_ms", num(runner.clock_ms(now)))])));
        }
        let body = &request.body;
        let fence = body.get("fence").num().unwrap_or(0);
        if fence < runner.fence {
            return Some(runner.refused("fence", now));
        }
        runner.fence = fence;
        match request.path.as_str() {
            "/api/hold" => {
                runner.extend(body.get("deadline_ms").num(), now);
                let acked = body.get("acked_upto").num().unwrap_or(0);
                runner.ended.retain(|end| end.number > acked);
                let wait = Duration::from_millis(body.get("wait_ms").num().unwrap_or(0));
                let until = now + wait.min(Duration::from_millis(2000));
                loop {
                    let now = Instant::now();
                    let runner = &platform.runners[index];
                    if !runner.up {
                        return None;
                    }
                    if !runner.ended.is_empty() || now >= until {
                        return Some((200, platform.lists(index, now)));
                    }
                    let waited = self.changed.wait_timeout(platform, until - now);
                    platform = waited.expect("lock").0;
                }
            }
            "/api/run-start" => Some(platform.start(index, body, now)),
            "/api/run-stop" => Some(platform.stop(index, body, now)),
            "/api/pace" => Some((200, obj(vec![("clock_ms", num(runner.clock_ms(now)))]))),
            _ => Some((404, obj(vec![]))),
        }
    }
}

fn item_json(key: &str, item: &Item, more: Option<(&str, Json)>) -> Json {
    let mut fields = vec![
        ("key", text(key)),
        ("value", text(&item.value)),
        ("rev", num(item.rev)),
        ("created", num(item.created)),
        ("lease", num(item.lease)),
    ];
    fields.extend(more);
    obj(fields)
}

impl Runner {
    fn stop_serving(&mut self) {
        self.up = false;
        self.ended_flag.store(true, Ordering::Relaxed);
    }

    fn refused(&self, reason: &str, now: Instant) -> (u16, Json) {
        (409, obj(vec![("clock_ms", num(self.clock_ms(now))), ("reason", text(reason))]))
    }

    /// A deadline never shortens, and is cut to the longest hold.
    fn extend(&mut self, deadline_ms: Option<u64>, now: Instant) {
        let longest = self.clock_ms(now) + MAX_HOLD_MS;
        if let Some(deadline) = deadline_ms {
            self.deadline_ms = self.deadline_ms.max(deadline.min(longest));
        }
    }
}

impl Platform {
    /// Writes a line into the record.
    pub fn note(&mut self, line: &str) {
        let at = self.began.elapsed().as_secs_f64();
        let _ = writeln!(self.record, "{at:9.3} s  {line}");
    }

    pub fn put(&mut self, key: &str, value: &Json) {
        self.write(key, Some((base64(value.text().as_bytes()), 0)));
    }

    fn write(&mut self, key: &str, value: Option<(String, u64)>) {
        self.revision += 1;
        self.write_at(key, value);
    }

    fn write_at(&mut self, key: &str, value: Option<(String, u64)>) {
        let rev = self.revision;
        let item = value.map(|(value, lease)| {
            let created = self.items.get(key).map_or(rev, |item| item.created);
            Item { value, rev, created, lease }
        });
        match &item {
            Some(item) => drop(self.items.insert(key.to_owned(), item.clone())),
            None => drop(self.items.remove(key)),
        }
        self.history.push((rev, key.to_owned(), item));
    }

    fn events(&self, prefix: &str, after: u64) -> Vec<Json> {
        let from = self.history.partition_point(|(rev, ..)| *rev <= after);
        let events = self.history[from..].iter().filter(|(_, key, _)| key.starts_with(prefix));
        let event = |(rev, key, item): &(u64, String, Option<Item>)| match item {
            Some(item) => item_json(key, item, None),
            None => {
                obj(vec![("key", text(key)), ("rev", num(*rev)), ("deleted", Json::Bool(true))])
            }
        };
        events.map(event).collect()
    }

    fn transact(&mut self, body: &Json) -> (u16, Json) {
        let rev_of = |key: &str| self.items.get(key).map_or(0, |item| item.rev);
        let conditions = body.get("expect_rev").arr();
        let holds = |c: &Json| rev_of(c.get("key").str()) == c.get("rev").num().unwrap_or(0);
        if !conditions.iter().all(holds) {
            let present = conditions.iter().filter_map(|condition| {
                let key = condition.get("key").str();
                Some(item_json(key, self.items.get(key)?, None))
            });
            return (412, obj(vec![("items", Json::Arr(present.collect()))]));
        }
        let puts = body.get("puts").arr();
        let lease_of = |put: &Json| put.get("lease").num().unwrap_or(0);
        if puts.iter().any(|put| lease_of(put) > 0 && !self.leases.contains_key(&lease_of(put))) {
            return (404, obj(vec![]));
        }
        self.revision += 1;
        for put in puts {
            let value = (put.get("value").str().to_owned(), lease_of(put));
            self.write_at(put.get("key").str(), Some(value));
        }
        for key in body.get("deletes").arr() {
            if self.items.contains_key(key.str()) {
                self.write_at(key.str(), None);
            }
        }
        (200, obj(vec![("rev", num(self.revision))]))
    }

    fn drop_leased(&mut self, lease: u64) {
        let keys = self.items.iter().filter(|(_, item)| item.lease == lease);
        let keys: Vec<String> = keys.map(|(key, _)| key.clone()).collect();
        keys.iter().for_each(|key| self.write(key, None));
    }

    fn lists(&self, index: usize, now: Instant) -> Json {
        let runner = &self.runners[index];
        let running = runner.running.iter().map(|run| {
            let percent = (run.progress * 100.0 / self.work_ms(run)).min(100.0);
            Json::Arr(vec![
                text(&run.task),
                num(run.run),
                text(&run.saved),
                num(percent as u64),
                num(0),
            ])
        });
        let ended = runner.ended.iter().take(500).map(|end| {
            Json::Arr(vec![
                num(end.number),
                text(&end.task),
                num(end.run),
                text(end.how),
                text(&end.saved),
            ])
        });
        obj(vec![
            ("clock_ms", num(runner.clock_ms(now))),
            ("running", Json::Arr(running.collect())),
            ("ended", Json::Arr(ended.collect())),
        ])
    }

    fn step(&self, task: &str, step: usize) -> Option<&StepDef> {
        self.jobs.get(task.split('.').next()?)?.steps.get(step)
    }

    /// The work of a run, or the startup of one that lasts.
    fn work_ms(&self, run: &Run) -> f64 {
        let work = |step: &StepDef| if step.lasts { STARTUP_MS } else { step.work_ms };
        self.step(&run.task, run.step).map_or(1.0, work)
    }

    fn lasts(&self, run: &Run) -> bool {
        self.step(&run.task, run.step).is_some_and(|step| step.lasts)
    }

    fn start(&mut self, index: usize, body: &Json, now: Instant) -> (u16, Json) {
        let (task, run) = (body.get("task").str().to_owned(), body.get("run").num().unwrap_or(0));
        let checkpointed = body.get("checkpointed").str().to_owned();
        let parts: Vec<&str> = task.split('.').collect();
        let job = self.jobs.get(parts[0]);
        let asked = job.is_some_and(|job| job.spec == body.get("spec").str());
        let runner = &mut self.runners[index];
        let deadline_ms = body.get("deadline_ms").num().unwrap_or(0);
        let answer = |runner: &Runner| (200, obj(vec![("clock_ms", num(runner.clock_ms(now)))]));
        if deadline_ms <= runner.clock_ms(now) {
            return runner.refused("late", now);
        }
        runner.extend(Some(deadline_ms), now);
        if runner.running.iter().any(|known| known.task == task && known.run == run) {
            return answer(runner);
        }
        if runner.closed_runs.get(&task).is_some_and(|closed| run <= *closed) {
            return runner.refused("old", now);
        }
        if !asked {
            let id = runner.id.clone();
            self.note(&format!("{id} is told to start {task}, which nobody sent"));
            return (400, obj(vec![]));
        }
        let step: usize = parts.get(2).and_then(|n| n.parse().ok()).unwrap_or(0);
        if self.step(&task, step).is_some_and(|step| step.advised) {
            let ticket = body.get("ticket").str();
            let of_step = format!("{}.{}.{step} {}", parts[0], parts[1], self.runners[index].id);
            let is_valid = self.tickets.get(ticket).is_some_and(|until| now < *until);
            if !is_valid || !ticket.starts_with(&of_step) {
                return self.runners[index].refused("ticket", now);
            }
        }
        let progress = u64::from_str_radix(checkpointed.get(..8).unwrap_or("0"), 16).unwrap_or(0);
        let group = format!("{}.{}.{} run {run}", parts[0], parts[1], parts[2]);
        let gang = self.step(&task, step).is_some_and(|step| step.gang);
        let runner = &mut self.runners[index];
        runner.running.push(Run {
            task: task.clone(),
            run,
            step,
            group: if gang { group } else { format!("{task} run {run}") },
            checkpointed: checkpointed.clone(),
            saved: checkpointed.clone(),
            started: now,
            working: (!gang).then_some(now),
            progress: progress as f64,
            stopping: None,
        });
        let (id, ok) = (runner.id.clone(), answer(runner));
        self.note(&format!("{id} starts {task} run {run} checkpointed \"{checkpointed}\""));
        self.starts.push(SeenStart { task, run, checkpointed });
        ok
    }

    fn stop(&mut self, index: usize, body: &Json, now: Instant) -> (u16, Json) {
        let (task, run) = (body.get("task").str().to_owned(), body.get("run").num().unwrap_or(0));
        let runner = &mut self.runners[index];
        let closed = runner.closed_runs.entry(task.clone()).or_default();
        *closed = (*closed).max(run);
        let known = runner.running.iter_mut().find(|known| known.task == task && known.run == run);
        if let Some(known) = known {
            known.stopping.get_or_insert(now + STOP_TAKES);
        }
        let (id, clock_ms) = (runner.id.clone(), runner.clock_ms(now));
        self.note(&format!("{id} is told to stop {task} run {run}"));
        (200, obj(vec![("clock_ms", num(clock_ms))]))
    }

    /// Ends a run: lists the end, and breaks the rest of its gang.
    fn end(&mut self, index: usize, at: usize, how: &'static str, now: Instant) {
        let run = self.runners[index].running.remove(at);
        let step = self.step(&run.task, run.step).cloned();
        let mut saved = run.saved.clone();
        if how == "stopped" && run.working.is_some() && step.is_some_and(|step| step.checkpoint) {
            saved = checkpoint(&run.task, run.progress);
        }
        let runner = &mut self.runners[index];
        runner.last_number += 1;
        let closed = runner.closed_runs.entry(run.task.clone()).or_default();
        *closed = (*closed).max(run.run);
        runner.ended.push(End {
            number: runner.last_number,
            task: run.task.clone(),
            run: run.run,
            how,
            saved: saved.clone(),
        });
        let id = runner.id.clone();
        self.note(&format!("{id} ends {} run {}: {how}, saved \"{saved}\"", run.task, run.run));
        self.broken_groups.insert(run.group.clone());
        self.ends.push(SeenEnd { at: now, task: run.task, group: run.group, how });
    }

    /// Ends the runs that `how` picks; returns whether there were any.
    fn end_all(
        &mut self,
        now: Instant,
        how: impl Fn(&Self, &Runner, &Run) -> Option<&'static str>,
    ) -> bool {
        let mut ends = Vec::new();
        for (index, runner) in self.runners.iter().enumerate().filter(|(_, runner)| runner.up) {
            for (at, run) in runner.running.iter().enumerate().rev() {
                ends.extend(how(self, runner, run).map(|how| (index, at, how)));
            }
        }
        let any = !ends.is_empty();
        ends.into_iter().for_each(|(index, at, how)| self.end(index, at, how, now));
        any
    }

    fn advance(&mut self, now: Instant) -> bool {
        let passed = now.saturating_duration_since(self.last_tick).as_secs_f64() * 1000.0;
        self.last_tick = now;
        let mut changed = self.beat(now) | self.end_leases(now);
        // Members of a gang that are there; those with another `checkpointed` are of another run.
        let mut present: HashMap<(String, String), usize> = HashMap::new();
        for run in self.runners.iter().filter(|runner| runner.up).flat_map(|r| &r.running) {
            if run.stopping.is_none() {
                let gang = (run.group.clone(), run.checkpointed.clone());
                *present.entry(gang).or_default() += 1;
            }
        }
        let jobs = &self.jobs;
        let def = |run: &Run| {
            let job = run.task.split('.').next().unwrap_or_default();
            jobs.get(job).and_then(|job| job.steps.get(run.step)).cloned()
        };
        for run in self.runners.iter_mut().filter(|r| r.up).flat_map(|r| &mut r.running) {
            let Some(step) = def(run) else { continue };
            if run.working.is_none() {
                let gang = (run.group.clone(), run.checkpointed.clone());
                if present.get(&gang) == Some(&step.count) {
                    let restore = if run.checkpointed.is_empty() { 0 } else { RESTORE_MS };
                    run.working = Some(now + Duration::from_millis(restore));
                }
            } else if run.stopping.is_none() && run.working.is_some_and(|at| at <= now) {
                run.progress += passed;
                let saved = (run.progress / CHECKPOINT_MS).floor() * CHECKPOINT_MS;
                if step.checkpoint && saved > 0.0 && run.progress < step.work_ms {
                    run.saved = checkpoint(&run.task, saved);
                }
            }
        }
        changed |= self.end_all(now, |_, runner, _| {
            (runner.clock_ms(now) > runner.deadline_ms).then_some("lapsed")
        });
        changed |= self.end_all(now, |_, runner, run| {
            let begun = run.working.is_some_and(|at| now >= at + GREY_FAILS_AFTER);
            (runner.grey_until.is_some_and(|until| now < until) && begun).then_some("failed")
        });
        changed |= self.end_all(now, |_, _, run| {
            run.stopping.is_some_and(|at| now >= at).then_some("stopped")
        });
        changed |= self.end_all(now, |this, _, run| {
            let is_over = run.progress >= this.work_ms(run) && !this.lasts(run);
            (is_over && run.stopping.is_none()).then_some("done")
        });
        let timeout = Duration::from_millis(GANG_TIMEOUT_MS);
        changed |= self.end_all(now, |this, _, run| {
            let waits = run.working.is_none() && !this.broken_groups.contains(&run.group);
            (waits && now >= run.started + timeout).then_some("alone")
        });
        changed
            | self.end_all(now, |this, _, run| {
                this.broken_groups.contains(&run.group).then_some("broken")
            })
    }

    fn beat(&mut self, now: Instant) -> bool {
        let (mut writes, mut gone) = (Vec::new(), Vec::new());
        for (index, runner) in self.runners.iter_mut().enumerate() {
            let key = format!("servers/{}", runner.id);
            let silent = runner.beat.map(|at| now.saturating_duration_since(at));
            if !runner.up {
                let lapses = Duration::from_millis(3 * HEARTBEAT_MS);
                if silent.is_some_and(|silent| silent >= lapses) && self.items.contains_key(&key) {
                    writes.push((key, None));
                }
                continue;
            }
            if runner.draining.is_some_and(|until| now >= until) {
                gone.push(index);
                writes.push((key, None));
            } else if silent.is_none_or(|silent| silent.as_millis() as u64 >= HEARTBEAT_MS) {
                runner.beat = Some(now);
                runner.seq += 1;
                writes.push((key, Some(entry(runner, now))));
            }
        }
        for index in gone {
            self.runners[index].stop_serving();
            let runs: Vec<String> =
                self.runners[index].running.iter().map(|run| run.group.clone()).collect();
            self.broken_groups.extend(runs);
            let id = self.runners[index].id.clone();
            self.note(&format!("{id} has left"));
        }
        let changed = !writes.is_empty();
        for (key, value) in writes {
            self.write(&key, value.map(|value| (base64(value.text().as_bytes()), 0)));
        }
        changed
    }

    fn end_leases(&mut self, now: Instant) -> bool {
        let over: Vec<u64> =
            self.leases.iter().filter(|(_, l)| now >= l.ends).map(|(id, _)| *id).collect();
        for id in &over {
            self.leases.remove(id);
            self.drop_leased(*id);
        }
        !over.is_empty()
    }

    /// Whether the advice service lets a step run on a runner: on all but one of each zone.
    pub fn may_run_advised(&self, id: &str) -> bool {
        let runner = self.runners.iter().find(|runner| runner.id == id);
        let zone = runner.map(|runner| runner.zone.as_str()).unwrap_or_default();
        let last = self.runners.iter().rev().find(|runner| runner.zone == zone);
        runner.is_some() && last.is_some_and(|last| last.id != id)
    }

    /// A runner announces that it leaves after `notice`.
    pub fn drain(&mut self, index: usize, notice: Duration) {
        let now = Instant::now();
        let runner = &mut self.runners[index];
        // It serves a little longer than it says.
        runner.draining = Some(now + notice + Duration::from_millis(500));
        runner.beat = None;
        let id = runner.id.clone();
        self.note(&format!("TROUBLE: {id} drains, and leaves after {} ms", notice.as_millis()));
    }

    /// A runner is lost for good, with everything on it.
    pub fn crash(&mut self, index: usize) {
        let runner = &mut self.runners[index];
        runner.stop_serving();
        let groups: Vec<String> = runner.running.iter().map(|run| run.group.clone()).collect();
        let id = runner.id.clone();
        self.broken_groups.extend(groups);
        self.note(&format!("TROUBLE: {id} crashes and is lost for good"));
    }

    /// A runner fails everything that it runs or starts for `time`, its liveness check being good.
    pub fn turn_grey(&mut self, index: usize, time: Duration) {
        let runner = &mut self.runners[index];
        runner.grey_until = Some(Instant::now() + time);
        let id = runner.id.clone();
        self.note(&format!("TROUBLE: {id} fails all that it runs, for {} ms", time.as_millis()));
    }

    /// Adds a runner, and returns the flag that is set when it has ended.
    pub fn add_runner(
        &mut self,
        number: usize,
        zone: &str,
        rack: &str,
        address: &str,
        cpu: u64,
    ) -> Arc<AtomicBool> {
        let now = Instant::now();
        let ended_flag = Arc::new(AtomicBool::new(false));
        self.runners.push(Runner {
            id: format!("i-{:010x}", 0x7f3a_91c2_u64 * 31 + number as u64 * 7919),
            zone: zone.to_owned(),
            rack: rack.to_owned(),
            address: address.to_owned(),
            cpu,
            up: true,
            ended_flag: ended_flag.clone(),
            draining: None,
            grey_until: None,
            running: Vec::new(),
            fence: 0,
            deadline_ms: 0,
            born: now,
            ended: Vec::new(),
            last_number: 0,
            closed_runs: HashMap::new(),
            beat: None,
            seq: 0,
        });
        ended_flag
    }
}

/// A value that any member of a gang may resume from.
fn checkpoint(task: &str, progress: f64) -> String {
    format!("{:08x}{}", progress as u64, task.get(4..12).unwrap_or_default())
}

fn entry(runner: &Runner, now: Instant) -> Json {
    let capacity = obj(vec![("cpu", num(runner.cpu)), ("mem_mb", num(64_000)), ("gpu", num(0))]);
    let mut fields = vec![
        ("service", text("cellar-keeper")),
        ("address", text(&runner.address)),
        ("zone", text(&runner.zone)),
        ("version", text("v1")),
        ("slots", num(8)),
        ("state", text(if runner.draining.is_some() { "draining" } else { "ready" })),
        ("cold_left_ms", num(0)),
        ("capacity", capacity),
        ("labels", Json::Arr(vec![text("a"), text(&runner.rack)])),
        ("clock_ms", num(runner.clock_ms(now))),
        ("seq", num(runner.seq)),
    ];
    if let Some(until) = runner.draining {
        let left = until.saturating_duration_since(now).saturating_sub(Duration::from_millis(500));
        fields.push(("remaining_ms", num(left.as_millis() as u64)));
    }
    obj(fields)
}
