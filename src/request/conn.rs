//! One connection to an endpoint.
//!
//! Each connection is an HTTP client of its own, so that it is known which connection a request
//! went over. After its first use the client is given an address where nothing listens: should its
//! connection be gone, the next request fails before a byte of it has left, rather than going
//! over a new connection that nobody asked for.

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

/// Nothing listens on port 0.
const NOWHERE: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

/// Path of health probes; they take no slot.
const HEALTH_PATH: &str = "/health";

/// Time for a probe's answer. An endpoint that computes still answers probes.
const PROBE_TIME: Duration = Duration::from_millis(500);

/// Far longer than any connection is kept: connections are aged by their owner.
const FOREVER: Duration = Duration::from_secs(86_400 * 365);

/// A connection, or one about to be opened.
pub(super) struct Conn {
    client: Client,
    addr: SocketAddr,
    stage: Stage,
    /// When the far end last showed that it is there.
    pub proved: Duration,
    pub opened: Duration,
}

/// Whether the connection has been opened.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Stage {
    Unopened,
    Opened,
}

/// Why a request got no answer's head.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum SendError {
    /// No byte of it left.
    NotSent,
    /// The connection failed after bytes may have left.
    Lost,
}

/// A request towards an endpoint.
#[derive(Clone, Debug)]
pub(super) struct Outgoing {
    pub method: Method,
    pub path: String,
    pub headers: Vec<(HeaderName, HeaderValue)>,
    pub body: Bytes,
}

/// What a probe brought back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Probed {
    pub word: Word,
    /// Whether the endpoint takes requests.
    pub open: bool,
}

/// What the endpoint says of the request that a probe named.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Word {
    Running,
    /// Answered, or never seen: nothing of it runs there.
    NotRunning,
    /// The endpoint doesn't say.
    Unsaid,
}

impl Conn {
    /// A connection to be opened by its first request.
    pub fn new(addr: SocketAddr, connect_time: Duration, now: Duration) -> Self {
        let connector = Connector::new()
            .timeout(connect_time)
            .conn_keep_alive(FOREVER)
            .conn_lifetime(FOREVER)
            .limit(1);
        // A redirect followed here would run the request a second time.
        let client = Client::builder()
            .connector(connector)
            .disable_timeout()
            .disable_redirects()
            .no_default_headers()
            .finish();
        Self { client, addr, stage: Stage::Unopened, proved: now, opened: now }
    }

    /// Whether a request went over it before.
    pub fn stage(&self) -> Stage {
        self.stage
    }

    /// Sends a request and waits for the answer's head.
    pub async fn send(&mut self, out: Outgoing) -> Result<ClientResponse, SendError> {
        let uri = format!("http://{}{}", self.addr, out.path);
        let dial = match self.stage {
            Stage::Unopened => self.addr,
            Stage::Opened => NOWHERE,
        };
        self.stage = Stage::Opened;
        let mut req = self.client.request(out.method, uri).address(dial);
        for header in out.headers {
            req = req.append_header(header);
        }
        req.send_body(out.body).await.map_err(|e| SendError::from(&e))
    }

    /// Asks for the endpoint's health over this very connection, and after a request.
    pub async fn probe(&mut self, id: Option<&RequestId>) -> Result<Probed, SendError> {
        let named = id.and_then(|id| HeaderValue::from_str(id.as_str()).ok());
        let out = Outgoing {
            method: Method::GET,
            path: HEALTH_PATH.to_owned(),
            headers: named.into_iter().map(|value| (headers::REQUEST_ID, value)).collect(),
            body: Bytes::new(),
        };
        timeout(PROBE_TIME, self.exchange_probe(out)).await.unwrap_or(Err(SendError::Lost))
    }

    async fn exchange_probe(&mut self, out: Outgoing) -> Result<Probed, SendError> {
        let mut resp = self.send(out).await?;
        let state = resp.headers().get(headers::REQUEST_STATE).map(HeaderValue::as_bytes);
        let word = match state {
            Some(b"running") => Word::Running,
            Some(b"answered" | b"unseen") => Word::NotRunning,
            _ => Word::Unsaid,
        };
        let open = resp.status() == StatusCode::OK;
        // The connection can be used again only once the answer was read to its end.
        while let Some(chunk) = resp.next().await {
            chunk.map_err(|_| SendError::Lost)?;
        }
        Ok(Probed { word, open })
    }
}

impl From<&SendRequestError> for SendError {
    fn from(e: &SendRequestError) -> Self {
        match e {
            // The connection was closed instead of an answer: the request may have arrived.
            SendRequestError::Connect(ConnectError::Disconnected) => Self::Lost,
            SendRequestError::Connect(_) | SendRequestError::Url(_) => Self::NotSent,
            _ => Self::Lost,
        }
    }
}
