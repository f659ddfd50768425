//! A job's story out of the logs of several daemons.

use waxwingstall::job::JobId;
use waxwingstall::trace::{Gap, Story, Tracer};

const JOB: &str = "5c0e7a21d94b36f8";

fn job() -> JobId {
    JOB.parse().expect("a job id")
}

fn trace(logs: &[(&str, &str)]) -> Option<Story> {
    let mut tracer = Tracer::new(job());
    for (source, log) in logs {
        log.lines().for_each(|line| tracer.read(source, line));
    }
    tracer.finish()
}

fn events(story: &Story) -> Vec<(&str, &str)> {
    story.entries.iter().map(|entry| (entry.source.as_str(), entry.event.as_str())).collect()
}

const TAKER: &str = "\
ts=2026-12-03T05:00:00.100Z event=job-accepted job=5c0e7a21d94b36f8 queue=builds tasks=2 waited_ms=30 seq=4
ts=2026-12-03T05:00:00.140Z event=job-accepted job=0000000000000001 queue=builds tasks=2 waited_ms=30 seq=4
ts=2026-12-03T05:00:00.150Z event=task-bound task=5c0e7a21d94b36f8.0.0.1 run=1 vm=i-7 ready_ms=20
ts=2026-12-03T05:00:00.180Z event=task-started task=5c0e7a21d94b36f8.0.0.1 run=1 vm=i-7 sends=1
ts=2026-12-03T05:00:00.190Z event=vm-leaving vm=i-7 runs=1 left_ms=5000
ts=2026-12-03T05:00:00.190Z event=vm-leaving vm=i-8 runs=1 left_ms=5000
";

// The daemon that took the job was killed, another saw it through, a third answered the caller. Their
// logs tell one story: what happened to the VM that the job ran on is in it, other jobs and VMs aren't.
#[test]
fn the_logs_of_several_daemons_tell_one_story() {
    let next = "\
ts=2026-12-03T05:00:02.000Z event=shard-owned shard=a.0 fence=9 jobs=1 runs=1 took_ms=0
ts=2026-12-03T05:00:03.000Z event=task-ended task=5c0e7a21d94b36f8.0.0.1 run=1 vm=i-7 how=succeeded
ts=2026-12-03T05:00:03.020Z event=job-ended job=5c0e7a21d94b36f8 queue=builds state=done
";
    let front = "\
ts=2026-12-03T05:00:00.104Z event=call-answered job=5c0e7a21d94b36f8 call=submit outcome=accepted
";
    let story = trace(&[("next", next), ("taker", TAKER), ("front", front)]).expect("a story");
    let expected = [
        ("taker", "job-accepted"),
        ("front", "call-answered"),
        ("taker", "task-bound"),
        ("taker", "task-started"),
        ("taker", "vm-leaving"),
        ("next", "task-ended"),
        ("next", "job-ended"),
    ];
    assert_eq!(events(&story), expected);
    assert_eq!(story.shifts, []);
    assert_eq!(story.gaps, []);
}

// The clock of the daemon that took the job over is two seconds behind: its lines would come before the
// start of what they tell of. They are moved just as far as cause and effect ask for, and the story says so.
#[test]
fn a_daemon_whose_clock_is_behind_is_moved() {
    let behind = "\
ts=2026-12-03T04:59:58.180Z event=task-ended task=5c0e7a21d94b36f8.0.0.1 run=1 vm=i-7 how=succeeded
ts=2026-12-03T04:59:58.200Z event=job-ended job=5c0e7a21d94b36f8 queue=builds state=done
";
    let story = trace(&[("behind", behind), ("taker", TAKER)]).expect("a story");
    assert_eq!(events(&story).last(), Some(&("behind", "job-ended")));
    let shifts: Vec<(&str, u64)> =
        story.shifts.iter().map(|shift| (shift.source.as_str(), shift.added_ms)).collect();
    assert_eq!(shifts, [("behind", 2000)]);
}

// Parts of the story are lost: a log was cut as its daemon was killed, another one left routine lines out
// under load, and a run's start is nowhere. Each is named, so that nobody takes silence for proof.
#[test]
fn what_the_logs_lack_is_said() {
    let cut = "\
ts=2026-12-03T05:00:00.100Z event=job-accepted job=5c0e7a21d94b36f8 queue=builds tasks=2
ts=2026-12-03T05:00:00.150Z event=task-bou";
    let busy = "\
ts=2026-12-03T05:00:05.000Z event=lines-dropped dropped=17 event_kind=task-started
ts=2026-12-03T05:00:09.000Z event=task-ended task=5c0e7a21d94b36f8.0.0.1 run=1 vm=i-7 how=succeeded
";
    let story = trace(&[("cut", cut), ("busy", busy)]).expect("a story");
    let dropped =
        Gap::Dropped { source: "busy".to_owned(), event: "task-started".to_owned(), lines: 17 };
    let missing = Gap::Missing {
        run: format!("{JOB}.0.0.1 run 1"),
        has: "task-ended".to_owned(),
        lacks: "task-started".to_owned(),
    };
    let partial =
        Gap::Partial { source: "cut".to_owned(), what: "it ends before the story does".to_owned() };
    for gap in [dropped, missing, partial] {
        assert!(story.gaps.contains(&gap), "{gap:?} in {:?}", story.gaps);
    }
}

// A log collector has put the logs into one, each line after the name of its daemon. A job of which
// nothing was logged has no story.
#[test]
fn names_before_the_time_tell_whose_line_it_is() {
    let merged: String = TAKER.lines().map(|line| format!("  12.3 front-1 {line}\n")).collect();
    let story = trace(&[("-", &merged)]).expect("a story");
    assert_eq!(events(&story)[0], ("front-1", "job-accepted"));
    let mut nothing = Tracer::new(JobId(2));
    merged.lines().for_each(|line| nothing.read("-", line));
    assert_eq!(nothing.finish(), None);
}
