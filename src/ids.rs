//! Names and numbers that identify things, each a type of its own.

#[cfg(test)]
mod tests;

use serde::{Deserialize, Serialize};
use std::borrow::Borrow;
use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

/// Result of reading an id.
pub type Result<T> = std::result::Result<T, Error>;

/// An id that can't be read.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    #[error("`{0}` is not a task id; use the form t<partition>-<number>, as printed at submission")]
    TaskId(String),
}

macro_rules! name {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(Arc<str>);

        impl $name {
            /// The name as given.
            pub fn new(name: &str) -> Self {
                Self(Arc::from(name))
            }

            /// The name's text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl From<&str> for $name {
            fn from(name: &str) -> Self {
                Self::new(name)
            }
        }

        impl From<Arc<str>> for $name {
            fn from(name: Arc<str>) -> Self {
                Self(name)
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }
    };
}

macro_rules! number {
    ($(#[$doc:meta])* $name:ident($int:ty)) => {
        $(#[$doc])*
        #[derive(
            Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize,
            Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub $int);

        impl $name {
            /// The number after this one.
            pub fn next(self) -> Self {
                Self(self.0 + 1)
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                self.0.fmt(f)
            }
        }
    };
}

name!(/// One instance of a worker or runner VM: the id that the platform has registered, followed by
    /// `@` and the start time where the platform tells it.
    VmId);
name!(/// A failure domain.
    DomainId);
name!(/// A rack of workers.
    RackId);
name!(/// One run of a daemon: its settings' name and its start, so that a restart is another id.
    DaemonId);
name!(/// A service, such as the shop.
    ServiceName);
name!(/// A class of requests or of batch tasks.
    ClassName);
name!(/// A VM pool.
    PoolName);
name!(/// A team with a quota.
    TeamName);
name!(/// A caller's idempotency key.
    IdempotencyKey);
name!(/// A checkpoint that a worker can resume from.
    CheckpointId);
name!(/// A request, in the callers' and endpoints' header.
    RequestId);
name!(/// An operator, as the audit trail names them.
    OperatorName);
name!(/// One change of the configuration, named by the one who asks for it.
    ChangeId);

/// Separates a name or registered id from a start time in a [`DaemonId`] or [`VmId`].
const START_SEPARATOR: char = '@';

impl DaemonId {
    /// The daemon's name, which restarts keep; `None` if the id has no start time.
    pub fn name(&self) -> Option<&str> {
        self.0.rsplit_once(START_SEPARATOR).map(|(name, _)| name)
    }

    /// Whether this is a process of the same daemon as `other` that started earlier, by the wall clock.
    pub fn is_earlier_process_of(&self, other: &Self) -> bool {
        let (own, other) =
            (self.0.rsplit_once(START_SEPARATOR), other.0.rsplit_once(START_SEPARATOR));
        let Some(((name, started), (other_name, other_started))) = own.zip(other) else {
            return false;
        };
        let started = started.parse::<u64>().ok().zip(other_started.parse::<u64>().ok());
        name == other_name && started.is_some_and(|(own, other)| own < other)
    }
}

impl VmId {
    /// The instance of the VM `registered` that started at `started`, in Unix milliseconds.
    pub fn with_start(registered: &str, started: u64) -> Self {
        Self::new(&format!("{registered}{START_SEPARATOR}{started}"))
    }

    /// The only instance of the VM `registered`, whose start time is unknown.
    pub fn without_start(registered: &str) -> Self {
        // An id that looks like one with a start time gets an empty start time.
        if Self::split(registered).0 == registered {
            return Self::new(registered);
        }
        Self::new(&format!("{registered}{START_SEPARATOR}"))
    }

    /// The id under which the platform has registered the VM; restarts may keep it.
    pub fn registered(&self) -> &str {
        Self::split(&self.0).0
    }

    /// The start time in Unix milliseconds; `None` if it is unknown.
    pub fn started(&self) -> Option<u64> {
        Self::split(&self.0).1.parse().ok()
    }

    /// Whether both are instances of one registered VM.
    pub fn is_same_vm(&self, other: &Self) -> bool {
        self.registered() == other.registered()
    }

    fn split(text: &str) -> (&str, &str) {
        let is_start = |start: &str| start.bytes().all(|byte| byte.is_ascii_digit());
        let parts = text.rsplit_once(START_SEPARATOR);
        parts.filter(|(_, start)| is_start(start)).unwrap_or((text, ""))
    }
}

impl Borrow<str> for VmId {
    fn borrow(&self) -> &str {
        &self.0
    }
}

number!(/// Revision of the configuration; only ever rises.
    Revision(u64));
number!(/// Attempt to run a task; rises with each binding to a VM.
    Attempt(u32));
number!(/// Fencing token of a VM's control lease; rises with each grant on that VM.
    Token(u64));
number!(/// Incarnation of a VM; differs after a restart.
    BootId(u64));
number!(/// Partition of the task log.
    PartitionId(u16));
number!(/// Pairs an action of the core with its later answer.
    Ticket(u64));

/// A task: the partition that records it, and its number there.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TaskId {
    pub partition: PartitionId,
    pub number: u64,
}

impl TaskId {
    /// Task `number` of `partition`.
    pub fn new(partition: PartitionId, number: u64) -> Self {
        Self { partition, number }
    }
}

impl fmt::Display for TaskId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "t{}-{}", self.partition, self.number)
    }
}

impl FromStr for TaskId {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self> {
        let refuse = || Error::TaskId(text.to_owned());
        let (partition, number) =
            text.strip_prefix('t').and_then(|rest| rest.split_once('-')).ok_or_else(refuse)?;
        Ok(Self {
            partition: PartitionId(partition.parse().map_err(|_| refuse())?),
            number: number.parse().map_err(|_| refuse())?,
        })
    }
}

impl Serialize for TaskId {
    fn serialize<S: serde::Serializer>(&self, s: S) -> std::result::Result<S::Ok, S::Error> {
        if s.is_human_readable() {
            s.collect_str(self)
        } else {
            (self.partition, self.number).serialize(s)
        }
    }
}

impl<'de> Deserialize<'de> for TaskId {
    fn deserialize<D: serde::Deserializer<'de>>(d: D) -> std::result::Result<Self, D::Error> {
        if d.is_human_readable() {
            String::deserialize(d)?.parse().map_err(serde::de::Error::custom)
        } else {
            let (partition, number) = Deserialize::deserialize(d)?;
            Ok(Self { partition, number })
        }
    }
}
