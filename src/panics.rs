//! What a panic ends.
//!
//! A panic ends the actor or the task that it happens in, and nothing else: without that part the
//! process would live on, and look alive to callers and other daemons. On a vital thread it therefore
//! ends the process, so that other daemons take over, and the platform starts this one again. A panic
//! in [`contain`] ends nothing; it is up to the caller.

#[cfg(test)]
mod tests;

use crate::journal::Journal;
use crate::note::Note;
use std::any::Any;
use std::cell::Cell;
use std::panic::{AssertUnwindSafe, PanicHookInfo};
use std::time::Duration;

/// Result of a contained closure.
pub type Result<T> = std::result::Result<T, Panic>;

/// A panic that was contained.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{0}")]
pub struct Panic(String);

/// Exit code after a panic, as Rust programs have it.
const EXIT_CODE: i32 = 101;

/// Time that the last log lines get to be written.
const LOG_TIMEOUT: Duration = Duration::from_millis(200);

thread_local! {
    static IS_VITAL: Cell<bool> = const { Cell::new(false) };
    static IS_CONTAINED: Cell<bool> = const { Cell::new(false) };
}

/// Makes each later panic on a vital thread end the process, once it is logged.
pub fn end_process_on_panic(journal: Journal) {
    let default_hook = std::panic::take_hook();
    std::panic::set_hook(Box::new(move |info| {
        default_hook(info);
        if IS_VITAL.get() && !IS_CONTAINED.get() {
            journal.write(failure_note(info));
            journal.close(LOG_TIMEOUT);
            std::process::exit(EXIT_CODE);
        }
    }));
}

/// Marks the current thread as vital.
pub fn mark_vital() {
    IS_VITAL.set(true);
}

/// Runs a closure; a panic in it becomes an error. The caller has to drop what the closure was
/// changing.
pub fn contain<T>(run: impl FnOnce() -> T) -> Result<T> {
    let was_contained = IS_CONTAINED.replace(true);
    let result = std::panic::catch_unwind(AssertUnwindSafe(run));
    IS_CONTAINED.set(was_contained);
    result.map_err(|payload| Panic(message(&*payload)))
}

fn failure_note(info: &PanicHookInfo<'_>) -> Note {
    let thread = std::thread::current();
    Note::DaemonFailed {
        thread: thread.name().unwrap_or("unnamed").to_owned(),
        place: info.location().map_or_else(String::new, ToString::to_string),
        reason: message(info.payload()),
    }
}

fn message(payload: &(dyn Any + Send)) -> String {
    let text = payload.downcast_ref::<&str>().map(|text| (*text).to_owned());
    let text = text.or_else(|| payload.downcast_ref::<String>().cloned());
    text.unwrap_or_else(|| "unknown".to_owned())
}
