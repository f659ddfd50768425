//! Putting a file in force, as a whole or not at all.
//!
//! One compare-and-swap of the head decides. Its answer may be lost, so a change is settled by
//! reading the head back: if the change is in the audit trail, it took effect; if the head has
//! moved on without it, the write came too late and never will take effect; if the head has not
//! moved, the very same compare-and-swap is sent again, of which at most one can succeed. Where
//! none of this can be learnt, the result is [`Error::Unknown`], and [`confirm`] settles it later.

mod change;
mod confirm;
mod swap;
mod sweep;

pub use confirm::confirm;
pub use sweep::sweep;

use crate::clock::Clock;
use crate::config::apply::change::{Change, Round};
use crate::config::diff::Diff;
use crate::config::snapshot::Snapshot;
use crate::config::{Fault, head, is_file_name};
use crate::ids::{ChangeId, OperatorName, Revision};
use crate::store::Store;
use serde::{Deserialize, Serialize};

/// Result of a change.
pub type Result<T> = std::result::Result<T, Error>;

/// Times that a change is made anew on top of others, or a lost answer asked for.
const MAX_ROUNDS: usize = 16;

/// Largest text of a file, in bytes.
pub const MAX_TEXT_BYTES: usize = 256 << 10;

/// Most files.
pub const MAX_FILES: usize = 1024;

/// A change that one operator asks for.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChangeRequest {
    pub operator: OperatorName,
    /// Never used for another change; names this one to [`confirm`].
    pub change: ChangeId,
    pub file: String,
    pub action: Action,
    /// Revision that the operator looked at; the one in force now where it is not given.
    pub base: Option<Revision>,
}

/// What becomes of a file.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Action {
    /// Adds or replaces the file.
    Replace {
        text: String,
    },
    Remove,
}

/// A change that is in force.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Applied {
    pub change: ChangeId,
    /// First revision with the change.
    pub revision: Revision,
    pub effect: Effect,
}

/// Whether a change made a revision.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Effect {
    Changed,
    /// The file was like that already; nothing was written.
    Unchanged,
}

/// How a change ended, asked for afterwards.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Confirmation {
    Applied(Applied),
    /// The change has had no effect since audit entry `since`, and never will have one. Zero
    /// means that the trail was read to its beginning.
    NotApplied {
        since: u64,
    },
}

/// A change that is not known to be in force.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The change had no effect.
    #[error("the files have {} faults; mend them and apply again", .0.len())]
    Invalid(Vec<Fault>),
    /// The change had no effect, since another changed the same file first.
    #[error(
        "{} changed `{}` in revision {}; compare, then apply again with --base {}",
        .0.winner, .0.file, .0.revision, .0.revision
    )]
    Conflict(Box<Conflict>),
    /// The change had no effect.
    #[error("nothing was changed ({reason}); try again when the key-value service answers")]
    Unavailable { reason: String },
    /// The change may have taken effect.
    #[error("change {change} may be in force ({reason}); settle it with apply --confirm {change}")]
    Unknown { change: ChangeId, reason: String },
}

/// An error before the head was written.
impl From<head::Error> for Error {
    fn from(error: head::Error) -> Self {
        Self::Unavailable { reason: error.to_string() }
    }
}

/// Who won, and what differs.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Conflict {
    pub file: String,
    pub winner: OperatorName,
    pub change: ChangeId,
    pub revision: Revision,
    /// From the winner's text to the refused one.
    pub differences: Diff,
}

/// Puts a change in force.
pub async fn apply(store: &impl Store, clock: &impl Clock, req: &ChangeRequest) -> Result<Applied> {
    apply_with(store, clock, req, None).await
}

/// Puts a change in force, taking the texts of unchanged files from `known`.
pub async fn apply_with(
    store: &impl Store,
    clock: &impl Clock,
    req: &ChangeRequest,
    known: Option<&Snapshot>,
) -> Result<Applied> {
    check_request(req)?;
    let mut change = Change::new(store, clock, req, known);
    let mut reason = "other changes came first each time".to_owned();
    for _ in 0..MAX_ROUNDS {
        match change.round().await? {
            Round::Done(applied) => return Ok(applied),
            Round::Again { because } => reason = because,
        }
    }
    Err(Error::Unavailable { reason })
}

fn check_request(req: &ChangeRequest) -> Result<()> {
    let mut faults = Vec::new();
    let mut fault = |message: String, remedy: String| {
        faults.push(request_fault(&req.file, message, remedy));
    };
    if !is_file_name(&req.file) {
        fault(
            format!("`{}` can't name a file", req.file),
            "use letters, digits, `-`, `_` and `.`".to_owned(),
        );
    }
    if !is_file_name(req.change.as_str()) {
        fault(
            format!("`{}` can't name a change", req.change),
            "use letters, digits, `-`, `_` and `.`".to_owned(),
        );
    }
    if let Action::Replace { text } = &req.action
        && text.len() > MAX_TEXT_BYTES
    {
        fault(
            format!("the file has {} bytes", text.len()),
            format!("split it into files of at most {MAX_TEXT_BYTES}"),
        );
    }
    if faults.is_empty() { Ok(()) } else { Err(Error::Invalid(faults)) }
}

fn request_fault(file: &str, message: String, remedy: String) -> Fault {
    Fault { file: file.to_owned(), line: 1, message, remedy }
}
