//! Forwards API calls about tasks to the daemon that can answer them.

use super::DaemonHandles;
use crate::api::{ApiError, CallOutcome, ErrorKind};
use crate::control::{Ask, Control, Inspect};
use crate::core::event::Answer;
use crate::ids::{DaemonId, PartitionId};
use crate::peers::{Call, Forward, Reply};
use crate::storage::{FindKey, Storage};
use actix::Addr;

/// Calls the writer of a partition: this daemon, or another one directly.
pub async fn call_writer(handles: &DaemonHandles, partition: PartitionId, call: Call) -> Reply {
    match call_local_writer(&handles.control, &handles.storage, call.clone()).await {
        Reply::NotWriter => {}
        reply => return reply,
    }
    let writer = handles
        .control
        .send(Inspect(move |control: &Control| control.core().preferred_writer(partition)))
        .await
        .ok()
        .flatten();
    match writer {
        Some(writer) if writer != handles.me => call_daemon(handles, writer, call).await,
        _ => Reply::NotSent { reason: format!("partition {partition} has no writer yet") },
    }
}

/// Calls this daemon as the writer of the partition.
pub async fn call_local_writer(
    control: &Addr<Control>,
    storage: &Addr<Storage>,
    call: Call,
) -> Reply {
    if let Call::Submit { partition, key, .. } = &call {
        let find = FindKey { partition: *partition, key: key.clone() };
        if let Ok(Some(task)) = storage.send(find).await {
            return Reply::Answer(Answer::Accepted { task, repeated: true });
        }
    }
    call_core(control, call).await
}

async fn call_core(control: &Addr<Control>, call: Call) -> Reply {
    let reply = control.send(Ask(call)).await;
    reply.unwrap_or_else(|e| Reply::NotSent { reason: e.to_string() })
}

/// Calls a daemon, which may be this one.
pub async fn call_daemon(handles: &DaemonHandles, to: DaemonId, call: Call) -> Reply {
    if to == handles.me {
        return call_core(&handles.control, call).await;
    }
    let reply = handles.peers.send(Forward { to, call }).await;
    reply.unwrap_or_else(|e| Reply::NotSent { reason: e.to_string() })
}

/// Converts a reply of an unexpected kind to an error.
pub fn refusal(reply: Reply) -> ApiError {
    match reply {
        Reply::Answer(Answer::NotRun { reason }) => {
            ApiError::new(ErrorKind::Refused, reason, "change the task or try again later")
        }
        Reply::Answer(Answer::NotFound) => {
            ApiError::new(ErrorKind::NotFound, "there is no such task", "check the id")
        }
        Reply::NotSent { reason } => {
            ApiError::new(ErrorKind::Unreachable, reason, "repeat the call; nothing was recorded")
        }
        Reply::NotWriter => ApiError::new(
            ErrorKind::Unreachable,
            "the partition is changing its writer",
            "repeat the call in a moment; nothing was recorded",
        ),
        Reply::NoAnswer { reason } => ApiError::new(
            ErrorKind::Unknown,
            reason,
            "repeat the call with the same key, which never makes a second task",
        ),
        Reply::Answer(_)
        | Reply::Task(_)
        | Reply::Tasks(_)
        | Reply::Vms(_)
        | Reply::Slots(_)
        | Reply::Records { .. } => {
            ApiError::new(ErrorKind::Unknown, "the answer is of another kind", "report this")
                .with_outcome(CallOutcome::Unknown)
        }
    }
}
