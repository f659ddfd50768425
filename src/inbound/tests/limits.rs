//! The shares of a machine.

use crate::inbound::limits::{MachineLimits, PortLimits};

/// Largest body that callers may send, in bytes.
const MAX_BODY_BYTES: usize = 262_144;

/// Largest message between daemons, in bytes.
const MAX_PEER_MESSAGE_BYTES: usize = 4 << 20;

fn ports(machine: MachineLimits) -> [PortLimits; 3] {
    [machine.callers(), machine.readiness(), machine.peers()]
}

// Guards against limits that are each right, and too much in sum.
#[test]
fn all_ports_together_leave_a_quarter_of_the_memory_and_a_third_of_the_descriptors() {
    for memory_mb in [64, 160, 260, 512, 4096] {
        for max_fds in [128, 400, 1024, 4100, 8192] {
            let ports = ports(MachineLimits { memory_mb, max_fds });
            let bytes: usize = ports.iter().map(PortLimits::max_bytes).sum();
            let conns: usize = ports.iter().map(|port| port.connections).sum();
            let memory = (memory_mb as usize) << 20;
            assert!(bytes * 4 <= memory * 3, "{bytes} bytes of {memory_mb} MiB");
            assert!(conns * 3 <= max_fds * 2, "{conns} connections of {max_fds} descriptors");
        }
    }
}

// Guards against a default that a client within its limits meets.
#[test]
fn small_machines_receive_the_largest_messages() {
    let callers = MachineLimits { memory_mb: 160, max_fds: 4100 }.callers();
    assert!(callers.held_bytes >= 100 * MAX_BODY_BYTES);
    assert!(callers.connections >= 500);
    let smallest = MachineLimits { memory_mb: 64, max_fds: 128 };
    assert!(smallest.callers().held_bytes >= 2 * MAX_BODY_BYTES);
    assert!(smallest.peers().held_bytes >= MAX_PEER_MESSAGE_BYTES);
    assert!(ports(smallest).iter().all(|port| port.connections >= 4));
}
