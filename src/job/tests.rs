use super::progress::encode;
use super::{Job, JobId, QueueName, Repeat, Step};
use crate::ids::ServiceName;
use crate::queues::{PermitTimes, Terms};
use crate::units::Resources;
use std::sync::Arc;
use std::time::Duration;

fn job(terms: Option<Terms>) -> Job {
    Job {
        id: JobId(7),
        queue: QueueName::new("builds"),
        service: ServiceName::new("shop"),
        payload: Arc::from("work"),
        steps: vec![Step::new(2, Resources::new(2000, 500, 0), Duration::from_secs(1))],
        repeat: Repeat::Once,
        accepted: Duration::from_secs(1_700_000_000),
        terms,
    }
}

fn terms() -> Terms {
    let permits = PermitTimes {
        base_time: Duration::from_millis(40),
        time_per_vm: Duration::from_millis(4),
        validity: Duration::from_secs(3),
    };
    Terms {
        priority: 2,
        attempts: 3,
        target_stretch: 2.0,
        target_latency: Duration::from_millis(250),
        permits: Some(permits),
    }
}

// Guards against terms that are lost over a change of owner.
#[test]
fn terms_survive_encoding() {
    let job = job(Some(terms()));
    assert_eq!(Job::decode(&job.encode()).expect("a record"), job);
}

// Guards against an owner that can't claim a shard after an upgrade, as the jobs in the store have no
// terms.
#[test]
fn a_job_of_the_earlier_release_is_read_without_terms() {
    let mut record = encode(&job(None));
    assert_eq!(record.pop(), Some(0), "the record ends with the missing terms");
    assert_eq!(Job::decode(&record).expect("a record of the earlier release"), job(None));
}

// Guards against records that are cut short and pass for those of the earlier release.
#[test]
fn a_record_that_is_cut_short_is_refused() {
    let record = job(Some(terms())).encode();
    let plain = encode(&job(None)).len();
    for length in (0..record.len()).filter(|length| *length + 1 != plain) {
        assert!(Job::decode(&record[..length]).is_err(), "{length} of {} bytes", record.len());
    }
}
