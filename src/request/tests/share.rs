use crate::ids::{DaemonId, Token, VmId};
use crate::request::share::{Keeper, KeeperSettings, ShareAsk, ShareGrant, Taker, even_split};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::time::Duration;

const SLOTS: u32 = 8;
const TTL: Duration = Duration::from_secs(3);
const LONGEST_RUN: Duration = Duration::from_secs(5);
const STEP: Duration = Duration::from_millis(100);

fn keeper(token: u64, now: Duration) -> Keeper {
    let settings = KeeperSettings { slots: SLOTS, ttl: TTL, longest_run: LONGEST_RUN };
    Keeper::new(VmId::new("vm"), Token(token), settings, now)
}

fn daemons(count: usize) -> Vec<DaemonId> {
    (0..count).map(|at| DaemonId::new(&format!("d{at}"))).collect()
}

fn takers(count: usize) -> Vec<Taker> {
    daemons(count).into_iter().map(|id| Taker::new(id, VmId::new("vm"))).collect()
}

/// An ask with this demand, answered at once.
fn renew(keeper: &mut Keeper, taker: &mut Taker, demand: u32, in_use: u32, now: Duration) {
    taker.demand(demand);
    let ask = taker.ask(in_use, now);
    let grant = keeper.ask(&ask, now);
    taker.granted(&grant, now);
}

#[test]
fn slots_move_to_where_they_are_wanted() {
    let mut keeper = keeper(1, Duration::ZERO).with_nothing_before();
    let mut takers = takers(2);
    let mut now = Duration::ZERO;
    for _ in 0..5 {
        renew(&mut keeper, &mut takers[0], 8, 0, now);
        renew(&mut keeper, &mut takers[1], 0, 0, now);
        now += STEP;
    }
    let before: Vec<u32> = takers.iter().map(|taker| taker.usable(now)).collect();
    assert_eq!(before, [7, 1]);
    for _ in 0..5 {
        renew(&mut keeper, &mut takers[0], 0, 0, now);
        renew(&mut keeper, &mut takers[1], 8, 0, now);
        now += STEP;
    }
    let after: Vec<u32> = takers.iter().map(|taker| taker.usable(now)).collect();
    assert_eq!(after, [1, 7]);
}

/// Asks and answers are lost, late and repeated, daemons come and go, and the giver changes, while
/// requests run on past the grants they were started under. The endpoint must never have more
/// requests than slots: whoever believes to hold slots, or still uses some, is counted.
#[test]
fn no_view_ever_sums_to_more_than_the_slots() {
    for seed in 0..40 {
        run_lossy(seed);
    }
}

struct Sim {
    rng: SmallRng,
    now: Duration,
    keepers: Vec<(Keeper, Duration)>,
    takers: Vec<Taker>,
    /// Ends of the requests under way, for each taker.
    running: Vec<Vec<Duration>>,
    asks: Vec<(usize, ShareAsk, Duration)>,
    grants: Vec<(usize, ShareGrant, Duration)>,
}

fn run_lossy(seed: u64) {
    let mut sim = Sim {
        rng: SmallRng::seed_from_u64(seed),
        now: Duration::ZERO,
        keepers: vec![(keeper(1, Duration::ZERO).with_nothing_before(), TTL * 4)],
        takers: takers(5),
        running: vec![Vec::new(); 5],
        asks: Vec::new(),
        grants: Vec::new(),
    };
    let mut most = 0;
    for _ in 0..3000 {
        sim.step();
        let total: usize = sim.running.iter().map(Vec::len).sum();
        most = most.max(total);
        assert!(total <= SLOTS as usize, "seed {seed}: {total} requests at {:?}", sim.now);
    }
    assert!(most >= SLOTS as usize / 2, "seed {seed}: at most {most} slots were ever used");
}

impl Sim {
    fn step(&mut self) {
        self.now += STEP;
        let now = self.now;
        self.running.iter_mut().for_each(|running| running.retain(|end| *end > now));
        for at in 0..self.takers.len() {
            self.start_requests(at);
            if self.rng.random_bool(0.3) {
                let demand = self.rng.random_range(0..=SLOTS);
                self.takers[at].demand(demand);
                let in_use = self.running[at].len() as u32;
                let ask = self.takers[at].ask(in_use, now);
                self.asks.push((at, ask, now));
            }
        }
        self.change_giver();
        self.deliver_asks();
        self.deliver_grants();
    }

    fn start_requests(&mut self, at: usize) {
        while self.running[at].len() < self.takers[at].usable(self.now) as usize
            && self.rng.random_bool(0.7)
        {
            let run = LONGEST_RUN.mul_f64(self.rng.random());
            self.running[at].push(self.now + run);
        }
    }

    /// The holder of the control lease changes when the lease has run out. The one before holds
    /// no valid lease any more, and answers nothing.
    fn change_giver(&mut self) {
        let (_, until) = self.keepers.last().unwrap();
        if self.now < *until {
            return;
        }
        let token = self.keepers.len() as u64 + 1;
        let lease = TTL * self.rng.random_range(2..20);
        self.keepers.push((keeper(token, self.now), self.now + lease));
    }

    fn deliver_asks(&mut self) {
        for (at, ask, sent) in std::mem::take(&mut self.asks) {
            match self.rng.random_range(0..10) {
                // Lost.
                0 | 1 => continue,
                // Late.
                2 | 3 => self.asks.push((at, ask, sent)),
                // Repeated.
                4 => {
                    self.asks.push((at, ask.clone(), sent));
                    self.answer(at, &ask, sent);
                }
                _ => self.answer(at, &ask, sent),
            }
        }
    }

    fn answer(&mut self, at: usize, ask: &ShareAsk, sent: Duration) {
        let (keeper, until) = self.keepers.last_mut().unwrap();
        assert!(self.now < *until);
        let grant = keeper.ask(ask, self.now);
        self.grants.push((at, grant, sent));
    }

    fn deliver_grants(&mut self) {
        for (at, grant, sent) in std::mem::take(&mut self.grants) {
            match self.rng.random_range(0..10) {
                0 | 1 => {}
                2..=4 => self.grants.push((at, grant, sent)),
                5 => {
                    self.takers[at].granted(&grant, sent);
                    self.grants.push((at, grant, sent));
                }
                _ => self.takers[at].granted(&grant, sent),
            }
        }
    }
}

/// An ask made while one request ran is delivered after a later one that told of six, and whose
/// answer took slots away. Believing it would free five slots that are still in use.
#[test]
fn a_late_ask_does_not_undo_what_a_later_one_said() {
    let mut keeper = keeper(1, Duration::ZERO).with_nothing_before();
    let mut takers = takers(2);
    renew(&mut keeper, &mut takers[0], 7, 0, Duration::ZERO);
    assert_eq!(takers[0].usable(STEP), 8);
    let late = takers[0].ask(1, STEP);
    renew(&mut keeper, &mut takers[1], 7, 0, STEP);
    renew(&mut keeper, &mut takers[0], 6, 6, STEP);
    renew(&mut keeper, &mut takers[0], 6, 6, STEP);
    assert_eq!(takers[0].usable(STEP), 4, "half was taken away");
    keeper.ask(&late, STEP);
    renew(&mut keeper, &mut takers[1], 7, 0, STEP);
    assert!(takers[1].usable(STEP) <= SLOTS - 6, "six are still in use");
}

#[test]
fn a_holder_that_is_cut_off_keeps_nothing_after_its_grant() {
    let mut keeper = keeper(1, Duration::ZERO).with_nothing_before();
    let mut takers = takers(2);
    renew(&mut keeper, &mut takers[0], 8, 0, Duration::ZERO);
    assert_eq!(takers[0].usable(Duration::ZERO), 8);
    assert_eq!(takers[0].usable(TTL), 0);
    renew(&mut keeper, &mut takers[1], 8, 0, TTL);
    assert_eq!(takers[1].usable(TTL), 0, "the other's requests may still run");
    let later = TTL + LONGEST_RUN;
    renew(&mut keeper, &mut takers[1], 8, 0, later);
    assert_eq!(takers[1].usable(later), 8);
}

#[test]
fn a_new_giver_confirms_what_is_held_and_gives_nothing_more_for_a_while() {
    let mut old = keeper(1, Duration::ZERO).with_nothing_before();
    let mut takers = takers(2);
    renew(&mut old, &mut takers[0], 3, 0, Duration::ZERO);
    let held = takers[0].usable(STEP);
    let mut new = keeper(2, STEP);
    renew(&mut new, &mut takers[0], 8, 0, STEP);
    renew(&mut new, &mut takers[1], 8, 0, STEP);
    assert_eq!([takers[0].usable(STEP), takers[1].usable(STEP)], [held, 0]);
    let ask = takers[1].ask(0, STEP);
    let late = old.ask(&ask, STEP);
    assert!(late.slots > 0);
    takers[1].granted(&late, STEP);
    assert_eq!(takers[1].usable(STEP), 0, "a grant of the giver before has no effect");
}

#[test]
fn an_even_split_uses_every_slot_once() {
    for count in 1..=20 {
        let daemons = daemons(count);
        for vm in 0..10 {
            let vm = VmId::new(&format!("vm-{vm}"));
            let total: u32 = daemons.iter().map(|me| even_split(&vm, SLOTS, me, &daemons)).sum();
            assert_eq!(total, SLOTS, "{count} daemons at {vm}");
        }
    }
}
