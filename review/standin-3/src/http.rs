//! A small HTTP/1.1 server and client over the standard library.

use serde_json::Value;
use std::collections::HashMap;
use std::io::{self, BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// A request as received.
pub struct Request {
    pub method: String,
    pub path: String,
    pub query: HashMap<String, String>,
    pub headers: HashMap<String, String>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn json(&self) -> Value {
        serde_json::from_slice(&self.body).unwrap_or(Value::Null)
    }

    pub fn number(&self, name: &str) -> u64 {
        self.query.get(name).and_then(|text| text.parse().ok()).unwrap_or(0)
    }
}

/// What a handler answers; `None` closes the connection without an answer.
pub type Answer = Option<(u16, String)>;

/// Serves a bound listener until the process ends, each connection on a thread of its own.
pub fn serve(listener: TcpListener, handle: impl Fn(&Request) -> Answer + Send + Sync + 'static) {
    let handle = Arc::new(handle);
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handle = handle.clone();
            std::thread::spawn(move || {
                let _ = serve_connection(stream, &*handle);
            });
        }
    });
}

fn serve_connection(stream: TcpStream, handle: &dyn Fn(&Request) -> Answer) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut out = stream.try_clone()?;
    let mut input = BufReader::new(stream);
    while let Some(request) = read_request(&mut input)? {
        let Some((status, body)) = handle(&request) else { return Ok(()) };
        let head = format!(
            "HTTP/1.1 {status} {}\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
            reason(status),
            body.len()
        );
        out.write_all((head + &body).as_bytes())?;
    }
    Ok(())
}

fn reason(status: u16) -> &'static str {
    match status {
        200 => "OK",
        400 => "Bad Request",
        404 => "Not Found",
        409 => "Conflict",
        410 => "Gone",
        412 => "Precondition Failed",
        421 => "Misdirected Request",
        429 => "Too Many Requests",
        _ => "Service Unavailable",
    }
}

fn read_head(input: &mut impl BufRead) -> io::Result<Option<(String, HashMap<String, String>)>> {
    let mut first = String::new();
    if input.read_line(&mut first)? == 0 {
        return Ok(None);
    }
    let mut headers = HashMap::new();
    loop {
        let mut line = String::new();
        if input.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Ok(Some((first.trim_end().to_owned(), headers)));
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.insert(name.trim().to_lowercase(), value.trim().to_owned());
        }
    }
}

fn read_body(input: &mut impl BufRead, headers: &HashMap<String, String>) -> io::Result<Vec<u8>> {
    if headers.get("transfer-encoding").is_some_and(|value| value.contains("chunked")) {
        let mut body = Vec::new();
        loop {
            let mut line = String::new();
            input.read_line(&mut line)?;
            let size = usize::from_str_radix(line.trim(), 16).unwrap_or(0);
            let mut chunk = vec![0; size + 2];
            input.read_exact(&mut chunk)?;
            if size == 0 {
                return Ok(body);
            }
            body.extend_from_slice(&chunk[..size]);
        }
    }
    let length = headers.get("content-length").and_then(|text| text.parse().ok()).unwrap_or(0);
    let mut body = vec![0; length];
    input.read_exact(&mut body)?;
    Ok(body)
}

fn read_request(input: &mut impl BufRead) -> io::Result<Option<Request>> {
    let Some((first, headers)) = read_head(input)? else { return Ok(None) };
    let body = read_body(input, &headers)?;
    let mut words = first.split(' ');
    let method = words.next().unwrap_or_default().to_owned();
    let target = words.next().unwrap_or_default();
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    let query = query.split('&').filter_map(|pair| pair.split_once('='));
    let query = query.map(|(name, value)| (decode(name), decode(value))).collect();
    Ok(Some(Request { method, path: path.to_owned(), query, headers, body }))
}

fn decode(text: &str) -> String {
    let (mut out, bytes) = (Vec::new(), text.as_bytes());
    let mut at = 0;
    while at < bytes.len() {
        let hex = (bytes[at] == b'%').then(|| text.get(at + 1..at + 3)).flatten();
        match hex.and_then(|hex| u8::from_str_radix(hex, 16).ok()) {
            Some(byte) => {
                out.push(byte);
                at += 3;
            }
            None => {
                out.push(if bytes[at] == b'+' { b' ' } else { bytes[at] });
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

/// A call over a connection of its own; the error says why there is no whole answer.
pub fn call(
    addr: SocketAddr,
    method: &str,
    path: &str,
    host: &str,
    body: &str,
    timeout: Duration,
) -> Result<(u16, String), String> {
    let deadline = Instant::now() + timeout;
    let text = |e: io::Error| e.to_string();
    let stream = TcpStream::connect_timeout(&addr, timeout).map_err(text)?;
    let left = deadline.saturating_duration_since(Instant::now()).max(Duration::from_millis(1));
    stream.set_read_timeout(Some(left)).map_err(text)?;
    stream.set_nodelay(true).map_err(text)?;
    let head = format!(
        "{method} {path} HTTP/1.1\r\nHost: {host}\r\nContent-Type: application/json\r\n\
         Waxwingstall-Deadline-Ms: {}\r\nContent-Length: {}\r\nConnection: close\r\n\r\n",
        timeout.as_millis(),
        body.len()
    );
    (&stream).write_all((head + body).as_bytes()).map_err(text)?;
    let mut input = BufReader::new(stream);
    let (first, headers) =
        read_head(&mut input).map_err(text)?.ok_or("closed without an answer")?;
    let body = read_body(&mut input, &headers).map_err(text)?;
    let status = first.split(' ').nth(1).and_then(|text| text.parse().ok()).unwrap_or(0);
    Ok((status, String::from_utf8_lossy(&body).into_owned()))
}
