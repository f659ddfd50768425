//! Figures that a shard decides with.
//!
//! What the platform fixes comes from the daemon's settings; the rest are constants here, each
//! with its ground.

use std::time::Duration;

/// Figures of the platform.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    /// Longest time that a VM lets its work run on without another look.
    pub max_keep: Duration,
    /// Longest time that a VM takes to stop a run.
    pub stop_timeout: Duration,
    /// Time after which members of a group that lack others give up.
    pub group_timeout: Duration,
    /// How many times as long a task takes away from its data.
    pub remote_factor: f64,
    /// Work between two checkpoints.
    pub checkpoint_every: Duration,
    /// Time that resuming from a checkpoint takes.
    pub restore: Duration,
    /// How long a finished job's state is shown.
    pub show_for: Duration,
    /// How long a task of a step with a disturbance budget counts as away, until it is at work.
    pub notice: Duration,
    /// Time over its tail target after which a task that serves counts as harmed.
    pub harm: Duration,
    /// Time from a pace order to its effect.
    pub pace_delay: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            max_keep: Duration::from_secs(10),
            stop_timeout: Duration::from_millis(900),
            group_timeout: Duration::from_secs(3),
            remote_factor: 1.0,
            checkpoint_every: Duration::from_secs(2),
            restore: Duration::from_millis(600),
            show_for: Duration::from_secs(120),
            notice: Duration::from_millis(4500),
            harm: Duration::from_secs(4),
            pace_delay: Duration::from_millis(100),
        }
    }
}

/// Least time between two commits. A commit takes 4 to 6 ms; waiting 20 ms gathers about half a
/// dozen changes at 130 starts a second on three shards, and costs a start 10 ms on average.
pub const COMMIT_GAP: Duration = Duration::from_millis(20);

/// Age of an unanswered commit from which on new jobs are refused: the store is away, and callers
/// are better served elsewhere or later than by waiting.
pub const STALLED_COMMIT: Duration = Duration::from_millis(600);

/// How long a look may wait for an end on a VM where something runs. Gauges cover half a second,
/// so that looking less often than twice a second would miss some.
pub const BUSY_LOOK: Duration = Duration::from_millis(400);

/// The same on an idle VM; also how soon a silent VM is noticed.
pub const IDLE_LOOK: Duration = Duration::from_millis(800);

/// Pause after a failed look; several fit into the second that it takes to count as silent.
pub const LOOK_RETRY: Duration = Duration::from_millis(150);

/// Pause before looking again while ends wait to be durable: the VM would repeat them at once.
pub const UNFORGOTTEN_LOOK: Duration = Duration::from_millis(300);

/// Time without an answer after which a VM is silent: nothing is placed there, and its work is no
/// longer extended, so that the time of its surely having ended doesn't move on.
pub const SILENT_AFTER: Duration = Duration::from_millis(1200);

/// How much slower a VM's clock may run.
pub const CLOCK_DRIFT: f64 = 0.02;

/// Added to the time at which a silent VM's work has surely ended, for the time that the order
/// itself took to get there.
pub const LAPSE_MARGIN: Duration = Duration::from_millis(700);

/// Time that an owner which lost the shard without knowing it may still extend work: the longest
/// outage of the store that work survives.
pub const BLIND_EXTENSION: Duration = Duration::from_secs(12);

/// Pause before an unanswered start is sent again.
pub const START_RETRY: Duration = Duration::from_millis(60);

/// Sends of one start before the VM is given up for it.
pub const START_TRIES: u32 = 4;

/// Pause before an unanswered stop is sent again.
pub const STOP_RETRY: Duration = Duration::from_millis(120);
