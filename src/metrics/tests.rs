use super::{Counter, Gauge, Metrics, Timer};
use crate::settings::MetricSettings;
use cadence::SpyMetricSink;
use std::net::UdpSocket;
use std::time::Duration;

#[test]
fn a_flush_sends_each_rise_once_and_each_gauge_that_was_set() {
    let (rx, sink) = SpyMetricSink::new();
    let metrics = Metrics::with_sink("waxwing", sink);
    let sent =
        || rx.try_iter().map(|buf| String::from_utf8(buf).expect("text")).collect::<Vec<_>>();
    metrics.add(Counter::TasksStarted, 2);
    metrics.add(Counter::TasksStarted, 3);
    metrics.set(Gauge::VmsHeld, 7);
    metrics.flush();
    let first = sent();
    assert!(first.contains(&"waxwing.tasks.started:5|c".to_owned()), "{first:?}");
    assert!(first.contains(&"waxwing.vms.held:7|g".to_owned()), "{first:?}");
    assert_eq!(first.len(), 2, "nothing is sent of what was never measured: {first:?}");
    metrics.flush();
    let second = sent();
    assert!(!second.iter().any(|line| line.ends_with("|c")), "{second:?}");
    assert!(second.contains(&"waxwing.vms.held:7|g".to_owned()), "{second:?}");
}

#[test]
fn times_are_sent_as_quantiles_of_the_last_flush() {
    let (rx, sink) = SpyMetricSink::new();
    let metrics = Metrics::with_sink("w", sink);
    (1..=100).for_each(|ms| metrics.record(Timer::RequestTime, Duration::from_millis(ms)));
    metrics.record(Timer::RequestTime, Duration::MAX);
    metrics.flush();
    let sent: Vec<_> = rx.try_iter().map(|buf| String::from_utf8(buf).expect("text")).collect();
    assert!(sent.contains(&"w.requests.time.count:101|c".to_owned()), "{sent:?}");
    let p50 = sent.iter().find_map(|line| line.strip_prefix("w.requests.time.p50:"));
    let p50: u64 =
        p50.and_then(|p50| p50.strip_suffix("|g")).expect("sent").parse().expect("a number");
    assert!((50_000..52_000).contains(&p50), "{p50}");
}

#[test]
fn names_are_unique() {
    let mut names: Vec<_> = Counter::ALL.iter().map(|c| c.name()).collect();
    names.extend(Gauge::ALL.iter().map(|g| g.name()));
    names.extend(Timer::ALL.iter().map(|t| t.name()));
    let count = names.len();
    names.sort_unstable();
    names.dedup();
    assert_eq!(names.len(), count);
}

#[test]
fn packets_reach_the_address_in_the_settings() {
    let collector = UdpSocket::bind("127.0.0.1:0").expect("loopback");
    let addr = collector.local_addr().ok();
    let metrics = Metrics::new(&MetricSettings { addr, prefix: "w".to_owned() }).expect("a socket");
    metrics.add(Counter::LogCommits, 1);
    metrics.flush();
    let mut buf = [0; 2048];
    let len = collector.recv(&mut buf).expect("a packet");
    assert!(buf[..len].starts_with(b"w.log.commits:1|c"));
}

#[test]
fn without_an_address_nothing_is_sent_and_counting_goes_on() {
    let metrics = Metrics::new(&MetricSettings::default()).expect("no socket is needed");
    metrics.add(Counter::LogCommits, 1);
    metrics.record(Timer::CommitTime, Duration::from_millis(1));
    metrics.flush();
}
