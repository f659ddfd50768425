//! API to submit, show, list and cancel tasks.

use super::forward::{call_daemon, call_writer, refusal};
use super::{DaemonHandles, State, answer};
use crate::api::{
    ApiError, CancelReply, DEFAULT_PAGE, ErrorKind, MAX_PAGE, Result, SubmitPriority, SubmitReply,
    SubmitReq, TaskList, TaskPhase, TaskQuery, TaskView,
};
use crate::core::event::Answer;
use crate::ids::{ClassName, IdempotencyKey, PartitionId, TaskId};
use crate::model::{Config, Urgency};
use crate::peers::{Call, Reply, Shown};
use crate::task::{Phase, TaskSpec};
use actix_web::{HttpResponse, web};
use xxhash_rust::xxh3::xxh3_64;

pub fn register(scope: &mut web::ServiceConfig) {
    scope
        .route("/tasks", web::post().to(submit))
        .route("/tasks", web::get().to(list))
        .route("/tasks/{id}", web::get().to(show))
        .route("/tasks/{id}/cancel", web::post().to(cancel));
}

async fn submit(state: web::Data<State>, req: web::Json<SubmitReq>) -> HttpResponse {
    answer(submit_task(&state.handles, req.into_inner()).await)
}

async fn submit_task(handles: &DaemonHandles, req: SubmitReq) -> Result<SubmitReply> {
    let config = handles.view.borrow().config.clone();
    let spec = build_spec(&config, &req)?;
    let partition = partition_of(&handles.partitions, &req.key)?;
    let call = Call::Submit { partition, key: req.key, spec };
    match call_writer(handles, partition, call).await {
        Reply::Answer(Answer::Accepted { task, repeated }) => Ok(SubmitReply { task, repeated }),
        reply => Err(refusal(reply)),
    }
}

fn build_spec(config: &Config, req: &SubmitReq) -> Result<TaskSpec> {
    let Some(class) = config.batch.get(&req.class) else {
        return Err(unknown_class(config, &req.class));
    };
    let team = req.team.clone().unwrap_or_else(|| class.team.clone());
    if !config.teams.contains_key(&team) {
        return Err(ApiError::new(
            ErrorKind::Refused,
            format!("team `{team}` is not configured at revision {}", config.revision),
            "name a configured team, or apply a file that adds it",
        ));
    }
    let urgency = match req.priority {
        SubmitPriority::AsClass => class.urgency,
        SubmitPriority::Urgent => Urgency::Urgent,
    };
    Ok(TaskSpec {
        class: req.class.clone(),
        team,
        pool: class.pool.clone(),
        resources: class.resources,
        expected: class.expected,
        idempotency: class.idempotency,
        resumption: class.resumption,
        urgency,
        max_failures: class.max_failures,
        payload: req.payload.clone(),
    })
}

fn unknown_class(config: &Config, class: &ClassName) -> ApiError {
    let known: Vec<_> = config.batch.keys().map(ClassName::as_str).collect();
    ApiError::new(
        ErrorKind::Refused,
        format!("batch class `{class}` is not configured at revision {}", config.revision),
        format!("use one of: {}", known.join(", ")),
    )
}

/// Returns the partition of a key, which is the same on every daemon.
fn partition_of(partitions: &[PartitionId], key: &IdempotencyKey) -> Result<PartitionId> {
    let count = u64::try_from(partitions.len()).unwrap_or(u64::MAX);
    let index = xxh3_64(key.as_str().as_bytes()).checked_rem(count);
    index.and_then(|i| partitions.get(usize::try_from(i).ok()?)).copied().ok_or_else(|| {
        ApiError::new(ErrorKind::Refused, "no partition is set", "set `partitions` in the settings")
    })
}

async fn show(state: web::Data<State>, path: web::Path<String>) -> HttpResponse {
    answer(show_task(&state.handles, &path).await)
}

async fn show_task(handles: &DaemonHandles, id: &str) -> Result<TaskView> {
    let task = read_id(id)?;
    match call_writer(handles, task.partition, Call::Show { task }).await {
        Reply::Task(shown) => Ok(to_view(*shown)),
        reply => Err(refusal(reply)),
    }
}

pub fn read_id(id: &str) -> Result<TaskId> {
    id.parse().map_err(|e: crate::ids::Error| {
        ApiError::new(ErrorKind::Usage, e.to_string(), "copy the id from the submission's answer")
    })
}

fn to_view(shown: Shown) -> TaskView {
    TaskView { task: shown.task, waiting_for: shown.waiting_for }
}

async fn cancel(state: web::Data<State>, path: web::Path<String>) -> HttpResponse {
    answer(cancel_task(&state.handles, &path).await)
}

async fn cancel_task(handles: &DaemonHandles, id: &str) -> Result<CancelReply> {
    let task = read_id(id)?;
    match call_writer(handles, task.partition, Call::Cancel { task }).await {
        Reply::Answer(Answer::Cancelling { task }) => Ok(CancelReply { task }),
        reply => Err(refusal(reply)),
    }
}

async fn list(state: web::Data<State>, query: web::Query<TaskQuery>) -> HttpResponse {
    answer(Ok(list_tasks(&state.handles, &query).await))
}

/// Collects the tasks of each serving daemon, which lists those of the partitions it writes.
async fn list_tasks(handles: &DaemonHandles, query: &TaskQuery) -> TaskList {
    let limit = query.limit.unwrap_or(DEFAULT_PAGE).min(MAX_PAGE);
    let limit = usize::try_from(limit).unwrap_or(usize::MAX);
    let members: Vec<_> = handles.view.borrow().serving().cloned().collect();
    let mut tasks = Vec::new();
    let mut missing = Vec::new();
    for member in members {
        let reply = call_daemon(handles, member.clone(), Call::List).await;
        match reply {
            Reply::Tasks(shown) => {
                tasks.extend(shown.into_iter().filter(|s| matches_query(s, query)).map(to_view));
            }
            _ => missing.push(format!("{member} did not answer")),
        }
    }
    tasks.sort_by_key(|view| view.task.id);
    tasks.dedup_by_key(|view| view.task.id);
    let complete = missing.is_empty() && tasks.len() <= limit;
    if tasks.len() > limit {
        missing
            .push(format!("{} more tasks; raise the limit or name a class", tasks.len() - limit));
        tasks.truncate(limit);
    }
    let missing = (!missing.is_empty()).then(|| missing.join("; "));
    TaskList { tasks, complete, missing }
}

fn matches_query(shown: &Shown, query: &TaskQuery) -> bool {
    let phase = match shown.task.phase {
        Phase::Waiting => TaskPhase::Waiting,
        Phase::Bound { .. } => TaskPhase::Bound,
        Phase::Ended { .. } => TaskPhase::Ended,
    };
    query.state.is_none_or(|state| state == phase)
        && query.class.as_ref().is_none_or(|class| *class == shown.task.spec.class)
}
