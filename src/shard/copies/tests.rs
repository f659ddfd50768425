use super::{
    Cause, Outlook, RestartTimes, ShardUse, copy_gain, is_exhausted, max_slow_runs, may_add_run,
    restart_gain,
};
use crate::job::Resume;
use std::time::Duration;

const NEW_RUN: Duration = Duration::from_millis(640);

const TIMES: RestartTimes = RestartTimes {
    stop: Duration::from_millis(900),
    restore: Duration::from_millis(100),
    checkpoint_every: Duration::from_millis(500),
};

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

// Guards against copies of runs that end about as soon as their copy.
#[test]
fn only_runs_that_end_much_later_than_a_copy_get_one() {
    let cause = |left| copy_gain(Outlook::Left(left), NEW_RUN).map(|(cause, _)| cause);
    assert_eq!(cause(ms(4100)), Some(Cause::Progress));
    assert_eq!(cause(Duration::MAX), Some(Cause::Progress));
    assert_eq!(cause(ms(900)), None);
    assert_eq!(cause(ms(300)), None);
}

// Guards against copies of whole steps: seven times as long, also for a copy.
#[test]
fn a_step_that_takes_long_gets_no_copies() {
    assert_eq!(copy_gain(Outlook::Left(ms(4100)), 7 * NEW_RUN), None);
}

// Guards against copies because of a start that was lost once, or of a VM that missed a poll, and
// against the spread of a crash: of a run that was never seen at work nothing is known.
#[test]
fn starts_and_vms_get_some_time_to_answer() {
    let cause = |outlook| copy_gain(outlook, NEW_RUN).map(|(cause, _)| cause);
    assert_eq!(cause(Outlook::NotStarted(ms(450))), None);
    assert_eq!(cause(Outlook::NotStarted(ms(700))), Some(Cause::LateStart));
    assert_eq!(cause(Outlook::Unanswered(ms(500))), None);
    assert_eq!(cause(Outlook::Unanswered(ms(900))), Some(Cause::Unanswered));
    assert_eq!(cause(Outlook::Unknown), None);
}

// Guards against restarts that take longer than the slow run: the stop alone takes up to 900 ms.
#[test]
fn a_restart_must_end_sooner_counting_the_stop_and_the_restore() {
    let gain = |left, percent, resume| restart_gain(left, percent, resume, NEW_RUN, &TIMES);
    assert!(gain(ms(4100), 9, Resume::FromStart).is_some());
    assert!(gain(ms(1700), 60, Resume::FromStart).is_none());
    let long = |percent, resume| restart_gain(ms(4000), percent, resume, ms(3000), &TIMES);
    assert!(long(50, Resume::FromStart).is_none(), "its work would be lost");
    assert!(long(50, Resume::FromCheckpoint).is_some(), "half of it is saved");
}

// Guards against copies that add to an overload.
#[test]
fn the_bound_falls_as_work_waits_and_room_runs_out() {
    let shard = ShardUse { running: 100, waiting: 0, free: 500.0, all: 1000.0 };
    assert_eq!(max_slow_runs(shard), 10);
    assert_eq!(max_slow_runs(ShardUse { waiting: 4, ..shard }), 6);
    assert_eq!(max_slow_runs(ShardUse { waiting: 30, ..shard }), 0);
    assert_eq!(max_slow_runs(ShardUse { free: 20.0, ..shard }), 0);
    assert_eq!(max_slow_runs(ShardUse { running: 3, ..shard }), 2);
    assert_eq!(max_slow_runs(ShardUse { running: 3, waiting: 2, ..shard }), 0);
}

// Guards against more failed runs than `attempts`, if each of several runs fails.
#[test]
fn a_copy_leaves_each_run_its_attempt() {
    assert!(may_add_run(0, 1, 2));
    assert!(!may_add_run(1, 1, 2));
    assert!(!may_add_run(0, 1, 1));
    assert!(!may_add_run(0, 2, 4), "one copy at a time");
}

// Guards against a task that is failed for good while another copy of it still runs, and against
// one that is started again after that copy has ended.
#[test]
fn a_task_is_exhausted_once_its_last_copy_has_ended() {
    assert!(!is_exhausted(2, 2, 1));
    assert!(is_exhausted(2, 2, 0));
    assert!(!is_exhausted(1, 2, 0));
}
