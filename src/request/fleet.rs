//! The endpoints of all services, and the queues for their slots.

mod shares;

pub use shares::Shares;

use crate::clock::Clock;
use crate::ids::{ClassName, DaemonId, ServiceName, TeamName, VmId};
use crate::model::Config;
use crate::request::admission::{Admission, QueuedRequest, Rejection};
use crate::request::endpoint::{Endpoint, EndpointInfo, EndpointState, Probing};
use crate::request::health;
use crate::request::outcome::Reason;
use crate::request::route::{self, Candidate, Policy, ServiceTimeEstimate};
use crate::request::settings::DispatcherSettings;
use crate::request::share::SlotClient;
use crate::request::slot::{Evidence, Slot};
use crate::request::status::EndpointStatus;
use indexmap::IndexMap;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::oneshot;

/// `retry-after` sent to the caller when no endpoint is available or no slot was free in time.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// A request that waits for a slot.
struct Waiter {
    tx: oneshot::Sender<Result<Slot, Rejection>>,
    /// Endpoints on which earlier attempts of the request failed.
    avoid: Vec<VmId>,
}

/// Endpoints, their slots and the queues for them.
pub(super) struct Fleet {
    settings: DispatcherSettings,
    clock: Arc<dyn Clock>,
    cfg: RefCell<Option<Arc<Config>>>,
    shares: Cell<Shares>,
    /// The daemons of this domain, including this one.
    domain_daemons: RefCell<Vec<DaemonId>>,
    slot_clients: RefCell<IndexMap<VmId, SlotClient>>,
    endpoints: RefCell<IndexMap<VmId, Rc<Endpoint>>>,
    queues: RefCell<IndexMap<ServiceName, Admission<Waiter>>>,
    rng: RefCell<SmallRng>,
    last_slot: Cell<u64>,
}

/// An entry in a queue; dropping it removes the request from the queue.
struct QueueEntry<'a> {
    fleet: &'a Fleet,
    service: &'a ServiceName,
    class: &'a ClassName,
    ticket: u64,
}

impl Drop for QueueEntry<'_> {
    fn drop(&mut self) {
        if let Some(queue) = self.fleet.queues.borrow_mut().get_mut(self.service) {
            queue.cancel(self.class, self.ticket);
        }
    }
}

/// A request for a slot.
pub(super) struct SlotRequest<'a> {
    pub service: &'a ServiceName,
    pub class: &'a ClassName,
    pub team: Option<&'a TeamName>,
    pub due: Duration,
    pub avoid: &'a [VmId],
}

impl Fleet {
    /// Creates a fleet without endpoints. Until other daemons are known, this one uses all slots.
    pub fn new(settings: DispatcherSettings, clock: Arc<dyn Clock>) -> Self {
        let me = settings.me.clone();
        let seed = xxhash_rust::xxh3::xxh3_64(settings.me.as_str().as_bytes());
        Self {
            settings,
            clock,
            cfg: RefCell::default(),
            shares: Cell::default(),
            domain_daemons: RefCell::new(vec![me]),
            slot_clients: RefCell::default(),
            endpoints: RefCell::default(),
            queues: RefCell::default(),
            rng: RefCell::new(SmallRng::seed_from_u64(seed)),
            last_slot: Cell::new(0),
        }
    }

    /// Current time of this daemon's clock.
    pub fn now(&self) -> Duration {
        self.clock.now()
    }

    /// The configuration in force.
    pub fn cfg(&self) -> Option<Arc<Config>> {
        self.cfg.borrow().clone()
    }

    /// Puts a configuration in force.
    pub fn configure(self: &Rc<Self>, cfg: Arc<Config>) {
        let mut queues = self.queues.borrow_mut();
        for (name, class) in &cfg.requests {
            queues.entry(class.service.clone()).or_default().configure(name, class);
        }
        drop(queues);
        *self.cfg.borrow_mut() = Some(cfg);
        self.clear_even_shares();
        self.assign_all_slots();
    }

    /// Replaces the list of endpoints. Those no longer listed finish the requests they have.
    pub fn set_endpoints(self: &Rc<Self>, listed: &[EndpointInfo]) {
        let mut known = std::mem::take(&mut *self.endpoints.borrow_mut());
        let mut endpoints = IndexMap::with_capacity(listed.len());
        for info in listed {
            let kept = known.swap_remove(&info.vm).filter(|old| old.is_same(info));
            let connect_time = self.settings.limits.connect_time;
            let made = || Endpoint::new(info, connect_time).map(Rc::new);
            let Some(endpoint) = kept.or_else(made) else {
                log::warn!(vm = info.vm.as_str(), addr = info.addr.as_str(); "endpoint-unreadable");
                continue;
            };
            endpoint.listed.set(info.state);
            endpoints.insert(info.vm.clone(), endpoint);
        }
        known.values().for_each(|endpoint| endpoint.health.borrow_mut().delisted());
        self.slot_clients.borrow_mut().retain(|vm, _| endpoints.contains_key(vm));
        *self.endpoints.borrow_mut() = endpoints;
        self.assign_all_slots();
    }

    /// Waits for a slot.
    pub async fn acquire(self: &Rc<Self>, request: &SlotRequest<'_>) -> Result<Slot, Rejection> {
        let slots = self.slots(request.service);
        if slots == 0 {
            return Err(Rejection { reason: Reason::NoEndpoint, retry_after: RETRY_AFTER });
        }
        let (tx, rx) = oneshot::channel();
        let ticket = self.enqueue(request, tx, slots)?;
        let entry =
            QueueEntry { fleet: self, service: request.service, class: request.class, ticket };
        self.assign_slots(request.service);
        let left = request.due.saturating_sub(self.now());
        let expired = Rejection { reason: Reason::DeadlinePassed, retry_after: RETRY_AFTER };
        let result = actix_web::rt::time::timeout(left, rx).await;
        drop(entry);
        match result {
            Ok(Ok(result)) => result,
            Ok(Err(_)) | Err(_) => Err(expired),
        }
    }

    /// Rejects all queued requests.
    pub fn reject_queued(&self, rejection: Rejection) {
        let waiting: Vec<_> =
            self.queues.borrow_mut().values_mut().flat_map(Admission::clear).collect();
        for waiting in waiting {
            let _ = waiting.item.tx.send(Err(rejection));
        }
    }

    /// Rejects requests that waited too long, assigns free slots and starts probes that are due.
    pub fn tick(self: &Rc<Self>) {
        let now = self.now();
        let expired: Vec<(QueuedRequest<Waiter>, Rejection)> =
            self.queues.borrow_mut().values_mut().flat_map(|queue| queue.expire(now)).collect();
        for (waiting, rejection) in expired {
            let _ = waiting.item.tx.send(Err(rejection));
        }
        self.assign_all_slots();
        let endpoints: Vec<_> = self.endpoints.borrow().values().cloned().collect();
        for endpoint in endpoints {
            self.probe_if_due(endpoint, now);
        }
    }

    /// Records that a request ended at an endpoint, and assigns its slot.
    pub fn ended(self: &Rc<Self>, endpoint: &Endpoint, class: &ClassName, evidence: Evidence) {
        let now = self.now();
        let took = match evidence {
            Evidence::Good { took } => Some(took),
            Evidence::Bad | Evidence::Neutral => None,
        };
        if let Some(queue) = self.queues.borrow_mut().get_mut(&endpoint.service) {
            if let (Some(took), Some(estimate)) = (took, queue.estimate(class)) {
                endpoint.slowdown.borrow_mut().update(estimate.ratio(took), now);
            }
            queue.ended(class, took, now);
        }
        match evidence {
            Evidence::Good { .. } => endpoint.health.borrow_mut().succeeded(now),
            Evidence::Bad => self.record_failure(endpoint, now),
            Evidence::Neutral => {}
        }
        self.assign_slots(&endpoint.service);
    }

    /// The estimated service time of a class.
    pub fn estimate(
        &self,
        service: &ServiceName,
        class: &ClassName,
    ) -> Option<ServiceTimeEstimate> {
        self.queues.borrow().get(service).and_then(|queue| queue.estimate(class).copied())
    }

    /// Tail service time of a class, which few requests exceed.
    pub fn tail(&self, service: &ServiceName, class: &ClassName) -> Duration {
        self.estimate(service, class).map_or(Duration::ZERO, |estimate| estimate.tail())
    }

    /// The number of queued requests by class.
    pub fn waiting(&self) -> IndexMap<ClassName, usize> {
        let queues = self.queues.borrow();
        let counts = queues.values().flat_map(Admission::waiting);
        counts.map(|(class, count)| (class.clone(), count)).collect()
    }

    /// The state of each endpoint as seen by this daemon.
    pub fn endpoint_status(&self) -> Vec<EndpointStatus> {
        let now = self.now();
        let endpoints = self.endpoints.borrow();
        let status = endpoints.values().map(|endpoint| EndpointStatus {
            vm: endpoint.vm.clone(),
            service: endpoint.service.clone(),
            domain: endpoint.domain.clone(),
            listed: endpoint.listed.get(),
            standing: endpoint.health.borrow().standing(),
            failed_share: endpoint.health.borrow().failed_share(),
            slowness: endpoint.slowdown.borrow().factor(now, 0.0),
            share: self.share_of(endpoint, now),
            in_flight: endpoint.in_flight(),
        });
        status.collect()
    }

    fn enqueue(
        &self,
        request: &SlotRequest<'_>,
        tx: oneshot::Sender<Result<Slot, Rejection>>,
        slots: u32,
    ) -> Result<u64, Rejection> {
        let mut queues = self.queues.borrow_mut();
        let queue = queues.entry(request.service.clone()).or_default();
        let waiter = Waiter { tx, avoid: request.avoid.to_vec() };
        queue.enqueue(request.class, request.team.cloned(), request.due, waiter, slots, self.now())
    }

    fn assign_all_slots(self: &Rc<Self>) {
        let services: Vec<_> = self.queues.borrow().keys().cloned().collect();
        for service in &services {
            self.assign_slots(service);
        }
    }

    /// Assigns free slots of a service to queued requests.
    fn assign_slots(self: &Rc<Self>, service: &ServiceName) {
        loop {
            let now = self.now();
            let slots = self.slots(service);
            let free_endpoints = self.free_endpoints(service, now);
            if free_endpoints.is_empty() {
                return;
            }
            let next = match self.queues.borrow_mut().get_mut(service) {
                Some(queue) => queue.next(slots, now),
                None => None,
            };
            let Some((class, waiting)) = next else { return };
            let Some(endpoint) = self.choose(&free_endpoints, &waiting.item.avoid) else { return };
            let Some(estimate) = self.estimate(service, &class) else { return };
            self.last_slot.set(self.last_slot.get() + 1);
            let slot = Slot::take(self, &endpoint, &class, estimate, self.last_slot.get());
            if let Err(undelivered) = waiting.item.tx.send(Ok(slot)) {
                // The caller has disconnected. Dropping the slot calls this function again.
                drop(undelivered);
                return;
            }
        }
    }

    fn free_endpoints(
        &self,
        service: &ServiceName,
        now: Duration,
    ) -> Vec<(Rc<Endpoint>, Candidate)> {
        let endpoints = self.endpoints.borrow();
        let home = endpoints.values().filter(|e| e.service == *service && self.is_home(e));
        let free_endpoints = home.filter_map(|endpoint| {
            let usable = endpoint.usable(self.share_of(endpoint, now), now);
            let has_free_slot = endpoint.in_flight() < usable;
            has_free_slot.then(|| (Rc::clone(endpoint), endpoint.candidate(usable, now)))
        });
        free_endpoints.collect()
    }

    /// Selects an endpoint with a free slot, preferring those not in `avoid`.
    fn choose(
        &self,
        free_endpoints: &[(Rc<Endpoint>, Candidate)],
        avoid: &[VmId],
    ) -> Option<Rc<Endpoint>> {
        let mut preferred: Vec<_> =
            free_endpoints.iter().filter(|(e, _)| !avoid.contains(&e.vm)).collect();
        if preferred.is_empty() {
            preferred = free_endpoints.iter().collect();
        }
        let candidates: Vec<Candidate> =
            preferred.iter().map(|(_, candidate)| *candidate).collect();
        let mut rng = self.rng.borrow_mut();
        let at = route::choose(Policy::default(), &candidates, &mut *rng)?;
        Some(Rc::clone(&preferred[at].0))
    }

    /// Slots of a service that this daemon may use.
    fn slots(&self, service: &ServiceName) -> u32 {
        let now = self.now();
        let endpoints = self.endpoints.borrow();
        let home = endpoints.values().filter(|e| e.service == *service && self.is_home(e));
        home.map(|endpoint| endpoint.usable(self.share_of(endpoint, now), now)).sum()
    }

    fn is_home(&self, endpoint: &Endpoint) -> bool {
        endpoint.domain == self.settings.domain
    }

    fn record_failure(&self, endpoint: &Endpoint, now: Duration) {
        let endpoints = self.endpoints.borrow();
        let peers: Vec<_> = endpoints
            .values()
            .filter(|e| e.service == endpoint.service && e.domain == endpoint.domain)
            .filter(|e| e.listed.get() == EndpointState::Live)
            .collect();
        let ejected = peers.iter().filter(|e| e.health.borrow().is_out()).count();
        let may_eject = health::may_eject(ejected, peers.len());
        endpoint.health.borrow_mut().failed(now, may_eject);
    }

    fn probe_if_due(self: &Rc<Self>, endpoint: Rc<Endpoint>, now: Duration) {
        let due = endpoint.health.borrow().wants_probe(now);
        if !due || endpoint.probing.get() == Probing::Yes {
            return;
        }
        endpoint.probing.set(Probing::Yes);
        let fleet = Rc::clone(self);
        actix_web::rt::spawn(async move {
            let probed = endpoint.probe(None, now).await;
            endpoint.probing.set(Probing::No);
            let accepting = probed.is_some_and(|reply| reply.accepting);
            endpoint.health.borrow_mut().probed(accepting, fleet.now());
            fleet.assign_slots(&endpoint.service);
        });
    }
}
