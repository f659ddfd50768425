//! A runner: it runs what it is told to start, as PROTOCOL.md tells. A task's spec says what it does:
//! `work_ms=N` is done after so long, `work_ms=0` lasts.

use crate::http::{Answer, Request, serve};
use crate::store::Store;
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

/// Time from its start after which a task that lasts is at work.
pub const AT_WORK_AFTER: Duration = Duration::from_millis(500);

const STOP_TIME: Duration = Duration::from_millis(300);

/// A run, as the runner's own witness.
#[derive(Clone, Debug)]
pub struct Seen {
    pub runner: String,
    pub task: String,
    pub run: u64,
    pub started: Instant,
    pub ended: Option<(Instant, &'static str)>,
}

struct Running {
    run: u64,
    work: Duration,
    started: Instant,
    stop_at: Option<Instant>,
    seen: usize,
}

struct Table {
    id: String,
    lives: u32,
    silent_until: Instant,
    is_up: bool,
    fence: u64,
    deadline: Instant,
    max_hold: Duration,
    running: BTreeMap<String, Running>,
    barred: BTreeMap<String, u64>,
    ended: Vec<(u64, String, u64, &'static str)>,
    ends: u64,
    seen: Vec<Seen>,
    /// Whether it is unhealthy: it refuses starts with 503 and has then done nothing.
    refuses: bool,
    refused: u64,
    origin: Instant,
}

#[derive(Clone)]
pub struct Runner {
    /// Name of its first life; the id of a later one begins with it.
    pub name: String,
    table: Arc<Mutex<Table>>,
    store: Store,
}

/// What a runner tells of itself.
pub struct About {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub labels: Vec<String>,
    pub cpu: u64,
    pub mem_mb: u64,
    pub max_hold: Duration,
}

impl Runner {
    /// Starts a runner that callers reach at `addr`.
    pub fn start(
        listener: TcpListener,
        about: About,
        addr: SocketAddr,
        store: Store,
        announce: Duration,
    ) -> Self {
        let table = Table {
            id: about.id.clone(),
            lives: 1,
            silent_until: Instant::now(),
            is_up: true,
            fence: 0,
            deadline: Instant::now(),
            max_hold: about.max_hold,
            running: BTreeMap::new(),
            barred: BTreeMap::new(),
            ended: Vec::new(),
            ends: 0,
            seen: Vec::new(),
            refuses: false,
            refused: 0,
            origin: Instant::now() - Duration::from_secs(500),
        };
        let runner = Self {
            name: about.id.clone(),
            table: Arc::new(Mutex::new(table)),
            store: store.clone(),
        };
        let served = runner.clone();
        serve(listener, move |request| served.handle(request));
        let announced = runner.clone();
        std::thread::spawn(move || announced.announce_regularly(&about, addr, announce));
        runner
    }

    fn table(&self) -> MutexGuard<'_, Table> {
        let mut table = self.table.lock().expect("no handler panics");
        table.pass();
        table
    }

    /// The id of its present life.
    pub fn id(&self) -> String {
        self.table().id.clone()
    }

    /// It leaves: its life ends, and its entry is removed.
    pub fn leave(&self) {
        let id = self.end_life();
        self.store.delete(&format!("servers/{id}"));
    }

    /// It crashes: its life ends, and its entry stays for three ping intervals.
    pub fn crash(&self, announce: Duration) {
        let (id, store) = (self.end_life(), self.store.clone());
        std::thread::spawn(move || {
            std::thread::sleep(3 * announce);
            store.delete(&format!("servers/{id}"));
        });
    }

    /// Ends its life: everything on it terminates. Returns its id.
    fn end_life(&self) -> String {
        let mut table = self.table();
        let now = Instant::now();
        let running = std::mem::take(&mut table.running);
        running.values().for_each(|run| table.seen[run.seen].ended = Some((now, "terminated")));
        table.is_up = false;
        table.id.clone()
    }

    /// Begins another life, with another id, that runs nothing and has seen no fence. Its first ping
    /// follows after `silent`.
    pub fn begin_life(&self, silent: Duration) {
        let mut table = self.table();
        table.silent_until = Instant::now() + silent;
        table.lives += 1;
        table.id = format!("{}-{}", self.name, table.lives);
        (table.fence, table.ends) = (0, 0);
        table.barred.clear();
        table.ended.clear();
        table.deadline = Instant::now();
        table.is_up = true;
    }

    pub fn seen(&self) -> Vec<Seen> {
        self.table().seen.clone()
    }

    pub fn set_refusing(&self, refuses: bool) {
        self.table().refuses = refuses;
    }

    pub fn refused(&self) -> u64 {
        self.table().refused
    }

    fn announce_regularly(&self, about: &About, addr: SocketAddr, every: Duration) {
        for seq in 1u64.. {
            let (id, is_told) = {
                let table = self.table();
                (table.id.clone(), table.is_up && Instant::now() >= table.silent_until)
            };
            let entry = json!({
                "service": about.service, "address": addr.to_string(), "zone": about.zone,
                "version": "v1", "slots": 8, "state": "ready", "cold_left_ms": 0, "seq": seq,
                "labels": about.labels,
                "capacity": { "cpu": about.cpu, "mem_mb": about.mem_mb, "gpu": 0 },
            });
            if is_told {
                self.store.put(&format!("servers/{id}"), &entry, 0);
            }
            // A new life doesn't wait for the next ping of the one before.
            let until = Instant::now() + if is_told { every } else { Duration::ZERO };
            while Instant::now() < until && self.table().id == id {
                std::thread::sleep(Duration::from_millis(20));
            }
            std::thread::sleep(Duration::from_millis(20));
        }
    }

    fn handle(&self, request: &Request) -> Answer {
        let body = request.json();
        let id = request.headers.get("waxwingstall-expect-instance").cloned().unwrap_or_default();
        if request.path == "/api/hold" {
            let wait = Duration::from_millis(body["wait_ms"].as_u64().unwrap_or(0).min(2000));
            let (until, acked) = (Instant::now() + wait, body["acked_upto"].as_u64().unwrap_or(0));
            while Instant::now() < until && !self.table().has_news(&id, acked) {
                std::thread::sleep(Duration::from_millis(10));
            }
        }
        let mut table = self.table();
        if !table.is_up {
            return None;
        }
        if table.id != id {
            return Some((421, "{}".to_owned()));
        }
        match request.path.as_str() {
            "/api/run-start" => table.start(&body),
            "/api/run-stop" => table.stop(&body),
            "/api/pace" => table.pace(&body),
            "/api/hold" => table.hold(&body),
            _ => Some((404, "{}".to_owned())),
        }
    }
}

impl Table {
    /// Whether a call for a life has something to tell now.
    fn has_news(&self, id: &str, acked: u64) -> bool {
        !self.is_up || self.id != id || self.ended.iter().any(|end| end.0 > acked)
    }

    fn clock_ms(&self) -> u64 {
        self.origin.elapsed().as_millis() as u64
    }

    fn conflict(&self, reason: &str) -> Answer {
        Some((409, json!({ "clock_ms": self.clock_ms(), "reason": reason }).to_string()))
    }

    fn ok(&self) -> Answer {
        Some((200, json!({ "clock_ms": self.clock_ms() }).to_string()))
    }

    /// Whether the caller's fence is lower than one seen before.
    fn is_fenced(&mut self, body: &Value) -> bool {
        let fence = body["fence"].as_u64().unwrap_or(0);
        self.fence = self.fence.max(fence);
        fence < self.fence
    }

    fn keep(&mut self, body: &Value) {
        let Some(deadline_ms) = body["deadline_ms"].as_u64() else { return };
        let deadline = self.origin + Duration::from_millis(deadline_ms);
        self.deadline = self.deadline.max(deadline.min(Instant::now() + self.max_hold));
    }

    fn start(&mut self, body: &Value) -> Answer {
        if self.is_fenced(body) {
            return self.conflict("fence");
        }
        if self.refuses {
            self.refused += 1;
            return Some((503, "{}".to_owned()));
        }
        let task = body["task"].as_str().unwrap_or_default().to_owned();
        let run = body["run"].as_u64().unwrap_or(0);
        self.keep(body);
        if self.running.get(&task).is_some_and(|known| known.run == run) {
            return self.ok();
        }
        if self.running.contains_key(&task) || run <= self.barred.get(&task).copied().unwrap_or(0) {
            return self.conflict("old");
        }
        let now = Instant::now();
        if self.deadline <= now {
            return self.conflict("late");
        }
        let spec = body["spec"].as_str().unwrap_or_default();
        let work = spec.strip_prefix("work_ms=").and_then(|ms| ms.parse().ok()).unwrap_or(0);
        let seen =
            Seen { runner: self.id.clone(), task: task.clone(), run, started: now, ended: None };
        self.seen.push(seen);
        let seen = self.seen.len() - 1;
        let work = Duration::from_millis(work);
        self.running.insert(task, Running { run, work, started: now, stop_at: None, seen });
        self.ok()
    }

    fn stop(&mut self, body: &Value) -> Answer {
        if self.is_fenced(body) {
            return self.conflict("fence");
        }
        let task = body["task"].as_str().unwrap_or_default().to_owned();
        let run = body["run"].as_u64().unwrap_or(0);
        match self.running.get_mut(&task) {
            Some(known) if known.run <= run => {
                known.stop_at.get_or_insert(Instant::now() + STOP_TIME);
            }
            _ => {
                let barred = self.barred.entry(task).or_default();
                *barred = run.max(*barred);
            }
        }
        self.ok()
    }

    fn pace(&mut self, body: &Value) -> Answer {
        if self.is_fenced(body) { self.conflict("fence") } else { self.ok() }
    }

    fn hold(&mut self, body: &Value) -> Answer {
        if self.is_fenced(body) {
            return self.conflict("fence");
        }
        self.keep(body);
        let acked = body["acked_upto"].as_u64().unwrap_or(0);
        self.ended.retain(|end| end.0 > acked);
        let running: Vec<Value> = self
            .running
            .iter()
            .map(|(task, known)| {
                let done = known.started.elapsed().as_millis();
                let percent = match known.work.as_millis() {
                    0 => {
                        if done > AT_WORK_AFTER.as_millis() {
                            100
                        } else {
                            0
                        }
                    }
                    work => (done * 100 / work).min(99),
                };
                json!([task, known.run, "", percent as u64, 0])
            })
            .collect();
        let ended: Vec<Value> = self
            .ended
            .iter()
            .take(500)
            .map(|(number, task, run, how)| json!([number, task, run, how, ""]))
            .collect();
        let body = json!({ "clock_ms": self.clock_ms(), "running": running, "ended": ended });
        Some((200, body.to_string()))
    }

    /// Ends what has ended by now.
    fn pass(&mut self) {
        let now = Instant::now();
        let ended: Vec<(String, Instant, &'static str)> = self
            .running
            .iter()
            .filter_map(|(task, known)| {
                let done = (!known.work.is_zero()).then(|| known.started + known.work);
                let ends = [
                    done.map(|at| (at, "done")),
                    known.stop_at.map(|at| (at, "stopped")),
                    Some((self.deadline, "lapsed")),
                ];
                let first = ends.into_iter().flatten().min_by_key(|(at, _)| *at)?;
                (first.0 <= now).then(|| (task.clone(), first.0, first.1))
            })
            .collect();
        for (task, at, how) in ended {
            let Some(known) = self.running.remove(&task) else { continue };
            self.seen[known.seen].ended = Some((at, how));
            self.barred.insert(task.clone(), known.run);
            self.ends += 1;
            self.ended.push((self.ends, task, known.run, how));
        }
    }
}
