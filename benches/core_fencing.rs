//! Effectiveness of the lease check and the fencing token when daemons are paused.
//!
//! Daemons are paused for 2 to 30 s, half of the times before their last clock check and half
//! between that check and the send. After 5 s the other daemon considers a paused one dead and
//! takes over its VMs. With each combination of the two safeguards, the benchmark counts the
//! starts, checkpoints and closes that a VM executed for a daemon whose lease had expired or whose
//! VM was held by another daemon, and their consequences.

#[allow(dead_code)] // the rest is used by the tests
#[path = "../tests/common/mod.rs"]
mod common;

use common::promises::{invariant_violations, summary};
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
/// Starts, closes and checkpoints, per thousand, at which a daemon is paused.
const PAUSES_PER_THOUSAND: u32 = 25;

struct RandomPauses {
    rng: StdRng,
}

impl Faults for RandomPauses {
    fn inject(&mut self, _: Duration, _: &DaemonId, action: &Action) -> Fate {
        let has_effect = matches!(
            action,
            Action::Start { .. } | Action::Close { .. } | Action::Checkpoint { .. }
        );
        let pause = ms(self.rng.random_range(2_000..30_000));
        match self.rng.random_range(0..2_000) {
            n if !has_effect || n >= 2 * PAUSES_PER_THOUSAND => Fate::Done,
            n if n < PAUSES_PER_THOUSAND => Fate::PausedBeforeCheck(pause),
            _ => Fate::PausedAfterCheck(pause),
        }
    }

    fn latency(&mut self) -> Duration {
        ms(self.rng.random_range(1..20))
    }
}

/// Totals for one combination of safeguards.
#[derive(Default)]
struct Total {
    acts: Acts,
    broken_runs: u64,
    finished: usize,
    unknown: usize,
}

fn run(seed: u64, clock: ClockCheck, tokens: TokenCheck, total: &mut Total) {
    let faults = RandomPauses { rng: StdRng::seed_from_u64(seed) };
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
    total.broken_runs += u64::from(!invariant_violations(&world).is_empty());
    let end = summary(&world);
    total.finished += end.finished;
    total.unknown += end.unknown;
}

fn main() {
    println!(
        "{SEEDS} runs of {SUBMISSIONS} submissions each, {PAUSES_PER_THOUSAND} of 1000 acts paused"
    );
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
