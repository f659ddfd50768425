//! API that explains decisions about tasks, VMs and requests.

use super::forward::{call_daemon, call_writer, refusal};
use super::tasks::read_id;
use super::{DaemonHandles, State, answer};
use crate::api::{ApiError, ErrorKind, Explanation, Result};
use crate::core::policy::Subject;
use crate::ids::{RequestId, VmId};
use crate::peers::{Call, Reply};
use crate::request::Explained;
use actix_web::{HttpResponse, web};

pub fn register(scope: &mut web::ServiceConfig) {
    scope
        .route("/explain/task/{id}", web::get().to(task))
        .route("/explain/vm/{id}", web::get().to(vm))
        .route("/explain/request/{id}", web::get().to(request));
}

async fn task(state: web::Data<State>, path: web::Path<String>) -> HttpResponse {
    answer(explain_task(&state.handles, &path).await)
}

async fn explain_task(handles: &DaemonHandles, id: &str) -> Result<Explanation> {
    let task = read_id(id)?;
    let shown = match call_writer(handles, task.partition, Call::Show { task }).await {
        Reply::Task(shown) => shown,
        reply => return Err(refusal(reply)),
    };
    let mut explanation = collect_records(handles, Subject::Task(task)).await;
    if let Some(waiting_for) = shown.waiting_for {
        explanation.missing =
            Some(join(explanation.missing.take(), &format!("now waiting {waiting_for}")));
    }
    Ok(explanation)
}

async fn vm(state: web::Data<State>, path: web::Path<String>) -> HttpResponse {
    let subject = Subject::Vm(VmId::new(&path));
    answer(Ok(collect_records(&state.handles, subject).await))
}

/// Collects the records of all serving daemons: the placements of a task are recorded by the
/// writers of its partition, its throttles and evictions by the holders of its VMs.
async fn collect_records(handles: &DaemonHandles, subject: Subject) -> Explanation {
    let members: Vec<_> = handles.view.borrow().serving().cloned().collect();
    let mut explanation = Explanation { complete: true, ..Explanation::default() };
    for member in members {
        let call = Call::Explain { subject: subject.clone() };
        let reply = call_daemon(handles, member.clone(), call).await;
        match reply {
            Reply::Records { records, forgotten: false } => explanation.records.extend(records),
            Reply::Records { records, forgotten: true } => {
                explanation.records.extend(records);
                add_missing(
                    &mut explanation,
                    &format!("{member} has forgotten its oldest decisions"),
                );
            }
            _ => add_missing(&mut explanation, &format!("{member} did not answer")),
        }
    }
    explanation.records.sort_by_key(|record| record.at);
    if explanation.records.is_empty() {
        add_missing(
            &mut explanation,
            "no decision about it is remembered by the daemons that answer",
        );
    }
    explanation
}

fn add_missing(explanation: &mut Explanation, text: &str) {
    explanation.complete = false;
    explanation.missing = Some(join(explanation.missing.take(), text));
}

fn join(previous: Option<String>, text: &str) -> String {
    previous.map_or_else(|| text.to_owned(), |previous| format!("{previous}; {text}"))
}

async fn request(state: web::Data<State>, path: web::Path<String>) -> HttpResponse {
    let id = RequestId::new(&path);
    answer(explain_request(&state, &id))
}

fn explain_request(state: &State, id: &RequestId) -> Result<Explanation> {
    match state.dispatcher.explain(id) {
        Explained::Known(known) => Ok(Explanation {
            request: serde_json::to_value(&known).ok(),
            complete: true,
            ..Explanation::default()
        }),
        Explained::Forgotten { until } => Err(ApiError::new(
            ErrorKind::NotFound,
            match until {
                None => format!("request `{id}` never came to {}", state.handles.me),
                Some(until) => format!(
                    "{} does not know request `{id}`; it has forgotten those that came more than \
                     {} s ago",
                    state.handles.me,
                    state.handles.clock.now().saturating_sub(until).as_secs()
                ),
            },
            "ask the daemon that answered the request; each remembers its own latest requests",
        )),
    }
}
