//! Settling a change whose answer was lost.

use crate::audit::{self, Entry, Outcome};
use crate::clock::Clock;
use crate::config::apply::change::done;
use crate::config::apply::swap::swap;
use crate::config::apply::{Confirmation, Error, MAX_ROUNDS, Result};
use crate::config::head;
use crate::ids::{ChangeId, OperatorName};
use crate::store::Store;

/// Learns how a change ended, and makes sure that it stays so.
///
/// A change that isn't in the trail may be on its way still. An entry that says "abandoned" moves
/// the head's version on, which the late write then doesn't match.
pub async fn confirm(
    store: &impl Store,
    clock: &impl Clock,
    change: &ChangeId,
    operator: &OperatorName,
) -> Result<Confirmation> {
    let unknown = |reason: String| Error::Unknown { change: change.clone(), reason };
    let mut reason = "the head changed each time".to_owned();
    for _ in 0..MAX_ROUNDS {
        let at = head::read(store).await.map_err(|e| unknown(e.to_string()))?;
        let since = at.head.trail.first_page * audit::PAGE_ENTRIES;
        let found = audit::find(store, &at.head, change, since)
            .await
            .map_err(|e| unknown(e.to_string()))?;
        if let Some(entry) = found {
            return Ok(confirmation(&entry, since));
        }
        let entry = Entry {
            number: 0,
            at: clock.wall(),
            operator: operator.clone(),
            change: change.clone(),
            file: String::new(),
            from: at.head.manifest.revision,
            revision: at.head.manifest.revision,
            outcome: Outcome::Abandoned,
            summary: String::new(),
        };
        let manifest = at.head.manifest.clone();
        match swap(store, &at, manifest, entry).await {
            Ok(()) => return Ok(Confirmation::NotApplied { since }),
            Err(e) => reason = e.to_string(),
        }
    }
    Err(unknown(reason))
}

fn confirmation(entry: &Entry, since: u64) -> Confirmation {
    match done(entry) {
        Ok(applied) => Confirmation::Applied(applied),
        Err(_) => Confirmation::NotApplied { since },
    }
}
