//! What a daemon costs, in slopes: processor time, bytes, memory and calls to the store, for each
//! VM held, running task, start, peer and configuration change.
//!
//! Processor time is that of the duties' threads, read from the threads' own clocks. Bytes to the
//! workers and the store are counted by relays in front of the stand-ins, bytes between daemons by
//! their codec. Each slope is fitted over three or more sizes and printed with its residual.

mod core;
mod fit;
mod live;

fn main() {
    // The test runner passes `--bench`; everything is always run.
    println!("core alone, without I/O");
    core::run();
    println!("\na daemon against the stand-ins");
    live::run();
}
