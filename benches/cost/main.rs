//! What a daemon costs, in slopes: processor time, bytes, memory and calls to the store, for each
//! VM held, running task, start, peer and configuration change.
//!
//! Processor time is that of the duties' threads, read from the threads' own clocks. Bytes to the
//! workers and the store are counted by relays in front of the stand-ins, bytes between daemons by
//! their codec. Each slope is fitted over three or more sizes and printed with its residual.

mod core;
mod fit;
mod live;

/// A group of slopes, run on its own when it is named on the command line.
struct Section {
    name: &'static str,
    run: fn(),
}

const SECTIONS: [Section; 9] = [
    Section { name: "core-vms", run: core::per_vm },
    Section { name: "core-tasks", run: core::per_task },
    Section { name: "core-starts", run: core::per_start },
    Section { name: "core-memory", run: core::memory },
    Section { name: "vms", run: live::per_vm },
    Section { name: "peers", run: live::per_peer },
    Section { name: "tasks", run: live::per_task },
    Section { name: "starts", run: live::per_start },
    Section { name: "changes", run: live::per_change },
];

fn main() {
    // The test runner adds flags of its own.
    let named: Vec<String> = std::env::args().skip(1).filter(|arg| !arg.starts_with('-')).collect();
    for section in SECTIONS {
        if named.is_empty() || named.iter().any(|name| name == section.name) {
            println!("{}", section.name);
            (section.run)();
        }
    }
}
