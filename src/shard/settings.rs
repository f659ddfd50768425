//! Parameters of a shard's decisions.
//!
//! Values defined by the platform come from the daemon's settings. The others are constants, each
//! with its rationale.

use std::time::Duration;

/// Parameters of the platform.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    /// Longest time for which a VM keeps its tasks running without another poll.
    pub max_keep: Duration,
    /// Longest time that a VM takes to stop a run.
    pub stop_timeout: Duration,
    /// Time after which members of a group give up waiting for missing members.
    pub group_timeout: Duration,
    /// Slowdown factor of a task that runs away from its data.
    pub remote_factor: f64,
    /// Amount of work between two checkpoints.
    pub checkpoint_every: Duration,
    /// Time needed to resume from a checkpoint.
    pub restore: Duration,
    /// How long a finished job's state remains visible.
    pub show_for: Duration,
    /// How long a task of a step with a disruption budget counts as unavailable before it is
    /// running again.
    pub notice: Duration,
    /// Time over the tail target after which a serving task counts as harmed.
    pub harm: Duration,
    /// Delay between a pace command and its effect.
    pub pace_delay: Duration,
    /// Time from the acknowledgement of an evacuation order until nothing more is started in its
    /// failure domain.
    pub evacuation_in_force: Duration,
    /// Maximum number of start commands that are unanswered at a time, and likewise of stop commands.
    /// Each takes a connection.
    pub max_commands: usize,
}

impl Settings {
    /// How long an owner extends leases in full after its last proof of ownership.
    pub fn stale_owner_extension(&self) -> Duration {
        MAX_LEASE_AFTER_PROOF.saturating_sub(self.max_keep)
    }

    /// Longest time after a takeover for which VMs may keep running tasks of earlier owners, one of
    /// which may extend leases in full for `stale` without knowing that it was replaced.
    pub fn inherited_lease(&self, stale: Duration) -> Duration {
        self.max_keep + self.max_keep.mul_f64(CLOCK_DRIFT) + stale + EXPIRY_MARGIN
    }
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
            evacuation_in_force: Duration::from_secs(5),
            max_commands: 128,
        }
    }
}

/// Minimum time between two commits. A commit takes 4 to 6 ms. Waiting 20 ms batches about half a
/// dozen changes at 130 starts per second on three shards, and delays a start by 10 ms on average.
pub const COMMIT_GAP: Duration = Duration::from_millis(20);

/// Age of an unanswered commit after which new jobs are rejected: the store is unavailable, and
/// callers are better off going elsewhere or retrying later than waiting.
pub const COMMIT_STALL_TIMEOUT: Duration = Duration::from_millis(600);

/// How long a poll may wait for a run to end on a VM with running tasks. Gauges cover half a
/// second, so polling less than twice per second would miss some.
pub const BUSY_POLL_WAIT: Duration = Duration::from_millis(400);

/// How long a poll may wait on an idle VM; also determines how soon an unresponsive VM is noticed.
pub const IDLE_POLL_WAIT: Duration = Duration::from_millis(800);

/// Delay after a failed poll; several fit into the second after which a VM counts as silent.
pub const POLL_RETRY_DELAY: Duration = Duration::from_millis(150);

/// Delay before the next poll while ended runs aren't durable yet, since the VM would repeat them
/// immediately.
pub const UNCOMMITTED_POLL_DELAY: Duration = Duration::from_millis(300);

/// Time without a response after which a VM counts as silent. Nothing is placed on it and its tasks
/// are no longer extended, so that the time by which they must have ended stays fixed.
pub const SILENCE_TIMEOUT: Duration = Duration::from_millis(1200);

/// Assumed notice of a leaving VM that does not state one; the shortest notice in use.
pub const DEFAULT_NOTICE: Duration = Duration::from_millis(2000);

/// Longest time beyond its notice for which a leaving VM keeps its tasks running without another
/// poll. If it leaves with a task, that task may be started again only when its lease has expired.
pub const LEAVING_KEEP: Duration = Duration::from_secs(3);

/// Maximum relative error by which a VM's clock may run slow.
pub const CLOCK_DRIFT: f64 = 0.02;

/// Margin added to the time by which a silent VM's tasks must have ended, for the delivery time of
/// the last extension.
pub const EXPIRY_MARGIN: Duration = Duration::from_millis(700);

/// Time after an owner's last proof of ownership by which the leases that it gives end, unless a
/// whole lease is longer. Running tasks survive an outage of the store of about that time, less the
/// age of the proof as it begins.
pub const MAX_LEASE_AFTER_PROOF: Duration = Duration::from_secs(14);

/// How long an owner of an earlier release extends leases in full after its last proof of ownership.
/// No owner does so for longer.
pub const MAX_STALE_OWNER_EXTENSION: Duration = Duration::from_secs(12);

/// Delay before an unanswered start command is sent again.
pub const START_RETRY: Duration = Duration::from_millis(60);

/// Shortest lease for which a task is started; it covers the delivery and the next poll.
pub const MIN_START_LEASE: Duration = Duration::from_secs(1);

/// Maximum number of times a start command is sent before another VM is tried.
pub const MAX_START_ATTEMPTS: u32 = 4;

/// Delay before an unanswered stop command is sent again.
pub const STOP_RETRY: Duration = Duration::from_millis(120);

/// Time after which a command counts as ended if not even its failure was reported; a stop is sent
/// again then. It is longer than the timeout of a call.
pub const COMMAND_RESULT_TIMEOUT: Duration = Duration::from_millis(1000);
