//! The planned stop.

use super::Duties;
use crate::control::{Control, Inspect};
use crate::core::Event;
use crate::front::view::Stage;
use crate::peer::MemberState;
use crate::peers::Announce;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::sync::mpsc;

/// Time until the platform's balancer has surely seen that the daemon is not ready. Requests that
/// it still sends are served, so that none is refused for a planned stop.
const BALANCER_NOTICE: Duration = Duration::from_secs(1);

const LOOK: Duration = Duration::from_millis(20);

/// How a daemon is stopped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stop {
    Drain,
    /// As a crash would: nothing is given back.
    Now,
}

/// Runs until told to stop, then stops as told.
pub async fn run_until_stopped(duties: Duties, mut stops: mpsc::UnboundedReceiver<Stop>) {
    if stops.recv().await == Some(Stop::Drain) {
        tokio::select! {
            () = drain(&duties) => {}
            // A second word, or nobody left to wait, ends the drain.
            _ = stops.recv() => {}
        }
    }
    duties.front.handle.stop(false).await;
    for arbiter in &duties.arbiters {
        arbiter.stop();
    }
    for arbiter in duties.arbiters {
        // A panic there was already printed by its own thread.
        let _ = arbiter.join();
    }
}

async fn drain(duties: &Duties) {
    log::info!("drain-begun");
    duties.set_stage(Stage::Unready);
    duties.peers.do_send(Announce::State(MemberState::Draining));
    duties.tell_core(Event::Drain);
    tokio::time::sleep(BALANCER_NOTICE).await;
    duties.in_flight.store(usize::MAX, Ordering::SeqCst);
    duties.set_stage(Stage::Draining);
    let finished = tokio::time::timeout(duties.drain, finish(duties)).await;
    match finished {
        Ok(()) => log::info!("drain-ended"),
        Err(_) => {
            log::warn!(in_flight = duties.in_flight.load(Ordering::SeqCst); "drain-cut")
        }
    }
}

async fn finish(duties: &Duties) {
    while duties.in_flight.load(Ordering::SeqCst) > 0 {
        tokio::time::sleep(LOOK).await;
    }
    loop {
        let held = duties.control.send(Inspect(|control: &Control| control.core().vms().len()));
        if !matches!(held.await, Ok(1..)) {
            return;
        }
        tokio::time::sleep(LOOK).await;
    }
}
