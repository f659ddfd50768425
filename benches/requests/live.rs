//! Overload over real sockets: previews alone, then previews and builds at 0.8, 1.6 and 4 times the
//! capacity of the slots. Arrivals are open loop: the rate doesn't depend on earlier requests.

use crate::support::{Front, config, listed};
use crate::virtual_time::{exponential, histogram, log_normal, millis, record};
use awc::{Client, Connector};
use futures::future::join_all;
use hdrhistogram::Histogram;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use std::time::Duration;
use waxwingstall::clock::{Clock, SystemClock};
use waxwingstall::ids::ClassName;
use waxwingstall_standin::endpoint::{Endpoint, EndpointSettings, OnClose};

const SEED: u64 = 3;
const RUN: Duration = Duration::from_secs(6);
const ENDPOINTS: usize = 2;
const SLOTS: u32 = 4;
const PREVIEW: Duration = Duration::from_millis(30);
const BUILD: Duration = Duration::from_millis(600);
const SIGMA: f64 = 0.5;

/// A scheduled request.
struct Arrival {
    class: &'static str,
    at: Duration,
    takes: Duration,
}

/// Results of a class.
struct ClassResult {
    times: Histogram<u64>,
    ran: u64,
    not_run: u64,
    other: u64,
}

pub fn run() {
    println!();
    println!("overload on loopback: {ENDPOINTS} endpoints of {SLOTS} slots, {RUN:?} each");
    let alone = measure(&arrivals(0.2, 0.0), Duration::from_millis(100));
    let unloaded = millis(&alone[0].times, 0.99);
    println!(
        "load         preview p99 ms  x unloaded  ran  not run  other | build ran  not run  other"
    );
    report("unloaded", &alone, unloaded);
    let target = Duration::from_micros(alone[0].times.value_at_quantile(0.99));
    for load in [1.0, 2.0, 5.0] {
        let got = measure(&arrivals(0.4 * load, 0.4 * load), target);
        report(&load.to_string(), &got, unloaded);
    }
}

fn report(load: &str, [preview, build]: &[ClassResult; 2], unloaded: f64) {
    let p99 = millis(&preview.times, 0.99);
    println!(
        "{load:<12} {p99:>14.1} {:>11.2} {:>4} {:>8} {:>6} | {:>9} {:>8} {:>6}",
        p99 / unloaded,
        preview.ran,
        preview.not_run,
        preview.other,
        build.ran,
        build.not_run,
        build.other
    );
}

/// Arrivals of both classes, each using the given fraction of the slots.
fn arrivals(previews: f64, builds: f64) -> Vec<Arrival> {
    let mut rng = SmallRng::seed_from_u64(SEED);
    let slots = (ENDPOINTS as u32 * SLOTS) as f64;
    let mut all = Vec::new();
    for (class, mean, part) in [("preview", PREVIEW, previews), ("build", BUILD, builds)] {
        let mut at = Duration::ZERO;
        while part > 0.0 && at < RUN {
            at += exponential(&mut rng, mean.div_f64(part * slots));
            all.push(Arrival { class, at, takes: log_normal(&mut rng, mean, SIGMA) });
        }
    }
    all.sort_by_key(|arrival| arrival.at);
    all
}

fn measure(arrivals: &[Arrival], target: Duration) -> [ClassResult; 2] {
    let settings = EndpointSettings {
        slots: SLOTS as usize,
        on_close: OnClose::RunsOn,
        ..EndpointSettings::default()
    };
    let endpoints: Vec<Endpoint> = (0..ENDPOINTS).map(|_| Endpoint::start(settings)).collect();
    let infos: Vec<_> =
        endpoints.iter().enumerate().map(|(at, e)| listed(&format!("vm-{at}"), e)).collect();
    let mut cfg = config(SLOTS);
    for (class, expected, target_p99) in
        [("preview", PREVIEW, target), ("build", BUILD, Duration::from_secs(4))]
    {
        if let Some(class) = cfg.requests.get_mut(&ClassName::new(class)) {
            class.expected = expected;
            class.target_p99 = target_p99;
        }
    }
    let front = Front::start(cfg, &infos);
    let got = actix_web::rt::System::new().block_on(offer(arrivals, &front));
    let violations: usize = endpoints.iter().map(Endpoint::slot_violations).sum();
    assert_eq!(violations, 0, "an endpoint had more requests than slots");
    got
}

async fn offer(arrivals: &[Arrival], front: &Front) -> [ClassResult; 2] {
    let client = Client::builder().connector(Connector::new().limit(0x4000)).finish();
    let start = SystemClock.now();
    let calls = arrivals.iter().enumerate().map(|(number, arrival)| {
        let class = arrival.class;
        let takes = arrival.takes.as_millis();
        let url = format!("http://{}/v1/requests/{class}/x?ms={takes}", front.addr);
        let client = client.clone();
        async move {
            let early = arrival.at.saturating_sub(SystemClock.now() - start);
            actix_web::rt::time::sleep(early).await;
            let sent = SystemClock.now();
            let outcome = call(&client, &url, &format!("r{number}")).await;
            (class, outcome, SystemClock.now() - sent)
        }
    });
    let mut got = ["preview", "build"].map(|_| ClassResult {
        times: histogram(),
        ran: 0,
        not_run: 0,
        other: 0,
    });
    for (class, outcome, took) in join_all(calls).await {
        let got = &mut got[usize::from(class == "build")];
        match outcome.as_str() {
            "ran" => {
                got.ran += 1;
                record(&mut got.times, took);
            }
            "not-run" => got.not_run += 1,
            _ => got.other += 1,
        }
    }
    got
}

async fn call(client: &Client, url: &str, id: &str) -> String {
    let req = client.post(url).insert_header(("waxwing-request-id", id));
    let Ok(mut resp) = req.timeout(Duration::from_secs(30)).send().await else {
        return String::new();
    };
    let outcome = resp.headers().get("waxwing-outcome").cloned();
    let Ok(_) = resp.body().await else { return String::new() };
    outcome.and_then(|value| value.to_str().ok().map(str::to_owned)).unwrap_or_default()
}
