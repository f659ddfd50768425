//! Just enough HTTP/1.1 to read requests and to write answers that may be wrong.

use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Longest head that is read.
const LONGEST_HEAD: usize = 64 << 10;

/// A request as read from a connection.
#[derive(Clone, Debug, Default)]
pub(super) struct Req {
    pub path: String,
    pub id: Option<String>,
    pub body: Vec<u8>,
    query: String,
}

impl Req {
    /// A number in the query.
    pub fn number(&self, key: &str) -> Option<u64> {
        let mut pairs = self.query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.find(|(name, _)| *name == key).and_then(|(_, value)| value.parse().ok())
    }

    /// Service time that the query asks for.
    pub fn service_time(&self) -> Option<Duration> {
        self.number("ms").map(Duration::from_millis)
    }
}

/// Reads one request; none when the connection ended.
pub(super) async fn read_request(stream: &mut TcpStream, buf: &mut Vec<u8>) -> Option<Req> {
    let head_len = loop {
        if let Some(at) = buf.windows(4).position(|bytes| bytes == b"\r\n\r\n") {
            break at + 4;
        }
        if buf.len() > LONGEST_HEAD || stream.read_buf(buf).await.ok()? == 0 {
            return None;
        }
    };
    let head = String::from_utf8_lossy(&buf[..head_len]).into_owned();
    buf.drain(..head_len);
    let mut lines = head.lines();
    let target = lines.next()?.split(' ').nth(1)?.to_owned();
    let (path, query) = target.split_once('?').unwrap_or((&target, ""));
    let mut req = Req { path: path.to_owned(), query: query.to_owned(), ..Req::default() };
    let mut length = 0;
    for (name, value) in lines.filter_map(|line| line.split_once(':')) {
        match name.to_ascii_lowercase().as_str() {
            "waxwing-request-id" => req.id = Some(value.trim().to_owned()),
            "content-length" => length = value.trim().parse().ok()?,
            _ => {}
        }
    }
    while buf.len() < length {
        if stream.read_buf(buf).await.ok()? == 0 {
            return None;
        }
    }
    req.body = buf.drain(..length).collect();
    Some(req)
}

/// How an answer's end is marked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Framing {
    Length,
    Chunked,
    UntilClose,
}

/// An answer to write.
#[derive(Clone, Debug)]
pub(super) struct Resp {
    pub status: u16,
    pub id: Option<String>,
    pub extra: Vec<(&'static str, String)>,
    pub body: Vec<u8>,
    pub framing: Framing,
}

impl Resp {
    /// A short answer without an id.
    pub fn plain(status: u16, body: &str) -> Self {
        Self {
            status,
            id: None,
            extra: Vec::new(),
            body: body.as_bytes().to_vec(),
            framing: Framing::Length,
        }
    }

    /// The head as bytes.
    pub fn head(&self) -> Vec<u8> {
        let mut head = format!("HTTP/1.1 {} X\r\n", self.status);
        if let Some(id) = &self.id {
            head.push_str(&format!("waxwing-request-id: {id}\r\n"));
        }
        for (name, value) in &self.extra {
            head.push_str(&format!("{name}: {value}\r\n"));
        }
        match self.framing {
            Framing::Length => head.push_str(&format!("content-length: {}\r\n", self.body.len())),
            Framing::Chunked => head.push_str("transfer-encoding: chunked\r\n"),
            Framing::UntilClose => head.push_str("connection: close\r\n"),
        }
        head.push_str("\r\n");
        head.into_bytes()
    }

    /// The first `share` bytes of the body, framed, without an end.
    pub fn part(&self, from: usize, to: usize) -> Vec<u8> {
        let bytes = &self.body[from..to];
        if self.framing != Framing::Chunked || bytes.is_empty() {
            return bytes.to_vec();
        }
        let mut framed = format!("{:x}\r\n", bytes.len()).into_bytes();
        framed.extend_from_slice(bytes);
        framed.extend_from_slice(b"\r\n");
        framed
    }

    /// What marks the end of the body.
    pub fn end(&self) -> &'static [u8] {
        match self.framing {
            Framing::Chunked => b"0\r\n\r\n",
            Framing::Length | Framing::UntilClose => b"",
        }
    }

    /// The whole answer as bytes.
    pub fn whole(&self) -> Vec<u8> {
        let mut bytes = self.head();
        bytes.extend(self.part(0, self.body.len()));
        bytes.extend_from_slice(self.end());
        bytes
    }
}

/// Writes everything; none when the connection ended.
pub(super) async fn write(stream: &mut TcpStream, bytes: &[u8]) -> Option<()> {
    stream.write_all(bytes).await.ok()?;
    stream.flush().await.ok()
}
