//! Amounts of what a VM has: processors, memory and accelerators.
//!
//! The unit is part of each type, and arithmetic is checked: an amount that would overflow or go
//! below zero is an error, never a wrapped number that lets a VM be overfilled.

use serde::{Deserialize, Serialize};
use std::fmt;

/// Result of arithmetic on amounts.
pub type Result<T> = std::result::Result<T, Error>;

/// Failed arithmetic on amounts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    #[error("the sum of {left} and {right} overflows; lower the declared sizes")]
    Overflow { left: Resources, right: Resources },
    #[error("{left} is less than {right}; release only what was committed")]
    Underflow { left: Resources, right: Resources },
}

/// Processor time in thousandths of a core.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct MilliCores(pub u32);

/// Memory in mebibytes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Mebibytes(pub u32);

/// Whole accelerators.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Accelerators(pub u32);

/// What a task declares or a VM offers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Resources {
    pub milli_cores: MilliCores,
    pub memory_mib: Mebibytes,
    #[serde(default)]
    pub accelerators: Accelerators,
}

impl Resources {
    /// Nothing of anything.
    pub const ZERO: Self = Self::new(0, 0, 0);

    /// Amounts in thousandths of a core, mebibytes and whole accelerators.
    pub const fn new(milli_cores: u32, memory_mib: u32, accelerators: u32) -> Self {
        Self {
            milli_cores: MilliCores(milli_cores),
            memory_mib: Mebibytes(memory_mib),
            accelerators: Accelerators(accelerators),
        }
    }

    /// Whether every amount is at most that of `room`.
    pub fn fits_in(&self, room: &Self) -> bool {
        self.milli_cores <= room.milli_cores
            && self.memory_mib <= room.memory_mib
            && self.accelerators <= room.accelerators
    }

    /// How many times `need` fits into this room; nothing fits any number of times.
    pub fn times(&self, need: &Self) -> usize {
        let each = |room: u32, need: u32| room.checked_div(need).unwrap_or(u32::MAX);
        let cores = each(self.milli_cores.0, need.milli_cores.0);
        let memory = each(self.memory_mib.0, need.memory_mib.0);
        let accelerators = each(self.accelerators.0, need.accelerators.0);
        cores.min(memory).min(accelerators) as usize
    }

    /// The sum, or [`Error::Overflow`].
    pub fn checked_add(&self, other: &Self) -> Result<Self> {
        self.combine(other, u32::checked_add).ok_or(Error::Overflow { left: *self, right: *other })
    }

    /// The difference, or [`Error::Underflow`].
    pub fn checked_sub(&self, other: &Self) -> Result<Self> {
        self.combine(other, u32::checked_sub).ok_or(Error::Underflow { left: *self, right: *other })
    }

    /// The difference, with each amount at least zero.
    pub fn saturating_sub(&self, other: &Self) -> Self {
        Self::new(
            self.milli_cores.0.saturating_sub(other.milli_cores.0),
            self.memory_mib.0.saturating_sub(other.memory_mib.0),
            self.accelerators.0.saturating_sub(other.accelerators.0),
        )
    }

    /// The sum, with each amount at most the largest number.
    pub fn saturating_add(&self, other: &Self) -> Self {
        Self::new(
            self.milli_cores.0.saturating_add(other.milli_cores.0),
            self.memory_mib.0.saturating_add(other.memory_mib.0),
            self.accelerators.0.saturating_add(other.accelerators.0),
        )
    }

    /// The amounts of `count` such, with each at most the largest number.
    pub fn saturating_mul(&self, count: u32) -> Self {
        Self::new(
            self.milli_cores.0.saturating_mul(count),
            self.memory_mib.0.saturating_mul(count),
            self.accelerators.0.saturating_mul(count),
        )
    }

    fn combine(&self, other: &Self, op: fn(u32, u32) -> Option<u32>) -> Option<Self> {
        Some(Self::new(
            op(self.milli_cores.0, other.milli_cores.0)?,
            op(self.memory_mib.0, other.memory_mib.0)?,
            op(self.accelerators.0, other.accelerators.0)?,
        ))
    }
}

impl fmt::Display for Resources {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{}m cores, {} MiB, {} accelerators",
            self.milli_cores.0, self.memory_mib.0, self.accelerators.0
        )
    }
}
