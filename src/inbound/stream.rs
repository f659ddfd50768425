//! A connection that lets one message at a time through.

use super::framing::Framing;
use super::limits::SMALL_MESSAGE_BYTES;
use super::table::{Conn, Stage};
use crate::memory::{MemoryBudget, Reservation};
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// Bytes that are received at once, and passed on before the reader has a turn to process them.
const READ_SIZE: usize = 4096;

/// A connection of a [`Table`](super::Table).
///
/// Bytes after the current message stay unread, except for a few, until it is answered and the
/// answer has been sent.
pub struct Stream<T, F> {
    io: T,
    framing: F,
    conn: Rc<Conn>,
    /// Bytes that the reader keeps.
    held: Reservation,
    /// Received bytes that aren't passed on yet.
    ahead: Vec<u8>,
    /// Number of bytes passed on since the reader last had to wait.
    passed: usize,
}

impl<T, F: Framing> Stream<T, F> {
    /// Creates a stream for `conn`, which leaves its table when the stream is dropped. What its
    /// reader keeps counts against `budget`.
    pub fn new(io: T, framing: F, conn: Rc<Conn>, budget: &MemoryBudget) -> Self {
        let (held, ahead, passed) = (budget.reservation(), Vec::new(), 0);
        Self { io, framing, conn, held, ahead, passed }
    }

    /// The connection's entry in its table.
    pub fn conn(&self) -> &Rc<Conn> {
        &self.conn
    }

    /// Passes received bytes of the current message on. Returns false if there are none.
    fn pass_on(&mut self, buf: &mut ReadBuf<'_>) -> io::Result<bool> {
        let len = self.ahead.len().min(buf.remaining());
        let len = self.framing.advance(&self.ahead[..len])?;
        buf.put_slice(&self.ahead[..len]);
        self.ahead.drain(..len);
        if self.ahead.is_empty() {
            self.ahead = Vec::new();
        }
        self.passed += len;
        if self.framing.held_bytes() == 0 {
            self.held.release();
        }
        self.conn.set_stage(match &self.framing {
            framing if framing.is_complete() => Stage::Serving,
            framing if framing.is_between() => Stage::Idle,
            _ => Stage::Receiving,
        });
        Ok(len > 0)
    }

    /// Reserves memory for what the reader may keep once it has the bytes received so far.
    fn reserve(&mut self) -> Reserved {
        let held = self.framing.held_bytes();
        let bytes = if held > 0 { held + self.ahead.len() } else { 0 };
        if self.held.try_resize(bytes.saturating_sub(SMALL_MESSAGE_BYTES)) {
            Reserved::Yes
        } else if self.conn.make_room() {
            Reserved::Soon
        } else {
            Reserved::No
        }
    }

    fn check_evicted(&self) -> io::Result<()> {
        if self.conn.is_evicted() {
            return Err(io::Error::new(io::ErrorKind::ConnectionAborted, "closed for others"));
        }
        Ok(())
    }
}

/// Whether there is memory for a message.
enum Reserved {
    Yes,
    /// Once another connection is closed.
    Soon,
    No,
}

impl<T: AsyncRead + Unpin, F: Framing> Stream<T, F> {
    /// Receives the next bytes; 0 if the client has closed the connection.
    fn poll_receive(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<usize>> {
        let mut bytes = [0; READ_SIZE];
        let mut buf = ReadBuf::new(&mut bytes);
        ready!(Pin::new(&mut self.io).poll_read(cx, &mut buf))?;
        self.conn.touch();
        self.ahead.extend_from_slice(buf.filled());
        Poll::Ready(Ok(self.ahead.len()))
    }
}

impl<T: AsyncWrite + Unpin, F: Framing> Stream<T, F> {
    /// Tells the client that its message is invalid.
    fn refuse(&mut self, cx: &mut Context<'_>) {
        let refusal = self.framing.refusal().as_bytes();
        // The connection is closed, whether this can be sent or not.
        let _ = Pin::new(&mut self.io).poll_write(cx, refusal);
    }
}

impl<T: AsyncRead + AsyncWrite + Unpin, F: Framing + Unpin> AsyncRead for Stream<T, F> {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        this.conn.set_waker(cx.waker());
        this.check_evicted()?;
        if this.conn.is_blocked() {
            return Poll::Pending;
        }
        if this.framing.is_complete() && this.conn.take_answered() {
            this.framing.restart();
            this.conn.set_stage(Stage::Idle);
        }
        if this.passed >= READ_SIZE {
            // Whoever reads in a loop until it has to wait would buffer any amount.
            this.passed = 0;
            cx.waker().wake_by_ref();
            return Poll::Pending;
        }
        if this.ahead.is_empty() {
            match this.poll_receive(cx) {
                Poll::Ready(Ok(0)) => return Poll::Ready(Ok(())),
                Poll::Ready(Ok(_)) => {}
                Poll::Ready(Err(e)) => return Poll::Ready(Err(e)),
                Poll::Pending => {
                    this.passed = 0;
                    return Poll::Pending;
                }
            }
        }
        match this.reserve() {
            Reserved::Yes => {}
            Reserved::Soon => {
                cx.waker().wake_by_ref();
                return Poll::Pending;
            }
            Reserved::No => return Poll::Ready(Err(io::ErrorKind::OutOfMemory.into())),
        }
        match this.pass_on(buf) {
            Ok(true) => return Poll::Ready(Ok(())),
            Ok(false) => {}
            Err(e) => {
                this.refuse(cx);
                return Poll::Ready(Err(e));
            }
        }
        // Woken when the current message is answered.
        this.passed = 0;
        Poll::Pending
    }
}

impl<T: AsyncWrite + Unpin, F: Framing + Unpin> AsyncWrite for Stream<T, F> {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let this = self.get_mut();
        this.conn.set_waker(cx.waker());
        this.check_evicted()?;
        let result = Pin::new(&mut this.io).poll_write(cx, buf);
        this.conn.set_blocked(result.is_pending());
        result
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().io).poll_flush(cx)
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().io).poll_shutdown(cx)
    }
}

impl<T, F> Drop for Stream<T, F> {
    fn drop(&mut self) {
        self.conn.remove();
    }
}
