//! Exit codes, one for each kind of failure that a script has to tell apart.

use waxwingstall::api::ErrorKind;

/// How the tool ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub enum Exit {
    Ok = 0,
    /// The command line or a file is wrong.
    Usage = 2,
    Refused = 3,
    Conflict = 4,
    Unreachable = 5,
    NotFound = 6,
    /// The change may or may not have taken effect.
    Unknown = 7,
}

impl From<ErrorKind> for Exit {
    fn from(kind: ErrorKind) -> Self {
        match kind {
            ErrorKind::Usage => Self::Usage,
            ErrorKind::Refused => Self::Refused,
            ErrorKind::Conflict => Self::Conflict,
            ErrorKind::Unreachable => Self::Unreachable,
            ErrorKind::NotFound => Self::NotFound,
            ErrorKind::Unknown => Self::Unknown,
        }
    }
}
