//! Overhead of the request path on loopback, compared with direct calls to the stand-in endpoint.

use crate::support::{Front, config, listed};
use crate::virtual_time::{histogram, millis, record};
use awc::Client;
use awc::http::header::CONNECTION;
use futures::future::join_all;
use hdrhistogram::Histogram;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;
use waxwingstall::clock::{Clock, SystemClock};
use waxwingstall::request::{DispatcherSettings, Limits};
use waxwingstall_standin::endpoint::{Endpoint, EndpointSettings, Fault};

const REQUESTS: usize = 4000;
const CALLERS: usize = 64;
const TURNS: usize = 300;
/// Both ends of each connection are in this process, which may open 20,000 files.
const OPEN_CALLERS: usize = 9500;

pub fn run() {
    println!();
    let endpoints: Vec<Endpoint> =
        (0..8).map(|_| Endpoint::start(EndpointSettings::default())).collect();
    let infos: Vec<_> = endpoints
        .iter()
        .enumerate()
        .map(|(at, endpoint)| listed(&format!("vm-{at}"), endpoint))
        .collect();
    let limits = Limits { body_time: Duration::from_secs(300), ..Limits::default() };
    let settings = DispatcherSettings::new("d1".into(), "home".into()).with_limits(limits);
    let front = Front::start_with(settings, config(8), &infos);
    overhead(endpoints[0].addr(), front.addr);
    throughput(&front);
    silence();
    memory(&front);
    let violations: usize = endpoints.iter().map(Endpoint::slot_violations).sum();
    println!("slot violations in all of this: {violations}");
}

fn overhead(direct: SocketAddr, front: SocketAddr) {
    println!("one caller at a time, {REQUESTS} requests, service time 0");
    println!("way            median us   p99 us");
    let mut medians = Vec::new();
    for (name, base) in [
        ("direct", format!("http://{direct}/x")),
        ("preview", format!("http://{front}/v1/requests/preview/x")),
        ("build (proved)", format!("http://{front}/v1/requests/build/x")),
    ] {
        let times = actix_web::rt::System::new().block_on(one_by_one(&base));
        println!(
            "{name:<14} {:>9} {:>8}",
            times.value_at_quantile(0.5),
            times.value_at_quantile(0.99)
        );
        medians.push((name, times.value_at_quantile(0.5), times.value_at_quantile(0.99)));
    }
    for (name, median, p99) in &medians[1..] {
        let (_, direct_median, direct_p99) = medians[0];
        println!(
            "{name} over direct: median x{:.2}, p99 x{:.2}",
            *median as f64 / direct_median as f64,
            *p99 as f64 / direct_p99 as f64
        );
    }
}

async fn one_by_one(url: &str) -> Histogram<u64> {
    let client = Client::default();
    let mut times = histogram();
    for at in 0..REQUESTS {
        let start = SystemClock.now();
        call(&client, url, &format!("r{at}")).await;
        if at >= REQUESTS / 10 {
            record(&mut times, SystemClock.now() - start);
        }
    }
    times
}

async fn call(client: &Client, url: &str, id: &str) -> u16 {
    let req = client.post(url).insert_header(("waxwing-request-id", id));
    let Ok(mut resp) = req.send_body("hello").await else { return 0 };
    let Ok(_) = resp.body().await else { return 0 };
    resp.status().as_u16()
}

fn throughput(front: &Front) {
    let url = format!("http://{}/v1/requests/plan/x", front.addr);
    let busy = front.with(|_| cpu_time());
    let start = SystemClock.now();
    let (times, failed) = actix_web::rt::System::new().block_on(many_at_once(&url));
    let took = SystemClock.now() - start;
    let busy = front.with(|_| cpu_time()) - busy;
    let requests = CALLERS * TURNS;
    println!("{CALLERS} callers at once, {requests} requests, {failed} failed");
    println!(
        "{:.0} a second; {:.0} a second of the front's processor time; p50 {:.1} ms, p99 {:.1} ms",
        requests as f64 / took.as_secs_f64(),
        requests as f64 / busy.as_secs_f64(),
        millis(&times, 0.5),
        millis(&times, 0.99),
    );
}

/// Measures the time until a request is answered after its first connection went silent, with a
/// deadline of 20 s.
fn silence() {
    const ROUNDS: usize = 8;
    let endpoint = Endpoint::start(EndpointSettings::default());
    let front = Front::start(config(8), &[listed("vm-1", &endpoint)]);
    let url = format!("http://{}/v1/requests/preview/x", front.addr);
    let mut times = histogram();
    actix_web::rt::System::new().block_on(async {
        let client = Client::builder().timeout(Duration::from_secs(30)).finish();
        for round in 0..ROUNDS {
            endpoint.faults().next(Fault::SilentBeforeHead);
            let start = SystemClock.now();
            let status = call(&client, &url, &format!("silent-{round}")).await;
            assert_eq!(status, 200, "the second try was answered");
            record(&mut times, SystemClock.now() - start);
        }
    });
    println!(
        "connection silent before the head, {ROUNDS} previews: answered after {:.0} to {:.0} ms",
        millis(&times, 0.0),
        millis(&times, 1.0)
    );
}

/// CPU time of the calling thread.
fn cpu_time() -> Duration {
    let time = rustix::time::clock_gettime(rustix::time::ClockId::ThreadCPUTime);
    Duration::new(time.tv_sec.unsigned_abs(), u32::try_from(time.tv_nsec).unwrap_or(0))
}

async fn many_at_once(url: &str) -> (Histogram<u64>, usize) {
    let client = Client::default();
    let callers = (0..CALLERS).map(|caller| {
        let client = client.clone();
        async move {
            let mut times = Vec::with_capacity(TURNS);
            let mut failed = 0;
            for turn in 0..TURNS {
                let start = SystemClock.now();
                let status = call(&client, url, &format!("c{caller}-{turn}")).await;
                failed += usize::from(status != 200);
                times.push(SystemClock.now() - start);
            }
            (times, failed)
        }
    });
    let mut all = histogram();
    let mut failed = 0;
    for (times, failures) in join_all(callers).await {
        times.into_iter().for_each(|time| record(&mut all, time));
        failed += failures;
    }
    (all, failed)
}

fn memory(front: &Front) {
    let before = resident_kib();
    let head = format!(
        "POST /v1/requests/plan/x HTTP/1.1\r\nhost: x\r\n{}: close\r\ncontent-length: 10\r\n\r\n1",
        CONNECTION
    );
    let callers: Vec<TcpStream> = (0..OPEN_CALLERS)
        .filter_map(|_| {
            let mut stream = TcpStream::connect(front.addr).ok()?;
            stream.write_all(head.as_bytes()).ok()?;
            Some(stream)
        })
        .collect();
    crate::support::wait_until("all callers have arrived", || {
        front.with(|dispatcher| dispatcher.in_flight()) == callers.len()
    });
    let after = resident_kib();
    println!(
        "{} callers open, each in the middle of sending: {} KiB more, {:.1} KiB each",
        callers.len(),
        after - before,
        (after - before) as f64 / callers.len() as f64
    );
}

fn resident_kib() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    let number = line.and_then(|line| line.split_whitespace().nth(1));
    number.and_then(|text| text.parse().ok()).unwrap_or(0)
}
