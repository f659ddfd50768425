//! API to apply, confirm and show the configuration, and to read the audit trail.

use super::{DaemonHandles, State, answer};
use crate::api::{
    ApiError, ApplyReply, ApplyReq, AuditPage, AuditQuery, AuditView, CallOutcome, ConfigView,
    ConfirmReq, DEFAULT_PAGE, ErrorKind, FileView, MAX_PAGE, Result,
};
use crate::audit::{Entry, Missing};
use crate::config::apply::{Action, Applied, ChangeRequest, Confirmation, Error};
use crate::ids::{ChangeId, OperatorName, Revision};
use crate::storage::{Apply, Confirm, GetStanding, ReadAudit};
use actix_web::{HttpResponse, web};
use std::time::SystemTime;

pub fn register(scope: &mut web::ServiceConfig) {
    scope
        .route("/config", web::get().to(show))
        .route("/config/apply", web::post().to(apply))
        .route("/config/confirm", web::post().to(confirm))
        .route("/audit", web::get().to(audit));
}

async fn apply(state: web::Data<State>, req: web::Json<ApplyReq>) -> HttpResponse {
    answer(apply_file(&state.handles, req.into_inner()).await)
}

async fn apply_file(handles: &DaemonHandles, req: ApplyReq) -> Result<ApplyReply> {
    let action = match req.text {
        Some(text) => Action::Replace { text },
        None => Action::Remove,
    };
    let change = ChangeRequest {
        operator: OperatorName::new(&req.operator),
        change: ChangeId::new(&req.change_id),
        file: req.file,
        action,
        base: req.base,
    };
    let applied = handles.storage.send(Apply(change)).await.map_err(|e| storage_stopped(&e))?;
    applied.map(|applied| reply(&applied)).map_err(apply_error)
}

async fn confirm(state: web::Data<State>, req: web::Json<ConfirmReq>) -> HttpResponse {
    answer(confirm_change(&state.handles, &req).await)
}

async fn confirm_change(handles: &DaemonHandles, req: &ConfirmReq) -> Result<ApplyReply> {
    let change = &req.change_id;
    let confirm =
        Confirm { change: ChangeId::new(change), operator: OperatorName::new(&req.operator) };
    let confirmed = handles.storage.send(confirm).await.map_err(|e| storage_stopped(&e))?;
    match confirmed.map_err(apply_error)? {
        Confirmation::Applied(applied) => Ok(reply(&applied)),
        Confirmation::NotApplied { since } => Err(ApiError::new(
            ErrorKind::NotFound,
            format!("change `{change}` had no effect and never will (audit read from {since} on)"),
            "apply the file again",
        )),
    }
}

fn reply(applied: &Applied) -> ApplyReply {
    ApplyReply {
        change_id: applied.change.as_str().to_owned(),
        revision: applied.revision,
        effect: applied.effect,
    }
}

fn storage_stopped(e: &actix::MailboxError) -> ApiError {
    ApiError::new(ErrorKind::Unknown, format!("the daemon stops ({e})"), "confirm the change")
}

fn apply_error(e: Error) -> ApiError {
    let message = e.to_string();
    match e {
        Error::Invalid(faults) => {
            ApiError::new(ErrorKind::Refused, message, "mend the faults and apply again")
                .with_details(faults.iter().map(ToString::to_string).collect())
        }
        Error::Conflict(conflict) => {
            let lines = conflict.differences.lines.iter();
            let details = lines.map(|line| format!("{}: {}", line.number, line.text)).collect();
            ApiError::new(ErrorKind::Conflict, message, "compare, then apply again")
                .with_details(details)
        }
        Error::Unavailable { .. } => {
            ApiError::new(ErrorKind::Unreachable, message, "apply again later")
        }
        Error::Unknown { .. } => {
            ApiError::new(ErrorKind::Unknown, message, "settle it with --confirm")
                .with_outcome(CallOutcome::Unknown)
        }
    }
}

async fn show(state: web::Data<State>) -> HttpResponse {
    answer(show_files(&state.handles).await)
}

async fn show_files(handles: &DaemonHandles) -> Result<ConfigView> {
    let standing = handles.storage.send(GetStanding).await.map_err(|e| storage_stopped(&e))?;
    let Some(snapshot) = standing.snapshot else {
        return Ok(ConfigView { revision: Revision(0), files: Vec::new() });
    };
    let files = snapshot.manifest.files.iter().filter_map(|(name, file)| {
        let text = snapshot.text(name, file.digest)?.to_string();
        Some(FileView { name: name.clone(), revision: file.revision, text })
    });
    Ok(ConfigView { revision: snapshot.revision(), files: files.collect() })
}

async fn audit(state: web::Data<State>, query: web::Query<AuditQuery>) -> HttpResponse {
    answer(read_audit(&state.handles, &query).await)
}

async fn read_audit(handles: &DaemonHandles, query: &AuditQuery) -> Result<AuditPage> {
    let limit = query.limit.unwrap_or(DEFAULT_PAGE).min(MAX_PAGE);
    let read =
        ReadAudit { before: query.before, limit: usize::try_from(limit).unwrap_or(usize::MAX) };
    let page = handles.storage.send(read).await.map_err(|e| storage_stopped(&e))?;
    let missing = page.missing.as_ref().map(missing_text);
    Ok(AuditPage {
        entries: page.entries.iter().map(view).collect(),
        complete: missing.is_none(),
        missing,
        next_before: page.next,
    })
}

fn missing_text(missing: &Missing) -> String {
    match missing {
        Missing::All { reason } => format!("every entry, since the head can't be read: {reason}"),
        Missing::Before { number, reason } => {
            format!("entries before {number} can't be read now: {reason}")
        }
        Missing::Outside { first, next, reason } => {
            format!("entries before {first} and from {next} on can't be read now: {reason}")
        }
        Missing::Forgotten { number } => format!("entries before {number} are no longer kept"),
    }
}

fn view(entry: &Entry) -> AuditView {
    let since_epoch = entry.at.duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
    AuditView {
        revision: entry.revision,
        from: entry.from,
        operator: entry.operator.as_str().to_owned(),
        change_id: entry.change.as_str().to_owned(),
        at_unix_ms: u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX),
        file: entry.file.clone(),
        changes: vec![entry.summary.clone()],
        result: format!("{:?}", entry.outcome).to_lowercase(),
    }
}
