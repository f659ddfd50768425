//! Plays one case: a small deployment of the platform daemon on loopback addresses, with stand-ins of
//! the store, the runners and one requester. See review/REPORT.md.
//!
//! usage: case NAME RECORD. Exits with 1 if the rule was broken, 0 if it held, 2 if it couldn't run.

mod http;
mod world;

use http::{Json, num, obj, text};
use std::collections::{BTreeMap, BTreeSet};
use std::fs::File;
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::time::{Duration, Instant};
use world::{JobDef, Platform, StepDef, World};

const ZONES: [&str; 4] = ["pivnita-nord", "pivnita-sud", "sala-telemea", "sala-cascaval"];
const RUNNERS_PER_ZONE: usize = 4;
const RUNNER_CPU: u64 = 16_000;
const DAEMONS_PER_ZONE: usize = 2;
const HOST: &str = "cellars.example";
const PREFIX: &str = "/checks/";
/// Queue whose steps may run only where the advice service says.
const ADVISED_PREFIX: &str = "/watches/";
const ATTEMPTS: usize = 3;
const CONTACT: Duration = Duration::from_millis(3000);
const FINISH: Duration = Duration::from_secs(14);

/// Processes that this program has started, and the folder of their files; both end with it.
struct Daemons {
    processes: Vec<Child>,
    folder: PathBuf,
}

impl Drop for Daemons {
    fn drop(&mut self) {
        for process in &mut self.processes {
            let _ = process.kill();
            let _ = process.wait();
        }
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

struct Case {
    world: Arc<World>,
    fronts: Vec<SocketAddr>,
    readies: Vec<SocketAddr>,
    daemons: Daemons,
}

fn main() {
    let args: Vec<String> = std::env::args().collect();
    let (Some(name), Some(record)) = (args.get(1), args.get(2)) else { std::process::exit(2) };
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    // Another program may take a port that was free a moment before.
    let code = match start(record).or_else(|_| start(record)) {
        Ok(case) => {
            case.note(&format!("case {name}, TROUBLE={}", u8::from(trouble)));
            let result = match name.as_str() {
                "runner-lost" => runner_lost(&case, trouble),
                "runner-grey" => runner_grey(&case, trouble),
                "runner-drains" => runner_drains(&case, trouble),
                "watcher-lost" => watcher_lost(&case, trouble),
                _ => Err(format!("no case {name}")),
            };
            let (code, line) = match result {
                Ok(None) => (0, "HELD".to_owned()),
                Ok(Some(what)) => (1, format!("BROKEN: {what}")),
                Err(why) => (2, format!("COULD NOT RUN: {why}")),
            };
            case.note(&line);
            println!("{line}");
            code
        }
        Err(why) => {
            println!("COULD NOT RUN: {why}");
            2
        }
    };
    std::process::exit(code);
}

/// A free port, and the one after it for metrics.
fn free_ports() -> std::io::Result<u16> {
    loop {
        let port = TcpListener::bind("127.0.0.1:0")?.local_addr()?.port();
        if port < u16::MAX && UdpSocket::bind(("127.0.0.1", port + 1)).is_ok() {
            return Ok(port);
        }
    }
}

fn start(record: &str) -> Result<Case, String> {
    let file = File::create(record).map_err(|e| e.to_string())?;
    let world = Arc::new(World::new(file));
    let never = Arc::new(AtomicBool::new(false));
    let listen = || TcpListener::bind("127.0.0.1:0").map_err(|e| e.to_string());
    for (number, zone) in ZONES.iter().flat_map(|z| [z; RUNNERS_PER_ZONE]).enumerate() {
        let listener = listen()?;
        let address = listener.local_addr().map_err(|e| e.to_string())?.to_string();
        let rack = format!("r{}-1", number / RUNNERS_PER_ZONE + 1);
        let served = world.clone();
        let mut platform = served.platform.lock().expect("lock");
        let ended = platform.add_runner(number, zone, &rack, &address, RUNNER_CPU);
        drop(platform);
        http::serve(listener, ended, move |request| served.runner(number, &request));
    }
    world.platform.lock().expect("lock").put("op/config", &configuration());
    let listener = listen()?;
    let store = listener.local_addr().map_err(|e| e.to_string())?.to_string();
    let served = world.clone();
    http::serve(listener, never.clone(), move |request| served.store(&request));
    let listener = listen()?;
    let advice = listener.local_addr().map_err(|e| e.to_string())?.to_string();
    let served = world.clone();
    http::serve(listener, never, move |request| served.advise(&request));
    let ticking = world.clone();
    std::thread::spawn(move || {
        loop {
            ticking.tick();
            std::thread::sleep(Duration::from_millis(10));
        }
    });
    let folder = std::env::temp_dir().join(format!("waxwing-review-{}", std::process::id()));
    std::fs::create_dir_all(&folder).map_err(|e| e.to_string())?;
    let daemons = Daemons { processes: Vec::new(), folder };
    let mut case = Case { world, fronts: Vec::new(), readies: Vec::new(), daemons };
    for zone in ZONES {
        for number in 1..=DAEMONS_PER_ZONE {
            let name = format!("front-{zone}-{number}");
            case.start_daemon(&name, zone, &store, &advice)?;
        }
    }
    case.wait_until_ready()?;
    Ok(case)
}

fn configuration() -> Json {
    let route = |name: &str, prefix: &str, advice: Option<Json>| {
        let mut fields = vec![
            ("name", text(name)),
            ("host", text(HOST)),
            ("prefix", text(prefix)),
            ("type", text("non_idempotent")),
            ("timeout_ms", num(3000)),
            ("target_latency_ms", num(1000)),
            ("priority", num(0)),
            ("service", text("cellar-keeper")),
            ("attempts", num(ATTEMPTS as u64)),
            ("stretch", Json::Num(2.0)),
        ];
        fields.extend(advice.map(|advice| ("advice", advice)));
        obj(fields)
    };
    let advice = obj(vec![
        ("decide_ms", num(world::DECIDE_MS)),
        ("per_item_ms", num(world::PER_ITEM_MS)),
        ("valid_ms", num(world::VALID_MS)),
    ]);
    let routes =
        vec![route("r-checks", PREFIX, None), route("r-watches", ADVISED_PREFIX, Some(advice))];
    let service = obj(vec![
        ("name", text("cellar-keeper")),
        ("health_path", text("/health")),
        ("max_conns", num(64)),
        ("protocol", text("h1")),
        ("tls", Json::Bool(false)),
        ("enforces_capacity", Json::Bool(false)),
        ("spare", Json::Bool(false)),
    ]);
    let limits = obj(vec![
        ("max_header_bytes", num(16384)),
        ("max_body_bytes", num(262_144)),
        ("header_timeout_ms", num(3000)),
        ("idle_timeout_ms", num(15000)),
    ]);
    obj(vec![
        ("version", num(7)),
        ("routes", Json::Arr(routes)),
        ("services", Json::Arr(vec![service])),
        ("limits", limits),
    ])
}

impl Case {
    /// Starts a daemon with the command of the deploy file, and its template filled in.
    fn start_daemon(
        &mut self,
        name: &str,
        zone: &str,
        store: &str,
        advice: &str,
    ) -> Result<(), String> {
        let fail = |e: std::io::Error| e.to_string();
        let template = std::fs::read_to_string("deploy/settings.toml").map_err(fail)?;
        let (front, ready) = (free_ports().map_err(fail)?, free_ports().map_err(fail)?);
        let ports = free_ports().map_err(fail)?;
        let fields: BTreeMap<&str, String> = BTreeMap::from([
            ("node|json", format!("\"{name}\"")),
            ("zone|json", format!("\"{zone}\"")),
            ("ip|json", "\"127.0.0.1\"".to_owned()),
            ("port_range|json", format!("[{ports}, {}]", ports + 1)),
            ("advice", advice.to_owned()),
            ("cloud.address", store.to_owned()),
            ("limits.cores", "1".to_owned()),
            ("limits.cpu_share", "0.25".to_owned()),
            ("listen.front|json", format!("\"127.0.0.1:{front}\"")),
            ("listen.ready_addr|json", format!("\"127.0.0.1:{ready}\"")),
            ("platform.address|json", format!("\"{store}\"")),
            ("platform.min_ttl_ms", "1000".to_owned()),
            ("bounds.max_hold_ms", world::MAX_HOLD_MS.to_string()),
            ("bounds.stop_timeout_ms", "900".to_owned()),
            ("bounds.gang_timeout_ms", world::GANG_TIMEOUT_MS.to_string()),
            ("bounds.remote_factor", "1.5".to_owned()),
            ("bounds.checkpoint_s", "2".to_owned()),
            ("bounds.restore_ms", world::RESTORE_MS.to_string()),
            ("bounds.status_s", "120".to_owned()),
            ("bounds.notice_ms", "4500".to_owned()),
            ("bounds.harm_ms", "4000".to_owned()),
            ("bounds.pace_ms", "100".to_owned()),
            ("bounds.config_apply_ms", "2000".to_owned()),
            ("bounds.grace_s", "6".to_owned()),
        ]);
        let mut settings = template;
        for (section, value) in
            [("heartbeat_ms", Some(world::HEARTBEAT_MS)), ("bounds.evacuate_ms", None)]
        {
            settings = fill_section(&settings, section, value.map(|v| v.to_string()));
        }
        for (field, value) in fields {
            settings = settings.replace(&format!("{{{{{field}}}}}"), &value);
        }
        if settings.contains("{{") {
            return Err("the template of the settings has another placeholder".to_owned());
        }
        let folder = &self.daemons.folder;
        let file = folder.join(format!("{name}.toml"));
        std::fs::write(&file, settings).map_err(fail)?;
        let log = File::create(folder.join(format!("{name}.log"))).map_err(fail)?;
        let child = Command::new("target/deploy/waxwing-platform")
            .env_clear()
            .env("WAXWINGSTALL_NODE_FILE", &file)
            .stdin(Stdio::null())
            .stdout(log.try_clone().map_err(fail)?)
            .stderr(log)
            .spawn()
            .map_err(fail)?;
        self.daemons.processes.push(child);
        self.fronts.push(SocketAddr::from(([127, 0, 0, 1], front)));
        self.readies.push(SocketAddr::from(([127, 0, 0, 1], ready)));
        Ok(())
    }

    fn wait_until_ready(&self) -> Result<(), String> {
        let (until, timeout) = (Instant::now() + Duration::from_secs(25), Duration::from_secs(1));
        let is_ready = |addr: &SocketAddr| {
            http::call(*addr, "GET", "/api/ready", HOST, None, timeout).is_some_and(|a| a.0 == 200)
        };
        while !self.readies.iter().all(is_ready) {
            if Instant::now() > until {
                return Err("a daemon isn't ready after 25 s".to_owned());
            }
            std::thread::sleep(Duration::from_millis(200));
        }
        std::thread::sleep(CONTACT);
        Ok(())
    }

    fn platform(&self) -> std::sync::MutexGuard<'_, Platform> {
        self.world.platform.lock().expect("lock")
    }

    fn note(&self, line: &str) {
        self.platform().note(line);
    }

    /// Hands a job in, as the pages have a requester do it.
    fn submit(&self, id: &str, step: StepDef, per_runner: u64) -> Result<(), String> {
        let spec = format!("check of batch {id}");
        let mut fields = vec![
            ("count", num(step.count as u64)),
            ("cpu", num(step.cpu)),
            ("mem_mb", num(1024)),
            ("est_ms", num(step.work_ms as u64)),
        ];
        if step.gang {
            fields.push(("gang", Json::Bool(true)));
        }
        if step.checkpoint {
            fields.push(("checkpoint", Json::Bool(true)));
        }
        if step.lasts {
            fields.push(("long_running", Json::Bool(true)));
        }
        if per_runner > 0 {
            fields.push(("anti_affinity", num(per_runner)));
        }
        let steps = Json::Arr(vec![obj(fields)]);
        let body = obj(vec![("spec", text(&spec)), ("steps", steps)]);
        let path = path(id, step.advised);
        let job = JobDef { spec, steps: vec![step] };
        self.platform().jobs.insert(id.to_owned(), job);
        for front in self.fronts.iter().cycle().take(5) {
            let answer =
                http::call(*front, "POST", &path, HOST, Some(&body), Duration::from_secs(3));
            let shown = answer.as_ref().map_or("no answer".to_owned(), |a| a.0.to_string());
            self.note(&format!("requester: POST {path} {} -> {shown}", body.text()));
            match answer {
                Some((200..=299, _)) => return Ok(()),
                Some((400..=499, _)) => return Err(format!("the job was answered {shown}")),
                _ => std::thread::sleep(Duration::from_secs(1)),
            }
        }
        Err("the job was not accepted".to_owned())
    }

    /// The job's state as a requester gets it; empty without an answer that tells it.
    fn state(&self, id: &str, round: usize) -> String {
        let advised = self.platform().jobs.get(id).is_some_and(|job| job.steps[0].advised);
        let path = path(id, advised);
        let front = self.fronts[round % self.fronts.len()];
        let answer = http::call(front, "GET", &path, HOST, None, Duration::from_secs(3));
        let state = match &answer {
            Some((200, body)) => body.get("state").str().to_owned(),
            Some((status, _)) => format!("({status})"),
            None => "(no answer)".to_owned(),
        };
        self.note(&format!("requester: GET {path} -> {state}"));
        state
    }

    /// Waits until all members of a gang have worked for a while.
    fn wait_for_work(&self, count: usize, worked: Duration) -> Result<(), String> {
        let until = Instant::now() + Duration::from_secs(10);
        loop {
            let at_work = {
                let platform = self.platform();
                let runs = platform.runners.iter().flat_map(|runner| &runner.running);
                runs.filter(|run| run.working.is_some_and(|at| at.elapsed() >= worked)).count()
            };
            if at_work == count {
                return Ok(());
            }
            if Instant::now() > until {
                return Err(format!("{at_work} of {count} tasks are at work after 10 s"));
            }
            std::thread::sleep(Duration::from_millis(10));
        }
    }

    /// The runner with the most tasks.
    fn busiest(&self) -> usize {
        let platform = self.platform();
        let runners = platform.runners.iter().enumerate().filter(|(_, runner)| runner.up);
        runners.max_by_key(|(_, runner)| runner.running.len()).map_or(0, |(index, _)| index)
    }
}

fn path(id: &str, advised: bool) -> String {
    format!("{}{id}", if advised { ADVISED_PREFIX } else { PREFIX })
}

/// Fills in a section of the template, or drops it if there is no value.
fn fill_section(template: &str, name: &str, value: Option<String>) -> String {
    let (open, close) = (format!("{{{{#{name}}}}}"), format!("{{{{/{name}}}}}"));
    let Some((before, rest)) = template.split_once(&open) else { return template.to_owned() };
    let Some((inside, after)) = rest.split_once(&close) else { return template.to_owned() };
    let inside = value.map(|value| inside.replace("{{.}}", &value)).unwrap_or_default();
    format!("{before}{inside}{after}")
}

/// LOST: a gang's runner is lost for good, and the gang is never started again.
fn runner_lost(case: &Case, trouble: bool) -> Result<Option<String>, String> {
    let (id, count, cpu) = ("5c0e7a21d94b36f8", 14, 4000);
    let step = StepDef {
        count,
        cpu,
        work_ms: 5000.0,
        gang: true,
        checkpoint: false,
        lasts: false,
        advised: false,
    };
    case.submit(id, step, 0)?;
    case.wait_for_work(count, Duration::from_secs(1))?;
    if trouble {
        let index = case.busiest();
        case.platform().crash(index);
    }
    let troubled = Instant::now();
    let mut idle_since: Option<Instant> = None;
    for round in 0.. {
        if round % 10 == 0 && case.state(id, round / 10) == "done" {
            return Ok(None);
        }
        let (running, slots, used) = {
            let platform = case.platform();
            let up = || platform.runners.iter().filter(|runner| runner.up);
            let used = |runner: &world::Runner| runner.running.len() as u64 * cpu;
            let slots: u64 = up().map(|runner| runner.cpu.saturating_sub(used(runner)) / cpu).sum();
            let all: u64 = up().map(|runner| runner.cpu).sum();
            let running: usize = up().map(|runner| runner.running.len()).sum();
            (running, slots as usize, up().map(used).sum::<u64>() as f64 / all as f64)
        };
        let after = troubled.elapsed();
        let waits = after >= FINISH && running == 0 && slots >= 2 * count && used < 0.5;
        idle_since = if waits { idle_since.or(Some(Instant::now())) } else { None };
        if let Some(idle) = idle_since.filter(|at| at.elapsed() >= Duration::from_secs(3)) {
            let state = case.state(id, round);
            return Ok(Some(format!(
                "LOST: {:.1} s after the last disruption and request, job {id} ({state}) has had \
                 nothing running for {:.1} s, with room for {slots} tasks of its size elsewhere (it has {count})",
                after.as_secs_f64(),
                idle.elapsed().as_secs_f64()
            )));
        }
        if after >= Duration::from_secs(40) {
            return Ok(None);
        }
        std::thread::sleep(Duration::from_millis(100));
    }
    Ok(None)
}

/// LOST: a gang that has failed once is shown as failed, though its queue has three attempts.
fn runner_grey(case: &Case, trouble: bool) -> Result<Option<String>, String> {
    let (id, count) = ("81d3c0a95be2704f", 16);
    let step = StepDef {
        count,
        cpu: 1600,
        work_ms: 4000.0,
        gang: true,
        checkpoint: false,
        lasts: false,
        advised: false,
    };
    case.submit(id, step, 0)?;
    case.wait_for_work(count, Duration::from_secs(1))?;
    if trouble {
        let index = case.busiest();
        case.platform().turn_grey(index, Duration::from_secs(6));
    }
    for round in 0..30 {
        match case.state(id, round).as_str() {
            "done" => return Ok(None),
            "failed" => {
                let platform = case.platform();
                let failed = || platform.ends.iter().filter(|end| end.how == "failed");
                let mut by_task: BTreeMap<&str, usize> = BTreeMap::new();
                failed().for_each(|end| *by_task.entry(&end.task).or_default() += 1);
                let most = by_task.values().max().copied().unwrap_or(0);
                let gangs: BTreeSet<&str> = failed().map(|end| end.group.as_str()).collect();
                let broken = most < ATTEMPTS && gangs.len() < ATTEMPTS;
                return Ok(broken.then(|| {
                    format!(
                        "LOST: job {id} is shown as failed, with {ATTEMPTS} attempts; its gang has \
                         failed {} time(s), and no task more than {most} time(s)",
                        gangs.len()
                    )
                }));
            }
            _ => std::thread::sleep(Duration::from_secs(1)),
        }
    }
    Ok(None)
}

/// GANG: after a runner has left as planned, a gang's members get values that differ, and end alone.
fn runner_drains(case: &Case, trouble: bool) -> Result<Option<String>, String> {
    let (id, count) = ("c27f40b8e1965a3d", 8);
    let step = StepDef {
        count,
        cpu: 1600,
        work_ms: 5000.0,
        gang: true,
        checkpoint: true,
        lasts: false,
        advised: false,
    };
    case.submit(id, step, 0)?;
    case.wait_for_work(count, Duration::from_millis(2700))?;
    let notice = Duration::from_millis(2000);
    if trouble {
        let index = case.busiest();
        case.platform().drain(index, notice);
    }
    // It has left by then, and has been gone for `contact_ms`.
    let calm = Instant::now() + notice + Duration::from_millis(600) + CONTACT;
    let until = Instant::now() + Duration::from_secs(35);
    let mut round = 0;
    while Instant::now() < until {
        if case.state(id, round) == "done" {
            return Ok(None);
        }
        round += 1;
        std::thread::sleep(Duration::from_secs(1));
    }
    let platform = case.platform();
    let alone = platform.ends.iter().filter(|end| end.how == "alone" && end.at >= calm).count();
    let mut values: BTreeMap<u64, BTreeSet<&str>> = BTreeMap::new();
    for start in platform.starts.iter().filter(|start| start.task.starts_with(id)) {
        values.entry(start.run).or_default().insert(&start.checkpointed);
    }
    let differing = values.values().filter(|values| values.len() > 1).count();
    Ok((alone > 0).then(|| {
        format!(
            "GANG: {alone} runs of job {id} have ended `alone` later than 3 s after the last \
             disruption; {differing} of its gang's {} runs were started with values that differ; \
             the job isn't done after 35 s",
            values.len()
        )
    }))
}

/// LOST: a task that lasts, on a queue with advice and at most one of its step on a runner, isn't
/// started again after its runner was lost for good.
fn watcher_lost(case: &Case, trouble: bool) -> Result<Option<String>, String> {
    let (id, count, cpu) = ("e0a7359b42c8d61f", 3, 3200);
    let step = StepDef {
        count,
        cpu,
        work_ms: 500.0,
        gang: false,
        checkpoint: false,
        lasts: true,
        advised: true,
    };
    case.submit(id, step, 1)?;
    case.wait_for_work(count, Duration::from_secs(2))?;
    let busiest = case.busiest();
    let zone = case.platform().runners[busiest].zone.clone();
    if trouble {
        case.platform().crash(busiest);
    }
    let troubled = Instant::now();
    let mut away_since: Option<Instant> = None;
    for round in 0.. {
        if round % 10 == 0 {
            case.state(id, round / 10);
        }
        let after = troubled.elapsed();
        let (running, elsewhere) = {
            let platform = case.platform();
            let up = || platform.runners.iter().filter(|runner| runner.up);
            let running: usize = up().map(|runner| runner.running.len()).sum();
            let free = up().filter(|r| r.running.is_empty() && platform.may_run_advised(&r.id));
            (running, free.count())
        };
        // 6 s after its last run, and 4 s after the last disruption, for 3 s.
        let waits = after >= Duration::from_secs(7) && running < count && elsewhere >= 2;
        away_since = if waits { away_since.or(Some(Instant::now())) } else { None };
        let away = away_since.map_or(Duration::ZERO, |at| at.elapsed());
        if after >= Duration::from_secs(30) {
            return Ok((away >= Duration::from_secs(3)).then(|| {
                format!(
                    "LOST: {:.1} s after the last disruption, {running} of {count} tasks that last \
                     run, and have for {:.1} s; {elsewhere} runners that the advice service allows \
                     run nothing (first runs in {zone})",
                    after.as_secs_f64(),
                    away.as_secs_f64()
                )
            }));
        }
        std::thread::sleep(Duration::from_millis(100));
    }
    Ok(None)
}
