//! Tests of tracing a job through the logs of several daemons.

use waxwingstall::job::JobId;
use waxwingstall::trace::{Gap, JobTrace, Tracer};

const JOB: &str = "5c0e7a21d94b36f8";

fn job() -> JobId {
    JOB.parse().expect("a job id")
}

fn trace(logs: &[(&str, &str)]) -> Option<JobTrace> {
    let mut tracer = Tracer::new(job());
    for (source, log) in logs {
        log.lines().for_each(|line| tracer.read(source, line));
    }
    tracer.finish()
}

fn events(job_trace: &JobTrace) -> Vec<(&str, &str)> {
    job_trace.entries.iter().map(|entry| (entry.source.as_str(), entry.event.as_str())).collect()
}

const ACCEPTING_LOG: &str = "\
ts=2026-12-03T05:00:00.100Z event=job-accepted job=5c0e7a21d94b36f8 queue=builds tasks=2 waited_ms=30 seq=4
ts=2026-12-03T05:00:00.140Z event=job-accepted job=0000000000000001 queue=builds tasks=2 waited_ms=30 seq=4
ts=2026-12-03T05:00:00.150Z event=task-bound task=5c0e7a21d94b36f8.0.0.1 run=1 vm=i-7 ready_ms=20
ts=2026-12-03T05:00:00.180Z event=task-started task=5c0e7a21d94b36f8.0.0.1 run=1 vm=i-7 sends=1
ts=2026-12-03T05:00:00.190Z event=vm-leaving vm=i-7 runs=1 left_ms=5000
ts=2026-12-03T05:00:00.190Z event=vm-leaving vm=i-8 runs=1 left_ms=5000
";

// The daemon that accepted the job is killed, another completes it, and a third answers the caller.
// The trace merges their logs. It includes events of the job's VM but none of other jobs and VMs.
#[test]
fn logs_of_several_daemons_are_merged() {
    let next = "\
ts=2026-12-03T05:00:02.000Z event=shard-owned shard=a.0 fence=9 jobs=1 runs=1 took_ms=0
ts=2026-12-03T05:00:03.000Z event=task-ended task=5c0e7a21d94b36f8.0.0.1 run=1 vm=i-7 how=succeeded
ts=2026-12-03T05:00:03.020Z event=job-ended job=5c0e7a21d94b36f8 queue=builds state=done
";
    let front = "\
ts=2026-12-03T05:00:00.104Z event=call-answered job=5c0e7a21d94b36f8 call=submit outcome=accepted
";
    let job_trace =
        trace(&[("next", next), ("taker", ACCEPTING_LOG), ("front", front)]).expect("a trace");
    let expected = [
        ("taker", "job-accepted"),
        ("front", "call-answered"),
        ("taker", "task-bound"),
        ("taker", "task-started"),
        ("taker", "vm-leaving"),
        ("next", "task-ended"),
        ("next", "job-ended"),
    ];
    assert_eq!(events(&job_trace), expected);
    assert_eq!(job_trace.shifts, []);
    assert_eq!(job_trace.gaps, []);
}

// The clock of the daemon that took the job over is two seconds behind, so the end of a run appears
// before its start. Its lines are shifted by the smallest amount that restores the order, and the
// trace reports it.
#[test]
fn entries_are_shifted_if_a_daemons_clock_is_behind() {
    let behind = "\
ts=2026-12-03T04:59:58.180Z event=task-ended task=5c0e7a21d94b36f8.0.0.1 run=1 vm=i-7 how=succeeded
ts=2026-12-03T04:59:58.200Z event=job-ended job=5c0e7a21d94b36f8 queue=builds state=done
";
    let job_trace = trace(&[("behind", behind), ("taker", ACCEPTING_LOG)]).expect("a trace");
    assert_eq!(events(&job_trace).last(), Some(&("behind", "job-ended")));
    let shifts: Vec<(&str, u64)> =
        job_trace.shifts.iter().map(|shift| (shift.source.as_str(), shift.added_ms)).collect();
    assert_eq!(shifts, [("behind", 2000)]);
}

// One log is truncated because its daemon was killed, another daemon dropped routine lines under
// load, and the start of a run is missing. Each gap is reported, so that a missing line isn't taken
// as evidence that nothing happened.
#[test]
fn gaps_in_the_logs_are_reported() {
    let cut = "\
ts=2026-12-03T05:00:00.100Z event=job-accepted job=5c0e7a21d94b36f8 queue=builds tasks=2
ts=2026-12-03T05:00:00.150Z event=task-bou";
    let busy = "\
ts=2026-12-03T05:00:05.000Z event=lines-dropped dropped=17 event_kind=task-started
ts=2026-12-03T05:00:09.000Z event=task-ended task=5c0e7a21d94b36f8.0.0.1 run=1 vm=i-7 how=succeeded
";
    let job_trace = trace(&[("cut", cut), ("busy", busy)]).expect("a trace");
    let dropped =
        Gap::Dropped { source: "busy".to_owned(), event: "task-started".to_owned(), lines: 17 };
    let missing = Gap::Missing {
        run: format!("{JOB}.0.0.1 run 1"),
        has: "task-ended".to_owned(),
        lacks: "task-started".to_owned(),
    };
    let partial = Gap::Partial {
        source: "cut".to_owned(),
        what: "it ends before the job's last entry".to_owned(),
    };
    for gap in [dropped, missing, partial] {
        assert!(job_trace.gaps.contains(&gap), "{gap:?} in {:?}", job_trace.gaps);
    }
}

// A log collector has merged the logs and prefixed each line with the name of its daemon. A job
// without log lines has no trace.
#[test]
fn prefixes_of_a_log_collector_name_the_source() {
    let merged: String =
        ACCEPTING_LOG.lines().map(|line| format!("  12.3 front-1 {line}\n")).collect();
    let job_trace = trace(&[("-", &merged)]).expect("a trace");
    assert_eq!(events(&job_trace)[0], ("front-1", "job-accepted"));
    let mut nothing = Tracer::new(JobId(2));
    merged.lines().for_each(|line| nothing.read("-", line));
    assert_eq!(nothing.finish(), None);
}
