use super::{Answer, Call, Demand, JobClient, Refusals, Reply, UnreportedLoad};
use crate::clock::{Clock, SystemClock};
use crate::cluster::{Hello, Member, MemberStage};
use crate::ids::{DaemonId, DomainId, ServiceName};
use crate::job::{Job, JobId, JobState, Life, QueueName, Repeat, Step};
use crate::jobs::control::Control;
use crate::jobs::links::{JobsRpc, PeerLinks};
use crate::jobs::records::{FindJob, JobLocation};
use crate::jobs::view::{JobDirectory, Owner, ShardView, View};
use crate::journal::Journal;
use crate::note::Weight;
use crate::permit::{self, PermitReq, PermitResp};
use crate::shard::loan::LoanMsg;
use crate::shard::{AdmissionMode, Settings, Summary, VmLapse};
use crate::units::Resources;
use crate::vm::Fence;
use actix::prelude::*;
use futures::StreamExt;
use std::net::{SocketAddr, TcpListener};
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
    let clock: Arc<dyn Clock> = Arc::new(SystemClock);
    let journal = Journal::start(clock.clone(), Weight::Urgent, std::io::sink());
    let directory: Arc<Mutex<JobDirectory>> = Arc::default();
    let (publish, view) = watch::channel(Arc::new(View::default()));
    let mut shown = View::default();
    if let Some(addr) = owner {
        let owner = Some(Owner::Remote(member("two", addr)));
        let shard = ShardView { owner, summary: Arc::default(), summary_at: clock.now() };
        shown.shards.insert(SHARD.to_owned(), shard);
    }
    let me = member("one", SocketAddr::from(([127, 0, 0, 1], 1)));
    let (control_clock, known) = (clock.clone(), directory.clone());
    let (settings, in_force) = (Settings::default(), Duration::from_secs(2));
    let control = Control::new(me, settings, in_force, control_clock, journal, publish, known);
    let control = control.start();
    let (_, fixed) = watch::channel(Arc::new(shown));
    drop(view);
    let links = PeerLinks::new(control.clone()).start();
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

/// A shard owner that reports every job as done.
#[derive(Clone)]
struct FakeOwner;

impl JobsRpc for FakeOwner {
    async fn hello(self, _: CallContext, _: Hello) -> Option<Hello> {
        None
    }

    async fn call(self, _: CallContext, _: String, call: Call) -> Reply {
        Reply::Answer(match call {
            Call::Submit(..) => Answer::Accepted,
            Call::Cancel(_) => Answer::Cancelling,
            Call::Show(_) => Answer::Shown(JobState::Done),
        })
    }

    async fn tell(self, _: CallContext, _: String, _: String, _: Fence, _: LoanMsg) {}

    async fn ask(self, _: CallContext, _: PermitReq) -> permit::Result<PermitResp> {
        Err(permit::Error::NotSent { reason: "no service".to_owned() })
    }

    async fn take(self, _: CallContext, _: String, _: DaemonId, _: Vec<VmLapse>) {}
}

/// Serves a shard owner whose first connection stays unanswered.
async fn serve_from_second_connection(listener: TcpListener) {
    listener.set_nonblocking(true).expect("a socket");
    let listener = tokio::net::TcpListener::from_std(listener).expect("a socket");
    let _silent = listener.accept().await.expect("a connection");
    loop {
        let (stream, _) = listener.accept().await.expect("a connection");
        let transport = tarpc::serde_transport::Transport::from((stream, Bincode::default()));
        let requests = BaseChannel::with_defaults(transport).execute(FakeOwner.serve());
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

/// A job with one lasting task of two cores.
fn lasting() -> Job {
    let step =
        Step { life: Life::Lasting, ..Step::new(1, Resources::new(2000, 2000, 0), Duration::ZERO) };
    Job { steps: vec![step], ..job() }
}

// No shard has room for another lasting job. After the shard with the most room has refused, trying
// hundreds of others in turn would use up the call's budget.
#[test]
fn full_shards_are_not_tried_one_by_one_for_lasting_jobs() {
    let job = lasting();
    let full = Summary { capacity: 8000, lasting: 7000, vms: 1, ..Summary::default() };
    let cost = |refusals: &Refusals| {
        Demand::of(&job, refusals).cost(
            SHARD,
            &full,
            &UnreportedLoad::default(),
            AdmissionMode::Always,
        )
    };
    assert!(cost(&Refusals::default()).is_some());
    let mut refusals = Refusals::default();
    refusals.add("kacyiru/1".to_owned(), AdmissionMode::Always);
    assert_eq!(cost(&refusals), None);
}
