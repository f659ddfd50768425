use crate::ids::{DaemonId, Token, VmId};
use crate::request::share::{
    AllocatorSettings, ShareGrant, ShareRequest, SlotAllocator, SlotClient, even_split,
};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::time::Duration;

const SLOTS: u32 = 8;
const TTL: Duration = Duration::from_secs(3);
const MAX_RUN_TIME: Duration = Duration::from_secs(5);
const STEP: Duration = Duration::from_millis(100);

fn allocator(token: u64, now: Duration) -> SlotAllocator {
    let settings = AllocatorSettings { slots: SLOTS, ttl: TTL, max_run_time: MAX_RUN_TIME };
    SlotAllocator::new(VmId::new("vm"), Token(token), settings, now)
}

fn daemons(count: usize) -> Vec<DaemonId> {
    (0..count).map(|at| DaemonId::new(&format!("d{at}"))).collect()
}

fn clients(count: usize) -> Vec<SlotClient> {
    daemons(count).into_iter().map(|id| SlotClient::new(id, VmId::new("vm"))).collect()
}

/// Requests slots with this demand and applies the reply at once.
fn renew(
    allocator: &mut SlotAllocator,
    client: &mut SlotClient,
    demand: u32,
    in_use: u32,
    now: Duration,
) {
    client.demand(demand);
    let request = client.request(in_use, now);
    let grant = allocator.allocate(&request, now);
    client.granted(&grant, now);
}

#[test]
fn slots_move_to_the_client_with_demand() {
    let mut allocator = allocator(1, Duration::ZERO).without_prior_grants();
    let mut clients = clients(2);
    let mut now = Duration::ZERO;
    for _ in 0..5 {
        renew(&mut allocator, &mut clients[0], 8, 0, now);
        renew(&mut allocator, &mut clients[1], 0, 0, now);
        now += STEP;
    }
    let before: Vec<u32> = clients.iter().map(|client| client.usable(now)).collect();
    assert_eq!(before, [7, 1]);
    for _ in 0..5 {
        renew(&mut allocator, &mut clients[0], 0, 0, now);
        renew(&mut allocator, &mut clients[1], 8, 0, now);
        now += STEP;
    }
    let after: Vec<u32> = clients.iter().map(|client| client.usable(now)).collect();
    assert_eq!(after, [1, 7]);
}

/// Requests and grants are lost, delayed and duplicated, and the allocator changes, while endpoint
/// requests outlive the grants they were started under. The endpoint must never have more requests
/// than slots.
#[test]
fn requests_never_exceed_the_slots_under_message_loss() {
    for seed in 0..40 {
        run_lossy(seed);
    }
}

struct Sim {
    rng: SmallRng,
    now: Duration,
    allocators: Vec<(SlotAllocator, Duration)>,
    clients: Vec<SlotClient>,
    /// End times of the running requests, by client.
    running: Vec<Vec<Duration>>,
    requests: Vec<(usize, ShareRequest, Duration)>,
    grants: Vec<(usize, ShareGrant, Duration)>,
}

fn run_lossy(seed: u64) {
    let mut sim = Sim {
        rng: SmallRng::seed_from_u64(seed),
        now: Duration::ZERO,
        allocators: vec![(allocator(1, Duration::ZERO).without_prior_grants(), TTL * 4)],
        clients: clients(5),
        running: vec![Vec::new(); 5],
        requests: Vec::new(),
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
        for at in 0..self.clients.len() {
            self.start_requests(at);
            if self.rng.random_bool(0.3) {
                let demand = self.rng.random_range(0..=SLOTS);
                self.clients[at].demand(demand);
                let in_use = self.running[at].len() as u32;
                let request = self.clients[at].request(in_use, now);
                self.requests.push((at, request, now));
            }
        }
        self.change_allocator();
        self.deliver_requests();
        self.deliver_grants();
    }

    fn start_requests(&mut self, at: usize) {
        while self.running[at].len() < self.clients[at].usable(self.now) as usize
            && self.rng.random_bool(0.7)
        {
            let run = MAX_RUN_TIME.mul_f64(self.rng.random());
            self.running[at].push(self.now + run);
        }
    }

    /// Replaces the allocator once its control lease has expired; the previous one no longer
    /// replies.
    fn change_allocator(&mut self) {
        let (_, until) = self.allocators.last().unwrap();
        if self.now < *until {
            return;
        }
        let token = self.allocators.len() as u64 + 1;
        let lease = TTL * self.rng.random_range(2..20);
        self.allocators.push((allocator(token, self.now), self.now + lease));
    }

    fn deliver_requests(&mut self) {
        for (at, request, sent) in std::mem::take(&mut self.requests) {
            match self.rng.random_range(0..10) {
                // Lost.
                0 | 1 => continue,
                // Delayed.
                2 | 3 => self.requests.push((at, request, sent)),
                // Duplicated.
                4 => {
                    self.requests.push((at, request.clone(), sent));
                    self.answer(at, &request, sent);
                }
                _ => self.answer(at, &request, sent),
            }
        }
    }

    fn answer(&mut self, at: usize, request: &ShareRequest, sent: Duration) {
        let (allocator, until) = self.allocators.last_mut().unwrap();
        assert!(self.now < *until);
        let grant = allocator.allocate(request, self.now);
        self.grants.push((at, grant, sent));
    }

    fn deliver_grants(&mut self) {
        for (at, grant, sent) in std::mem::take(&mut self.grants) {
            match self.rng.random_range(0..10) {
                0 | 1 => {}
                2..=4 => self.grants.push((at, grant, sent)),
                5 => {
                    self.clients[at].granted(&grant, sent);
                    self.grants.push((at, grant, sent));
                }
                _ => self.clients[at].granted(&grant, sent),
            }
        }
    }
}

/// A request for slots sent while one slot was in use arrives after a later one that reported six
/// in use and whose reply took slots away. Using the late one would free five slots still in use.
#[test]
fn a_late_request_does_not_override_a_later_one() {
    let mut allocator = allocator(1, Duration::ZERO).without_prior_grants();
    let mut clients = clients(2);
    renew(&mut allocator, &mut clients[0], 7, 0, Duration::ZERO);
    assert_eq!(clients[0].usable(STEP), 8);
    let late = clients[0].request(1, STEP);
    renew(&mut allocator, &mut clients[1], 7, 0, STEP);
    renew(&mut allocator, &mut clients[0], 6, 6, STEP);
    renew(&mut allocator, &mut clients[0], 6, 6, STEP);
    assert_eq!(clients[0].usable(STEP), 4, "half was taken away");
    allocator.allocate(&late, STEP);
    renew(&mut allocator, &mut clients[1], 7, 0, STEP);
    assert!(clients[1].usable(STEP) <= SLOTS - 6, "six are still in use");
}

#[test]
fn a_disconnected_client_has_no_slots_after_its_grant_expires() {
    let mut allocator = allocator(1, Duration::ZERO).without_prior_grants();
    let mut clients = clients(2);
    renew(&mut allocator, &mut clients[0], 8, 0, Duration::ZERO);
    assert_eq!(clients[0].usable(Duration::ZERO), 8);
    assert_eq!(clients[0].usable(TTL), 0);
    renew(&mut allocator, &mut clients[1], 8, 0, TTL);
    assert_eq!(clients[1].usable(TTL), 0, "the other's requests may still run");
    let later = TTL + MAX_RUN_TIME;
    renew(&mut allocator, &mut clients[1], 8, 0, later);
    assert_eq!(clients[1].usable(later), 8);
}

#[test]
fn a_new_allocator_at_first_only_confirms_the_slots_already_held() {
    let mut old = allocator(1, Duration::ZERO).without_prior_grants();
    let mut clients = clients(2);
    renew(&mut old, &mut clients[0], 3, 0, Duration::ZERO);
    let held = clients[0].usable(STEP);
    let mut new = allocator(2, STEP);
    renew(&mut new, &mut clients[0], 8, 0, STEP);
    renew(&mut new, &mut clients[1], 8, 0, STEP);
    assert_eq!([clients[0].usable(STEP), clients[1].usable(STEP)], [held, 0]);
    let request = clients[1].request(0, STEP);
    let late = old.allocate(&request, STEP);
    assert!(late.slots > 0);
    clients[1].granted(&late, STEP);
    assert_eq!(clients[1].usable(STEP), 0, "a grant of the previous allocator has no effect");
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
