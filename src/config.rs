//! The operators' configuration, from files to what is in force.
//!
//! The configuration in force is the union of all files that were applied. Files are read by
//! [`check`], put in force one at a time by [`apply`], spread as [`snapshot`]s and taken up by a
//! [`follow::Follower`], which never goes back to an older revision. The [`head`] is the one key
//! whose compare-and-swap puts a change in force; it names the text and the revision of each file.

pub mod apply;
mod check;
pub mod diff;
pub(crate) mod fields;
pub mod follow;
pub mod head;
mod sections;
pub mod snapshot;

pub use check::check;

use serde::{Deserialize, Serialize};
use std::fmt;

/// Result of checking files; all faults at once.
pub type Result<T> = std::result::Result<T, Vec<Fault>>;

/// Longest name of a file, in bytes.
pub const MAX_FILE_NAME: usize = 128;

/// A file of services, classes, pools, teams or weights.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigFile {
    pub name: String,
    pub text: String,
}

impl ConfigFile {
    /// A file with its text.
    pub fn new(name: &str, text: &str) -> Self {
        Self { name: name.to_owned(), text: text.to_owned() }
    }
}

/// What is wrong with a file, where, and what to do about it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fault {
    pub file: String,
    /// Counted from one.
    pub line: usize,
    pub message: String,
    pub remedy: String,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}: {}; {}", self.file, self.line, self.message, self.remedy)
    }
}

/// Whether a file can be kept under this name.
pub fn is_file_name(name: &str) -> bool {
    let allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
    !name.is_empty()
        && name.len() <= MAX_FILE_NAME
        && !name.starts_with('.')
        && name.chars().all(allowed)
}
