//! Callers: previews through the balancer, and tasks.

use actix_rt::time::sleep;
use awc::Client as Http;
use eyre::Result;
use hdrhistogram::Histogram;
use std::time::Duration;
use waxwingstall::api::{ErrorKind, SubmitPriority, SubmitReply, SubmitReq};
use waxwingstall::client::Client;
use waxwingstall::clock::{Clock, SystemClock};
use waxwingstall::ids::{ClassName, IdempotencyKey, TaskId};

const PREVIEWS: usize = 600;
const INTERVAL: Duration = Duration::from_millis(10);
const PATIENCE: Duration = Duration::from_secs(8);
const LONGEST_MICROS: u64 = 60_000_000;

/// What the callers saw.
pub struct Previews {
    pub sent: usize,
    pub answered: usize,
    pub wrong: usize,
    pub not_run: usize,
    pub latency: Histogram<u64>,
}

/// Sends previews at a steady rate and checks each answer.
pub async fn send_previews(url: String, clock: SystemClock) -> Previews {
    let latency = Histogram::new_with_bounds(1, LONGEST_MICROS, 3).expect("valid bounds");
    let mut previews = Previews { sent: 0, answered: 0, wrong: 0, not_run: 0, latency };
    let mut open = Vec::new();
    for i in 0..PREVIEWS {
        open.push(actix_rt::spawn(preview(url.clone(), i, clock)));
        sleep(INTERVAL).await;
    }
    for request in open {
        previews.sent += 1;
        match request.await {
            Ok(Seen::Whole(took)) => {
                previews.answered += 1;
                let micros = u64::try_from(took.as_micros()).unwrap_or(LONGEST_MICROS);
                previews.latency.saturating_record(micros);
            }
            Ok(Seen::NotRun) => previews.not_run += 1,
            Ok(Seen::Wrong) | Err(_) => previews.wrong += 1,
        }
    }
    previews
}

enum Seen {
    Whole(Duration),
    NotRun,
    Wrong,
}

async fn preview(url: String, i: usize, clock: SystemClock) -> Seen {
    let id = format!("preview-{i}");
    let sent = clock.now();
    let answer = Http::default()
        .get(format!("{url}/v1/requests/preview/page/{i}"))
        .insert_header(("waxwing-request-id", id.clone()))
        .send()
        .await;
    let Ok(mut resp) = answer else { return Seen::Wrong };
    let header = |name: &str| resp.headers().get(name).and_then(|v| v.to_str().ok());
    if header("waxwing-outcome") == Some("not-run") {
        return Seen::NotRun;
    }
    let whole = header("waxwing-outcome") == Some("ran")
        && header("waxwing-request-id") == Some(id.as_str());
    match resp.body().await {
        Ok(body) if whole && body.starts_with(id.as_bytes()) => Seen::Whole(clock.now() - sent),
        _ => Seen::Wrong,
    }
}

/// Submits tasks, each twice with the same key, as a caller whose first answer was lost would.
pub async fn submit_tasks(
    client: &Client,
    narrations: usize,
    print_builds: usize,
) -> Result<Vec<TaskId>> {
    let mut tasks = Vec::new();
    for i in 0..narrations + print_builds {
        let (class, work_ms) =
            if i < narrations { ("narration", 4_000) } else { ("print-build", 2_500) };
        let req = SubmitReq {
            class: ClassName::new(class),
            key: IdempotencyKey::new(&format!("{class}-{i}")),
            team: None,
            payload: format!("{{\"work_ms\": {work_ms}}}"),
            priority: SubmitPriority::AsClass,
        };
        let first = submit_patiently(client, &req).await?;
        let again = client.submit(&req).await?;
        eyre::ensure!(first.task == again.task, "one key made two tasks");
        tasks.push(first.task);
    }
    Ok(tasks)
}

/// Submits again while the answer is "not run, come back": the daemons have just started.
async fn submit_patiently(client: &Client, req: &SubmitReq) -> Result<SubmitReply> {
    let limit = SystemClock.now() + PATIENCE;
    loop {
        match client.submit(req).await {
            Err(e) if e.kind == ErrorKind::Unreachable && SystemClock.now() < limit => {
                sleep(INTERVAL).await;
            }
            result => return Ok(result?),
        }
    }
}
