//! The clock, passed in everywhere.
//!
//! Leases are compared with a clock that also counts the time a machine was suspended. With one
//! that stands still, a holder that slept past its lease would believe that it still holds it.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, SystemTime};

/// Source of time.
pub trait Clock: Send + Sync {
    /// Time since a fixed origin; never goes back, counts suspension.
    fn now(&self) -> Duration;

    /// Calendar time, for the audit trail only.
    fn wall(&self) -> SystemTime;
}

/// The machine's clock (`CLOCK_BOOTTIME`).
#[derive(Clone, Copy, Debug, Default)]
pub struct SystemClock;

impl Clock for SystemClock {
    fn now(&self) -> Duration {
        let time = rustix::time::clock_gettime(rustix::time::ClockId::Boottime);
        Duration::new(time.tv_sec.unsigned_abs(), u32::try_from(time.tv_nsec).unwrap_or(0))
    }

    #[allow(clippy::disallowed_methods)]
    fn wall(&self) -> SystemTime {
        SystemTime::now()
    }
}

/// A clock that stands until it is moved.
#[derive(Debug, Default)]
pub struct ManualClock {
    nanos: AtomicU64,
}

impl ManualClock {
    /// A clock at its origin.
    pub fn new() -> Self {
        Self::default()
    }

    /// Moves the clock on.
    pub fn advance(&self, by: Duration) {
        let nanos = u64::try_from(by.as_nanos()).unwrap_or(u64::MAX);
        self.nanos.fetch_add(nanos, Ordering::SeqCst);
    }
}

impl Clock for ManualClock {
    fn now(&self) -> Duration {
        Duration::from_nanos(self.nanos.load(Ordering::SeqCst))
    }

    fn wall(&self) -> SystemTime {
        SystemTime::UNIX_EPOCH + self.now()
    }
}

impl<C: Clock + ?Sized> Clock for std::sync::Arc<C> {
    fn now(&self) -> Duration {
        (**self).now()
    }

    fn wall(&self) -> SystemTime {
        (**self).wall()
    }
}
