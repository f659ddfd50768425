//! The key-value service over HTTP.
//!
//! | call | answer |
//! |---|---|
//! | `GET /v1/kv?key=K` | 200 with the value, or 404 |
//! | `GET /v1/kv?key=K&after=V&wait_ms=N` | 200 once the version is above V, or 204 after N ms |
//! | `GET /v1/list?prefix=P` | 200 with the entries in postcard, ordered by key |
//! | `PUT /v1/kv?key=K&expect=E` | 200, or 409 |
//! | `DELETE /v1/kv?key=K&expect=E` | 200, or 409 |
//!
//! `E` is `any`, `absent` or a version. Keys are in the query and not in the path, so that any
//! character survives the client's and the server's usual encoding.
//!
//! The header `x-version` names the version: of the value with 200, of the present value, or zero,
//! with 409. 503 says that the call had no effect; 413 that the value is too large. Anything else
//! says nothing about the effect, and neither does silence.

use crate::store::{Entry, Error, Expect, MAX_VALUE_BYTES, Result, Store};
use crate::transfer::{self, Limit};
use awc::error::{ConnectError, SendRequestError};
use awc::http::{Method, StatusCode};
use bytes::Bytes;
use serde::{Deserialize, Serialize};
use std::cell::RefCell;
use std::sync::Arc;
use std::time::Duration;

/// Header with a value's version.
pub const VERSION_HEADER: &str = "x-version";

/// Path of calls for one key.
pub const KV_PATH: &str = "/v1/kv";

/// Path of calls for all keys with a prefix.
pub const LIST_PATH: &str = "/v1/list";

/// Time for an answer to begin, and between two parts of it, unless set otherwise.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(2);

/// Largest answer to a list of keys.
const MAX_LIST_BYTES: usize = 64 * MAX_VALUE_BYTES;

thread_local! {
    /// A client's connections belong to the runtime that opened them, so that there is one client
    /// for each runtime, and one runtime at a time on each thread.
    static CLIENT: RefCell<Option<RuntimeClient>> = const { RefCell::new(None) };
}

struct RuntimeClient {
    runtime: tokio::runtime::Id,
    client: awc::Client,
}

/// An entry of a list, as sent.
#[derive(Debug, Serialize, Deserialize)]
pub struct ListedEntry {
    pub key: String,
    pub version: u64,
    pub value: Bytes,
}

/// Parameters of a call for one key.
#[derive(Debug, Default, Serialize, Deserialize)]
pub struct KeyQuery {
    pub key: String,
    pub after: Option<u64>,
    pub wait_ms: Option<u64>,
    pub expect: Option<String>,
}

/// Parameters of a call for all keys with a prefix.
#[derive(Debug, Serialize, Deserialize)]
pub struct ListQuery {
    pub prefix: String,
}

/// A client of the service.
#[derive(Clone, Debug)]
pub struct HttpStore {
    base_url: Arc<str>,
    timeout: Duration,
}

struct Answer {
    status: StatusCode,
    version: Option<u64>,
    body: Bytes,
}

/// A call without an answer.
enum Silence {
    /// Nothing was sent.
    BeforeSend(String),
    AfterSend(String),
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum Effect {
    None,
    Write,
}

impl HttpStore {
    /// A client of the service at `base_url`, such as `http://10.0.0.7:2379`.
    pub fn new(base_url: &str) -> Self {
        Self { base_url: Arc::from(base_url.trim_end_matches('/')), timeout: DEFAULT_TIMEOUT }
    }

    /// Bounds the time until an answer begins, connecting included, and between two parts of it; a watch may take
    /// its wait longer.
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
    ) -> std::result::Result<Answer, Silence> {
        let request = client()
            .request(method, format!("{}{path}", self.base_url))
            .query(query)
            .map_err(|e| Silence::BeforeSend(e.to_string()))?;
        let sent = tokio::time::timeout(timeout, request.send_body(body)).await;
        let Ok(answered) = sent else {
            return Err(Silence::AfterSend(format!("silent for {timeout:?}")));
        };
        let mut resp = answered.map_err(|e| silence(&e))?;
        let version = resp
            .headers()
            .get(VERSION_HEADER)
            .and_then(|value| value.to_str().ok())
            .and_then(|value| value.parse().ok());
        // An answer cut within its body must not pass for a whole one: the length in its
        // head is checked by the client, and the error ends up here.
        let size = transfer::content_length(resp.headers());
        let limit = Limit::Parts(self.timeout);
        let body = transfer::read(&mut resp, size, MAX_LIST_BYTES, limit).await;
        let body = body.map_err(|e| Silence::AfterSend(e.to_string()))?;
        Ok(Answer { status: resp.status(), version, body })
    }

    async fn read(&self, query: KeyQuery, timeout: Duration) -> Result<Option<Entry>> {
        let answer = self
            .send(Method::GET, KV_PATH, &query, Bytes::new(), timeout)
            .await
            .map_err(|silence| failed(&query.key, Effect::None, silence))?;
        let key = query.key;
        match (answer.status, answer.version) {
            (StatusCode::OK, Some(version)) => Ok(Some(Entry { key, value: answer.body, version })),
            (StatusCode::NOT_FOUND | StatusCode::NO_CONTENT, _) => Ok(None),
            _ => Err(refused(&key, Effect::None, &answer)),
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
        let answer = self
            .send(method, KV_PATH, &query, body, self.timeout)
            .await
            .map_err(|silence| failed(key, Effect::Write, silence))?;
        match (answer.status, answer.version) {
            (StatusCode::OK, Some(version)) => Ok(version),
            (StatusCode::CONFLICT, Some(current)) => {
                Err(Error::Conflict { key: key.to_owned(), current })
            }
            (StatusCode::PAYLOAD_TOO_LARGE, _) => {
                Err(Error::TooLarge { key: key.to_owned(), size })
            }
            _ => Err(refused(key, Effect::Write, &answer)),
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
        let answer = self
            .send(Method::GET, LIST_PATH, &query, Bytes::new(), self.timeout)
            .await
            .map_err(|silence| failed(prefix, Effect::None, silence))?;
        if answer.status != StatusCode::OK {
            return Err(refused(prefix, Effect::None, &answer));
        }
        let listed: Vec<ListedEntry> = postcard::from_bytes(&answer.body)
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

fn client() -> awc::Client {
    let runtime = tokio::runtime::Handle::current().id();
    CLIENT.with_borrow_mut(|slot| match slot {
        Some(held) if held.runtime == runtime => held.client.clone(),
        _ => {
            let client = awc::Client::builder().disable_timeout().disable_redirects().finish();
            *slot = Some(RuntimeClient { runtime, client: client.clone() });
            client
        }
    })
}

/// `Disconnected` also stands for a connection that closed after the request had left; only the
/// errors of setting a connection up prove that nothing was sent.
fn silence(error: &SendRequestError) -> Silence {
    let reason = error.to_string();
    match error {
        SendRequestError::Url(_) => Silence::BeforeSend(reason),
        SendRequestError::Connect(
            ConnectError::Resolver(_)
            | ConnectError::NoRecords
            | ConnectError::Timeout
            | ConnectError::Unresolved
            | ConnectError::Io(_),
        ) => Silence::BeforeSend(reason),
        _ => Silence::AfterSend(reason),
    }
}

fn failed(key: &str, effect: Effect, silence: Silence) -> Error {
    match (effect, silence) {
        (Effect::Write, Silence::AfterSend(reason)) => {
            Error::Unknown { key: key.to_owned(), reason }
        }
        (_, Silence::BeforeSend(reason) | Silence::AfterSend(reason)) => {
            Error::Unavailable { reason }
        }
    }
}

fn refused(key: &str, effect: Effect, answer: &Answer) -> Error {
    let reason = format!("status {}", answer.status.as_u16());
    if effect == Effect::None || answer.status == StatusCode::SERVICE_UNAVAILABLE {
        Error::Unavailable { reason }
    } else {
        Error::Unknown { key: key.to_owned(), reason }
    }
}
