//! Start and stop commands that VMs haven't answered, each of which takes a connection.

use super::settings::COMMAND_RESULT_TIMEOUT;
use super::vm_run::RunKey;
use indexmap::IndexMap;
use std::time::Duration;

/// Unanswered commands of one kind.
#[derive(Debug, Default)]
pub(super) struct OpenCommands {
    sent: IndexMap<RunKey, Duration>,
}

impl OpenCommands {
    /// Forgets commands whose result was due long ago: it may never be reported.
    pub fn forget_overdue(&mut self, now: Duration) {
        self.sent.retain(|_, sent| now < *sent + COMMAND_RESULT_TIMEOUT);
    }

    /// Number of unanswered commands.
    pub fn len(&self) -> usize {
        self.sent.len()
    }

    /// Records a command as sent.
    pub fn add(&mut self, key: RunKey, now: Duration) {
        self.sent.insert(key, now);
    }

    /// Records that the result of a command is known.
    pub fn remove(&mut self, key: RunKey) {
        self.sent.swap_remove(&key);
    }
}
