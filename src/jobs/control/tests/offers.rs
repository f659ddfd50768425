//! Offers of shards between daemons that are connected with each other.

use super::{
    FakeActors, HasShards, HelloReceived, LogBuffer, StoreEvent, TEST_TIMEOUT, claimed, me,
    start_control, vm_in_rack,
};
use crate::clock::ManualClock;
use crate::cluster::{Head, Hello, Member, Plan, ReleasedShard, ShardReport, StoreReachability};
use crate::ids::DaemonId;
use crate::inbound::{MachineLimits, Port};
use crate::jobs::control::{Control, Drain, HandleOffer, ReleaseShards};
use crate::jobs::links;
use crate::jobs::records::{ClaimShard, OwnershipStatus};
use crate::shard::PreviousOwner;
use crate::vm::Fence;
use actix::prelude::*;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Mutex};
use std::time::Duration;

pub(super) const SHARD: &str = "kacyiru.0";
pub(super) const FENCE: u64 = 7;

/// A daemon that serves other daemons' calls; its store and its VMs are stand-ins.
pub(super) struct Node {
    pub(super) control: Addr<Control>,
    claims: Arc<Mutex<Vec<ClaimShard>>>,
    pub(super) lines: LogBuffer,
}

impl Node {
    async fn start(me: Member, listener: TcpListener, clock: Arc<ManualClock>) -> Self {
        Self::start_with(me, listener, clock, OwnershipStatus::Owned).await
    }

    /// Starts a daemon that is told `ownership` by the store when it asks for its shards.
    pub(super) async fn start_with(
        me: Member,
        listener: TcpListener,
        clock: Arc<ManualClock>,
        ownership: OwnershipStatus,
    ) -> Self {
        let (claims, lines) = (Arc::default(), LogBuffer::default());
        let others = FakeActors { ownership, claims };
        let claims = others.claims.clone();
        let (control, links, permits) = start_control(me, clock.clone(), lines.clone(), others);
        let limits = MachineLimits { memory_mb: 256, max_fds: 4096 }.peers();
        let port = Port::new(limits, clock);
        let served = links::serve(listener, port, links, control.clone(), permits).await;
        served.expect("a listening socket");
        Self { control, claims, lines }
    }

    pub(super) async fn store(&self, event: StoreEvent) {
        self.control.send(event).await.expect("a control");
    }

    /// Lets the daemon reach the store and read the plan and the owner of the shard from it.
    pub(super) async fn read_store(&self, owner: &Member) {
        let (reach, silent) = (StoreReachability::Reached, Duration::ZERO);
        self.store(StoreEvent::Reach { reach, silent, reason: String::new() }).await;
        let plan = Plan::default().extended(&[vm_in_rack("r1")]).expect("its rack is new");
        self.store(StoreEvent::Plan(plan)).await;
        let head = Head { fence: FENCE, ..Head::claim(owner.id.clone(), None) };
        self.store(StoreEvent::Heads(vec![(SHARD.to_owned(), head)])).await;
    }

    /// Makes the daemon the owner of the shard.
    pub(super) async fn own(&self) {
        let StoreEvent::Claimed(mut recovered) = claimed() else { unreachable!("a claim") };
        recovered.shard = SHARD.to_owned();
        recovered.fence = Fence(FENCE);
        self.store(StoreEvent::Claimed(recovered)).await;
    }

    pub(super) async fn hear(&self, from: &Member, shards: Vec<ShardReport>) {
        let (from, store) = (from.clone(), StoreReachability::Reached);
        let hello = Hello {
            from,
            number: 1,
            clock: Duration::ZERO,
            uptime: Duration::ZERO,
            store,
            config: 1,
            shards: shards.into(),
            released: Vec::new(),
            ended: Vec::new(),
        };
        self.control.send(HelloReceived { hello, asked: None }).await.expect("a control");
    }

    pub(super) async fn has_shards(&self) -> bool {
        self.control.send(HasShards).await.expect("a control")
    }

    pub(super) fn claims(&self) -> Vec<PreviousOwner> {
        let claims = self.claims.lock().expect("no test panics with it");
        claims.iter().map(|claim| claim.previous).collect()
    }

    /// Waits for the first claim, while the clock of the daemons stands.
    pub(super) async fn wait_for_claim(&self) -> Vec<PreviousOwner> {
        let waited = async {
            while self.claims().is_empty() {
                actix::clock::sleep(Duration::from_millis(5)).await;
            }
        };
        // Without a claim the caller's assertion fails.
        let _ = tokio::time::timeout(TEST_TIMEOUT, waited).await;
        self.claims()
    }
}

pub(super) fn listener() -> TcpListener {
    TcpListener::bind(SocketAddr::from(([127, 0, 0, 1], 0))).expect("a free port")
}

/// A daemon with that address; of two the one with more CPU is offered a shard first.
pub(super) fn member(name: &str, milli_cores: u32, listener: &TcpListener) -> Member {
    let addr = listener.local_addr().expect("an address").to_string();
    let (id, name) = (DaemonId::new(&format!("{name}@1")), name.to_owned());
    Member { id, name, addr, milli_cores, ..me() }
}

/// The owner of the shard, the daemon that it will offer the shard to, and the next best one.
struct Trio {
    owner: Node,
    candidate: Member,
    next: Node,
    clock: Arc<ManualClock>,
}

impl Trio {
    /// Starts the owner and the next best daemon beside a candidate at this listener's address.
    async fn start(candidate: &TcpListener) -> Self {
        let clock = Arc::new(ManualClock::new());
        let (at_owner, at_next) = (listener(), listener());
        let candidate = member("candidate", 110, candidate);
        let members = [member("owner", 100, &at_owner), member("next", 105, &at_next)];
        let [owner, next] = members.clone();
        let owner = Node::start(owner, at_owner, clock.clone()).await;
        let next = Node::start(next, at_next, clock.clone()).await;
        for node in [&owner, &next] {
            node.read_store(&members[0]).await;
        }
        owner.own().await;
        for from in [&candidate, &members[1]] {
            owner.hear(from, Vec::new()).await;
        }
        Self { owner, candidate, next, clock }
    }
}

// Guards against a shard without an owner while daemons are stopped in turn: the daemon that it was
// offered to had just begun to stop itself, and the offer was sent once.
#[actix::test]
async fn a_shard_offered_to_a_daemon_that_stops_too_goes_to_the_next_one() {
    let at_candidate = listener();
    let trio = Trio::start(&at_candidate).await;
    let candidate = Node::start(trio.candidate.clone(), at_candidate, trio.clock.clone()).await;
    candidate.read_store(&trio.candidate).await;
    candidate.control.send(Drain).await.expect("a control");
    trio.owner.control.send(Drain).await.expect("a control");
    assert_eq!(trio.next.wait_for_claim().await, [PreviousOwner::Ended]);
    assert_eq!(candidate.claims(), [], "it stops");
    let declined = "candidate=candidate@1 outcome=declined reason=\"the daemon stops\"";
    assert!(trio.owner.lines.wait_for(declined, 1).await, "{}", trio.owner.lines.text());
    let accepted = "candidate=next@1 outcome=accepted";
    assert!(trio.owner.lines.wait_for(accepted, 1).await, "{}", trio.owner.lines.text());
}

// The same, where the process of that daemon has ended and its port refuses connections.
#[actix::test]
async fn a_shard_offered_to_a_daemon_that_has_ended_goes_to_the_next_one() {
    let at_candidate = listener();
    let trio = Trio::start(&at_candidate).await;
    drop(at_candidate);
    trio.owner.control.send(Drain).await.expect("a control");
    assert_eq!(trio.next.wait_for_claim().await, [PreviousOwner::Ended]);
}

// The same, where a new process of that daemon answers, which has read nothing from the store yet:
// its claim would fail.
#[actix::test]
async fn a_shard_offered_to_a_daemon_that_just_restarted_goes_to_the_next_one() {
    let at_candidate = listener();
    let trio = Trio::start(&at_candidate).await;
    let later = Member { id: DaemonId::new("candidate@2"), ..trio.candidate.clone() };
    let candidate = Node::start(later, at_candidate, trio.clock.clone()).await;
    trio.owner.control.send(Drain).await.expect("a control");
    assert_eq!(trio.next.wait_for_claim().await, [PreviousOwner::Ended]);
    assert_eq!(candidate.claims(), [], "it doesn't know the shard");
}

// The same, where the daemon is frozen: its port accepts connections and no call is answered.
#[actix::test]
async fn a_shard_offered_to_a_daemon_that_is_frozen_goes_to_the_next_one() {
    let at_candidate = listener();
    let trio = Trio::start(&at_candidate).await;
    trio.owner.control.send(Drain).await.expect("a control");
    assert_eq!(trio.next.wait_for_claim().await, [PreviousOwner::Ended]);
    drop(at_candidate);
}

// Guards against a shard without an owner for seconds: a claim succeeds as the daemon is about to
// end, and none of its hellos lists the shard.
#[actix::test]
async fn a_shard_released_before_any_hello_lists_it_is_claimed_as_released() {
    let clock = Arc::new(ManualClock::new());
    let (at_owner, at_next) = (listener(), listener());
    let (owner, next) = (member("owner", 100, &at_owner), member("next", 105, &at_next));
    let stopping = Node::start(owner.clone(), at_owner, clock.clone()).await;
    let serving = Node::start(next.clone(), at_next, clock.clone()).await;
    stopping.read_store(&owner).await;
    serving.read_store(&owner).await;
    serving.hear(&owner, Vec::new()).await;
    // It is not known to reach the store, so that no shard is handed over to it.
    stopping.store(StoreEvent::Members(vec![next])).await;
    stopping.control.send(Drain).await.expect("a control");
    stopping.control.send(ReleaseShards).await.expect("a control");
    stopping.own().await;
    assert!(stopping.lines.wait_for("shard-lost", 1).await, "{}", stopping.lines.text());
    // Shorter than the time that an owner may take to load its shard.
    for _ in 0..16 {
        actix::clock::sleep(Duration::from_millis(40)).await;
        clock.advance(Duration::from_millis(150));
    }
    assert_eq!(serving.wait_for_claim().await, [PreviousOwner::Ended], "{}", serving.lines.text());
}

// Guards against a shard whose owner ends right after its claim: the daemon was told to stop while
// the claim was on its way, and didn't wait for it.
#[actix::test]
async fn a_planned_stop_waits_for_a_claim_on_its_way() {
    let at_candidate = listener();
    let candidate = member("candidate", 110, &at_candidate);
    let node = Node::start(candidate, at_candidate, Arc::new(ManualClock::new())).await;
    let owner = member("owner", 100, &listener());
    node.read_store(&owner).await;
    assert!(!node.has_shards().await);
    let (name, lapses) = (SHARD.to_owned(), Vec::new());
    let released = ReleasedShard { name, fence: FENCE, earlier_active: Duration::ZERO };
    let offer = HandleOffer { from: owner.id, released, lapses };
    node.control.send(offer).await.expect("a control");
    node.control.send(Drain).await.expect("a control");
    assert!(node.has_shards().await);
    let (shard, reason) = (SHARD.to_owned(), "another daemon was quicker".to_owned());
    node.store(StoreEvent::ClaimFailed { shard, head: None, reason }).await;
    assert!(!node.has_shards().await);
}

// Guards against a daemon that ends before another one has taken its shard: those that it is offered
// to are frozen, and it could offer it further or take it back.
#[actix::test]
async fn a_planned_stop_waits_for_an_offer_that_nobody_has_accepted() {
    let (at_owner, frozen) = (listener(), listener());
    let owner = member("owner", 100, &at_owner);
    let node = Node::start(owner.clone(), at_owner, Arc::new(ManualClock::new())).await;
    node.read_store(&owner).await;
    node.own().await;
    node.hear(&member("candidate", 110, &frozen), Vec::new()).await;
    node.control.send(Drain).await.expect("a control");
    assert!(node.lines.wait_for("shard-offered", 1).await, "{}", node.lines.text());
    assert!(node.has_shards().await);
}
