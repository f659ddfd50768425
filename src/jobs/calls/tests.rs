use super::{
    Answer, Call, JobClient, MAX_CLOCK_LAG, RETRY_AFTER_EVACUATION, RETRY_AFTER_OUTAGE, Reply,
};
use crate::clock::{Clock, SystemClock};
use crate::cluster::{
    DeclineReason, Hello, Member, MemberStage, OfferAnswer, ReleasedShard, StoreReachability,
};
use crate::ids::{DaemonId, DomainId, RackId, ServiceName, VmId};
use crate::job::{Job, JobId, JobState, Label, QueueName, Repeat, Step};
use crate::jobs::control::Control;
use crate::jobs::links::{JobsRpc, PeerLinks};
use crate::jobs::records::{FindJob, JobLocation};
use crate::jobs::view::{JobDirectory, Owner, RemoteClock, ShardView, View};
use crate::journal::Journal;
use crate::kv::Rev;
use crate::note::Weight;
use crate::permit::{self, PermitReq, PermitResp};
use crate::shard::loan::LoanMsg;
use crate::shard::{Settings, Summary, VmLapse};
use crate::units::Resources;
use crate::vm::{Fence, VmEntry, VmState};
use actix::prelude::*;
use futures::StreamExt;
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tarpc::context::Context as CallContext;
use tarpc::server::{BaseChannel, Channel};
use tarpc::tokio_serde::formats::Bincode;
use tokio::sync::watch;

const JOB: JobId = JobId(0xa1);
const SHARD: &str = "kacyiru/0";

/// Far longer than any answer takes here; reached only when a test fails.
const TEST_TIMEOUT: Duration = Duration::from_secs(20);

/// Budget of calls that are expected to time out.
const CALL_TIMEOUT: Duration = Duration::from_millis(60);

/// Answers job lookups with a fixed result, or never if it is `None`.
struct FakeStore(Option<JobLocation>);

impl Actor for FakeStore {
    type Context = Context<Self>;
}

impl Handler<FindJob> for FakeStore {
    type Result = ResponseFuture<JobLocation>;

    fn handle(&mut self, _: FindJob, _: &mut Self::Context) -> Self::Result {
        match self.0.clone() {
            Some(found) => Box::pin(std::future::ready(found)),
            None => Box::pin(std::future::pending()),
        }
    }
}

fn member(name: &str, addr: SocketAddr) -> Member {
    Member {
        id: DaemonId::new(name),
        name: name.to_owned(),
        domain: DomainId::new("kacyiru"),
        addr: addr.to_string(),
        stage: MemberStage::Serving,
        milli_cores: 100,
    }
}

/// Client on a daemon that owns no shard; `owner` is the address of the shard's owner, if any.
fn client(found: Option<JobLocation>, owner: Option<SocketAddr>) -> JobClient {
    let owner = owner.map(|addr| (SHARD, shard(addr, StoreReachability::Reached)));
    client_of(found, owner.into_iter().collect())
}

/// A shard whose owner was just heard from.
fn shard(addr: SocketAddr, store: StoreReachability) -> ShardView {
    let owner = Some(Owner::Remote(member("two", addr)));
    let summary = Arc::new(Summary { vms: 1, ..Summary::default() });
    ShardView {
        owner,
        store,
        summary,
        summary_at: SystemClock.now(),
        clock: None,
        is_evacuated: false,
    }
}

/// Client on a daemon that owns none of these shards.
fn client_of(found: Option<JobLocation>, shards: Vec<(&str, ShardView)>) -> JobClient {
    let mut view = View::default();
    view.shards.extend(shards.into_iter().map(|(name, shard)| (name.to_owned(), shard)));
    client_with_view(found, view)
}

/// Client on a daemon that owns no shard and has this view.
fn client_with_view(found: Option<JobLocation>, shown: View) -> JobClient {
    let clock: Arc<dyn Clock> = Arc::new(SystemClock);
    let journal = Journal::start(clock.clone(), Weight::Urgent, std::io::sink());
    let directory: Arc<Mutex<JobDirectory>> = Arc::default();
    let (publish, view) = watch::channel(Arc::new(View::default()));
    let me = member("one", SocketAddr::from(([127, 0, 0, 1], 1)));
    let (control_clock, known) = (clock.clone(), directory.clone());
    let (settings, in_force) = (Settings::default(), Duration::from_secs(2));
    let control = Control::new(me, settings, in_force, control_clock, journal, publish, known);
    let control = control.start();
    let (_, fixed) = watch::channel(Arc::new(shown));
    drop(view);
    let links = PeerLinks::new(control.clone(), clock.clone()).start();
    let finder = FakeStore(found).start().recipient();
    JobClient::new(fixed, directory, control, links, finder, clock)
}

fn job() -> Job {
    Job {
        id: JOB,
        queue: QueueName::new("builds"),
        service: ServiceName::new("shop"),
        payload: Arc::from(""),
        steps: Vec::new(),
        repeat: Repeat::Once,
        accepted: Duration::ZERO,
        terms: None,
    }
}

async fn answered(call: impl Future<Output = Answer>) -> Answer {
    tokio::time::timeout(TEST_TIMEOUT, call).await.expect("an answer")
}

/// A listener that accepts connections and never answers requests.
fn unserved_listener() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let addr = listener.local_addr().expect("an address");
    (listener, addr)
}

// The daemon doesn't know the job and looks it up in a store that doesn't answer. Guards against a
// call that waits for the store beyond its budget and leaves the caller without an answer.
#[actix::test]
async fn a_store_that_does_not_answer_leaves_no_caller_without_an_answer() {
    let client = client(None, None);
    let shown = answered(client.show(JOB, CALL_TIMEOUT)).await;
    assert!(matches!(shown, Answer::Unknown { .. }), "{shown:?}");
    let cancelled = answered(client.cancel(JOB, CALL_TIMEOUT)).await;
    assert!(matches!(cancelled, Answer::Unknown { .. }), "{cancelled:?}");
}

// The call's budget is used up before the job is sent to the shard's owner. It must be reported
// as not run, so that the caller can resubmit it; sending it without time for an answer would leave
// the outcome unknown.
#[actix::test]
async fn a_job_that_was_not_sent_in_time_is_reported_as_not_run() {
    let (_listener, addr) = unserved_listener();
    let client = client(None, Some(addr));
    client.remember_shard(JOB, SHARD);
    let answer = answered(client.submit(job(), Duration::ZERO)).await;
    assert!(matches!(answer, Answer::NotRun { .. }), "{answer:?}");
}

// Guards against submissions that wait for their whole time limit while no VM accepts work, and are then
// told that no shard has an owner.
#[actix::test]
async fn a_job_is_refused_soon_with_the_reason_while_no_vm_accepts_work() {
    let (_listener, addr) = unserved_listener();
    let without_vms = ShardView {
        summary: Arc::new(Summary::default()),
        summary_at: SystemClock.now() + 100 * TEST_TIMEOUT,
        ..shard(addr, StoreReachability::Reached)
    };
    let client = client_of(Some(JobLocation::NotFound), vec![(SHARD, without_vms)]);
    let answer = answered(client.submit(job(), 10 * TEST_TIMEOUT)).await;
    let Answer::NotRun { reason, .. } = answer else { panic!("{answer:?}") };
    assert!(reason.contains("VM"), "{reason}");
}

// A call with a long budget waits for a job's shard to become known when a planned shutdown begins.
// Guards against the call being cut off without an answer when the daemon exits.
#[actix::test]
async fn an_open_call_is_answered_before_a_planned_shutdown() {
    let client = client(Some(JobLocation::Unknown("the store is unreachable".to_owned())), None);
    let (waiting, clock) = (client.clone(), SystemClock);
    let caller = actix::spawn(async move { waiting.show(JOB, 10 * TEST_TIMEOUT).await });
    tokio::task::yield_now().await;
    client.set_shutdown_deadline(clock.now() + CALL_TIMEOUT);
    let answer = answered(async { caller.await.expect("a caller that doesn't panic") }).await;
    assert!(matches!(answer, Answer::Unknown { .. }), "{answer:?}");
}

/// A shard owner that gives the same answer to every submitted job, and reports every job as done.
#[derive(Clone)]
struct FakeOwner {
    submitted: Answer,
    /// When the caller of the last submitted job stops waiting.
    valid_until: Arc<Mutex<Option<Duration>>>,
    /// Number of calls to existing jobs that it answers as if it had no such job.
    denials: Arc<AtomicUsize>,
}

impl FakeOwner {
    fn new(submitted: Answer) -> Self {
        Self { submitted, valid_until: Arc::default(), denials: Arc::default() }
    }

    fn existing(&self, answer: Answer) -> Answer {
        let denied = |left: usize| left.checked_sub(1);
        match self.denials.fetch_update(Ordering::Relaxed, Ordering::Relaxed, denied) {
            Ok(_) => Answer::NotHere,
            Err(_) => answer,
        }
    }
}

impl JobsRpc for FakeOwner {
    async fn hello(self, _: CallContext, _: Hello) -> Option<Hello> {
        None
    }

    async fn call(
        self,
        _: CallContext,
        _: String,
        call: Call,
        valid_until: Option<Duration>,
    ) -> Reply {
        Reply::Answer(match call {
            Call::Submit(..) => {
                *self.valid_until.lock().expect("no test panics with it") = valid_until;
                self.submitted
            }
            Call::Cancel(_) => self.existing(Answer::Cancelling),
            Call::Show(_) => self.existing(Answer::Shown(JobState::Done)),
        })
    }

    async fn tell(self, _: CallContext, _: String, _: String, _: Fence, _: LoanMsg) {}

    async fn ask(self, _: CallContext, _: PermitReq) -> permit::Result<PermitResp> {
        Err(permit::Error::NotSent { reason: "no service".to_owned() })
    }

    async fn take(
        self,
        _: CallContext,
        _: DaemonId,
        _: ReleasedShard,
        _: Vec<VmLapse>,
    ) -> OfferAnswer {
        OfferAnswer::Declined(DeclineReason::Draining)
    }
}

/// Serves a shard owner whose first connection stays unanswered.
async fn serve_from_second_connection(listener: TcpListener) {
    listener.set_nonblocking(true).expect("a socket");
    let listener = tokio::net::TcpListener::from_std(listener).expect("a socket");
    let _silent = listener.accept().await.expect("a connection");
    serve_owner(listener, FakeOwner::new(Answer::Accepted)).await;
}

async fn serve_owner(listener: tokio::net::TcpListener, owner: FakeOwner) {
    loop {
        let (stream, _) = listener.accept().await.expect("a connection");
        let transport = tarpc::serde_transport::Transport::from((stream, Bincode::default()));
        let requests = BaseChannel::with_defaults(transport).execute(owner.clone().serve());
        actix::spawn(requests.for_each(|answer| async {
            actix::spawn(answer);
        }));
    }
}

// The existing connection to a shard's owner no longer responds, while new ones work. The call is
// idempotent and has time left after the first attempt times out, so it must be retried over a new
// connection instead of returning "unknown".
#[actix::test]
async fn a_silent_connection_is_not_the_end_of_a_call() {
    let (listener, addr) = unserved_listener();
    actix::spawn(serve_from_second_connection(listener));
    let client = client(None, Some(addr));
    client.remember_shard(JOB, SHARD);
    let answer = answered(client.show(JOB, TEST_TIMEOUT)).await;
    assert_eq!(answer, Answer::Shown(JobState::Done));
}

// Guards against jobs that are accepted after their callers have given up: the owner must learn when that
// is, on its own clock.
#[actix::test]
async fn a_shards_owner_is_told_how_long_the_caller_waits() {
    let owner = FakeOwner::new(Answer::Accepted);
    let addr = serve(owner.clone());
    let ahead = Duration::from_secs(5000);
    let now = SystemClock.now();
    let clock = Some(RemoteClock::new(now, now + ahead));
    let shard = ShardView { clock, ..shard(addr, StoreReachability::Reached) };
    let client = client_of(None, vec![(SHARD, shard)]);
    assert_eq!(answered(client.submit(job(), TEST_TIMEOUT)).await, Answer::Accepted);
    let valid_until = owner.valid_until.lock().expect("no test panics with it").expect("a time");
    let earliest = now + ahead + TEST_TIMEOUT;
    assert!(valid_until >= earliest, "{valid_until:?} for {earliest:?}");
    assert!(valid_until <= SystemClock.now() + ahead + TEST_TIMEOUT + MAX_CLOCK_LAG);
}

/// Address of a shard owner that gives this answer to every job.
fn owner_that_answers(answer: Answer) -> SocketAddr {
    serve(FakeOwner::new(answer))
}

/// Serves a shard owner, and returns its address.
fn serve(owner: FakeOwner) -> SocketAddr {
    let (listener, addr) = unserved_listener();
    listener.set_nonblocking(true).expect("a socket");
    let listener = tokio::net::TcpListener::from_std(listener).expect("a socket");
    actix::spawn(serve_owner(listener, owner));
    addr
}

/// Client of a shard whose owner answers this number of calls as if it didn't have the job, which
/// the store finds at `found`.
fn client_of_denying_owner(denials: usize, found: JobLocation) -> JobClient {
    let owner = FakeOwner::new(Answer::Accepted);
    owner.denials.store(denials, Ordering::Relaxed);
    client(Some(found), Some(serve(owner)))
}

// Guards against callers who are told that their job doesn't exist, and a cancelled job that runs on:
// the owner asked had lost the shard without knowing, and the job was accepted by the next one.
#[actix::test]
async fn a_job_in_the_store_is_not_reported_as_missing() {
    let found = JobLocation::Shard(SHARD.to_owned());
    let shown = answered(client_of_denying_owner(2, found.clone()).show(JOB, TEST_TIMEOUT)).await;
    assert_eq!(shown, Answer::Shown(JobState::Done));
    let client = client_of_denying_owner(2, found.clone());
    assert_eq!(answered(client.cancel(JOB, TEST_TIMEOUT)).await, Answer::Cancelling);
    let client = client_of_denying_owner(usize::MAX, found);
    let answer = answered(client.cancel(JOB, CALL_TIMEOUT)).await;
    assert!(matches!(answer, Answer::Unknown { .. }), "{answer:?}");
    let client = client_of_denying_owner(usize::MAX, JobLocation::NotFound);
    client.remember_shard(JOB, SHARD);
    assert_eq!(answered(client.cancel(JOB, TEST_TIMEOUT)).await, Answer::NotHere);
}

/// Calls that an owner has received which still denies `left` of at most `usize::MAX` calls.
fn calls_received(left: &AtomicUsize) -> usize {
    usize::MAX - left.load(Ordering::Relaxed)
}

// Guards against a store that is read many times for one call: the job is in the store, and the owner
// keeps saying that it isn't here. Each call to the owner is followed by a read.
#[actix::test]
async fn a_call_for_a_job_that_its_owner_denies_backs_off() {
    let owner = FakeOwner::new(Answer::Accepted);
    owner.denials.store(usize::MAX, Ordering::Relaxed);
    let denials = owner.denials.clone();
    let client = client(Some(JobLocation::Shard(SHARD.to_owned())), Some(serve(owner)));
    let answer = answered(client.show(JOB, Duration::from_secs(2))).await;
    assert!(matches!(answer, Answer::Unknown { .. }), "{answer:?}");
    let calls = calls_received(&denials);
    assert!(calls <= 8, "{calls} calls");
}

/// Submits a job to a shard whose owner has just fallen silent, and another whose owner gives this
/// answer.
async fn submit_beside_silent_owner(answer: Answer) -> Answer {
    let (_listener, silent) = unserved_listener();
    let heard = owner_that_answers(answer);
    // Ties are resolved in the order of the view, so the silent owner is tried first.
    let shards = vec![
        ("gikondo/0", shard(silent, StoreReachability::Reached)),
        (SHARD, shard(heard, StoreReachability::Reached)),
    ];
    answered(client_of(None, shards).submit(job(), TEST_TIMEOUT)).await
}

// Guards against a job that is answered "unknown" though other owners could have accepted it: a
// failure domain is cut off, and its owners aren't known to be lost yet.
#[actix::test]
async fn a_job_left_unanswered_by_one_owner_is_sent_to_another() {
    assert_eq!(submit_beside_silent_owner(Answer::Accepted).await, Answer::Accepted);
}

// Guards against a false "has not run": the silent owner may still accept the job that the other
// one refuses.
#[actix::test]
async fn a_refusal_after_an_unanswered_attempt_leaves_the_outcome_unknown() {
    let (reason, retry_after) = ("full".to_owned(), Duration::from_secs(2));
    let answer = submit_beside_silent_owner(Answer::NotRun { reason, retry_after }).await;
    assert!(matches!(answer, Answer::Unknown { .. }), "{answer:?}");
}

/// Submits a job that the only shard's owner finds of no use, and that the store finds there.
async fn submit_of_no_use(found: JobLocation) -> Answer {
    let (reason, retry_after) = ("late".to_owned(), Duration::from_secs(2));
    let owner = owner_that_answers(Answer::OfNoUse { reason, retry_after });
    let shards = vec![(SHARD, shard(owner, StoreReachability::Reached))];
    answered(client_of(Some(found), shards).submit(job(), CALL_TIMEOUT)).await
}

// Guards against a false "has not run": an earlier call for the job was accepted by another shard,
// and its answer was lost.
#[actix::test]
async fn a_job_of_no_use_is_reported_as_not_run_only_if_no_shard_has_it() {
    let answer = submit_of_no_use(JobLocation::NotFound).await;
    assert!(matches!(answer, Answer::NotRun { .. }), "{answer:?}");
    let found = [JobLocation::Shard("gikondo/0".to_owned()), JobLocation::Unknown(String::new())];
    for found in found {
        let answer = submit_of_no_use(found).await;
        assert!(matches!(answer, Answer::Unknown { .. }), "{answer:?}");
    }
}

// Guards against a call that waits for its whole timeout for an owner whose hellos have stopped.
#[actix::test]
async fn a_call_is_given_up_once_the_owner_has_fallen_silent() {
    let (_listener, silent) = unserved_listener();
    let client = client_of(None, vec![(SHARD, shard(silent, StoreReachability::Reached))]);
    let reason = "the shard's owner has fallen silent".to_owned();
    assert_eq!(answered(client.submit(job(), TEST_TIMEOUT)).await, Answer::Unknown { reason });
}

// Guards against callers who wait, or are sent from owner to owner, while no owner can make a job
// durable. Nothing listens at the owners' addresses: a connection would end in another refusal.
#[actix::test]
async fn jobs_are_refused_at_once_while_no_owner_reaches_the_store() {
    let nobody = SocketAddr::from(([127, 0, 0, 1], 1));
    let shards = vec![
        ("gikondo/0", shard(nobody, StoreReachability::Away)),
        (SHARD, shard(nobody, StoreReachability::Away)),
    ];
    let answer = answered(client_of(None, shards).submit(job(), TEST_TIMEOUT)).await;
    let Answer::NotRun { reason, retry_after } = answer else { panic!("{answer:?}") };
    assert_eq!((&*reason, retry_after), ("no shard's owner reaches the store", RETRY_AFTER_OUTAGE));
}

/// A VM of the service in this failure domain, on a rack of its own.
fn vm(domain: &str) -> VmEntry {
    VmEntry {
        id: VmId::new(domain),
        service: ServiceName::new("shop"),
        domain: DomainId::new(domain),
        rack: RackId::new(domain),
        labels: vec![Label::new(domain)],
        size: Resources::new(16_000, 64_000, 0),
        state: VmState::Ready,
        addr: Arc::from("10.1.0.1:80"),
        announced: Rev::ABSENT,
        announced_after: None,
    }
}

/// Submits a job that requires this label while `evacuated` domains of two are evacuated. Nothing
/// listens at the owners' addresses.
async fn submit_during_evacuation(label: Option<&str>, evacuated: &[&str]) -> Answer {
    let nobody = SocketAddr::from(([127, 0, 0, 1], 1));
    let mut view = View::default();
    let domains = ["kacyiru", "remera"];
    Arc::make_mut(&mut view.vm_shapes).add(&domains.map(vm));
    for domain in domains {
        let is_evacuated = evacuated.contains(&domain);
        let shard = ShardView { is_evacuated, ..shard(nobody, StoreReachability::Reached) };
        view.shards.insert(format!("{domain}/0"), shard);
    }
    view.evacuations = Arc::new(evacuated.iter().map(|domain| DomainId::new(domain)).collect());
    let step = Step::new(1, Resources::new(1000, 1000, 0), Duration::from_secs(1));
    let step = Step { label: label.map(Label::new), ..step };
    let job = Job { steps: vec![step], ..job() };
    answered(client_with_view(None, view).submit(job, TEST_TIMEOUT)).await
}

// Guards against callers who wait for their whole time limit while every domain is evacuated.
#[actix::test]
async fn jobs_are_refused_at_once_while_every_domain_is_evacuated() {
    let answer = submit_during_evacuation(None, &["kacyiru", "remera"]).await;
    let Answer::NotRun { retry_after, .. } = answer else { panic!("{answer:?}") };
    assert_eq!(retry_after, RETRY_AFTER_EVACUATION);
}

// Guards against a job that is accepted although the only VMs with its label are evacuated.
#[actix::test]
async fn a_job_bound_to_an_evacuated_domain_is_refused_at_once() {
    let answer = submit_during_evacuation(Some("kacyiru"), &["kacyiru"]).await;
    let Answer::NotRun { retry_after, .. } = answer else { panic!("{answer:?}") };
    assert_eq!(retry_after, RETRY_AFTER_EVACUATION);
}
