use super::{Consequence, Evidence, Health, State};
use crate::job::{JobId, TaskRef};
use std::time::Duration;

const NOW: Duration = Duration::from_secs(100);

fn task(job: u64, index: u32) -> TaskRef {
    TaskRef { job: JobId(job), index, ..TaskRef::default() }
}

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// Records a failure, and returns whether the VM then gets no work.
fn quarantines(health: &mut Health, task: TaskRef, evidence: Evidence) -> bool {
    health.failed(task, evidence, NOW) == Consequence::Quarantine
}

// Guards against a sound VM in quarantine for the tasks of one job that has not worked anywhere.
#[test]
fn failures_of_one_job_that_has_never_worked_count_once() {
    let mut health = Health::default();
    for index in 0..6 {
        assert!(!quarantines(&mut health, task(1, index), Evidence::Weak));
    }
    assert!(quarantines(&mut health, task(2, 0), Evidence::Weak));
}

// Guards against a faulty VM that gets all tasks of a wide job, as it isn't known that others of them
// work elsewhere.
#[test]
fn a_job_avoids_a_vm_that_has_failed_two_of_its_tasks() {
    let mut health = Health::default();
    assert_eq!(health.failed(task(1, 0), Evidence::Weak, NOW), Consequence::None);
    assert_eq!(health.failed(task(2, 0), Evidence::None, NOW), Consequence::None);
    let consequence = health.failed(task(1, 1), Evidence::Weak, NOW);
    assert!(matches!(consequence, Consequence::Avoid { until } if until > NOW));
    assert_eq!(health.state(NOW), State::Healthy);
}

// Guards against a faulty VM that stays in service as all its runs are of one job, which works
// elsewhere.
#[test]
fn failures_of_a_job_that_works_elsewhere_count_each() {
    let mut health = Health::default();
    assert!(!quarantines(&mut health, task(1, 0), Evidence::Strong));
    assert!(quarantines(&mut health, task(1, 1), Evidence::Strong));
}

// Guards against a faulty VM that gets tasks of a wide job again, of which others work by now.
#[test]
fn failures_of_a_job_count_once_it_works_elsewhere() {
    let mut health = Health::default();
    health.failed(task(1, 0), Evidence::Weak, NOW);
    health.failed(task(1, 1), Evidence::Weak, NOW);
    assert_eq!(health.confirm_failures(JobId(2), NOW), Consequence::None);
    assert_eq!(health.confirm_failures(JobId(1), NOW), Consequence::Quarantine);
}

// Guards against a quarantine for a single task that is restarted on the same VM.
#[test]
fn a_task_that_fails_again_counts_once() {
    let mut health = Health::default();
    assert!(!quarantines(&mut health, task(1, 0), Evidence::Strong));
    let again = health.failed(task(1, 0), Evidence::Strong, NOW + ms(200));
    assert_eq!(again, Consequence::None);
    assert_eq!(health.recent(NOW + ms(200)), (1, 1));
}

// Guards against a quarantine that outlasts what it was based on.
#[test]
fn a_quarantine_ends_once_its_causes_are_refuted() {
    let mut health = Health::default();
    health.failed(task(1, 0), Evidence::Weak, NOW);
    assert!(quarantines(&mut health, task(2, 0), Evidence::Weak));
    assert!(!health.disregard_failure(task(3, 0)));
    assert!(health.disregard_failure(task(1, 0)));
    assert_eq!(health.state(NOW), State::Healthy);
}

// Guards against faulty VMs that leave their quarantine early as a task has failed on two of them.
#[test]
fn a_quarantine_is_not_ended_by_a_job_that_works_elsewhere() {
    let mut health = Health::default();
    health.failed(task(1, 0), Evidence::Strong, NOW);
    assert!(quarantines(&mut health, task(1, 1), Evidence::Strong));
    assert!(!health.disregard_failure(task(1, 0)));
    assert_ne!(health.state(NOW), State::Healthy);
}

// Guards against a VM on probation that is put into quarantine again by a task that fails everywhere.
#[test]
fn a_task_at_fault_does_not_prolong_a_quarantine() {
    let mut health = Health::default();
    health.failed(task(1, 0), Evidence::Strong, NOW);
    health.failed(task(2, 0), Evidence::Strong, NOW);
    let later = NOW + ms(1600);
    assert_eq!(health.state(later), State::Probation);
    assert_eq!(health.failed(task(3, 0), Evidence::None, later), Consequence::None);
    assert_eq!(health.state(later), State::Probation);
    health.succeeded(task(4, 0), later);
    assert_eq!(health.state(later), State::Healthy);
}
