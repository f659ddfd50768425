//! Metrics, counted in memory and sent over UDP now and then.
//!
//! Counting is an atomic addition, so that a busy daemon sends no more than an idle one: each
//! metric once a flush. A packet that is lost takes the counts of one flush with it, and no more.

use crate::settings::MetricSettings;
use cadence::{
    BufferedUdpMetricSink, Counted, Gauged, MetricError, MetricSink, NopMetricSink, StatsdClient,
};
use hdrhistogram::Histogram;
use std::net::UdpSocket;
use std::panic::RefUnwindSafe;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

#[cfg(test)]
mod tests;

/// Result of setting up metrics.
pub type Result<T> = std::result::Result<T, Error>;

/// Metrics that can't be set up.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    #[error("no UDP socket for metrics ({0}); free a port, or remove metrics.addr")]
    Socket(#[from] std::io::Error),
    #[error("metrics.addr can't be used ({0}); give an `ip:port`")]
    Client(#[from] MetricError),
}

/// Significant digits of a measured time.
const TIMER_DIGITS: u8 = 2;

/// A gauge that was never set, and is not sent: a zero would pass for a measurement.
const UNSET: u64 = u64::MAX;

/// Longest time told apart, in microseconds.
const TIMER_MAX_MICROS: u64 = 3_600_000_000;

macro_rules! metrics {
    ($(#[$doc:meta])* $kind:ident { $($(#[$item_doc:meta])* $item:ident => $name:literal,)* }) => {
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, PartialEq, Eq)]
        #[repr(usize)]
        pub enum $kind {
            $($(#[$item_doc])* $item,)*
        }

        impl $kind {
            /// Every one of them, in order.
            pub const ALL: &[Self] = &[$(Self::$item),*];

            /// Name as sent, after the prefix.
            pub const fn name(self) -> &'static str {
                match self {
                    $(Self::$item => $name,)*
                }
            }
        }
    };
}

metrics! {
    /// What only ever rises; sent as the rise since the last flush.
    Counter {
        RequestsAnswered => "requests.answered",
        /// Refused as "not run".
        RequestsRefused => "requests.refused",
        /// Failed after they may have run.
        RequestsFailed => "requests.failed",
        RequestsRetried => "requests.retried",
        /// Connections closed since they went silent while others answered.
        ConnectionsSilent => "connections.silent",
        TasksAccepted => "tasks.accepted",
        /// Refused as "not run".
        TasksRefused => "tasks.refused",
        TasksStarted => "tasks.started",
        TasksEnded => "tasks.ended",
        TasksEvicted => "tasks.evicted",
        TasksThrottled => "tasks.throttled",
        /// Control leases acquired.
        LeasesAcquired => "leases.acquired",
        /// Control leases that lapsed before they were renewed.
        LeasesLapsed => "leases.lapsed",
        /// Messages not sent since the control lease was no longer surely valid.
        EffectsWithheld => "effects.withheld",
        StoreCalls => "store.calls",
        StoreErrors => "store.errors",
        /// Writes whose answer was lost.
        StoreUnknown => "store.unknown",
        StoreBytesWritten => "store.bytes-written",
        LogCommits => "log.commits",
        LogCompactions => "log.compactions",
        /// Partitions lost to another writer.
        LogSuperseded => "log.superseded",
        PeerMessages => "peers.messages",
        PeerBytes => "peers.bytes",
        /// What a full ring refused or replaced.
        RingFull => "rings.full",
        ConfigApplied => "config.applied",
    }
}

metrics! {
    /// What goes up and down; sent as it is, once it was set.
    Gauge {
        RequestsQueued => "requests.queued",
        RequestsInFlight => "requests.in-flight",
        TasksWaiting => "tasks.waiting",
        TasksBound => "tasks.bound",
        VmsHeld => "vms.held",
        VmsQuarantined => "vms.quarantined",
        PartitionsWritten => "partitions.written",
        Members => "members",
        ConfigRevision => "config.revision",
        /// 1 while the key-value service answers.
        StoreReachable => "store.reachable",
    }
}

metrics! {
    /// Times; sent as `.p50`, `.p99` and `.max` in microseconds, and `.count`, since the last flush.
    Timer {
        RequestTime => "requests.time",
        RequestWait => "requests.wait",
        /// From acceptance to the start.
        TaskWait => "tasks.wait",
        StoreCallTime => "store.call-time",
        CommitTime => "log.commit-time",
        WorkerCallTime => "workers.call-time",
        /// Of one event in the core.
        EventTime => "core.event-time",
        /// From a change's acceptance until it is in force here.
        ConfigDelay => "config.delay",
    }
}

/// Counts of one daemon.
pub struct Metrics {
    counters: Vec<AtomicU64>,
    gauges: Vec<AtomicU64>,
    timers: Vec<Mutex<Histogram<u64>>>,
    client: Option<StatsdClient>,
}

impl Metrics {
    /// Counts that are sent to the address in the settings, if there is one.
    pub fn new(settings: &MetricSettings) -> Result<Self> {
        let Some(addr) = settings.addr else { return Ok(Self::disabled()) };
        let local = if addr.is_ipv4() { "0.0.0.0:0" } else { "[::]:0" };
        let socket = UdpSocket::bind(local)?;
        socket.set_nonblocking(true)?;
        let sink = BufferedUdpMetricSink::from(addr, socket)?;
        Ok(Self::with_sink(&settings.prefix, sink))
    }

    /// Counts that are kept and not sent.
    pub fn disabled() -> Self {
        Self { client: None, ..Self::with_sink("", NopMetricSink) }
    }

    /// Counts that are sent to a sink.
    pub fn with_sink<S>(prefix: &str, sink: S) -> Self
    where
        S: MetricSink + Sync + Send + RefUnwindSafe + 'static,
    {
        Self {
            counters: Counter::ALL.iter().map(|_| AtomicU64::new(0)).collect(),
            gauges: Gauge::ALL.iter().map(|_| AtomicU64::new(UNSET)).collect(),
            timers: Timer::ALL.iter().map(|_| Mutex::new(histogram())).collect(),
            client: Some(StatsdClient::from_sink(prefix, sink)),
        }
    }

    /// Adds to a counter.
    pub fn add(&self, counter: Counter, n: u64) {
        self.counters[counter as usize].fetch_add(n, Ordering::Relaxed);
    }

    /// Sets a gauge.
    pub fn set(&self, gauge: Gauge, value: u64) {
        self.gauges[gauge as usize].store(value, Ordering::Relaxed);
    }

    /// Records a time.
    pub fn record(&self, timer: Timer, time: Duration) {
        let micros = u64::try_from(time.as_micros()).unwrap_or(u64::MAX);
        let mut times = self.timer(timer);
        times.saturating_record(micros);
    }

    /// Sends what was counted since the last flush. A metric that can't be sent is lost: nothing
    /// waits for metrics.
    pub fn flush(&self) {
        let Some(client) = &self.client else { return };
        for counter in Counter::ALL {
            let rise = self.counters[*counter as usize].swap(0, Ordering::Relaxed);
            if rise > 0 {
                let _ = client.count(counter.name(), rise);
            }
        }
        for gauge in Gauge::ALL {
            let value = self.gauges[*gauge as usize].load(Ordering::Relaxed);
            if value != UNSET {
                let _ = client.gauge(gauge.name(), value);
            }
        }
        for timer in Timer::ALL {
            self.flush_timer(client, *timer);
        }
        let _ = client.flush();
    }

    fn flush_timer(&self, client: &StatsdClient, timer: Timer) {
        let times = std::mem::replace(&mut *self.timer(timer), histogram());
        if times.is_empty() {
            return;
        }
        let name = timer.name();
        let _ = client.count(&format!("{name}.count"), times.len());
        let _ = client.gauge(&format!("{name}.p50"), times.value_at_quantile(0.5));
        let _ = client.gauge(&format!("{name}.p99"), times.value_at_quantile(0.99));
        let _ = client.gauge(&format!("{name}.max"), times.max());
    }

    fn timer(&self, timer: Timer) -> std::sync::MutexGuard<'_, Histogram<u64>> {
        self.timers[timer as usize].lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, TIMER_MAX_MICROS, TIMER_DIGITS).expect("the bounds are valid")
}
