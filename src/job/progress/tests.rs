use super::{CrashRow, Crashes, Progress, decode, encode};
use crate::job::{JobId, JobState, TaskRef};

fn progress() -> Progress {
    Progress {
        state: JobState::Running,
        lender: None,
        vms: Vec::new(),
        shards: Vec::new(),
        started_occurrences: 1,
        open_occurrences: Vec::new(),
        crashes: Vec::new(),
    }
}

fn crashed() -> Progress {
    let task = TaskRef { job: JobId(7), occurrence: 0, step: 1, index: 3 };
    let crashes = vec![CrashRow::new(task, Crashes { all: 2, sudden: 1 })];
    Progress { crashes, ..progress() }
}

// During a rolling upgrade, daemons of different releases must be able to decode each other's
// records.
#[test]
fn records_are_compatible_with_the_earlier_release() {
    let before: Progress =
        decode(&crashed().encode()).expect("the fields known to the earlier release");
    assert_eq!(before, progress());
    assert_eq!(
        Progress::decode(&encode(&progress())).expect("a record of the earlier release"),
        progress()
    );
}

#[test]
fn crashes_survive_encoding() {
    let read = Progress::decode(&crashed().encode()).expect("a record");
    assert_eq!(read, crashed());
    assert_eq!(read.crashes[0].task(JobId(7)).index, 3);
}
