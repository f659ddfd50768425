//! A single HTTP connection to an endpoint.
//!
//! Each connection has its own HTTP client, so that it is known which connection carried a
//! request. After the first request the client is given an address that can't be connected to: if
//! its connection is gone, the next request fails before any byte is sent, instead of silently
//! opening a new connection.

use crate::ids::RequestId;
use crate::request::headers;
use actix_web::http::header::{HeaderName, HeaderValue};
use actix_web::http::{Method, StatusCode};
use actix_web::rt::time::timeout;
use awc::error::{ConnectError, SendRequestError};
use awc::{Client, ClientResponse, Connector};
use bytes::Bytes;
use futures::StreamExt;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::time::Duration;

/// No server can listen on port 0, so connecting fails at once.
const UNCONNECTABLE_ADDR: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

/// Path of health probes, which take no slot.
const HEALTH_PATH: &str = "/health";

/// Timeout of a probe. An endpoint that is busy with requests still answers probes.
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);

/// Disables the age limits of the client library; [`Endpoint`](super::endpoint::Endpoint) closes
/// old connections itself.
const UNLIMITED: Duration = Duration::from_secs(86_400 * 365);

/// A connection that is open, or that its first request opens.
pub(super) struct Conn {
    client: Client,
    addr: SocketAddr,
    stage: Stage,
    /// Time of the last complete answer from the endpoint.
    pub last_active: Duration,
    pub opened: Duration,
}

/// Whether a request has been sent on the connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Stage {
    Unopened,
    Opened,
}

/// Why no response head was received.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum SendError {
    /// No byte of the request was sent.
    NotSent,
    /// The connection failed after bytes may have been sent.
    Lost,
}

/// A request to send to an endpoint or a peer.
#[derive(Clone, Debug)]
pub(super) struct Outgoing {
    pub method: Method,
    pub path: String,
    pub headers: Vec<(HeaderName, HeaderValue)>,
    pub body: Bytes,
}

/// Answer to a health probe.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct ProbeReply {
    pub state: RequestState,
    /// Whether the endpoint accepts requests.
    pub accepting: bool,
}

/// State of the request named in a probe, as the endpoint reports it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum RequestState {
    Running,
    /// Answered or never received, so that it is not running.
    NotRunning,
    /// The endpoint does not report request states.
    Unreported,
}

impl Conn {
    /// Creates a connection that the first request opens.
    pub fn new(addr: SocketAddr, connect_time: Duration, now: Duration) -> Self {
        let connector = Connector::new()
            .timeout(connect_time)
            .conn_keep_alive(UNLIMITED)
            .conn_lifetime(UNLIMITED)
            .limit(1);
        // A redirect followed here would run the request a second time.
        let client = Client::builder()
            .connector(connector)
            .disable_timeout()
            .disable_redirects()
            .no_default_headers()
            .finish();
        Self { client, addr, stage: Stage::Unopened, last_active: now, opened: now }
    }

    /// Whether a request has been sent on the connection.
    pub fn stage(&self) -> Stage {
        self.stage
    }

    /// Sends a request and waits for the response head.
    pub async fn send(&mut self, out: Outgoing) -> Result<ClientResponse, SendError> {
        let uri = format!("http://{}{}", self.addr, out.path);
        let target = match self.stage {
            Stage::Unopened => self.addr,
            Stage::Opened => UNCONNECTABLE_ADDR,
        };
        self.stage = Stage::Opened;
        let mut req = self.client.request(out.method, uri).address(target);
        for header in out.headers {
            req = req.append_header(header);
        }
        req.send_body(out.body).await.map_err(|e| SendError::from(&e))
    }

    /// Probes the endpoint over this connection, asking for the state of request `id` if given.
    pub async fn probe(&mut self, id: Option<&RequestId>) -> Result<ProbeReply, SendError> {
        let named = id.and_then(|id| HeaderValue::from_str(id.as_str()).ok());
        let out = Outgoing {
            method: Method::GET,
            path: HEALTH_PATH.to_owned(),
            headers: named.into_iter().map(|value| (headers::REQUEST_ID, value)).collect(),
            body: Bytes::new(),
        };
        timeout(PROBE_TIMEOUT, self.exchange_probe(out)).await.unwrap_or(Err(SendError::Lost))
    }

    async fn exchange_probe(&mut self, out: Outgoing) -> Result<ProbeReply, SendError> {
        let mut resp = self.send(out).await?;
        let header = resp.headers().get(headers::REQUEST_STATE).map(HeaderValue::as_bytes);
        let state = match header {
            Some(b"running") => RequestState::Running,
            Some(b"answered" | b"unseen") => RequestState::NotRunning,
            _ => RequestState::Unreported,
        };
        let accepting = resp.status() == StatusCode::OK;
        // The connection can be reused only after the whole answer has been read.
        while let Some(chunk) = resp.next().await {
            chunk.map_err(|_| SendError::Lost)?;
        }
        Ok(ProbeReply { state, accepting })
    }
}

impl From<&SendRequestError> for SendError {
    fn from(e: &SendRequestError) -> Self {
        match e {
            // The connection was closed before any answer; the request may have been received.
            SendRequestError::Connect(ConnectError::Disconnected) => Self::Lost,
            SendRequestError::Connect(_) | SendRequestError::Url(_) => Self::NotSent,
            _ => Self::Lost,
        }
    }
}
