//! Whole daemons against the stand-ins, through what fails. Every count is the stand-ins'.

mod harness;

use harness::Cluster;
use std::time::Duration;
use waxwingstall::api::{ApplyReq, CallOutcome, ErrorKind};
use waxwingstall::ids::Revision;
use waxwingstall::store::memory::Outage;

/// The caller's narrations finish although a daemon that held VMs and wrote a partition dies.
/// Order: tasks run; the daemon is gone without a word; its leases lapse; others take over its VMs
/// and its partition. If they took the tasks for lost, they would run in two places.
#[test]
fn tasks_of_a_daemon_that_dies_run_once() {
    let mut cluster = Cluster::start();
    let tasks = cluster.submit("narration", 16, 4_000);
    cluster.wait_running(8);
    cluster.kill_daemon(0);
    cluster.wait_ended(&tasks);
    cluster.check_once(tasks.len());
}

/// Callers keep sending previews while a daemon stops as planned. Order: it says that it is not
/// ready; the balancer stops choosing it; requests that it has are finished; it ends. Ending before
/// the balancer knows would cut those it still sends.
#[test]
fn a_planned_stop_cuts_no_request() {
    let mut cluster = Cluster::start();
    let callers = cluster.send_previews(4, 150);
    cluster.drain_daemon(1);
    let seen = callers.join().expect("callers that don't panic");
    assert_eq!(seen.wrong, Vec::<String>::new());
    assert_eq!(seen.whole, 600);
    assert_eq!(cluster.over_slots(), 0);
}

/// All daemons are replaced one after another while callers send previews. Order: a new daemon
/// starts and the balancer finds it ready; an old one is stopped as planned. A new daemon that was
/// ready before it had slots would refuse callers whom the others could have served.
#[test]
fn replacing_every_daemon_refuses_no_request() {
    let mut cluster = Cluster::start();
    let callers = cluster.send_previews(4, 400);
    for i in 0..4 {
        cluster.start_daemon(i);
        cluster.drain_daemon(i);
    }
    let seen = callers.join().expect("callers that don't panic");
    assert_eq!(seen.wrong, Vec::<String>::new());
    assert_eq!(seen.whole, 1600);
    assert_eq!(cluster.over_slots(), 0);
}

/// A daemon starts while no worker can be reached, so that nobody can give it slots. The balancer
/// must not choose it: it would answer every caller "not run".
#[test]
fn a_daemon_without_slots_is_not_ready() {
    let mut cluster = Cluster::start();
    let revision = cluster.revision();
    (0..4).for_each(|i| cluster.kill_daemon(i));
    cluster.platform.cut_off_workers();
    cluster.start_unready(0);
    cluster.wait_in_force(revision);
    assert_eq!(cluster.ready_status(), 503);
}

/// The key-value service is down. Order: tasks run; it goes down; callers' previews are answered,
/// a submission is refused as "not run" at once, and what runs goes on and ends; it comes back, and
/// the ends are recorded. Taking the submission would promise what no daemon could keep.
#[test]
fn an_outage_of_the_store_stops_only_new_tasks() {
    let cluster = Cluster::start();
    let tasks = cluster.submit("narration", 6, 1_500);
    cluster.wait_running(6);
    cluster.platform.kv.faults().set_outage(Outage::Down);
    let refused = cluster.submit_one("narration", "late", 100).expect_err("no store");
    assert_eq!(refused.outcome, CallOutcome::NotRun, "{refused:?}");
    let seen = cluster.send_previews(1, 50).join().expect("callers that don't panic");
    assert_eq!(seen.wrong, Vec::<String>::new());
    assert_eq!(seen.whole, 50);
    cluster.wait_until("every task ends on its worker", |c| c.book().finished_once() == 6);
    cluster.platform.kv.faults().set_outage(Outage::Up);
    cluster.wait_ended(&tasks);
    cluster.check_once(tasks.len());
}

/// Two operators change one file from the same revision. One change is in force on every daemon;
/// the other operator learns of the winner. Taking both would undo one of them unseen.
#[test]
fn of_two_operators_one_wins_and_the_other_is_told() {
    let cluster = Cluster::start();
    let base = cluster.revision();
    let change = |operator: &str, cores: &str| ApplyReq {
        operator: operator.to_owned(),
        change_id: format!("change-of-{operator}"),
        file: "teams.toml".to_owned(),
        text: Some(harness::example("teams.toml").replace("600000", cores)),
        base: Some(base),
    };
    let first = cluster.apply(&change("amina", "500000")).expect("the first change");
    let second = cluster.apply(&change("radu", "400000")).expect_err("a conflict");
    assert_eq!(second.kind, ErrorKind::Conflict);
    assert!(second.message.contains("amina"), "{second:?}");
    cluster.wait_in_force(first.revision);
    assert_eq!(cluster.revision(), Revision(base.0 + 1));
}

/// A worker says that it is leaving. Order: narrations run there; it is evicted from with
/// checkpoints; they resume elsewhere, each once; nothing new starts on it.
#[test]
fn a_leaving_worker_gets_nothing_new_and_its_tasks_resume_once() {
    let cluster = Cluster::start();
    let tasks = cluster.submit("narration", 12, 3_000);
    let vm = cluster.wait_running(12);
    cluster.platform.leave(&vm);
    cluster.wait_until("the worker is empty", |c| c.tasks_on(&vm) == 0);
    let started = cluster.starts_on(&vm);
    let more = cluster.submit("narration", 12, 200);
    cluster.wait_ended(&tasks);
    cluster.wait_ended(&more);
    assert_eq!(cluster.starts_on(&vm), started);
    assert!(cluster.resumes() > 0, "nothing was resumed");
    cluster.check_once(tasks.len() + more.len());
}

/// Two of the workers restart at once, with what ran there. The tasks start again elsewhere or
/// there, and each finishes once.
#[test]
fn tasks_lost_with_their_workers_run_again_and_finish_once() {
    let cluster = Cluster::start();
    let tasks = cluster.submit("narration", 12, 2_000);
    let vm = cluster.wait_running(12);
    cluster.platform.restart(&vm);
    std::thread::sleep(Duration::from_millis(300));
    if let Some(other) = cluster.busiest() {
        cluster.platform.restart(&other);
    }
    cluster.wait_ended(&tasks);
    cluster.check_once(tasks.len());
}
