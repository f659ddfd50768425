//! The whole path in one process: stand-ins for the platform, four daemons in two failure domains,
//! a real configuration, requests and tasks, a worker that dies, an eviction, and an explanation.
//!
//! What is printed as a result is counted by the stand-ins, not by the daemons.

mod callers;
mod report;

use eyre::{Result, ensure, eyre};
use report::Summary;
use std::path::Path;
use std::process::ExitCode;
use std::sync::Arc;
use std::time::Duration;
use waxwingstall::api::{ApplyReq, TaskQuery, TaskView};
use waxwingstall::client::{Client, ExplainSubject};
use waxwingstall::clock::{Clock, SystemClock};
use waxwingstall::daemon::{Daemon, Serving};
use waxwingstall::ids::{Revision, TaskId, VmId};
use waxwingstall::task::{Outcome, Phase};
use waxwingstall_standin::platform::{Platform, PlatformSettings};

const READY_LIMIT: Duration = Duration::from_secs(10);
const FINISH_LIMIT: Duration = Duration::from_secs(18);
const LOOK: Duration = Duration::from_millis(100);
const NARRATIONS: usize = 24;
const PRINT_BUILDS: usize = 8;

#[actix_rt::main]
async fn main() -> Result<ExitCode> {
    let clock = SystemClock;
    let begun = clock.now();
    step("starting the platform's stand-ins and four daemons");
    let platform = Platform::start(PlatformSettings::default());
    let daemons = start_daemons(&platform)?;
    wait_ready(&platform, daemons.len()).await?;
    let client = Client::new(vec![platform.balancer.addr().to_string()]);

    step("applying examples/inkuru/*.toml");
    let revision = apply_examples(&client).await?;
    let spread = wait_in_force(&daemons, revision, clock).await?;
    println!(
        "    in force on all daemons {:.0} ms after the last answer",
        spread.as_secs_f64() * 1e3
    );

    step("submitting narrations and print builds, and sending previews");
    let tasks = callers::submit_tasks(&client, NARRATIONS, PRINT_BUILDS).await?;
    let url = format!("http://{}", platform.balancer.addr());
    let previews = actix_rt::spawn(callers::send_previews(url, clock));

    let evicted = wait_for_running(&client, "narration", 1).await?;
    step(&format!("worker {} is leaving: its narrations are evicted and resumed", evicted.vm));
    platform.leave(&evicted.vm);
    let dying = wait_for_other(&client, &evicted.vm).await?;
    step(&format!("worker {dying} dies and comes back empty"));
    platform.restart(&dying);

    let ended = wait_for_ends(&client, &tasks, clock).await?;
    let previews = previews.await?;
    step("stopping one daemon as planned");
    stop_one(daemons);

    let explanation = client.explain(&ExplainSubject::Task(evicted.task)).await?;
    let summary = Summary { previews, ended, ledger: platform.ledger.book(), platform: &platform };
    summary.print(clock.now().saturating_sub(begun));
    report::print_explanation(evicted.task, &explanation);
    Ok(summary.verdict())
}

fn step(what: &str) {
    println!("… {what}");
}

fn start_daemons(platform: &Platform) -> Result<Vec<Daemon<Serving>>> {
    platform
        .settings()
        .into_iter()
        .map(|settings| {
            let daemon = Daemon::start(settings, Arc::new(SystemClock))?;
            platform.add_daemon(&daemon);
            Ok(daemon)
        })
        .collect()
}

async fn wait_ready(platform: &Platform, count: usize) -> Result<()> {
    let clock = SystemClock;
    let limit = clock.now() + READY_LIMIT;
    while platform.balancer.ready() < count {
        ensure!(clock.now() < limit, "the daemons are not ready");
        actix_rt::time::sleep(LOOK).await;
    }
    Ok(())
}

async fn apply_examples(client: &Client) -> Result<Revision> {
    let mut last = Revision(0);
    let dir = Path::new(env!("CARGO_MANIFEST_DIR")).join("examples/inkuru");
    for name in ["pools.toml", "teams.toml", "services.toml", "batch.toml"] {
        let req = ApplyReq {
            operator: "quickstart".to_owned(),
            change_id: format!("quickstart-{name}"),
            file: name.to_owned(),
            text: Some(std::fs::read_to_string(dir.join(name))?),
            base: None,
        };
        let reply = client.apply(&req).await?;
        println!("    {name} is in force as revision {}", reply.revision);
        last = reply.revision;
    }
    Ok(last)
}

/// Waits until every daemon has the revision in force.
async fn wait_in_force(
    daemons: &[Daemon<Serving>],
    revision: Revision,
    clock: SystemClock,
) -> Result<Duration> {
    let accepted = clock.now();
    for daemon in daemons {
        let client = Client::new(vec![daemon.front_addr().to_string()]);
        while client.status().await?.revision < revision {
            ensure!(clock.now() < accepted + READY_LIMIT, "{} lags behind", daemon.id());
            actix_rt::time::sleep(LOOK / 10).await;
        }
    }
    Ok(clock.now().saturating_sub(accepted))
}

/// A task that runs on a VM.
struct Running {
    task: TaskId,
    vm: VmId,
}

async fn wait_for_running(client: &Client, class: &str, least: usize) -> Result<Running> {
    let clock = SystemClock;
    let limit = clock.now() + READY_LIMIT;
    loop {
        let running = running(client).await?;
        let of_class: Vec<_> =
            running.iter().filter(|view| view.task.spec.class.as_str() == class).collect();
        if of_class.len() >= least
            && let Some(found) = of_class.iter().find_map(|view| place(view))
        {
            return Ok(found);
        }
        ensure!(clock.now() < limit, "no {class} runs");
        actix_rt::time::sleep(LOOK).await;
    }
}

async fn wait_for_other(client: &Client, not: &VmId) -> Result<VmId> {
    let running = running(client).await?;
    running
        .iter()
        .filter(|view| view.task.spec.class.as_str() == "narration")
        .filter_map(place)
        .map(|running| running.vm)
        .find(|vm| vm != not)
        .ok_or_else(|| eyre!("all narrations run on one worker"))
}

async fn running(client: &Client) -> Result<Vec<TaskView>> {
    let list = client.tasks(&TaskQuery { limit: Some(500), ..TaskQuery::default() }).await?;
    Ok(list.tasks.into_iter().filter(|view| view.waiting_for.is_none()).collect())
}

fn place(view: &TaskView) -> Option<Running> {
    match &view.task.phase {
        Phase::Bound { vm } => Some(Running { task: view.task.id, vm: vm.clone() }),
        Phase::Waiting | Phase::Ended { .. } => None,
    }
}

async fn wait_for_ends(
    client: &Client,
    tasks: &[TaskId],
    clock: SystemClock,
) -> Result<Vec<Outcome>> {
    let limit = clock.now() + FINISH_LIMIT;
    loop {
        let list = client.tasks(&TaskQuery { limit: Some(500), ..TaskQuery::default() }).await?;
        let outcomes: Vec<_> = list
            .tasks
            .iter()
            .filter(|view| tasks.contains(&view.task.id))
            .filter_map(|view| match &view.task.phase {
                Phase::Ended { outcome } => Some(outcome.clone()),
                Phase::Waiting | Phase::Bound { .. } => None,
            })
            .collect();
        println!("    {} of {} tasks have ended", outcomes.len(), tasks.len());
        if outcomes.len() == tasks.len() || clock.now() >= limit {
            report::print_open(&list.tasks);
            return Ok(outcomes);
        }
        actix_rt::time::sleep(LOOK * 10).await;
    }
}

fn stop_one(mut daemons: Vec<Daemon<Serving>>) {
    if let Some(daemon) = daemons.pop() {
        daemon.drain().wait();
    }
    // The others stay up until the explanation is read.
    std::mem::forget(daemons);
}
