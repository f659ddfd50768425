//! One connection of an endpoint: requests in, answers or faults out.

use super::faults::{Fault, NotRun, RequestState, Shared};
use super::http::{Framing, Req, Resp, read_request, write};
use super::{OnClose, answer_body};
use std::sync::Arc;
use std::time::Duration;
use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;

/// Length of an answer when the query asks for none.
const USUAL_BYTES: u64 = 64;

/// Counts an open connection.
struct Open(Arc<Shared>);

impl Drop for Open {
    fn drop(&mut self) {
        self.0.state().open -= 1;
    }
}

/// Counts a request that runs.
struct Running<'a> {
    shared: &'a Shared,
    id: String,
}

impl<'a> Running<'a> {
    fn start(shared: &'a Shared, id: &str) -> Self {
        let mut state = shared.state();
        *state.runs.entry(id.to_owned()).or_insert(0) += 1;
        state.request_states.insert(id.to_owned(), RequestState::Running);
        state.running += 1;
        if state.running > shared.settings.slots {
            state.violations += 1;
        }
        state.max_concurrent = state.max_concurrent.max(state.running);
        Self { shared, id: id.to_owned() }
    }
}

impl Drop for Running<'_> {
    fn drop(&mut self) {
        let mut state = self.shared.state();
        state.running -= 1;
        state.request_states.insert(self.id.clone(), RequestState::Answered);
    }
}

/// Serves a connection until it ends.
pub(super) async fn serve(mut stream: TcpStream, shared: Arc<Shared>) {
    let _ = stream.set_nodelay(true);
    let fault = {
        let mut state = shared.state();
        state.accepted += 1;
        state.open += 1;
        state.take_connection_fault()
    };
    let _open = Open(Arc::clone(&shared));
    if fault == Some(Fault::SilentAfterAccept) {
        return fall_silent(stream).await;
    }
    let mut buf = Vec::new();
    while let Some(req) = read_request(&mut stream, &mut buf).await {
        let step = if req.path == "/health" {
            health(&mut stream, &shared, &req).await
        } else {
            request(&mut stream, &shared, &req).await
        };
        match step {
            Some(Step::Next) => {}
            Some(Step::Silent) => return fall_silent(stream).await,
            Some(Step::Close) | None => return,
        }
    }
}

/// What happens to the connection next.
enum Step {
    Next,
    Silent,
    Close,
}

/// Reads and drops everything, as a path does that has lost track of the connection.
async fn fall_silent(mut stream: TcpStream) {
    let mut buf = [0; 4096];
    while stream.read(&mut buf).await.is_ok_and(|len| len > 0) {}
}

async fn health(stream: &mut TcpStream, shared: &Shared, req: &Req) -> Option<Step> {
    let mut resp = {
        let state = shared.state();
        if state.health_silent {
            return Some(Step::Silent);
        }
        let mut resp = Resp::plain(200, "ok\n");
        if state.leaving {
            resp.status = 503;
            resp.extra.push(("waxwing-not-run", "leaving".to_owned()));
        }
        if let Some(id) = req.id.as_ref().filter(|_| !state.states_hidden) {
            let word = match state.request_states.get(id) {
                Some(RequestState::Running) => "running",
                Some(RequestState::Answered) => "answered",
                None => "unseen",
            };
            resp.extra.push(("waxwing-request-state", word.to_owned()));
        }
        resp
    };
    resp.id.clone_from(&req.id);
    write(stream, &resp.whole()).await?;
    Some(Step::Next)
}

async fn request(stream: &mut TcpStream, shared: &Shared, req: &Req) -> Option<Step> {
    let (fault, leaving) = {
        let mut state = shared.state();
        state.requests += 1;
        (state.take_fault(), state.leaving)
    };
    let id = req.id.clone().unwrap_or_default();
    let refuse = if leaving { Some(Fault::NotRun(NotRun::Leaving)) } else { fault };
    match refuse {
        Some(Fault::NotRun(why)) => return not_run(stream, &id, why).await,
        Some(Fault::ErrorFast(status)) => {
            let mut resp = Resp::plain(status, "error\n");
            resp.id = Some(id);
            write(stream, &resp.whole()).await?;
            return Some(Step::Next);
        }
        Some(Fault::CloseUnrun) => return Some(Step::Close),
        _ => {}
    }
    let running = Running::start(shared, &id);
    work(stream, shared, service_time(shared, req, fault)).await?;
    shared.state().completed += 1;
    let resp = usual(req, &id);
    answer(stream, req, &resp, fault, running).await
}

/// Takes its time; none when the connection was closed meanwhile and the work stops.
async fn work(stream: &TcpStream, shared: &Shared, time: Duration) -> Option<()> {
    if time.is_zero() {
        // A timer's shortest sleep is a millisecond, which would hide what a request costs.
        return Some(());
    }
    let done = tokio::time::sleep(time);
    match shared.settings.on_close {
        OnClose::RunsOn => {
            done.await;
            Some(())
        }
        OnClose::Stops => tokio::select! {
            () = done => Some(()),
            () = closed(stream) => None,
        },
    }
}

async fn closed(stream: &TcpStream) {
    let mut buf = [0; 1];
    // A byte of a next request doesn't end this one.
    if !matches!(stream.peek(&mut buf).await, Ok(0) | Err(_)) {
        std::future::pending::<()>().await;
    }
}

async fn not_run(stream: &mut TcpStream, id: &str, why: NotRun) -> Option<Step> {
    let word = match why {
        NotRun::Leaving => "leaving",
        NotRun::Full => "full",
    };
    let mut resp = Resp::plain(503, "not run\n");
    resp.id = Some(id.to_owned());
    resp.extra.push(("waxwing-not-run", word.to_owned()));
    write(stream, &resp.whole()).await?;
    Some(Step::Next)
}

fn service_time(shared: &Shared, req: &Req, fault: Option<Fault>) -> Duration {
    let usual = req.service_time().unwrap_or(shared.settings.service_time);
    match fault {
        Some(Fault::Slow(ms)) => usual + Duration::from_millis(ms),
        _ => usual,
    }
}

fn usual(req: &Req, id: &str) -> Resp {
    let length = req.number("bytes").unwrap_or(USUAL_BYTES);
    let chunked = req.number("chunked").is_some();
    Resp {
        status: 200,
        id: Some(id.to_owned()),
        extra: vec![("x-body-bytes", req.body.len().to_string())],
        body: answer_body(id, usize::try_from(length).unwrap_or(0)),
        framing: if chunked { Framing::Chunked } else { Framing::Length },
    }
}

async fn answer(
    stream: &mut TcpStream,
    req: &Req,
    resp: &Resp,
    fault: Option<Fault>,
    running: Running<'_>,
) -> Option<Step> {
    let mut resp = resp.clone();
    match fault {
        Some(Fault::SilentBeforeHead) => return Some(Step::Silent),
        Some(Fault::CloseBeforeHead) => return Some(Step::Close),
        Some(Fault::Garbage) => {
            write(stream, b"this is not HTTP\r\n\r\n").await?;
            return Some(Step::Close);
        }
        Some(Fault::SilentMidBody) => {
            write_half(stream, &resp).await?;
            return Some(Step::Silent);
        }
        Some(Fault::CutBody) => {
            write_half(stream, &resp).await?;
            return Some(Step::Close);
        }
        Some(Fault::LateAnswer) => write(stream, &stray(&resp).whole()).await?,
        Some(Fault::WrongId) => resp = stray(&resp),
        Some(Fault::NoId) => resp.id = None,
        Some(Fault::UntilClose) => resp.framing = Framing::UntilClose,
        _ => {}
    }
    // A slot is free before the answer's last byte is out, so that whoever reads that byte may
    // send the next request at once.
    let gap = req.number("gap_ms").map(Duration::from_millis);
    write_answer(stream, &resp, gap, running).await?;
    match fault {
        Some(Fault::SilentAfterAnswer) => Some(Step::Silent),
        Some(Fault::UntilClose) => Some(Step::Close),
        Some(Fault::Duplicate) => {
            write(stream, &resp.whole()).await?;
            Some(Step::Next)
        }
        _ => Some(Step::Next),
    }
}

/// An answer to a request that nobody made.
fn stray(resp: &Resp) -> Resp {
    let mut stray = resp.clone();
    stray.id = Some("another-request".to_owned());
    stray.body = answer_body("another-request", resp.body.len());
    stray
}

async fn write_half(stream: &mut TcpStream, resp: &Resp) -> Option<()> {
    write(stream, &resp.head()).await?;
    write(stream, &resp.part(0, resp.body.len() / 2)).await
}

async fn write_answer(
    stream: &mut TcpStream,
    resp: &Resp,
    gap: Option<Duration>,
    running: Running<'_>,
) -> Option<()> {
    /// Bytes written at a time.
    const PIECE: usize = 16 << 10;
    let length = resp.body.len();
    let piece = if gap.is_some() { length.div_ceil(8).max(1) } else { PIECE };
    write(stream, &resp.head()).await?;
    let mut sent = 0;
    while sent + piece < length {
        write(stream, &resp.part(sent, sent + piece)).await?;
        sent += piece;
        running.shared.state().body_bytes_sent += piece;
        if let Some(gap) = gap {
            tokio::time::sleep(gap).await;
        }
    }
    drop(running);
    let mut last = resp.part(sent, length);
    last.extend_from_slice(resp.end());
    write(stream, &last).await
}
