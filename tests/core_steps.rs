//! Individual steps of one core, in event orders that have caused or could cause faults.

#[allow(dead_code)] // each test binary uses only part of the module
mod common;

use common::solo::{ME, Solo, listed, member, tenant};
use common::{Kind, PARTITION, daemon, ms, spec};
use waxwingstall::core::event::{Answer, CommitResult};
use waxwingstall::core::{Action, Event};
use waxwingstall::ids::{Attempt, BootId, DomainId, RackId, TaskId, Ticket, Token, VmId};
use waxwingstall::model::{Idempotency, Resumption, Urgency};
use waxwingstall::peer::{CloseReason, Decline, Member, MemberState, PeerMsg, VmHealth, VmView};
use waxwingstall::task::{Change, Outcome, TaskSpec};
use waxwingstall::units::Resources;
use waxwingstall::worker::{self, Earlier, EndedAttempt};

const OTHER: &str = "other";

fn task(number: u64) -> TaskId {
    TaskId::new(PARTITION, number)
}

fn reserve(number: u64, spec: &TaskSpec) -> PeerMsg {
    let (vm, attempt) = (VmId::new("w0"), Attempt(1));
    PeerMsg::Reserve { vm, task: task(number), attempt, spec: spec.clone() }
}

fn start(number: u64, spec: &TaskSpec) -> PeerMsg {
    PeerMsg::Start {
        vm: VmId::new("w0"),
        boot: BootId(1),
        task: task(number),
        attempt: Attempt(1),
        spec: spec.clone(),
        resume: None,
    }
}

/// A task that requires all resources of a VM.
fn vm_sized_task() -> TaskSpec {
    TaskSpec { resources: Resources::new(4_000, 8_192, 0), ..spec(Kind::Narration, ms(60_000)) }
}

fn declined(solo: &Solo, reason: Decline) -> bool {
    let is = |msg: &&PeerMsg| matches!(msg, PeerMsg::Declined { reason: r, .. } if *r == reason);
    solo.sent_to(OTHER).iter().any(is)
}

fn starts(solo: &Solo) -> usize {
    solo.actions.iter().filter(|action| matches!(action, Action::Start { .. })).count()
}

fn closes(solo: &Solo) -> usize {
    solo.actions.iter().filter(|action| matches!(action, Action::Close { .. })).count()
}

/// A core that holds w0, on which task 0 of another daemon runs.
fn with_a_running_task(spec: &TaskSpec) -> Solo {
    let mut solo = Solo::at_work(&["w0"]);
    solo.receive(OTHER, reserve(0, spec));
    solo.receive(OTHER, start(0, spec));
    solo.started("w0", task(0), 1);
    solo.take();
    solo
}

/// Guards against overcommitting a VM. While the VM hasn't answered a close, the task that occupies
/// it may still run; its resources become available only with the VM's proof.
#[test]
fn room_stays_taken_until_the_vm_proves_the_close() {
    let mut solo = with_a_running_task(&vm_sized_task());
    let (vm, boot, attempt) = (VmId::new("w0"), BootId(1), Attempt(1));
    let why = CloseReason::Cancelled;
    solo.receive(OTHER, PeerMsg::Close { vm, boot, task: task(0), attempt, why });
    assert_eq!(closes(&solo), 1);
    solo.receive(OTHER, reserve(1, &vm_sized_task()));
    assert!(declined(&solo, Decline::NoRoom));
    solo.take();
    solo.closed("w0", task(0), 1);
    solo.receive(OTHER, reserve(1, &vm_sized_task()));
    assert!(!declined(&solo, Decline::NoRoom));
}

/// Guards against closing a running task as lost. The response to a renewal is read before a start
/// takes effect but arrives after the start was confirmed, so it doesn't list the task.
#[test]
fn a_table_read_before_a_start_does_not_report_the_task_lost() {
    let spec = spec(Kind::PrintBuild, ms(60_000));
    let mut solo = Solo::at_work(&["w0"]);
    let sent = solo.now;
    solo.now += ms(10);
    solo.receive(OTHER, reserve(0, &spec));
    solo.receive(OTHER, start(0, &spec));
    solo.started("w0", task(0), 1);
    solo.now += ms(10);
    solo.synced("w0", sent, Vec::new(), Vec::new());
    assert_eq!(closes(&solo), 0);
    let later = solo.now;
    solo.now += ms(10);
    solo.synced("w0", later, Vec::new(), Vec::new());
    assert_eq!(closes(&solo), 1);
}

/// Guards against overestimating a lease's validity. The response to the request takes 4 s, and the
/// VM may have granted the lease right after the request was sent. Counting from the response would
/// exceed the lease by 4 s, during which another daemon may hold the VM.
#[test]
fn a_lease_is_counted_from_before_its_request_was_sent() {
    let mut solo = Solo::new(&["w0"]);
    let sent = solo.now;
    solo.wait(ms(10));
    solo.now = sent + ms(4_000);
    let status = common::worker("w0");
    let result = Ok(worker::Granted { token: Token(1), earlier: Earlier::None, status });
    solo.tell(Event::Acquired { vm: VmId::new("w0"), sent, result });
    assert_eq!(solo.core.vms()[0].valid_for, ms(10_000 - 500 - 4_000));
}

/// Guards against a paused daemon acting on a VM after its lease expired, when another daemon may
/// hold the VM. Messages queued during the pause must neither start an attempt nor reserve
/// resources.
#[test]
fn after_a_pause_past_the_lease_nothing_is_sent() {
    let spec = spec(Kind::Narration, ms(1_000));
    let mut solo = Solo::at_work(&["w0"]);
    solo.receive(OTHER, reserve(0, &spec));
    solo.take();
    solo.now += ms(9_600);
    solo.receive(OTHER, start(0, &spec));
    solo.receive(OTHER, reserve(1, &spec));
    assert_eq!(starts(&solo), 0);
    assert!(declined(&solo, Decline::NotHeld));
    assert!(solo.core.vms().is_empty());
}

/// Guards against moving VMs back and forth while a daemon joins and leaves every few seconds,
/// which would interrupt placement on them. VMs are handed over only once the change has lasted.
#[test]
fn vms_stay_while_a_daemon_flaps_and_move_once_it_stays() {
    let vms: Vec<String> = (0..40).map(|number| format!("w{number}")).collect();
    let names: Vec<&str> = vms.iter().map(String::as_str).collect();
    let mut solo = Solo::at_work(&names);
    let renew = |solo: &mut Solo| {
        let sent = solo.now;
        names.iter().for_each(|vm| solo.synced(vm, sent, Vec::new(), Vec::new()));
    };
    for _ in 0..6 {
        solo.tell(Event::Members(vec![member(ME), member(OTHER)]));
        solo.wait(ms(4_000));
        renew(&mut solo);
        solo.tell(Event::Members(vec![member(ME)]));
        solo.wait(ms(1_000));
        renew(&mut solo);
    }
    assert_eq!(solo.core.vms().len(), 40);
    solo.tell(Event::Members(vec![member(ME), member(OTHER)]));
    for _ in 0..4 {
        solo.wait(ms(4_000));
        renew(&mut solo);
    }
    let kept = solo.core.vms().len();
    let released =
        solo.actions.iter().filter(|action| matches!(action, Action::Release { .. })).count();
    assert_eq!(kept + released, 40);
    assert!((10..=30).contains(&kept), "{kept} of 40 kept");
}

#[test]
fn ten_thousand_cancellations_take_a_few_commits_and_no_decision() {
    let mut solo = Solo::new(&[]);
    solo.wait(ms(600));
    solo.recover(Vec::new());
    for number in 0..10_000 {
        solo.submit(number, spec(Kind::Narration, ms(1_000)));
    }
    solo.settle();
    solo.take();
    for number in 0..10_000 {
        let ticket = Ticket(20_000 + number);
        solo.tell(Event::Cancel { ticket, task: task(number) });
    }
    let before = solo.core.counters().commits;
    solo.settle();
    let commits = solo.core.counters().commits - before;
    assert!(commits <= 6, "{commits} commits");
    let cancelled = solo
        .actions
        .iter()
        .filter(|action| matches!(action, Action::Reply { answer: Answer::Cancelling { .. }, .. }));
    assert_eq!(cancelled.count(), 10_000);
    let decisions = solo.actions.iter().filter(|action| matches!(action, Action::Explain(_)));
    assert_eq!(decisions.count(), 0);
}

/// Guards against wrong replies while the store is slow. The first submission is in a commit that
/// may still take effect, so its caller must wait for the outcome. The second was not sent and is
/// known not to be recorded, so its caller is told so without waiting for that commit.
#[test]
fn a_submission_in_a_slow_commit_waits_and_one_behind_it_is_given_back() {
    let mut solo = Solo::at_work(&["w0"]);
    let first = solo.submit(1, spec(Kind::PrintBuild, ms(1_000)));
    solo.wait(ms(200));
    let second = solo.submit(2, spec(Kind::PrintBuild, ms(1_000)));
    let (ticket, records) = {
        let commits = solo.commits();
        (commits[0].0, commits[0].1.len())
    };
    assert_eq!(records, 1);
    solo.wait(ms(3_500));
    let third = solo.submit(3, spec(Kind::PrintBuild, ms(1_000)));
    assert_eq!(solo.answer(first), None);
    assert!(matches!(solo.answer(second), Some(Answer::NotRun { .. })));
    assert!(matches!(solo.answer(third), Some(Answer::NotRun { .. })));
    solo.tell(Event::Committed { ticket, result: CommitResult::Durable });
    assert!(matches!(solo.answer(first), Some(Answer::Accepted { repeated: false, .. })));
}

/// Guards against a wrong reply when a daemon loses a partition while a commit is in flight, after
/// two daemons considered themselves the writer. The caller gets the commit's actual outcome.
#[test]
fn a_commit_in_flight_at_the_loss_of_a_partition_is_answered_with_its_outcome() {
    for (result, accepted) in [
        (CommitResult::Durable, true),
        (CommitResult::NotWritten { reason: "superseded".to_owned() }, false),
    ] {
        let mut solo = Solo::at_work(&["w0"]);
        let caller = solo.submit(1, spec(Kind::PrintBuild, ms(1_000)));
        solo.wait(ms(200));
        let ticket = solo.commits()[0].0;
        solo.tell(Event::Superseded { partition: PARTITION });
        assert_eq!(solo.answer(caller), None);
        solo.tell(Event::Committed { ticket, result });
        let accepted_reply = matches!(solo.answer(caller), Some(Answer::Accepted { .. }));
        assert_eq!(accepted_reply, accepted);
    }
}

/// Guards against losing the end of a task. The VM reports the end, the daemon loses the VM, and
/// the VM could restart and lose the end before the writer records it. The daemon keeps reporting
/// the end until the writer acknowledges it.
#[test]
fn an_end_is_still_reported_after_its_vm_is_lost() {
    let spec = spec(Kind::Narration, ms(1_000));
    let mut solo = with_a_running_task(&spec);
    let members = vec![member(ME), member(OTHER)];
    solo.tell(Event::Members(members));
    let sent = solo.now;
    solo.now += ms(10);
    let end = EndedAttempt { task: task(0), attempt: Attempt(1), outcome: Outcome::Succeeded };
    solo.synced("w0", sent, Vec::new(), vec![end]);
    solo.wait(ms(11_000));
    assert!(solo.core.vms().is_empty());
    solo.take();
    solo.wait(ms(2_500));
    let is_end = |msg: &&PeerMsg| matches!(msg, PeerMsg::Ended { .. });
    let reported = [ME, OTHER].iter().flat_map(|to| solo.sent_to(to)).filter(is_end).count();
    assert_eq!(reported, 1);
    let (vm, attempt) = (VmId::new("w0"), Attempt(1));
    solo.receive(OTHER, PeerMsg::EndedAck { vm, task: task(0), attempt });
    solo.take();
    solo.wait(ms(2_500));
    assert!(![ME, OTHER].iter().flat_map(|to| solo.sent_to(to)).any(|msg| is_end(&msg)));
}

/// Guards against running a task twice when its VM disappears from the platform's list. The list
/// may be out of date or empty by mistake, so the task may still run and isn't released until
/// `gone_after` has passed.
#[test]
fn a_task_on_a_delisted_vm_is_released_only_after_the_delay() {
    let mut solo = Solo::at_work(&["w0"]);
    solo.submit(1, spec(Kind::Narration, ms(60_000)));
    solo.settle();
    solo.started("w0", task(0), 1);
    solo.settle();
    solo.take();
    solo.tell(Event::Listed(Vec::new()));
    solo.wait(ms(100_000));
    solo.settle();
    let released = |solo: &Solo| {
        let records = solo.core.task(task(0)).map(|task| task.phase.clone());
        records == Some(waxwingstall::task::Phase::Waiting)
    };
    assert!(!released(&solo));
    assert!(solo.core.waiting_reason(task(0)).is_none_or(|text| text.contains("w0")));
    solo.tell(Event::Listed(vec![listed("w9")]));
    solo.wait(ms(2_000));
    solo.wait(ms(50_000));
    solo.settle();
    assert!(!released(&solo));
    solo.wait(ms(15_000));
    solo.settle();
    assert!(released(&solo));
}

/// Guards against a shutdown that interrupts tasks: a draining daemon accepts no new work and
/// releases its VMs without closing the tasks on them.
#[test]
fn a_draining_daemon_rejects_work_and_releases_its_vms() {
    let mut solo = with_a_running_task(&spec(Kind::Narration, ms(60_000)));
    solo.tell(Event::Drain);
    let draining = Member { state: MemberState::Draining, ..member(ME) };
    solo.tell(Event::Members(vec![draining, member(OTHER)]));
    let caller = solo.submit(1, spec(Kind::Narration, ms(1_000)));
    solo.receive(OTHER, reserve(1, &spec(Kind::Narration, ms(1_000))));
    assert!(matches!(solo.answer(caller), Some(Answer::NotRun { .. })));
    assert!(declined(&solo, Decline::NotHeld));
    assert!(solo.actions.iter().any(|action| matches!(action, Action::Release { .. })));
    assert_eq!(closes(&solo), 0);
}

/// Guards against losing ends that are reported during a store outage. They are kept in order and
/// written when the store recovers, and only then is the VM told to discard them.
#[test]
fn ends_are_kept_through_an_outage_and_written_in_order() {
    let mut solo = Solo::at_work(&["w0"]);
    for number in 0..3 {
        solo.submit(number, spec(Kind::Narration, ms(1_000)));
    }
    solo.settle();
    for number in 0..3 {
        solo.started("w0", task(number), 1);
    }
    solo.settle();
    solo.take();
    let sent = solo.now;
    solo.now += ms(10);
    let ended = (0..3).map(|number| EndedAttempt {
        task: task(number),
        attempt: Attempt(1),
        outcome: Outcome::Succeeded,
    });
    solo.synced("w0", sent, Vec::new(), ended.collect());
    let reports: Vec<PeerMsg> = solo.sent_to(ME).into_iter().cloned().collect();
    reports.into_iter().for_each(|msg| solo.receive(ME, msg));
    let mut tries = 0;
    for _ in 0..3_600 {
        solo.wait(ms(1_000));
        let open = solo.commits().first().map(|(ticket, _)| *ticket);
        solo.take();
        if let Some(ticket) = open {
            tries += 1;
            let result = CommitResult::NotWritten { reason: "down".to_owned() };
            solo.tell(Event::Committed { ticket, result });
        }
    }
    assert!((600..=1_500).contains(&tries), "{tries} tries in an hour");
    solo.wait(ms(10_000));
    let ends: Vec<TaskId> = solo.commits()[0].1.iter().map(|record| record.task).collect();
    assert_eq!(ends, [task(0), task(1), task(2)]);
    assert!(solo.commits()[0].1.iter().all(|r| matches!(r.change, Change::Ended { .. })));
    assert!(solo.sent_to(ME).iter().all(|msg| !matches!(msg, PeerMsg::EndedAck { .. })));
    solo.settle();
    assert_eq!(solo.core.task(task(2)).map(|task| task.ended()), Some(true));
}

#[test]
fn a_daemon_that_reacquires_a_vm_closes_attempts_missing_from_its_table() {
    let spec = spec(Kind::Narration, ms(60_000));
    let mut solo = with_a_running_task(&spec);
    solo.wait(ms(11_000));
    assert!(solo.core.vms().is_empty());
    solo.take();
    solo.grant("w0", 2, Vec::new());
    assert_eq!(closes(&solo), 1);
    let mut solo = with_a_running_task(&spec);
    solo.wait(ms(11_000));
    solo.take();
    solo.grant("w0", 2, vec![tenant(task(0), 1, &spec)]);
    assert_eq!(closes(&solo), 0);
    assert_eq!(solo.core.vms()[0].attempts.len(), 1);
}

#[test]
fn a_lone_daemon_holds_the_vm_and_is_the_preferred_writer() {
    let solo = Solo::at_work(&["w0"]);
    assert_eq!(solo.core.vms().len(), 1);
    assert_eq!(solo.core.preferred_writer(PARTITION), Some(daemon(ME)));
}

/// Guards against an urgent task waiting behind a narration that could resume on another VM. The
/// urgent task's writer doesn't know the tasks on the VM, so the holder selects one to evict.
#[test]
fn a_holder_without_room_evicts_for_an_urgent_task() {
    let mut solo = with_a_running_task(&vm_sized_task());
    solo.wait(ms(100));
    let urgent = TaskSpec { urgency: Urgency::Urgent, ..vm_sized_task() };
    solo.receive(OTHER, reserve(1, &urgent));
    assert!(declined(&solo, Decline::NoRoom));
    let checkpoints =
        solo.actions.iter().filter(|action| matches!(action, Action::Checkpoint { .. })).count();
    assert_eq!(checkpoints, 1);
    let mut solo = with_a_running_task(&TaskSpec {
        idempotency: Idempotency::NonIdempotent,
        resumption: Resumption::FromStart,
        ..vm_sized_task()
    });
    solo.wait(ms(100));
    solo.receive(OTHER, reserve(1, &urgent));
    assert_eq!(closes(&solo), 0);
}

/// Guards against an urgent task waiting forever when the only VM is full and held by another
/// daemon. The writer requests a reservation anyway, so that the holder evicts a task; the urgent
/// task remains queued.
#[test]
fn an_urgent_task_without_room_is_requested_from_another_holder() {
    let mut solo = Solo::at_work(&[]);
    solo.tell(Event::Members(vec![member(ME), member(OTHER)]));
    let full = VmView {
        vm: VmId::new("w5"),
        holder: daemon(OTHER),
        domain: DomainId::new(common::DOMAIN),
        rack: RackId::new("r1"),
        size: Resources::new(4_000, 8_192, 0),
        free: Resources::ZERO,
        classes: Vec::new(),
        health: VmHealth::Open,
    };
    solo.receive(OTHER, PeerMsg::Views { views: vec![full] });
    let urgent = TaskSpec { urgency: Urgency::Urgent, ..vm_sized_task() };
    solo.submit(1, urgent);
    solo.settle();
    solo.wait(ms(1_500));
    let asked = |msg: &&PeerMsg| matches!(msg, PeerMsg::Reserve { .. });
    assert!(solo.sent_to(OTHER).iter().any(asked));
    let waits = solo.core.waiting_reason(task(0));
    assert!(waits.as_deref().is_some_and(|text| text.starts_with("for a VM")), "{waits:?}");
}
