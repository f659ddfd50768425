//! What two daemons let through to VMs under injected pauses, with each safeguard and without.
//!
//! Daemons stand still for 2 to 30 seconds, half of the times before their last look at the clock
//! and half between that look and the send; after 5 seconds the other takes a paused one for dead
//! and takes its VMs over. Counted are starts, checkpoints and closes that a VM carried out for a
//! daemon whose lease had lapsed, or whose VM another daemon held, and what came of them.

#[allow(dead_code)] // the tests use the rest
#[path = "../tests/common/mod.rs"]
mod common;

use common::promises::{broken_now, summary};
use common::world::{Acts, ClockCheck, Excused, Fate, Faults, World};
use common::{Kind, ms, spec};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::time::Duration;
use waxwingstall::core::Action;
use waxwingstall::ids::DaemonId;
use waxwingstall_standin::worker::{TableSettings, TokenCheck};

const SEEDS: u64 = 200;
const SUBMISSIONS: u32 = 200;
/// Actions in a thousand that meet a pause.
const PAUSES: u32 = 25;

struct Pauses {
    rng: StdRng,
}

impl Faults for Pauses {
    fn meet(&mut self, _: Duration, _: &DaemonId, action: &Action) -> Fate {
        let acts = matches!(
            action,
            Action::Start { .. } | Action::Close { .. } | Action::Checkpoint { .. }
        );
        let pause = ms(self.rng.random_range(2_000..30_000));
        match self.rng.random_range(0..2_000) {
            n if !acts || n >= 2 * PAUSES => Fate::Done,
            n if n < PAUSES => Fate::PausedBeforeCheck(pause),
            _ => Fate::PausedAfterCheck(pause),
        }
    }

    fn latency(&mut self) -> Duration {
        ms(self.rng.random_range(1..20))
    }
}

/// What a combination of safeguards came to.
#[derive(Default)]
struct Total {
    acts: Acts,
    broken_runs: u64,
    finished: usize,
    unknown: usize,
}

fn run(seed: u64, clock: ClockCheck, tokens: TokenCheck, total: &mut Total) {
    let faults = Pauses { rng: StdRng::seed_from_u64(seed) };
    let settings = TableSettings { tokens, ..TableSettings::default() };
    let mut world = World::new(faults, &settings).with_clock_check(clock);
    world.suspect_after = Some(ms(5_000));
    world.excused = Excused::Forgotten;
    world.run_for(ms(3_000));
    for number in 0..SUBMISSIONS {
        let kind = if number % 3 == 0 { Kind::PrintBuild } else { Kind::Narration };
        world.submit(&format!("key-{number}"), spec(kind, ms(4_000)));
        world.run_for(ms(300));
    }
    world.run_for(ms(30_000));
    let acts = world.acts;
    total.acts.accepted += acts.accepted;
    total.acts.fenced += acts.fenced;
    total.acts.withheld += acts.withheld;
    total.acts.without_lease += acts.without_lease;
    total.acts.against_holder += acts.against_holder;
    total.broken_runs += u64::from(!broken_now(&world).is_empty());
    let end = summary(&world);
    total.finished += end.finished;
    total.unknown += end.unknown;
}

fn main() {
    println!("{SEEDS} runs of {SUBMISSIONS} submissions each, {PAUSES} of 1000 acts paused");
    println!(
        "| t_valid | tokens | accepted | withheld | fenced | lapsed lease | other's VM | \
         runs with a broken promise | finished | unknown |"
    );
    println!("|---|---|---|---|---|---|---|---|---|---|");
    for (clock, tokens) in [
        (ClockCheck::Ignored, TokenCheck::Ignored),
        (ClockCheck::Checked, TokenCheck::Ignored),
        (ClockCheck::Ignored, TokenCheck::Checked),
        (ClockCheck::Checked, TokenCheck::Checked),
    ] {
        let mut total = Total::default();
        (0..SEEDS).for_each(|seed| run(seed, clock, tokens, &mut total));
        let Acts { accepted, fenced, withheld, without_lease, against_holder } = total.acts;
        println!(
            "| {clock:?} | {tokens:?} | {accepted} | {withheld} | {fenced} | {without_lease} | \
             {against_holder} | {} | {} | {} |",
            total.broken_runs, total.finished, total.unknown
        );
    }
}
