use super::{
    Error, HALF_LIFE, Learned, MAX_RECORD_BYTES, QueueRunTimes, decode_record, encode_record,
};
use crate::job::{Image, QueueName};
use crate::shard::interference::{Estimate, Pair, PairEstimate};
use crate::shard::run_times::RunTimes;
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
