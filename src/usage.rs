//! What a daemon itself uses: processor time of each duty's thread and bytes to other daemons.
//!
//! The two-year plan bounds both, so that they are measured where they arise and not guessed from
//! the outside, where a process's threads can't be told from its neighbours'.

use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;
use tarpc::tokio_serde::{Deserializer, Serializer};

const PUBLISH_PERIOD: Duration = Duration::from_millis(500);
/// Length field in front of each frame.
const FRAME_HEAD_BYTES: usize = 4;

/// A duty with a thread of its own.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(usize)]
pub enum Duty {
    Control,
    Storage,
    Peers,
    Workers,
    Report,
}

impl Duty {
    /// Every duty, in order.
    pub const ALL: [Self; 5] =
        [Self::Control, Self::Storage, Self::Peers, Self::Workers, Self::Report];
}

/// Counts of one daemon, since its start.
#[derive(Debug, Default)]
pub struct Usage {
    processor_nanos: [AtomicU64; Duty::ALL.len()],
    peer_bytes: AtomicU64,
    peer_messages: AtomicU64,
}

impl Usage {
    /// Nothing used yet.
    pub fn new() -> Self {
        Self::default()
    }

    /// Processor time of a duty's thread, at most half a second old.
    pub fn processor_time(&self, duty: Duty) -> Duration {
        Duration::from_nanos(self.processor_nanos[duty as usize].load(Ordering::Relaxed))
    }

    /// Processor time of all duties' threads.
    pub fn all_processor_time(&self) -> Duration {
        Duty::ALL.into_iter().map(|duty| self.processor_time(duty)).sum()
    }

    /// Bytes of frames sent to and received from other daemons.
    pub fn peer_bytes(&self) -> u64 {
        self.peer_bytes.load(Ordering::Relaxed)
    }

    /// Frames sent to and received from other daemons.
    pub fn peer_messages(&self) -> u64 {
        self.peer_messages.load(Ordering::Relaxed)
    }

    /// Publishes the present thread's processor time from now on.
    pub fn publish(self: Arc<Self>, duty: Duty) {
        actix::spawn(async move {
            loop {
                let time = thread_time();
                let nanos = u64::try_from(time.as_nanos()).unwrap_or(u64::MAX);
                self.processor_nanos[duty as usize].store(nanos, Ordering::Relaxed);
                tokio::time::sleep(PUBLISH_PERIOD).await;
            }
        });
    }

    fn count_frame(&self, len: usize) {
        let bytes = u64::try_from(len + FRAME_HEAD_BYTES).unwrap_or(u64::MAX);
        self.peer_bytes.fetch_add(bytes, Ordering::Relaxed);
        self.peer_messages.fetch_add(1, Ordering::Relaxed);
    }
}

/// Processor time of the present thread.
pub fn thread_time() -> Duration {
    let time = rustix::time::clock_gettime(rustix::time::ClockId::ThreadCPUTime);
    Duration::new(time.tv_sec.unsigned_abs(), u32::try_from(time.tv_nsec).unwrap_or(0))
}

/// A codec that counts the frames that pass it.
pub struct Counting<C> {
    codec: C,
    usage: Arc<Usage>,
}

impl<C> Counting<C> {
    /// Counts what passes `codec`.
    pub fn new(codec: C, usage: Arc<Usage>) -> Self {
        Self { codec, usage }
    }
}

impl<T, C> Serializer<T> for Counting<C>
where
    C: Serializer<T> + Unpin,
{
    type Error = C::Error;

    fn serialize(self: Pin<&mut Self>, item: &T) -> Result<bytes::Bytes, Self::Error> {
        let this = self.get_mut();
        let buf = Pin::new(&mut this.codec).serialize(item)?;
        this.usage.count_frame(buf.len());
        Ok(buf)
    }
}

impl<T, C> Deserializer<T> for Counting<C>
where
    C: Deserializer<T> + Unpin,
{
    type Error = C::Error;

    fn deserialize(self: Pin<&mut Self>, buf: &bytes::BytesMut) -> Result<T, Self::Error> {
        let this = self.get_mut();
        this.usage.count_frame(buf.len());
        Pin::new(&mut this.codec).deserialize(buf)
    }
}
