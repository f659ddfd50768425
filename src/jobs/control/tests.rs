mod ended;
mod failure;
mod offers;

use super::{
    ActorHandles, Connect, Control, HandleCall, HandleOffer, HasShards, HelloReceived, StoreEvent,
};
use crate::clock::{Clock, ManualClock};
use crate::cluster::ownership::OWN_PAUSE_THRESHOLD;
use crate::cluster::{
    Hello, Member, MemberStage, Plan, ReleasedShard, ShardReport, StoreReachability,
};
use crate::ids::{DaemonId, DomainId, RackId, ServiceName, VmId};
use crate::job::progress::{Binding, BoundVm, OccurrenceProgress, Progress, TaskProgress};
use crate::job::{Image, Job, JobId, JobState, Life, QueueName, Repeat, Resume, RunNumber, Step};
use crate::jobs::calls::{Call, Reply};
use crate::jobs::links::PeerLinks;
use crate::jobs::machines::UpkeepAction;
use crate::jobs::orders::{RequestPermits, VmCall};
use crate::jobs::records::{
    ClaimShard, CommitShard, ConfirmOwnership, OwnershipStatus, ReadHeads, RemoveShard,
};
use crate::jobs::view::{RemoteClock, View};
use crate::journal::Journal;
use crate::kv::Rev;
use crate::note::Weight;
use crate::permit::{self, PermitResp};
use crate::ring::{Ring, WhenFull};
use crate::shard::interference::{Estimate, Pair, PairEstimate};
use crate::shard::learned::{Inherited, Learned, StoredRecord};
use crate::shard::{
    AdmissionMode, Answer, PreviousOwner, Recovered, ReportedLapse, Settings, SilenceMark,
    SilentVm, VmLapse,
};
use crate::units::Resources;
use crate::vm::{Fence, VmEntry, VmState};
use actix::prelude::*;
use bytes::Bytes;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::sync::watch;

const SHARD: &str = "kacyiru/0";

/// Far longer than any answer takes here; reached only when a test fails.
const TEST_TIMEOUT: Duration = Duration::from_secs(20);

/// Stands in for the other actors.
struct FakeActors {
    /// What the store reports about the owner of every shard.
    ownership: OwnershipStatus,
    /// Claims that were requested.
    claims: Arc<Mutex<Vec<ClaimShard>>>,
}

impl Actor for FakeActors {
    type Context = Context<Self>;
}

impl Handler<ConfirmOwnership> for FakeActors {
    type Result = OwnershipStatus;

    fn handle(&mut self, _: ConfirmOwnership, _: &mut Self::Context) -> Self::Result {
        self.ownership
    }
}

impl Handler<RequestPermits> for FakeActors {
    type Result = permit::Result<PermitResp>;

    fn handle(&mut self, _: RequestPermits, _: &mut Self::Context) -> Self::Result {
        Err(permit::Error::NotSent { reason: "no service".to_owned() })
    }
}

impl Handler<ClaimShard> for FakeActors {
    type Result = ();

    fn handle(&mut self, msg: ClaimShard, _: &mut Self::Context) {
        self.claims.lock().expect("no test panics with it").push(msg);
    }
}

/// Implements handlers that ignore their message.
macro_rules! ignored {
    ($($msg:ty),+) => {
        $(impl Handler<$msg> for FakeActors {
            type Result = ();

            fn handle(&mut self, _: $msg, _: &mut Self::Context) {}
        })+
    };
}

ignored!(VmCall, UpkeepAction, CommitShard, RemoveShard, ReadHeads);

fn me() -> Member {
    Member {
        id: DaemonId::new("one@1"),
        name: "one".to_owned(),
        domain: DomainId::new("kacyiru"),
        addr: "127.0.0.1:1".to_owned(),
        stage: MemberStage::Serving,
        milli_cores: 100,
    }
}

fn control(clock: Arc<ManualClock>) -> Addr<Control> {
    logging_control(clock, std::io::sink())
}

fn logging_control(
    clock: Arc<ManualClock>,
    out: impl std::io::Write + Send + 'static,
) -> Addr<Control> {
    let others = FakeActors { ownership: OwnershipStatus::Lost, claims: Arc::default() };
    start_control(me(), clock, out, others).0
}

fn start_control(
    me: Member,
    clock: Arc<ManualClock>,
    out: impl std::io::Write + Send + 'static,
    others: FakeActors,
) -> (Addr<Control>, Addr<PeerLinks>, Recipient<RequestPermits>) {
    let journal = Journal::start(clock.clone(), Weight::Telling, out);
    let (publish, _) = watch::channel(Arc::new(View::default()));
    let settings = Settings::default();
    let in_force = Duration::from_secs(2);
    let control =
        Control::new(me, settings, in_force, clock.clone(), journal, publish, Arc::default());
    let control = control.start();
    let others = others.start();
    let links = PeerLinks::new(control.clone(), clock).start();
    control.do_send(Connect(ActorHandles {
        vm_calls: Ring::new(others.clone(), WhenFull::Drop),
        permits: others.clone().recipient(),
        upkeep: others.clone().recipient(),
        links: links.clone(),
        claims: others.clone().recipient(),
        commits: others.clone().recipient(),
        removals: others.clone().recipient(),
        heads: others.clone().recipient(),
        confirmations: others.clone().recipient(),
    }));
    (control, links, others.recipient())
}

fn claimed() -> StoreEvent {
    StoreEvent::Claimed(Box::new(Recovered {
        shard: SHARD.to_owned(),
        fence: Fence(7),
        seq: 0,
        previous: PreviousOwner::Ended,
        earlier_active: Duration::ZERO,
        before_previous: None,
        extended_until: None,
        predecessor: None,
        claimed_at: Duration::ZERO,
        written_by: Duration::ZERO,
        unresponsive_vms: Vec::new(),
        silent: Vec::new(),
        reported_lapses: Vec::new(),
        learned: Inherited::default(),
        jobs: Vec::new(),
        progress: Vec::new(),
    }))
}

// A daemon was paused, and another one has claimed its shard. A call made then is deferred until
// the store tells who owns the shard. The call had no effect, so the caller must be referred to the
// new owner. Guards against leaving the caller without an answer.
#[actix::test]
async fn calls_held_for_a_shard_that_was_lost_are_sent_on_to_its_owner() {
    let clock = Arc::new(ManualClock::new());
    let control = control(clock.clone());
    control.send(claimed()).await.expect("a control");
    clock.advance(2 * OWN_PAUSE_THRESHOLD);
    for call in [Call::Show(JobId(1)), Call::Cancel(JobId(1))] {
        let asked = control.send(HandleCall { shard: SHARD.to_owned(), call, valid_until: None });
        let reply = tokio::time::timeout(TEST_TIMEOUT, asked).await.expect("an answer");
        assert_eq!(reply.expect("a control"), Reply::NotOwner);
    }
    assert!(clock.now() >= OWN_PAUSE_THRESHOLD);
}

// Guards against a job that starts although its caller has long been answered: it was submitted over a
// connection that a partition held up.
#[actix::test]
async fn a_job_is_not_accepted_once_its_caller_has_stopped_waiting() {
    let clock = Arc::new(ManualClock::new());
    let control = control(clock.clone());
    control.send(claimed()).await.expect("a control");
    clock.advance(Duration::from_millis(100));
    let job = Box::new(job_without_steps());
    let (shard, call) = (SHARD.to_owned(), Call::Submit(job, AdmissionMode::Always));
    let valid_until = Some(Duration::from_millis(99));
    let reply = control.send(HandleCall { shard, call, valid_until });
    let reply = tokio::time::timeout(TEST_TIMEOUT, reply).await.expect("an answer");
    let reply = reply.expect("a control");
    assert!(matches!(reply, Reply::Answer(Answer::Unknown { .. })), "{reply:?}");
}

// Guards against a waiting caller's job that is dropped since a hello that was held up tells an old time.
#[test]
fn a_clock_reading_that_was_held_up_replaces_no_better_one() {
    let second = Duration::from_secs;
    let prompt = RemoteClock::new(second(100), second(1000));
    let late = RemoteClock::new(second(150), second(1001));
    for clock in [prompt.closer(late), late.closer(prompt)] {
        assert_eq!(clock.at(second(160)), second(1060));
    }
}

fn job_without_steps() -> Job {
    Job {
        id: JobId(2),
        queue: QueueName::new("builds"),
        service: ServiceName::new("shop"),
        payload: Arc::from(""),
        steps: Vec::new(),
        repeat: Repeat::Once,
        accepted: Duration::ZERO,
        terms: None,
    }
}

/// Collects log output for the test.
#[derive(Clone, Default)]
struct LogBuffer(Arc<Mutex<Vec<u8>>>);

impl std::io::Write for LogBuffer {
    fn write(&mut self, buf: &[u8]) -> std::io::Result<usize> {
        self.0.lock().expect("no test panics with it").extend_from_slice(buf);
        Ok(buf.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

impl LogBuffer {
    fn text(&self) -> String {
        let bytes = self.0.lock().expect("no test panics with it");
        String::from_utf8_lossy(&bytes).into_owned()
    }

    /// Waits until an event is logged `times` times; returns `false` after the timeout.
    async fn wait_for(&self, event: &str, times: usize) -> bool {
        let found = || {
            let bytes = self.0.lock().expect("no test panics with it");
            String::from_utf8_lossy(&bytes).matches(event).count() >= times
        };
        let waited = async {
            while !found() {
                actix::clock::sleep(Duration::from_millis(20)).await;
            }
        };
        tokio::time::timeout(TEST_TIMEOUT, waited).await.is_ok()
    }
}

const VM: &str = "i-1";

/// A claimed shard with a task on a VM that the store lists as silent.
fn claimed_with_silent_vm() -> StoreEvent {
    let size = Resources::new(1000, 1000, 0);
    let step = Step {
        resume: Resume::FromCheckpoint,
        life: Life::Lasting,
        ..Step::new(1, size, Duration::ZERO)
    };
    let job = Job {
        id: JobId(1),
        queue: QueueName::new("builds"),
        service: ServiceName::new("shop"),
        payload: Arc::from(""),
        steps: vec![step],
        repeat: Repeat::Once,
        accepted: Duration::ZERO,
        terms: None,
    };
    let run = RunNumber(1);
    let bound = vec![Binding { vm: 0, run }];
    let task = TaskProgress { last_run: run, bound, ..TaskProgress::default() };
    let progress = Progress {
        state: JobState::Running,
        lender: None,
        vms: vec![BoundVm { id: VmId::new(VM), addr: Arc::from("127.0.0.1:1") }],
        shards: Vec::new(),
        started_occurrences: 1,
        open_occurrences: vec![OccurrenceProgress { number: 0, steps: vec![vec![task]] }],
        crashes: Vec::new(),
    };
    let StoreEvent::Claimed(mut recovered) = claimed() else { unreachable!("a claim") };
    recovered.silent = vec![SilentVm { vm: VmId::new(VM), mark: SilenceMark(3), left: None }];
    recovered.progress = vec![(job.id, progress)];
    recovered.jobs = vec![Arc::new(job)];
    StoreEvent::Claimed(recovered)
}

/// Hello in which an earlier owner reports the silent VM.
fn hello() -> Hello {
    let lapse = VmLapse { vm: VmId::new(VM), left: Duration::from_secs(5) };
    let report = ShardReport {
        name: SHARD.to_owned(),
        fence: 5,
        earlier_active: Duration::ZERO,
        summary: Arc::default(),
        accepted: Vec::new(),
        learned: Learned::default(),
        lapses: vec![ReportedLapse { lapse, mark: SilenceMark(3) }],
    };
    let from = Member { id: DaemonId::new("two@1"), name: "two".to_owned(), ..me() };
    let store = StoreReachability::Reached;
    let shards = Arc::new([report]);
    Hello {
        from,
        number: 1,
        clock: Duration::ZERO,
        uptime: Duration::ZERO,
        store,
        config: 1,
        shards,
        released: Vec::new(),
        ended: Vec::new(),
    }
}

/// The only shard that a hello reports.
fn reported(hello: &mut Hello) -> &mut ShardReport {
    &mut Arc::get_mut(&mut hello.shards).expect("the only copy")[0]
}

// A daemon loses a shard and claims it again. Guards against it forgetting what it reported about
// silent VMs, which would leave the work of a dead VM stalled.
#[actix::test]
async fn an_owner_that_takes_its_shard_back_knows_what_it_told_of_silent_vms() {
    let clock = Arc::new(ManualClock::new());
    let lines = LogBuffer::default();
    let control = logging_control(clock.clone(), lines.clone());
    control.send(HelloReceived { hello: hello(), asked: None }).await.expect("a control");
    control.send(claimed_with_silent_vm()).await.expect("a control");
    assert!(lines.wait_for("vm-lapse-told", 1).await, "the earlier owner reported the VM");
    clock.advance(2 * OWN_PAUSE_THRESHOLD);
    control
        .send(HandleCall { shard: SHARD.to_owned(), call: Call::Show(JobId(1)), valid_until: None })
        .await
        .ok();
    assert!(
        !control.send(HasShards).await.expect("a control"),
        "the shard is dropped after the store reports another owner"
    );
    control.send(claimed_with_silent_vm()).await.expect("a control");
    assert!(lines.wait_for("vm-lapse-told", 2).await, "the daemon itself reported the VM before");
}

/// Offers the shard with a silent VM whose work has ended, and then claims it from this owner.
async fn claim_after_offer(predecessor: Fence) -> LogBuffer {
    let clock = Arc::new(ManualClock::new());
    let lines = LogBuffer::default();
    let control = logging_control(clock.clone(), lines.clone());
    let lapses = vec![VmLapse { vm: VmId::new(VM), left: Duration::ZERO }];
    let (name, from) = (SHARD.to_owned(), DaemonId::new("two@1"));
    let released = ReleasedShard { name, fence: 5, earlier_active: Duration::ZERO };
    control.send(HandleOffer { from, released, lapses }).await.expect("a control");
    let StoreEvent::Claimed(mut recovered) = claimed_with_silent_vm() else { unreachable!() };
    recovered.predecessor = Some(predecessor);
    control.send(StoreEvent::Claimed(recovered)).await.expect("a control");
    for _ in 0..8 {
        clock.advance(OWN_PAUSE_THRESHOLD / 2);
        actix::clock::sleep(Duration::from_millis(60)).await;
    }
    lines
}

// Guards against tasks that run twice: the offering daemon took the shard back, extended the work
// of a VM that it had called silent, and lost the shard again without an offer.
#[actix::test]
async fn an_offer_of_an_earlier_ownership_tells_nothing_of_silent_vms() {
    let lines = claim_after_offer(Fence(5)).await;
    assert!(
        lines.wait_for("task-gone", 1).await,
        "the last owner offered the shard: {}",
        lines.text()
    );
    let lines = claim_after_offer(Fence(6)).await;
    assert!(!lines.text().contains("task-gone"), "the VM's work may have been extended since");
}

/// Returns the shard that each of some racks is planned for.
#[derive(Message)]
#[rtype(result = "Vec<Option<String>>")]
struct PlannedShards(Vec<VmEntry>);

impl Handler<PlannedShards> for Control {
    type Result = Vec<Option<String>>;

    fn handle(&mut self, msg: PlannedShards, _: &mut Self::Context) -> Self::Result {
        msg.0.iter().map(|vm| self.plan.shard_of(vm)).collect()
    }
}

fn vm_in_rack(rack: &str) -> VmEntry {
    VmEntry {
        id: VmId::new(rack),
        service: ServiceName::new("shop"),
        domain: DomainId::new("kacyiru"),
        rack: RackId::new(rack),
        labels: Vec::new(),
        size: Resources::new(1000, 1000, 0),
        state: VmState::Ready,
        addr: Arc::from("127.0.0.1:1"),
        announced: Rev::ABSENT,
        announced_after: None,
    }
}

// Two reads of the plan overlap, and the older is answered last. Guards against VMs of new racks
// that belong to no shard from then on.
#[actix::test]
async fn an_older_plan_replaces_no_newer_one() {
    let control = control(Arc::new(ManualClock::new()));
    let vms = vec![vm_in_rack("r1"), vm_in_rack("r2")];
    let older = Plan::default().extended(&vms[..1]).expect("its rack is new");
    let newer = older.extended(&vms).expect("its rack is new");
    for plan in [older.clone(), newer, older, Plan::default()] {
        control.send(StoreEvent::Plan(plan)).await.expect("a control");
    }
    let planned = control.send(PlannedShards(vms)).await.expect("a control");
    assert_eq!(planned, [Some("kacyiru.0".to_owned()), Some("kacyiru.0".to_owned())]);
}

// Guards against work of a dead VM that is delayed: the report on it was replaced by an older hello
// that was held up on the way, of the same owner or of an earlier one.
#[actix::test]
async fn a_late_hello_replaces_no_newer_report() {
    let (newest, mut late) = (Hello { number: 9, ..hello() }, hello());
    reported(&mut late).lapses.clear();
    let mut former = Hello { number: 50, ..hello() };
    reported(&mut former).lapses.clear();
    reported(&mut former).fence = 4;
    for late in [late, former] {
        let lines = LogBuffer::default();
        let control = logging_control(Arc::new(ManualClock::new()), lines.clone());
        for hello in [newest.clone(), late] {
            control.send(HelloReceived { hello, asked: None }).await.expect("a control");
        }
        control.send(claimed_with_silent_vm()).await.expect("a control");
        assert!(lines.wait_for("vm-lapse-told", 1).await, "the owner reported the VM");
    }
}

/// What the shard had learned of one pair of images.
fn learned() -> Learned {
    let pair = Pair { leftover: Image::new("fares"), serving: Image::new("map") };
    let amount = Estimate { mean: 2.0, variance: 0.01 };
    Learned { run_times: Vec::new(), pairs: vec![PairEstimate { pair, amount }] }
}

/// Claims the shard with this record after a hello with this report, and returns the log.
async fn claim_learned(record: StoredRecord, report: Learned, wait_for: &str) -> String {
    let lines = LogBuffer::default();
    let control = logging_control(Arc::new(ManualClock::new()), lines.clone());
    let mut hello = hello();
    reported(&mut hello).learned = report;
    control.send(HelloReceived { hello, asked: None }).await.expect("a control");
    let StoreEvent::Claimed(mut recovered) = claimed() else { unreachable!("a claim") };
    recovered.learned.record = record;
    control.send(StoreEvent::Claimed(recovered)).await.expect("a control");
    assert!(lines.wait_for(wait_for, 1).await, "{}", lines.text());
    lines.text()
}

// Guards against a daemon that has heard what a shard had learned and doesn't start from it as it
// claims the shard.
#[actix::test]
async fn a_claimed_shard_starts_from_what_its_owner_had_reported() {
    let text = claim_learned(StoredRecord::Absent, learned(), "learned-restored").await;
    assert!(text.contains("source=report queues=0 pairs=1"), "{text}");
    assert!(!text.contains("learned-unreadable"), "{text}");
}

// Guards against a record of another version that fails the claim or hides the report.
#[actix::test]
async fn an_unreadable_record_gives_way_to_the_report() {
    let foreign = StoredRecord::Found(Bytes::from_static(&[99, 0, 0]));
    let text = claim_learned(foreign, learned(), "learned-restored").await;
    assert!(text.contains("learned-unreadable"), "{text}");
    assert!(text.contains("version 99"), "{text}");
    assert!(text.contains("source=report"), "{text}");
}

/// Returns the shards of which the last report is kept.
#[derive(Message)]
#[rtype(result = "Vec<String>")]
struct KeptReports;

impl Handler<KeptReports> for Control {
    type Result = Vec<String>;

    fn handle(&mut self, _: KeptReports, _: &mut Self::Context) -> Self::Result {
        self.learned.keys().cloned().collect()
    }
}

// Guards against local shards that don't learn from each other, and against a daemon that loses a
// shard and starts from nothing as it claims it again.
#[actix::test]
async fn reports_of_local_shards_are_kept() {
    let clock = Arc::new(ManualClock::new());
    let control = control(clock.clone());
    let mut hello = hello();
    reported(&mut hello).learned = learned();
    control.send(HelloReceived { hello, asked: None }).await.expect("a control");
    assert_eq!(control.send(KeptReports).await.expect("a control"), [SHARD]);
    control.send(claimed()).await.expect("a control");
    assert_eq!(control.send(KeptReports).await.expect("a control"), [""; 0]);
    for _ in 0..8 {
        clock.advance(OWN_PAUSE_THRESHOLD / 2);
        actix::clock::sleep(Duration::from_millis(60)).await;
    }
    assert_eq!(control.send(KeptReports).await.expect("a control"), [SHARD]);
}
