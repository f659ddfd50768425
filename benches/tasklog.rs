//! Benchmarks of the task log's writer: calls and bytes per second, sizes, and recovery time.
//!
//! One partition runs for a simulated time against an in-memory store. Calls and bytes are exact
//! counts. CPU times depend on the machine and are comparable only within one run.

#[allow(dead_code, reason = "the benchmark uses only a part of it")]
#[path = "../tests/common/fault_store.rs"]
mod fault_store;

use fault_store::{Call, FaultStore};
use futures::executor::block_on;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::collections::VecDeque;
use std::time::Duration;
use waxwingstall::clock::{Clock, SystemClock};
use waxwingstall::ids::{
    Attempt, BootId, CheckpointId, DaemonId, IdempotencyKey, PartitionId, TaskId, VmId,
};
use waxwingstall::model::{Idempotency, Resumption, Urgency};
use waxwingstall::task::{Change, Outcome, Record, TaskSpec};
use waxwingstall::tasklog::{Limits, Partition, Stats};
use waxwingstall::units::Resources;

const PARTITION: PartitionId = PartitionId(1);
const WRITERS: f64 = 56.0;
const SEED: u64 = 7;

/// Number of VMs in the partition's failure domain.
const VMS: u32 = 1000;

/// A realistic boot ID: a VM may use the milliseconds since the Unix epoch.
const FIRST_BOOT: u64 = 1_796_242_500_250;

/// Fraction of tasks that are evicted once and resumed.
const EVICTED: f64 = 0.02;

/// The load of one writer.
#[derive(Clone, Copy)]
struct Load {
    /// Task starts per second.
    rate: f64,
    /// Number of running tasks.
    running: usize,
    /// Commits per second.
    commits: usize,
    seconds: usize,
}

impl Load {
    /// The expected peak in two years: 910 starts per second and 130,000 tasks over 56 writers.
    const PEAK: Self = Self { rate: 910.0 / WRITERS, running: 2_321, commits: 1, seconds: 900 };
}

/// The measured cost of a load.
struct Cost {
    record_bytes: f64,
    json_bytes: f64,
    postcard_bytes: f64,
    puts: f64,
    deletes: f64,
    /// Bytes written per second.
    bytes: f64,
    micros_per_record: f64,
    page_bytes_per_task: f64,
    largest_put: usize,
}

struct Workload {
    rng: StdRng,
    next: u64,
    waiting: VecDeque<u64>,
    running: VecDeque<(u64, u32)>,
}

impl Workload {
    fn new() -> Self {
        let rng = StdRng::seed_from_u64(SEED);
        Self { rng, next: 1, waiting: VecDeque::new(), running: VecDeque::new() }
    }

    /// Returns the records of one commit: ends tasks, binds waiting ones and accepts new ones.
    fn batch(&mut self, starts: usize, running: usize) -> Vec<Record> {
        let mut records = Vec::new();
        while self.running.len() + self.waiting.len() > running {
            let Some((number, attempt)) = self.running.pop_front() else { break };
            if attempt == 1 && self.rng.random_bool(EVICTED) {
                let checkpoint = Some(CheckpointId::new(&format!("cp-{number}-{attempt}")));
                let attempt = Attempt(attempt);
                records
                    .push(record(number, Change::Released { attempt, checkpoint, failed: false }));
                records.push(record(number, self.bound(2)));
                self.running.push_back((number, 2));
                continue;
            }
            let change = Change::Ended { attempt: Attempt(attempt), outcome: Outcome::Succeeded };
            records.push(record(number, change));
        }
        while let Some(number) = self.waiting.pop_front() {
            records.push(record(number, self.bound(1)));
            self.running.push_back((number, 1));
        }
        for _ in 0..starts {
            let number = self.next;
            self.next += 1;
            records.push(accepted(number));
            self.waiting.push_back(number);
        }
        records
    }

    fn bound(&mut self, attempt: u32) -> Change {
        let number = self.rng.random_range(0..VMS);
        let vm = VmId::new(&format!("kacyiru-worker-{number:04}"));
        Change::Bound {
            vm,
            boot: BootId(FIRST_BOOT + u64::from(number)),
            attempt: Attempt(attempt),
        }
    }
}

fn record(number: u64, change: Change) -> Record {
    Record { task: TaskId::new(PARTITION, number), change }
}

fn accepted(number: u64) -> Record {
    let classes = ["narration", "print-build", "cover-render", "audio-mix"];
    let class = classes[(number % 4) as usize];
    let spec = TaskSpec {
        class: class.into(),
        team: format!("team-{}", number % 160).as_str().into(),
        pool: "batch".into(),
        resources: Resources::new(2000, 4096, 0),
        expected: Duration::from_secs(600),
        idempotency: Idempotency::Idempotent,
        resumption: Resumption::Checkpoint,
        urgency: Urgency::Normal,
        max_failures: 3,
        payload: format!("title=umwana-n-imbwa&edition={number}&lang=rw"),
    };
    let key = IdempotencyKey::new(&format!("inkuru-{class}-20261202-{number:06}"));
    record(number, Change::Accepted { key, spec })
}

fn loaded(store: &FaultStore, limits: Limits) -> Partition {
    let writer = DaemonId::new("entry-kacyiru-1@17");
    let loaded = block_on(Partition::load(store, PARTITION, &writer)).expect("the store works");
    loaded.partition.with_limits(limits)
}

/// Sizes of the same records in other encodings.
#[derive(Default)]
struct EncodedSizes {
    json: usize,
    postcard: usize,
    records: usize,
}

impl EncodedSizes {
    fn add(&mut self, records: &[Record]) {
        self.json += serde_json::to_vec(records).expect("written").len();
        self.postcard += postcard::to_allocvec(records).expect("written").len();
        self.records += records.len();
    }
}

fn run(load: Load, limits: Limits) -> Cost {
    let store = FaultStore::new();
    let mut partition = loaded(&store, limits);
    let mut workload = Workload::new();
    for _ in 0..load.running.div_ceil(100) {
        let records = workload.batch(100, load.running);
        block_on(partition.commit(&store, &records)).expect("the store works");
    }
    block_on(partition.compact(&store)).expect("the store works");
    while block_on(partition.sweep(&store)) > 0 {}

    let mut measurement = Measurement {
        first_call: store.calls(),
        before: partition.stats(),
        ..Measurement::default()
    };
    let mut due = 0.0;
    for _ in 0..load.seconds * load.commits {
        due += load.rate / load.commits as f64;
        let starts = due as usize;
        due -= starts as f64;
        let records = workload.batch(starts, load.running);
        measurement.sizes.add(&records);
        let begin = SystemClock.now();
        block_on(partition.commit(&store, &records)).expect("the store works");
        if partition.compact_due() {
            block_on(partition.compact(&store)).expect("the store works");
        }
        block_on(partition.sweep(&store));
        measurement.cpu_time += SystemClock.now() - begin;
    }
    cost(load, &store, &measurement, &mut partition)
}

/// Measurements taken while a load runs.
#[derive(Default)]
struct Measurement {
    first_call: usize,
    before: Stats,
    sizes: EncodedSizes,
    cpu_time: Duration,
}

fn cost(
    load: Load,
    store: &FaultStore,
    measurement: &Measurement,
    partition: &mut Partition,
) -> Cost {
    let made = store.made_since(measurement.first_call);
    let seconds = load.seconds as f64;
    let puts: Vec<_> = made.iter().filter(|made| made.call == Call::Put).collect();
    let deletes = made.iter().filter(|made| made.call == Call::Delete).count();
    let per_record = |bytes: usize| bytes as f64 / measurement.sizes.records as f64;
    let record_bytes = partition.stats().record_bytes - measurement.before.record_bytes;
    let page_bytes = page_bytes(store, partition);
    Cost {
        record_bytes: per_record(record_bytes as usize),
        json_bytes: per_record(measurement.sizes.json),
        postcard_bytes: per_record(measurement.sizes.postcard),
        puts: puts.len() as f64 / seconds,
        deletes: deletes as f64 / seconds,
        bytes: puts.iter().map(|made| made.bytes).sum::<usize>() as f64 / seconds,
        micros_per_record: measurement.cpu_time.as_secs_f64() * 1e6
            / measurement.sizes.records as f64,
        page_bytes_per_task: page_bytes as f64 / partition.tasks().count() as f64,
        largest_put: made.iter().map(|made| made.bytes).max().unwrap_or(0),
    }
}

fn page_bytes(store: &FaultStore, partition: &mut Partition) -> usize {
    let before = store.calls();
    block_on(partition.compact(store)).expect("the store works");
    let made = store.made_since(before);
    made.iter().filter(|made| made.key.contains("/v/")).map(|made| made.bytes).sum()
}

fn compare_encodings() {
    println!(
        "## The same records in three forms ({} s at the peak, one run)\n",
        Load::PEAK.seconds
    );
    println!("| form | bytes a record | against JSON | KB/s a writer, records alone |");
    println!("| --- | --- | --- | --- |");
    let cost = run(Load::PEAK, Limits::default());
    let rate = Load::PEAK.rate * 3.0;
    for (form, bytes) in [
        ("JSON", cost.json_bytes),
        ("postcard of the records", cost.postcard_bytes),
        ("segments with a dictionary", cost.record_bytes),
    ] {
        let share = bytes / cost.json_bytes;
        println!("| {form} | {bytes:.1} | {share:.3} | {:.2} |", bytes * rate / 1000.0);
    }
    println!();
}

fn compare_tail_sizes() {
    println!("## Where records go, at the peak and on an ordinary hour, one commit a second\n");
    println!(
        "| tail in the head | starts/s | puts/s | deletes/s | KB/s | writers' puts+deletes/s |"
    );
    println!("| --- | --- | --- | --- | --- | --- |");
    // 130,000 jobs per day over 56 writers.
    let ordinary = Load { rate: 130_000.0 / 86_400.0 / WRITERS, seconds: 3_600, ..Load::PEAK };
    for load in [Load::PEAK, ordinary] {
        for tail_bytes in [0, 1 << 10, 2 << 10, 4 << 10, 16 << 10] {
            let cost = run(load, Limits { tail_bytes, ..Limits::default() });
            println!(
                "| {tail_bytes} B | {:.3} | {:.2} | {:.2} | {:.2} | {:.0} |",
                load.rate,
                cost.puts,
                cost.deletes,
                cost.bytes / 1000.0,
                (cost.puts + cost.deletes) * WRITERS
            );
        }
    }
    println!();
}

fn compare_commit_rates() {
    println!("## How often to commit, at the peak\n");
    println!("| commits/s | tail in the head | KB/s a writer | writers' puts+deletes/s |");
    println!("| --- | --- | --- | --- |");
    for commits in [1, 2, 5, 10] {
        for tail_bytes in [0, 512, 1 << 10, 2 << 10] {
            let limits = Limits { tail_bytes, ..Limits::default() };
            let cost = run(Load { commits, seconds: 600, ..Load::PEAK }, limits);
            println!(
                "| {commits} | {tail_bytes} B | {:.2} | {:.0} |",
                cost.bytes / 1000.0,
                (cost.puts + cost.deletes) * WRITERS
            );
        }
    }
    println!();
}

fn measure_scaling() {
    println!("## Slopes: one writer, 1 commit a second\n");
    println!(
        "| starts/s | running | puts/s | KB/s | µs a record | page bytes a task | largest put |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- |");
    let mut by_rate = Vec::new();
    let mut by_running = Vec::new();
    let point = |load: Load| {
        let cost = run(load, Limits::default());
        println!(
            "| {:.2} | {} | {:.2} | {:.2} | {:.1} | {:.1} | {} |",
            load.rate,
            load.running,
            cost.puts,
            cost.bytes / 1000.0,
            cost.micros_per_record,
            cost.page_bytes_per_task,
            cost.largest_put
        );
        cost.bytes
    };
    for factor in [0.25, 0.5, 1.0, 2.0, 4.0] {
        let rate = Load::PEAK.rate * factor;
        by_rate.push(Point { x: rate, y: point(Load { rate, ..Load::PEAK }) });
    }
    for factor in [0.25, 0.5, 2.0, 4.0] {
        let running = (Load::PEAK.running as f64 * factor) as usize;
        by_running.push(Point { x: running as f64, y: point(Load { running, ..Load::PEAK }) });
    }
    println!(
        "\n{:.0} bytes written a start, {:.3} B/s a running task (least squares)\n",
        slope(&by_rate),
        slope(&by_running)
    );
}

struct Point {
    x: f64,
    y: f64,
}

fn slope(points: &[Point]) -> f64 {
    let n = points.len() as f64;
    let mean_x = points.iter().map(|point| point.x).sum::<f64>() / n;
    let mean_y = points.iter().map(|point| point.y).sum::<f64>() / n;
    let covariance: f64 = points.iter().map(|p| (p.x - mean_x) * (p.y - mean_y)).sum();
    let variance: f64 = points.iter().map(|p| (p.x - mean_x).powi(2)).sum();
    covariance / variance
}

fn measure_recovery() {
    println!("## Recovery of a partition, log full just before a compaction\n");
    println!("| tasks running | calls | KB read | ms of processor (median of 9) |");
    println!("| --- | --- | --- | --- |");
    let mut points = Vec::new();
    for running in [575, 2_300, 9_200] {
        let store = FaultStore::new();
        let limits = Limits { log_bytes: usize::MAX, ..Limits::default() };
        let mut partition = loaded(&store, limits);
        let mut workload = Workload::new();
        while partition.stats().record_bytes
            < Limits::default().log_bytes as u64 + 100 * running as u64
        {
            let records = workload.batch(16, running);
            block_on(partition.commit(&store, &records)).expect("the store works");
        }
        let kilobytes = store.value_bytes() as f64 / 1000.0;
        let mut times = Vec::new();
        let mut calls = 0;
        for _ in 0..9 {
            let before = store.calls();
            let begin = SystemClock.now();
            let partition = loaded(&store, Limits::default());
            times.push(SystemClock.now() - begin);
            assert!(partition.tasks().count() >= running);
            calls = store.calls() - before;
        }
        times.sort();
        let millis = times[times.len() / 2].as_secs_f64() * 1e3;
        println!("| {running} | {calls} | {kilobytes:.0} | {millis:.2} |");
        points.push(Point { x: running as f64, y: millis * 1e3 });
    }
    println!("\n{:.2} µs of processor a task (least squares)", slope(&points));
}

/// Resident memory of this process, in bytes.
fn resident_bytes() -> f64 {
    const PAGE_BYTES: f64 = 4096.0;
    let statm = std::fs::read_to_string("/proc/self/statm").expect("statm can be read");
    let pages = statm.split(' ').nth(1).and_then(|pages| pages.parse::<f64>().ok());
    pages.expect("a number of pages") * PAGE_BYTES
}

fn measure_memory() {
    println!("## Memory of a writer's partition\n");
    println!("| tasks running | KB resident for a partition (mean of 8) |");
    println!("| --- | --- |");
    let mut points = Vec::new();
    for running in [2_300, 9_200, 36_800] {
        let store = FaultStore::new();
        let mut partition = loaded(&store, Limits::default());
        let mut workload = Workload::new();
        for _ in 0..running / 100 {
            let records = workload.batch(100, running);
            block_on(partition.commit(&store, &records)).expect("the store works");
        }
        block_on(partition.compact(&store)).expect("the store works");
        let before = resident_bytes();
        let partitions: Vec<_> = (0..8).map(|_| loaded(&store, Limits::default())).collect();
        let bytes = (resident_bytes() - before) / partitions.len() as f64;
        println!("| {running} | {:.0} |", bytes / 1000.0);
        points.push(Point { x: running as f64, y: bytes });
    }
    println!("\n{:.0} bytes a task (least squares)\n", slope(&points));
}

fn main() {
    measure_memory();
    compare_encodings();
    compare_tail_sizes();
    compare_commit_rates();
    measure_scaling();
    measure_recovery();
}
