//! A worker over HTTP.
//!
//! A call is `POST {base}/{acquire|sync|release|start|throttle|checkpoint|close}` with a JSON
//! body; 200 carries the answer and 409 a typed refusal. Anything else, and no answer in time,
//! leaves the effect unknown.

use super::{
    AcquireReq, AttemptReq, Closed, Error, Granted, Result, StartReq, SyncReq, SyncResp,
    ThrottleReq, Worker,
};
use crate::connections::Connections;
use crate::ids::{CheckpointId, Token};
use crate::transfer::{self, Limit};
use awc::http::StatusCode;
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::time::Duration;
use tokio::time::{Instant, timeout_at};

const MAX_ANSWER_BYTES: usize = 4 << 20;

/// A client for one worker.
#[derive(Clone)]
pub struct HttpWorker {
    connections: Connections,
    base: String,
    timeout: Duration,
}

impl HttpWorker {
    /// A client for the worker at the base URL; calls are given up after `timeout`.
    pub fn new(connections: Connections, base: &str, timeout: Duration) -> Self {
        Self { connections, base: base.to_owned(), timeout }
    }

    async fn call<Q: Serialize, R: DeserializeOwned>(&self, name: &str, req: &Q) -> Result<R> {
        let no_answer = |reason: String| Error::NoAnswer { reason };
        let connections = self.connections.server(&self.base);
        let deadline = Instant::now() + self.timeout;
        let sent = connections.client().post(format!("{}/{name}", self.base)).send_json(req);
        let Ok(result) = timeout_at(deadline, sent).await else {
            connections.discard();
            return Err(no_answer(format!("no answer within {:?}", self.timeout)));
        };
        let mut resp = result.map_err(|e| no_answer(e.to_string()))?;
        let size = transfer::content_length(resp.headers());
        let body = transfer::read(&mut resp, size, MAX_ANSWER_BYTES, Limit::Until(deadline)).await;
        let body = body.map_err(|e| {
            if matches!(e, transfer::Error::Late { .. }) {
                connections.discard();
            }
            no_answer(e.to_string())
        })?;
        match resp.status() {
            StatusCode::OK => serde_json::from_slice(&body).map_err(|e| no_answer(e.to_string())),
            StatusCode::CONFLICT => Err(serde_json::from_slice(&body)
                .unwrap_or_else(|e| no_answer(format!("unreadable refusal: {e}")))),
            status => Err(no_answer(format!("status {status}"))),
        }
    }
}

impl Worker for HttpWorker {
    async fn acquire(&self, req: AcquireReq) -> Result<Granted> {
        self.call("acquire", &req).await
    }

    async fn sync(&self, req: SyncReq) -> Result<SyncResp> {
        self.call("sync", &req).await
    }

    async fn release(&self, token: Token) -> Result<()> {
        self.call("release", &token).await
    }

    async fn start(&self, req: StartReq) -> Result<()> {
        self.call("start", &req).await
    }

    async fn throttle(&self, req: ThrottleReq) -> Result<()> {
        self.call("throttle", &req).await
    }

    async fn checkpoint(&self, req: AttemptReq) -> Result<CheckpointId> {
        self.call("checkpoint", &req).await
    }

    async fn close(&self, req: AttemptReq) -> Result<Closed> {
        self.call("close", &req).await
    }
}
