use super::{
    Error, HALF_LIFE, HeardReport, Inherited, Learned, MAX_RECORD_BYTES, QueueRunTimes,
    StoredRecord, decode_record, encode_record,
};
use crate::job::{Image, QueueName};
use crate::note::{Millis, Note};
use crate::shard::interference::{Estimate, Pair, PairEstimate};
use crate::shard::run_times::RunTimes;
use crate::shard::{Action, Event, Now, PreviousOwner, Recovered, Settings, Shard};
use crate::vm::Fence;
use bytes::Bytes;
use std::sync::Arc;
use std::time::Duration;

const WRITTEN: Duration = Duration::from_secs(1_700_000_000);

/// What is learned of a queue from this number of tasks.
fn queue(name: &str, tasks: usize) -> QueueRunTimes {
    let mut times = RunTimes::default();
    for number in 0..tasks {
        let secs = 1.0 + (number % 5) as f64 / 4.0;
        let time = Duration::from_secs_f64;
        times.learn(&QueueName::new(name), time(2.0 * secs), time(secs));
    }
    times.learned().remove(0)
}

fn pair(leftover: &str, serving: &str, variance: f64) -> PairEstimate {
    let pair = Pair { leftover: Image::new(leftover), serving: Image::new(serving) };
    PairEstimate { pair, amount: Estimate { mean: 2.0, variance } }
}

fn learned() -> Learned {
    Learned {
        run_times: vec![queue("seat-hold", 300), queue("fare-rebuild", 40)],
        pairs: vec![pair("fares", "map", 0.01), pair("fares", "feed", 0.04)],
    }
}

// Guards against anything learned, also the errors of predictions, that is lost or altered on the
// way through the store.
#[test]
fn a_record_holds_all_that_was_learned() {
    let record = encode_record(&learned(), WRITTEN);
    assert_eq!(decode_record(&record), Ok((learned(), WRITTEN)));
}

// Guards against records that grow with the number of images or queues until a commit is too large,
// and against what is known best being left out.
#[test]
fn a_record_is_bounded_and_keeps_what_has_most_weight() {
    let long = "x".repeat(40);
    let mut many = Learned::default();
    for number in 0..400 {
        let variance = 0.01 + f64::from(number % 200) / 1000.0;
        many.pairs.push(pair(&format!("{long}{number}"), "map", variance));
        many.run_times.push(queue(&format!("{long}{number}"), 1 + number as usize));
    }
    many.run_times.push(queue(&"q".repeat(2 * MAX_RECORD_BYTES), 1000));
    let record = encode_record(&many, WRITTEN);
    assert!((3000..=MAX_RECORD_BYTES).contains(&record.len()), "{} bytes", record.len());
    let (kept, _) = decode_record(&record).expect("it was just encoded");
    assert!(kept.run_times.len() >= 15 && kept.pairs.len() >= 15, "{kept:?}");
    assert!(kept.run_times.iter().all(|known| known.times.weight() > 300.0));
    assert!(kept.pairs.iter().all(|known| known.amount.variance < 0.04));
}

// Guards against a record of another release, or a damaged one, that is taken for knowledge.
#[test]
fn a_record_that_cannot_be_used_is_refused() {
    let record = encode_record(&learned(), WRITTEN);
    let mut foreign = record.clone();
    foreign[0] = 2;
    assert_eq!(decode_record(&foreign), Err(Error::Version(2)));
    let malformed = |bytes: &[u8]| matches!(decode_record(bytes), Err(Error::Malformed(_)));
    assert!(malformed(&[]));
    assert!(malformed(&record[..record.len() / 2]));
    let oversized = vec![1; MAX_RECORD_BYTES + 1];
    assert_eq!(decode_record(&oversized), Err(Error::TooLarge(MAX_RECORD_BYTES + 1)));
    let mut invalid = learned();
    invalid.run_times[0].times = invalid.run_times[0].times.scaled(f64::NAN);
    assert_eq!(decode_record(&encode_record(&invalid, WRITTEN)), Err(Error::Invalid));
    let mut invalid = learned();
    invalid.pairs[0].amount.variance = 0.0;
    assert_eq!(decode_record(&encode_record(&invalid, WRITTEN)), Err(Error::Invalid));
}

// Guards against old knowledge that counts like new, and against queues and images that are gone
// and are never forgotten.
#[test]
fn what_was_learned_fades_and_is_dropped() {
    let (fresh, aged) = (learned(), learned().aged(HALF_LIFE));
    assert_eq!(learned().aged(Duration::ZERO).run_times, fresh.run_times);
    for (fresh, aged) in fresh.run_times.iter().zip(&aged.run_times) {
        assert!((aged.times.weight() / fresh.times.weight() - 0.5).abs() < 1e-9);
    }
    for (fresh, aged) in fresh.pairs.iter().zip(&aged.pairs) {
        assert!((aged.amount.weight() / fresh.amount.weight() - 0.5).abs() < 1e-9);
    }
    assert!(learned().aged(12 * HALF_LIFE).is_empty());
}

/// Claims a shard at a wall-clock time, and returns it with its first actions.
fn claim(learned: Inherited, wall: Duration) -> (Shard, Vec<Action>) {
    let recovered = Recovered {
        shard: "kacyiru.0".to_owned(),
        fence: Fence(2),
        seq: 0,
        previous: PreviousOwner::Ended,
        earlier_active: Duration::ZERO,
        before_previous: None,
        extended_until: None,
        jobs: Vec::new(),
        progress: Vec::new(),
        predecessor: None,
        claimed_at: Duration::ZERO,
        written_by: Duration::ZERO,
        unresponsive_vms: Vec::new(),
        silent: Vec::new(),
        reported_lapses: Vec::new(),
        learned,
    };
    let now = Now { steady: Duration::from_secs(50), wall };
    let mut shard = Shard::new(recovered, Settings::default(), Arc::default(), Vec::new(), now);
    let actions = shard.step(now, Event::Tick);
    (shard, actions)
}

fn restored(actions: &[Action]) -> Option<(&'static str, Duration)> {
    actions.iter().find_map(|action| match action {
        Action::Note(Note::LearnedRestored { source, age_ms: Millis(age), .. }) => {
            Some((*source, *age))
        }
        _ => None,
    })
}

fn record() -> StoredRecord {
    StoredRecord::Found(Bytes::from(encode_record(&learned(), WRITTEN)))
}

// Guards against a shard that counts what it had learned twice, from the record and from the report
// that its daemon has heard, and against the older of the two being taken.
#[test]
fn a_claimed_shard_starts_from_the_newer_of_record_and_report() {
    let seconds = Duration::from_secs;
    for (report_age, source) in [(seconds(1), "report"), (seconds(60), "record")] {
        let report = Some(HeardReport { learned: learned(), age: report_age });
        let inherited = Inherited { record: record(), report };
        let (shard, actions) = claim(inherited, WRITTEN + seconds(8));
        let age = report_age.min(seconds(8));
        assert_eq!(restored(&actions), Some((source, age)));
        let expected = learned().aged(age);
        assert_eq!(shard.learned().run_times, expected.run_times);
        assert_eq!(shard.learned().pairs.len(), expected.pairs.len());
    }
}

// Guards against a wall clock that jumps back and gives knowledge a negative age or more weight than
// it had, and against one that jumps far ahead and fails the claim.
#[test]
fn a_wall_clock_that_jumps_does_no_harm() {
    let inherited = || Inherited { record: record(), report: None };
    let (shard, actions) = claim(inherited(), WRITTEN - Duration::from_secs(86_400));
    assert_eq!(restored(&actions), Some(("record", Duration::ZERO)));
    assert_eq!(shard.learned().run_times, learned().run_times);
    let (shard, _) = claim(inherited(), WRITTEN + Duration::from_secs(1_000_000_000));
    assert!(shard.learned().is_empty());
}

// Guards against a record that the store doesn't return and that fails the claim silently or aloud.
#[test]
fn a_record_that_was_not_read_is_logged() {
    let record = StoredRecord::Unread { reason: "too many calls".to_owned() };
    let (shard, actions) = claim(Inherited { record, report: None }, WRITTEN);
    assert!(shard.learned().is_empty());
    let noted = |action: &Action| matches!(action, Action::Note(Note::LearnedUnreadable { .. }));
    assert!(actions.iter().any(noted), "{actions:?}");
}

// Guards against a late report of an earlier owner that is counted beside what its successor started
// from.
#[test]
fn a_shards_own_report_is_not_merged() {
    let (mut shard, _) = claim(Inherited { record: record(), report: None }, WRITTEN);
    let expect = |shard: &Shard| {
        shard.run_times.expect(&QueueName::new("seat-hold"), Duration::from_secs(2))
    };
    let before = expect(&shard);
    shard.merge_learned("kacyiru.0", learned());
    assert_eq!(expect(&shard), before);
    shard.merge_learned("kacyiru.1", learned());
    assert!(expect(&shard) != before, "another shard's report counts");
}

/// What is learned, with other encoded means and products of the first queue.
fn damaged(values: [f64; 3]) -> Learned {
    let mut learned = learned();
    let mut bytes = crate::job::progress::encode(&learned.run_times[0].times);
    for (at, value) in [8, 16, 32].into_iter().zip(values) {
        bytes[at..at + 8].copy_from_slice(&value.to_le_bytes());
    }
    learned.run_times[0].times = crate::job::progress::decode(&bytes).expect("six numbers");
    learned
}

// Guards against a damaged record or report with finite values whose squares aren't, which made the
// expected run time NaN and ended the owner, the next owner, and each shard that heard of it.
#[test]
fn values_that_cannot_be_computed_with_are_dropped() {
    for bad in
        [damaged([1e200, 1e200, 0.0]), damaged([f64::NAN, 0.0, 0.0]), damaged([0.0, 0.0, 1e308])]
    {
        assert_eq!(decode_record(&encode_record(&bad, WRITTEN)), Err(Error::Invalid));
        let report = Some(HeardReport { learned: bad.clone(), age: Duration::ZERO });
        let (mut shard, _) = claim(Inherited { record: record(), report }, WRITTEN + HALF_LIFE);
        assert!(!shard.learned().is_empty(), "the record counts instead");
        shard.merge_learned("kacyiru.1", bad);
        let (queue, second) = (QueueName::new("seat-hold"), Duration::from_secs(1));
        shard.run_times.learn(&queue, second, second);
        assert!(shard.run_times.expect(&queue, second) < 20 * second);
    }
}

// Guards against images that are gone and stay in reports, and through them in the state of each
// next owner and of all other shards.
#[test]
fn pairs_that_are_not_seen_any_more_fade_in_memory() {
    let (mut shard, _) = claim(Inherited { record: record(), report: None }, WRITTEN);
    shard.merge_learned("kacyiru.1", learned());
    let later = 12 * HALF_LIFE;
    shard.step(Now { steady: Duration::from_secs(50) + later, wall: WRITTEN + later }, Event::Tick);
    assert!(shard.learned().pairs.is_empty());
    assert_eq!(shard.due_learned_record(), None);
    assert_eq!(shard.interference.leftover_images().count(), 0);
}
