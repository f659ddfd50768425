//! Changes as operators ask for them.

use futures::FutureExt;
use waxwingstall::config::apply::{Action, ChangeRequest};
use waxwingstall::ids::{ChangeId, OperatorName};

/// The output of a future that never waits.
pub fn now<T>(future: impl Future<Output = T>) -> T {
    future.now_or_never().expect("a call in memory doesn't wait")
}

/// A change as an operator asks for it.
pub fn request(operator: &str, change: &str, file: &str, action: Action) -> ChangeRequest {
    ChangeRequest {
        operator: OperatorName::new(operator),
        change: ChangeId::new(change),
        file: file.to_owned(),
        action,
        base: None,
    }
}

/// A file that is faultless by itself and differs by its number.
pub fn weights(tail: u64) -> String {
    format!("[weights]\ntail = {tail}\nevictions = 1\nthroughput = 1\n")
}
