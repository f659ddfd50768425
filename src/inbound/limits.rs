//! Shares of the machine's memory and file descriptors for the clients of each port.
//!
//! The shares of all ports add up to two thirds of the memory and of the descriptors. The rest is for
//! the daemon's own state and for the connections that it opens.

/// Memory that a connection takes besides what is counted against the budget of its port: buffers
/// of the server, a small body, and received bytes that the kernel holds.
pub const CONNECTION_BYTES: usize = 64 << 10;

/// Size of the kernel's receive buffer of a connection, in bytes. Linux reserves twice as much.
pub const RECEIVE_BUFFER_BYTES: usize = 16 << 10;

/// Part of a message that counts as part of its connection, in bytes. Keeps small requests
/// independent of what others' large ones hold.
pub const SMALL_MESSAGE_BYTES: usize = 8 << 10;

/// Memory and file descriptors that the machine has for the process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MachineLimits {
    /// In MiB.
    pub memory_mb: u64,
    pub max_fds: usize,
}

/// What the clients of one port may take.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PortLimits {
    /// Maximum number of connections. Idle and stalled ones are closed before it is reached.
    pub connections: usize,
    /// Maximum size of the messages held at once, in bytes, except for their first
    /// [`SMALL_MESSAGE_BYTES`].
    pub held_bytes: usize,
}

impl PortLimits {
    /// Number of connections from which on idle and stalled ones are closed.
    pub fn crowded_connections(&self) -> usize {
        self.connections - self.connections / 8
    }

    /// Largest amount of memory that the clients can make the process hold, in bytes.
    pub fn max_bytes(&self) -> usize {
        self.connections * CONNECTION_BYTES + self.held_bytes
    }
}

impl MachineLimits {
    fn memory_bytes(&self) -> usize {
        usize::try_from(self.memory_mb).unwrap_or(usize::MAX).saturating_mul(1 << 20)
    }

    fn port(&self, connections: usize, memory: usize, held_bytes: usize) -> PortLimits {
        let connections = connections.min(memory / CONNECTION_BYTES).max(1);
        PortLimits { connections, held_bytes }
    }

    /// Limits of the port for callers.
    pub fn callers(&self) -> PortLimits {
        let memory = self.memory_bytes();
        self.port(self.max_fds / 2, memory / 4, memory / 16 * 3)
    }

    /// Limits of the port for the readiness check and operators, whose requests have no bodies.
    pub fn readiness(&self) -> PortLimits {
        self.port(self.max_fds / 32, self.memory_bytes() / 32, 0)
    }

    /// Limits of the port for other daemons.
    pub fn peers(&self) -> PortLimits {
        let memory = self.memory_bytes();
        self.port(self.max_fds / 8, memory / 8, memory / 16)
    }

    /// Maximum number of starts, and likewise of stops, that a shard has sent and VMs haven't
    /// answered. Each takes a connection to a VM.
    pub fn shard_commands(&self) -> usize {
        self.max_fds / 32
    }
}
