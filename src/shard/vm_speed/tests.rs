use super::{Evidence, ExpectedTime, Progress, Reading, VmSpeed, compared_time, weigh};
use crate::vm::VmTime;
use std::time::Duration;

const START: Duration = Duration::from_secs(100);

/// Run time of an urgent task on a sound VM.
const TIME: Duration = Duration::from_millis(640);

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// A VM's clock is ahead of this one.
fn clock(at: Duration) -> VmTime {
    VmTime(at + Duration::from_secs(77))
}

/// Adds a reading of a run that takes `TIME`.
fn read(progress: &mut Progress, at: Duration, percent: u8) -> Reading {
    progress.read(clock(at), percent, TIME, at)
}

/// Evidence of a run that has done `percent` of its work in `after`.
fn evidence(percent: u8, after: Duration, expected: ExpectedTime) -> Option<Evidence> {
    let mut progress = Progress::starting(clock(START), 0);
    assert_eq!(read(&mut progress, START + after, percent), Reading::Rate);
    weigh(progress.rate().expect("two readings"), expected)
}

fn is_slow(evidence: Option<Evidence>) -> bool {
    matches!(evidence, Some(Evidence::Slow { .. }))
}

// Guards against a VM at a seventh of its speed that isn't noticed at the first poll of a run.
#[test]
fn a_seventh_of_the_speed_shows_at_the_first_poll() {
    let expected = ExpectedTime::Compared(TIME);
    assert!(is_slow(evidence(9, ms(400), expected)));
    assert!(!is_slow(evidence(62, ms(400), expected)));
    assert!(!is_slow(evidence(42, ms(400), expected)), "run times differ by a third");
    let mut speed = VmSpeed::default();
    speed.add(evidence(9, ms(400), expected).expect("comparable"), START);
    assert!(speed.is_slow(START));
    assert!(speed.share(START) < 0.2, "{}", speed.share(START));
}

// Guards against a step whose tasks all take seven times as long and make their VMs look slow.
#[test]
fn a_step_that_takes_long_on_all_vms_tells_nothing_about_one() {
    let peers = compared_time(vec![22.0, 23.0, 21.0]).expect("a median");
    assert!(!is_slow(evidence(9, ms(400), ExpectedTime::Compared(peers))));
    assert_eq!(evidence(9, ms(400), ExpectedTime::Pending), None);
    let alone = ExpectedTime::Learned { time: TIME, deviation: 0.25 };
    let mut speed = VmSpeed::default();
    speed.add(evidence(9, ms(400), alone).expect("comparable"), START);
    assert!(!speed.is_slow(START), "one run alone is not proof");
    speed.add(evidence(9, ms(400), alone).expect("comparable"), START);
    assert!(speed.is_slow(START), "two steps on one VM are");
}

// Guards against a peer that stands still as the measure of a run on a sound VM.
#[test]
fn the_median_of_the_peers_is_the_measure() {
    assert_eq!(compared_time(vec![0.0, 100.0, 110.0]), Some(ms(1000)));
    assert_eq!(compared_time(vec![0.0]), None);
    assert_eq!(compared_time(Vec::new()), None);
}

// Guards against a learned run time that is far off, as before anything is learned: estimates are
// off by a factor of more than two.
#[test]
fn a_wrong_estimate_is_not_a_slow_vm() {
    let learned = ExpectedTime::Learned { time: TIME, deviation: 0.5 };
    assert!(!is_slow(evidence(25, ms(400), learned)));
    assert!(is_slow(evidence(8, ms(400), learned)));
}

// Guards against a VM that stays slow after it has recovered, or that nothing is placed on.
#[test]
fn evidence_decays_and_sound_runs_outweigh_it() {
    let mut speed = VmSpeed::default();
    let slow = Evidence::Slow { share: 0.14, weight: 1.0 };
    for poll in 0..4 {
        speed.add(slow, START + ms(400) * poll);
    }
    let last = START + ms(1200);
    assert!(speed.is_slow(last + ms(2000)));
    assert!(!speed.is_slow(last + ms(5000)), "it is tried again");
    for poll in 0..4 {
        speed.add(Evidence::Sound { weight: 1.0 }, last + ms(400) * (poll + 1));
    }
    assert!(!speed.is_slow(last + ms(1600)));
}

// Guards against a VM that runs what it runs at full speed and takes seconds to carry out a start.
#[test]
fn late_starts_make_a_vm_slow_whatever_runs_there() {
    let mut speed = VmSpeed::default();
    speed.add(Evidence::Sound { weight: 1.0 }, START);
    speed.add(Evidence::LateStart, START);
    assert!(speed.is_slow(START));
    speed.add(Evidence::TimelyStart, START + ms(100));
    assert!(!speed.is_slow(START + ms(100)));
}

// Guards against a rate over a moment, when polls return early because another run ended.
#[test]
fn readings_within_a_moment_are_taken_together() {
    let mut progress = Progress::starting(clock(START), 0);
    assert_eq!(read(&mut progress, START + ms(20), 3), Reading::TooSoon);
    assert_eq!(read(&mut progress, START + ms(400), 62), Reading::Rate);
    let left = progress.time_left(START + ms(400)).expect("a rate");
    assert!(left > ms(200) && left < ms(300), "{left:?}");
}

// Guards against a run that counts as slow while it restores its checkpoint.
#[test]
fn a_restore_is_not_slow_progress() {
    let mut progress = Progress::starting(clock(START + ms(600)), 40);
    assert_eq!(read(&mut progress, START + ms(400), 40), Reading::TooSoon);
    assert_eq!(read(&mut progress, START + ms(1000), 90), Reading::Rate);
}

// Guards against a run that stands still and seems about to end.
#[test]
fn a_run_that_stands_still_never_ends() {
    let mut progress = Progress::starting(clock(START), 50);
    assert_eq!(read(&mut progress, START + ms(400), 50), Reading::Rate);
    assert!(progress.time_left(START + ms(400)) > Some(Duration::from_secs(1_000_000)));
}

// Guards against a VM that seems to stand still because the first percent of a task of a minute
// takes longer than a poll.
#[test]
fn long_tasks_are_measured_over_longer_times() {
    let mut progress = Progress::starting(clock(START), 0);
    let time = Duration::from_secs(60);
    let mut read = |at: Duration, percent| progress.read(clock(at), percent, time, at);
    assert_eq!(read(START + ms(400), 0), Reading::TooSoon);
    assert_eq!(read(START + ms(6000), 10), Reading::Rate);
}

// Guards against VMs that all seem slow to an owner that was paused and handles old responses.
#[test]
fn late_responses_are_dated_by_the_clock_of_the_vm() {
    let mut progress = Progress::starting(clock(START), 0);
    let handled = START + ms(4000);
    assert_eq!(progress.read(clock(START + ms(400)), 62, TIME, handled), Reading::Rate);
    let evidence = weigh(progress.rate().expect("two readings"), ExpectedTime::Compared(TIME));
    assert!(!is_slow(evidence));
}

// Guards against a run that has done all its work, is not listed as ended yet, and seems never to
// end: its rate is 0.
#[test]
fn a_run_that_has_done_its_work_has_no_time_left() {
    let mut progress = Progress::starting(clock(START), 100);
    assert_eq!(read(&mut progress, START + ms(400), 100), Reading::Rate);
    assert_eq!(progress.time_left(START + ms(400)), Some(Duration::ZERO));
}
