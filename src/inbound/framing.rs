//! Finds where a message on a connection ends, without decoding it.

use std::io;

/// Result of following a message.
pub type Result<T> = std::result::Result<T, io::Error>;

/// Follows the messages of a connection.
pub trait Framing {
    /// Moves over bytes of the current message, and returns how many belong to it. Returns 0 for any
    /// bytes once the message is complete.
    fn advance(&mut self, bytes: &[u8]) -> Result<usize>;

    /// Whether the message is complete, and the next one has to wait.
    fn is_complete(&self) -> bool;

    /// Whether no byte of a message has passed since the one before.
    fn is_between(&self) -> bool;

    /// Number of bytes of the incomplete message that its reader keeps and doesn't account for.
    fn held_bytes(&self) -> usize;

    /// Begins the next message.
    fn restart(&mut self);

    /// What a client is told whose message is invalid, before its connection is closed.
    fn refusal(&self) -> &'static str;
}

/// HTTP/1.1 requests.
///
/// Reads only what decides where a request ends: empty lines, `Content-Length` and the sizes of
/// chunks. The server that decodes the request checks everything else.
#[derive(Debug)]
pub struct Requests {
    part: Part,
    /// Start of the current line; the rest of a longer one is skipped.
    line: Vec<u8>,
    line_len: usize,
    head_len: usize,
    max_head: usize,
    body: Body,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Part {
    /// Before the request line; empty lines are skipped.
    Start,
    Headers,
    /// Data of the body or of a chunk, with the number of bytes that are left.
    Data(u64),
    ChunkSize,
    Trailers,
    Complete,
}

/// How the body ends, as the headers say.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Body {
    Sized(u64),
    Chunked,
}

/// Longest part of a line that is looked at.
const MAX_LINE_START: usize = 64;

/// Longest line between chunks, and longest sequence of trailers, in bytes.
const MAX_CHUNK_LINE: usize = 4096;

const HEAD_TOO_LARGE: &str = "HTTP/1.1 431 Request Header Fields Too Large\r\n\
    Connection: close\r\nContent-Length: 0\r\n\r\n";
const BAD_REQUEST: &str =
    "HTTP/1.1 400 Bad Request\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";

impl Requests {
    /// Begins with the first request of a connection. `max_head` is the longest head in bytes.
    pub fn new(max_head: usize) -> Self {
        let body = Body::Sized(0);
        Self { part: Part::Start, line: Vec::new(), line_len: 0, head_len: 0, max_head, body }
    }

    fn data_left(&mut self, left: u64) {
        self.part = match (left, self.body) {
            (0, Body::Sized(_)) => Part::Complete,
            // Each chunk is followed by the end of its line, which is read as an empty size line.
            (0, Body::Chunked) => Part::ChunkSize,
            (left, _) => Part::Data(left),
        };
    }

    /// Adds a byte to the current line; true at its end.
    fn ends_line(&mut self, byte: u8) -> Result<bool> {
        if byte == b'\n' {
            return Ok(true);
        }
        self.line_len += 1;
        if self.line.len() < MAX_LINE_START {
            self.line.push(byte);
        }
        let in_body = matches!(self.part, Part::ChunkSize | Part::Trailers);
        if in_body && self.line_len > MAX_CHUNK_LINE {
            return Err(invalid("a line between chunks is too long"));
        }
        Ok(false)
    }

    fn end_line(&mut self) -> Result<()> {
        let line = self.line.trim_ascii();
        match self.part {
            Part::Start if line.is_empty() => {}
            Part::Start => self.part = Part::Headers,
            Part::Headers if line.is_empty() => match self.body {
                Body::Sized(bytes) => self.data_left(bytes),
                Body::Chunked => self.part = Part::ChunkSize,
            },
            // Chunks go before a length.
            Part::Headers if self.body == Body::Chunked => {}
            Part::Headers => {
                let is_cut = self.line_len > MAX_LINE_START;
                match header_body(line)? {
                    Some(_) if is_cut => return Err(invalid("a header of the body is too long")),
                    Some(body) => self.body = body,
                    None => {}
                }
            }
            Part::ChunkSize if line.is_empty() => {}
            Part::ChunkSize => match chunk_size(line)? {
                0 => self.part = Part::Trailers,
                size => self.part = Part::Data(size),
            },
            Part::Trailers if line.is_empty() => self.part = Part::Complete,
            Part::Trailers | Part::Data(_) | Part::Complete => {}
        }
        self.line.clear();
        // Trailers are limited in sum.
        if self.part != Part::Trailers {
            self.line_len = 0;
        }
        Ok(())
    }
}

impl Framing for Requests {
    fn advance(&mut self, bytes: &[u8]) -> Result<usize> {
        let mut passed = 0;
        while passed < bytes.len() {
            match self.part {
                Part::Complete => break,
                Part::Data(left) => {
                    let rest = bytes.len() - passed;
                    let now = usize::try_from(left).map_or(rest, |left| left.min(rest));
                    passed += now;
                    self.data_left(left - now as u64);
                }
                Part::Start | Part::Headers | Part::ChunkSize | Part::Trailers => {
                    if matches!(self.part, Part::Start | Part::Headers) {
                        self.head_len += 1;
                        if self.head_len > self.max_head {
                            return Err(invalid("the head is too long"));
                        }
                    }
                    if self.ends_line(bytes[passed])? {
                        self.end_line()?;
                    }
                    passed += 1;
                }
            }
        }
        Ok(passed)
    }

    fn is_complete(&self) -> bool {
        self.part == Part::Complete
    }

    fn is_between(&self) -> bool {
        self.head_len == 0
    }

    fn held_bytes(&self) -> usize {
        0
    }

    fn restart(&mut self) {
        *self = Self::new(self.max_head);
    }

    fn refusal(&self) -> &'static str {
        if self.head_len > self.max_head { HEAD_TOO_LARGE } else { BAD_REQUEST }
    }
}

/// What a header says about the body; `None` if it is another header.
fn header_body(line: &[u8]) -> Result<Option<Body>> {
    let Some(colon) = line.iter().position(|byte| *byte == b':') else { return Ok(None) };
    let (name, value) = (line[..colon].trim_ascii(), line[colon + 1..].trim_ascii());
    if name.eq_ignore_ascii_case(b"content-length") {
        let text = str::from_utf8(value).map_err(|_| invalid("a length that isn't a number"))?;
        let bytes = text.parse().map_err(|_| invalid("a length that isn't a number"))?;
        return Ok(Some(Body::Sized(bytes)));
    }
    // The server refuses any other encoding.
    Ok(name.eq_ignore_ascii_case(b"transfer-encoding").then_some(Body::Chunked))
}

fn chunk_size(line: &[u8]) -> Result<u64> {
    let digits = line.split(|byte| matches!(byte, b';' | b' ' | b'\t')).next().unwrap_or_default();
    let text = str::from_utf8(digits).map_err(|_| invalid("a chunk without a size"))?;
    u64::from_str_radix(text, 16).map_err(|_| invalid("a chunk without a size"))
}

fn invalid(reason: &str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, reason)
}

/// Messages with their length in four bytes before them, as other daemons send them. The next one
/// follows at once.
#[derive(Debug, Default)]
pub struct Frames {
    header: [u8; 4],
    header_len: usize,
    /// Bytes of the message so far.
    len: usize,
}

impl Frames {
    fn message_len(&self) -> usize {
        u32::from_be_bytes(self.header) as usize
    }
}

impl Framing for Frames {
    fn advance(&mut self, bytes: &[u8]) -> Result<usize> {
        let in_header = bytes.len().min(self.header.len() - self.header_len);
        let (header, message) = bytes.split_at(in_header);
        self.header[self.header_len..][..in_header].copy_from_slice(header);
        self.header_len += in_header;
        if self.header_len < self.header.len() {
            return Ok(in_header);
        }
        let in_message = message.len().min(self.message_len() - self.len);
        self.len += in_message;
        if self.len == self.message_len() {
            *self = Self::default();
        }
        Ok(in_header + in_message)
    }

    fn is_complete(&self) -> bool {
        false
    }

    fn is_between(&self) -> bool {
        self.header_len == 0
    }

    fn held_bytes(&self) -> usize {
        self.len
    }

    fn restart(&mut self) {}

    fn refusal(&self) -> &'static str {
        ""
    }
}
