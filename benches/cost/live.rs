//! One or more whole daemons against the stand-ins, in real time.

use crate::core::resident_kib;
use crate::fit::{self, Point};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use waxwingstall::api::{ApplyReq, ErrorKind, SubmitPriority, SubmitReq};
use waxwingstall::client::Client;
use waxwingstall::clock::{Clock, SystemClock};
use waxwingstall::daemon::{Daemon, Serving};
use waxwingstall::ids::{ClassName, DomainId, IdempotencyKey};
use waxwingstall_standin::meter::Meter;
use waxwingstall_standin::platform::{Platform, PlatformSettings};

const SETTLE: Duration = Duration::from_secs(4);
/// Two periods of the leases' renewal; a part of one would count some VMs twice.
const MEASURE: Duration = Duration::from_secs(6);
const PATIENCE: Duration = Duration::from_secs(10);

/// What one daemon used in a second.
#[derive(Clone, Copy, Debug, Default)]
struct Cost {
    processor_ms: f64,
    worker_bytes: f64,
    store_bytes: f64,
    store_calls: f64,
    peer_bytes: f64,
}

struct Live {
    platform: Platform,
    workers: Vec<Meter>,
    store: Meter,
    daemons: Vec<Daemon<Serving>>,
}

impl Live {
    fn start(vms: usize, daemons: usize) -> Self {
        let domains = vec![DomainId::new("kacyiru")];
        let settings = PlatformSettings { domains, workers: vms, runners: 0, daemons };
        let platform = Platform::start(settings);
        let workers = meter_workers(&platform);
        let store = Meter::start(addr_of(&platform.kv.url()));
        let mut live = Self { platform, workers, store, daemons: Vec::new() };
        live.start_daemons();
        std::thread::sleep(SETTLE);
        live
    }

    fn start_daemons(&mut self) {
        for mut settings in self.platform.settings() {
            settings.platform.store = vec![format!("http://{}", self.store.addr())];
            settings.leases = waxwingstall::settings::LeaseSettings::default();
            let daemon = Daemon::start(settings, Arc::new(SystemClock)).expect("a daemon");
            self.platform.add_daemon(&daemon);
            self.daemons.push(daemon);
        }
    }

    fn client(&self) -> Client {
        Client::new(self.daemons.iter().map(|d| d.front_addr().to_string()).collect())
    }

    /// Starts that the workers saw.
    fn starts(&self) -> f64 {
        let book = self.platform.ledger.book();
        book.tasks().values().map(|count| f64::from(count.starts)).sum()
    }

    fn totals(&self) -> Cost {
        let workers: u64 = self.workers.iter().map(Meter::bytes).sum();
        let processor: Duration = self.daemons.iter().map(|d| d.usage().all_processor_time()).sum();
        Cost {
            processor_ms: processor.as_secs_f64() * 1e3,
            worker_bytes: workers as f64,
            store_bytes: self.store.bytes() as f64,
            store_calls: self.platform.kv.calls() as f64,
            peer_bytes: self.daemons.iter().map(|d| d.usage().peer_bytes() as f64).sum(),
        }
    }

    /// Cost of a second, for each daemon, while `work` goes on.
    fn measure(&self, work: impl FnOnce()) -> Cost {
        let (before, begun) = (self.totals(), SystemClock.now());
        work();
        let spent = SystemClock.now().saturating_sub(begun);
        std::thread::sleep(MEASURE.saturating_sub(spent));
        let (after, seconds) = (self.totals(), (SystemClock.now() - begun).as_secs_f64());
        let share = seconds * self.daemons.len() as f64;
        Cost {
            processor_ms: (after.processor_ms - before.processor_ms) / share,
            worker_bytes: (after.worker_bytes - before.worker_bytes) / share,
            store_bytes: (after.store_bytes - before.store_bytes) / share,
            store_calls: (after.store_calls - before.store_calls) / share,
            peer_bytes: (after.peer_bytes - before.peer_bytes) / share,
        }
    }
}

fn addr_of(url: &str) -> SocketAddr {
    url.trim_start_matches("http://").parse().expect("an address")
}

/// Puts a relay in front of each rack.
fn meter_workers(platform: &Platform) -> Vec<Meter> {
    let mut meters = Vec::new();
    platform.list.update(|listing| {
        for entry in &mut listing.workers {
            let rest = entry.url.trim_start_matches("http://");
            let (addr, path) = rest.split_once('/').expect("a path");
            let meter = Meter::start(addr.parse().expect("an address"));
            entry.url = format!("http://{}/{path}", meter.addr());
            meters.push(meter);
        }
    });
    meters
}

fn points(measured: &[(f64, Cost)], of: fn(&Cost) -> f64) -> Vec<Point> {
    measured.iter().map(|(size, cost)| Point { size: *size, cost: of(cost) }).collect()
}

pub fn per_vm() {
    let measured: Vec<_> = [2, 7, 14, 28]
        .into_iter()
        .map(|vms| (vms as f64, Live::start(vms, 1).measure(|| {})))
        .collect();
    fit::print("processor, VMs held, idle", "ms/s", "VM", &points(&measured, |c| c.processor_ms));
    fit::print("bytes to workers, idle", "B/s", "VM", &points(&measured, |c| c.worker_bytes));
    fit::print("calls to the store, idle", "calls/s", "VM", &points(&measured, |c| c.store_calls));
}

pub fn per_peer() {
    let measured: Vec<_> = [2, 4, 8, 12]
        .into_iter()
        .map(|daemons| ((daemons - 1) as f64, Live::start(1, daemons).measure(|| {})))
        .collect();
    fit::print("processor, peers", "ms/s", "peer", &points(&measured, |c| c.processor_ms));
    fit::print("bytes to peers (frames)", "B/s", "peer", &points(&measured, |c| c.peer_bytes));
    fit::print("calls to the store, all", "calls/s", "peer", &points(&measured, |c| c.store_calls));
}

pub fn per_task() {
    const VMS: usize = 7;
    let measured: Vec<_> = [0, 35, 70]
        .into_iter()
        .map(|tasks| {
            let live = Live::start(VMS, 1);
            apply_all(&live.client());
            submit_long(&live.client(), tasks);
            std::thread::sleep(SETTLE);
            (f64::from(tasks), live.measure(|| {}))
        })
        .collect();
    fit::print("processor, running tasks", "ms/s", "task", &points(&measured, |c| c.processor_ms));
    fit::print(
        "bytes to workers, running tasks",
        "B/s",
        "task",
        &points(&measured, |c| c.worker_bytes),
    );
}

pub fn per_start() {
    let measured: Vec<_> = [5, 10, 20]
        .into_iter()
        .map(|rate| {
            let live = Live::start(14, 1);
            apply_all(&live.client());
            // The first seconds are a burst, which is let through.
            (0..3).for_each(|_| submit(&Rc::new(live.client()), rate));
            let before = live.starts();
            let cost = live.measure(|| submit(&Rc::new(live.client()), rate));
            ((live.starts() - before) / MEASURE.as_secs_f64(), cost)
        })
        .collect();
    fit::print("processor, starts", "ms/s", "start/s", &points(&measured, |c| c.processor_ms));
    fit::print(
        "bytes to workers, starts",
        "B/s",
        "start/s",
        &points(&measured, |c| c.worker_bytes),
    );
    fit::print(
        "bytes to the store, starts",
        "B/s",
        "start/s",
        &points(&measured, |c| c.store_bytes),
    );
    fit::print(
        "calls to the store, starts",
        "calls/s",
        "start/s",
        &points(&measured, |c| c.store_calls),
    );
}

pub fn per_change() {
    let live = Live::start(1, 3);
    apply_all(&live.client());
    let resident = resident_kib();
    let measured: Vec<_> = [0, 4, 8, 16]
        .into_iter()
        .map(|changes| {
            let cost = live.measure(|| change(&live.client(), changes));
            (f64::from(changes) / MEASURE.as_secs_f64(), cost)
        })
        .collect();
    fit::print("processor, changes", "ms/s", "change/s", &points(&measured, |c| c.processor_ms));
    fit::print("bytes to peers, changes", "B/s", "change/s", &points(&measured, |c| c.peer_bytes));
    fit::print(
        "bytes to the store, changes",
        "B/s",
        "change/s",
        &points(&measured, |c| c.store_bytes),
    );
    fit::print(
        "calls to the store, changes",
        "calls/s",
        "change/s",
        &points(&measured, |c| c.store_calls),
    );
    println!("resident with 3 daemons and all stand-ins: {resident} KiB");
}

fn apply_all(client: &Client) {
    for name in ["pools.toml", "teams.toml", "services.toml", "batch.toml"] {
        apply(client, name, &example(name));
    }
}

fn change(client: &Client, changes: u32) {
    for i in 0..changes {
        let text = example("teams.toml");
        apply(client, "teams.toml", &text.replace("600000", &format!("60{i:04}")));
    }
}

fn example(name: &str) -> String {
    let dir = std::path::Path::new(env!("CARGO_MANIFEST_DIR")).join("examples/inkuru");
    std::fs::read_to_string(dir.join(name)).expect("an example")
}

fn apply(client: &Client, file: &str, text: &str) {
    let change_id = format!("cost-{}", SystemClock.now().as_nanos());
    let req = ApplyReq {
        operator: "cost".to_owned(),
        change_id,
        file: file.to_owned(),
        text: Some(text.to_owned()),
        base: None,
    };
    actix_rt::System::new().block_on(client.apply(&req)).expect("an accepted file");
}

/// Submits tasks at a steady rate over the measured time.
fn submit(client: &Rc<Client>, rate: u32) {
    let begun = SystemClock.now();
    let count = rate * u32::try_from(MEASURE.as_secs()).unwrap_or(1);
    actix_rt::System::new().block_on(async {
        let mut open = Vec::new();
        for i in 0..count {
            let due = begun + MEASURE.mul_f64(f64::from(i) / f64::from(count));
            actix_rt::time::sleep(due.saturating_sub(SystemClock.now())).await;
            // Not awaited here: each answer takes a commit, which would set the rate.
            let client = client.clone();
            open.push(actix_rt::spawn(async move { submit_one(&client, i, 1_000).await }));
        }
        futures::future::join_all(open).await;
    });
}

/// Submits tasks that run for longer than the bench.
fn submit_long(client: &Client, count: u32) {
    actix_rt::System::new().block_on(async {
        for i in 0..count {
            submit_one(client, i, 600_000).await;
        }
    });
}

async fn submit_one(client: &Client, i: u32, work_ms: u64) {
    let req = SubmitReq {
        class: ClassName::new("preview-warmup"),
        key: IdempotencyKey::new(&format!("cost-{}-{i}", SystemClock.now().as_nanos())),
        team: None,
        payload: format!("{{\"work_ms\": {work_ms}}}"),
        priority: SubmitPriority::AsClass,
    };
    let limit = SystemClock.now() + PATIENCE;
    while let Err(e) = client.submit(&req).await {
        assert!(e.kind != ErrorKind::Usage && SystemClock.now() < limit, "{e}");
        actix_rt::time::sleep(Duration::from_millis(50)).await;
    }
}
