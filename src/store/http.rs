//! HTTP client of the key-value service.
//!
//! | request | response |
//! |---|---|
//! | `GET /v1/kv?key=K` | 200 with the value, or 404 |
//! | `GET /v1/kv?key=K&after=V&wait_ms=N` | 200 once the version is above V, or 204 after N ms |
//! | `GET /v1/list?prefix=P` | 200 with the entries in postcard, ordered by key |
//! | `PUT /v1/kv?key=K&expect=E` | 200, or 409 |
//! | `DELETE /v1/kv?key=K&expect=E` | 200, or 409 |
//!
//! `E` is `any`, `absent` or a version. Keys are in the query instead of the path, so that any
//! character survives the standard encoding of clients and servers.
//!
//! The header `x-version` contains the value's version with status 200. With 409, it contains the
//! current version, or zero if there is no value. 503 means that the call had no effect, and 413
//! that the value is too large. After any other status, or without a response, it is unknown
//! whether a write took effect.

use crate::connections::Connections;
use crate::store::{Entry, Error, Expect, MAX_VALUE_BYTES, Result, Store};
use crate::transfer::{self, Limit};
use awc::error::{ConnectError, SendRequestError};
use awc::http::{Method, StatusCode};
use bytes::Bytes;
use serde::{Deserialize, Serialize};
use std::cell::RefCell;
use std::sync::Arc;
use std::time::Duration;

/// Response header with a value's version.
pub const VERSION_HEADER: &str = "x-version";

/// Path of requests for one key.
pub const KV_PATH: &str = "/v1/kv";

/// Path of requests for all keys with a prefix.
pub const LIST_PATH: &str = "/v1/list";

/// Default timeout for the start of a response and for each gap between its parts.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(2);

/// Maximum size of a response, in bytes; a list can contain many values.
const MAX_LIST_BYTES: usize = 64 * MAX_VALUE_BYTES;

thread_local! {
    /// The connections of the thread's current runtime. They belong to the runtime that opened
    /// them, so they are never used with another runtime.
    static CONNECTIONS: RefCell<Option<RuntimeConnections>> = const { RefCell::new(None) };
}

struct RuntimeConnections {
    runtime: tokio::runtime::Id,
    connections: Connections,
}

/// An entry of a list response.
#[derive(Debug, Serialize, Deserialize)]
pub struct ListedEntry {
    pub key: String,
    pub version: u64,
    pub value: Bytes,
}

/// Query parameters of a request for one key.
#[derive(Debug, Default, Serialize, Deserialize)]
pub struct KeyQuery {
    pub key: String,
    pub after: Option<u64>,
    pub wait_ms: Option<u64>,
    pub expect: Option<String>,
}

/// Query parameters of a request for all keys with a prefix.
#[derive(Debug, Serialize, Deserialize)]
pub struct ListQuery {
    pub prefix: String,
}

/// A client of the key-value service.
#[derive(Clone, Debug)]
pub struct HttpStore {
    base_url: Arc<str>,
    timeout: Duration,
}

struct Response {
    status: StatusCode,
    version: Option<u64>,
    body: Bytes,
}

/// A request without a complete response.
enum NoResponse {
    /// The request was not sent.
    BeforeSend(String),
    AfterSend(String),
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum Operation {
    Read,
    Write,
}

impl HttpStore {
    /// Creates a client of the service at `base_url`, such as `http://10.0.0.7:2379`.
    pub fn new(base_url: &str) -> Self {
        Self { base_url: Arc::from(base_url.trim_end_matches('/')), timeout: DEFAULT_TIMEOUT }
    }

    /// Sets the timeout for the start of a response, including connecting, and for each gap between
    /// its parts. A watch may take longer by its wait.
    pub fn with_timeout(self, timeout: Duration) -> Self {
        Self { timeout, ..self }
    }

    async fn send(
        &self,
        method: Method,
        path: &str,
        query: &impl Serialize,
        body: Bytes,
        timeout: Duration,
    ) -> std::result::Result<Response, NoResponse> {
        let connections = connections().server(&self.base_url);
        let request = connections
            .client()
            .request(method, format!("{}{path}", self.base_url))
            .query(query)
            .map_err(|e| NoResponse::BeforeSend(e.to_string()))?;
        let sent = tokio::time::timeout(timeout, request.send_body(body)).await;
        let Ok(response) = sent else {
            connections.discard();
            return Err(NoResponse::AfterSend(format!("silent for {timeout:?}")));
        };
        let mut resp = response.map_err(|e| classify_send_error(&e))?;
        let version = resp
            .headers()
            .get(VERSION_HEADER)
            .and_then(|value| value.to_str().ok())
            .and_then(|value| value.parse().ok());
        // A truncated body must not be taken for a complete one. The client checks its length
        // against the content length, and a mismatch is reported here.
        let size = transfer::content_length(resp.headers());
        let limit = Limit::Parts(self.timeout);
        let body = transfer::read(&mut resp, size, MAX_LIST_BYTES, limit).await;
        let body = body.map_err(|e| {
            if matches!(e, transfer::Error::Late { .. }) {
                connections.discard();
            }
            NoResponse::AfterSend(e.to_string())
        })?;
        Ok(Response { status: resp.status(), version, body })
    }

    async fn read(&self, query: KeyQuery, timeout: Duration) -> Result<Option<Entry>> {
        let response = self
            .send(Method::GET, KV_PATH, &query, Bytes::new(), timeout)
            .await
            .map_err(|error| no_response_error(&query.key, Operation::Read, error))?;
        let key = query.key;
        match (response.status, response.version) {
            (StatusCode::OK, Some(version)) => {
                Ok(Some(Entry { key, value: response.body, version }))
            }
            (StatusCode::NOT_FOUND | StatusCode::NO_CONTENT, _) => Ok(None),
            _ => Err(status_error(&key, Operation::Read, &response)),
        }
    }

    async fn write(&self, method: Method, key: &str, body: Bytes, expect: Expect) -> Result<u64> {
        let expect = match expect {
            Expect::Any => "any".to_owned(),
            Expect::Absent => "absent".to_owned(),
            Expect::Version(version) => version.to_string(),
        };
        let query = KeyQuery { key: key.to_owned(), expect: Some(expect), ..KeyQuery::default() };
        let size = body.len();
        let response = self
            .send(method, KV_PATH, &query, body, self.timeout)
            .await
            .map_err(|error| no_response_error(key, Operation::Write, error))?;
        match (response.status, response.version) {
            (StatusCode::OK, Some(version)) => Ok(version),
            (StatusCode::CONFLICT, Some(current)) => {
                Err(Error::Conflict { key: key.to_owned(), current })
            }
            (StatusCode::PAYLOAD_TOO_LARGE, _) => {
                Err(Error::TooLarge { key: key.to_owned(), size })
            }
            _ => Err(status_error(key, Operation::Write, &response)),
        }
    }
}

impl Store for HttpStore {
    async fn get(&self, key: &str) -> Result<Option<Entry>> {
        let query = KeyQuery { key: key.to_owned(), ..KeyQuery::default() };
        self.read(query, self.timeout).await
    }

    async fn list(&self, prefix: &str) -> Result<Vec<Entry>> {
        let query = ListQuery { prefix: prefix.to_owned() };
        let response = self
            .send(Method::GET, LIST_PATH, &query, Bytes::new(), self.timeout)
            .await
            .map_err(|error| no_response_error(prefix, Operation::Read, error))?;
        if response.status != StatusCode::OK {
            return Err(status_error(prefix, Operation::Read, &response));
        }
        let listed: Vec<ListedEntry> = postcard::from_bytes(&response.body)
            .map_err(|e| Error::Unavailable { reason: format!("unreadable list: {e}") })?;
        Ok(listed.into_iter().map(Entry::from).collect())
    }

    async fn put(&self, key: &str, value: Bytes, expect: Expect) -> Result<u64> {
        if value.len() > MAX_VALUE_BYTES {
            return Err(Error::TooLarge { key: key.to_owned(), size: value.len() });
        }
        self.write(Method::PUT, key, value, expect).await
    }

    async fn delete(&self, key: &str, expect: Expect) -> Result<()> {
        self.write(Method::DELETE, key, Bytes::new(), expect).await.map(|_| ())
    }

    async fn watch(&self, key: &str, after: u64, wait: Duration) -> Result<Option<Entry>> {
        let query = KeyQuery {
            key: key.to_owned(),
            after: Some(after),
            wait_ms: Some(u64::try_from(wait.as_millis()).unwrap_or(u64::MAX)),
            expect: None,
        };
        self.read(query, self.timeout + wait).await
    }
}

impl From<ListedEntry> for Entry {
    fn from(listed: ListedEntry) -> Self {
        Self { key: listed.key, value: listed.value, version: listed.version }
    }
}

impl From<Entry> for ListedEntry {
    fn from(entry: Entry) -> Self {
        Self { key: entry.key, version: entry.version, value: entry.value }
    }
}

fn connections() -> Connections {
    let runtime = tokio::runtime::Handle::current().id();
    CONNECTIONS.with_borrow_mut(|slot| match slot {
        Some(cached) if cached.runtime == runtime => cached.connections.clone(),
        _ => {
            let connections = Connections::new(new_client);
            *slot = Some(RuntimeConnections { runtime, connections: connections.clone() });
            connections
        }
    })
}

fn new_client() -> awc::Client {
    awc::Client::builder().disable_timeout().disable_redirects().finish()
}

/// Determines whether the request may have been sent. `Disconnected` also covers connections that
/// closed after the request was sent, so only connection setup errors prove that it was not.
fn classify_send_error(error: &SendRequestError) -> NoResponse {
    let reason = error.to_string();
    match error {
        SendRequestError::Url(_) => NoResponse::BeforeSend(reason),
        SendRequestError::Connect(
            ConnectError::Resolver(_)
            | ConnectError::NoRecords
            | ConnectError::Timeout
            | ConnectError::Unresolved
            | ConnectError::Io(_),
        ) => NoResponse::BeforeSend(reason),
        _ => NoResponse::AfterSend(reason),
    }
}

fn no_response_error(key: &str, operation: Operation, error: NoResponse) -> Error {
    match (operation, error) {
        (Operation::Write, NoResponse::AfterSend(reason)) => {
            Error::Unknown { key: key.to_owned(), reason }
        }
        (_, NoResponse::BeforeSend(reason) | NoResponse::AfterSend(reason)) => {
            Error::Unavailable { reason }
        }
    }
}

fn status_error(key: &str, operation: Operation, response: &Response) -> Error {
    let reason = format!("status {}", response.status.as_u16());
    if operation == Operation::Read || response.status == StatusCode::SERVICE_UNAVAILABLE {
        Error::Unavailable { reason }
    } else {
        Error::Unknown { key: key.to_owned(), reason }
    }
}
