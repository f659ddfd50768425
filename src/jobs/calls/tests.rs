use super::{Answer, Call, Calls, Need, Refused, Reply, Sent};
use crate::clock::{Clock, SystemClock};
use crate::cluster::{Hello, Member, MemberStage};
use crate::ids::{DaemonId, DomainId, ServiceName};
use crate::job::{Job, JobId, Life, QueueName, Repeat, ShownState, Step};
use crate::jobs::control::Control;
use crate::jobs::links::{JobsRpc, Links};
use crate::jobs::records::{FindJob, Found};
use crate::jobs::view::{Directory, Owner, ShardView, View};
use crate::journal::Journal;
use crate::note::Weight;
use crate::permit::{self, PermitReq, PermitResp};
use crate::shard::loan::LoanMsg;
use crate::shard::{Lapse, Settings, Summary, Urge};
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

/// Far longer than any answer takes here; only a fault makes a test wait so long.
const LIMIT: Duration = Duration::from_secs(20);

/// Time of a call that is to end without an answer from anybody.
const SHORT: Duration = Duration::from_millis(60);

/// A store that says where a job is, or doesn't answer.
struct Store(Option<Found>);

impl Actor for Store {
    type Context = Context<Self>;
}

impl Handler<FindJob> for Store {
    type Result = ResponseFuture<Found>;

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
        power: 100,
    }
}

/// Calls of a daemon that owns nothing; the shard's owner is at `owner`, if it has one.
fn calls(found: Option<Found>, owner: Option<SocketAddr>) -> Calls {
    let clock: Arc<dyn Clock> = Arc::new(SystemClock);
    let journal = Journal::start(clock.clone(), Weight::Urgent, std::io::sink());
    let directory: Arc<Mutex<Directory>> = Arc::default();
    let (publish, view) = watch::channel(Arc::new(View::default()));
    let mut shown = View::default();
    if let Some(addr) = owner {
        let owner = Some(Owner::Other(member("two", addr)));
        let shard = ShardView { owner, summary: Arc::default(), at: clock.now() };
        shown.shards.insert(SHARD.to_owned(), shard);
    }
    let me = member("one", SocketAddr::from(([127, 0, 0, 1], 1)));
    let (control_clock, known) = (clock.clone(), directory.clone());
    let (settings, in_force) = (Settings::default(), Duration::from_secs(2));
    let control = Control::new(me, settings, in_force, control_clock, journal, publish, known);
    let control = control.start();
    let (_, fixed) = watch::channel(Arc::new(shown));
    drop(view);
    let links = Links::new(control.clone()).start();
    let finder = Store(found).start().recipient();
    Calls::new(fixed, directory, control, links, finder, clock)
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
    tokio::time::timeout(LIMIT, call).await.expect("an answer")
}

/// A listener whose connections are made and never served.
fn silent() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let addr = listener.local_addr().expect("an address");
    (listener, addr)
}

// A caller asks for a job of which this daemon knows nothing; it asks the store, which doesn't answer.
// The caller waits only as long as it said, and is told that nothing is known: waiting for the store
// instead would leave it without an answer.
#[actix::test]
async fn a_store_that_does_not_answer_leaves_no_caller_without_an_answer() {
    let calls = calls(None, None);
    let shown = answered(calls.show(JOB, SHORT)).await;
    assert!(matches!(shown, Answer::Unknown { .. }), "{shown:?}");
    let cancelled = answered(calls.cancel(JOB, SHORT)).await;
    assert!(matches!(cancelled, Answer::Unknown { .. }), "{cancelled:?}");
}

// The caller's time is over before its job is sent to the shard's owner. Nothing was sent, so the job
// surely doesn't run, and the caller may send it again elsewhere. Sending it all the same, without time
// for an answer, would leave it unknown.
#[actix::test]
async fn a_job_that_was_not_sent_in_time_has_not_run() {
    let (_listener, addr) = silent();
    let calls = calls(None, Some(addr));
    calls.note_shard(JOB, SHARD);
    let answer = answered(calls.submit(job(), Duration::ZERO)).await;
    assert!(matches!(answer, Answer::NotRun { .. }), "{answer:?}");
}

// A call has all the time it wants, and waits for a shard without an owner; then the daemon stops as
// planned. The caller is answered before the daemon ends, not cut off.
#[actix::test]
async fn a_call_is_answered_before_the_daemon_ends() {
    let calls = calls(Some(Found::Unknown("the store is away".to_owned())), None);
    let (patient, clock) = (calls.clone(), SystemClock);
    let caller = actix::spawn(async move { patient.show(JOB, 10 * LIMIT).await });
    tokio::task::yield_now().await;
    calls.end_by(clock.now() + SHORT);
    let answer = answered(async { caller.await.expect("a caller that doesn't panic") }).await;
    assert!(matches!(answer, Answer::Unknown { .. }), "{answer:?}");
}

/// An owner that shows every job as done.
#[derive(Clone)]
struct Owning;

impl JobsRpc for Owning {
    async fn hello(self, _: CallContext, _: Hello) -> Option<Hello> {
        None
    }

    async fn call(self, _: CallContext, _: String, call: Call) -> Reply {
        Reply::Answer(match call {
            Call::Submit(..) => Answer::Accepted,
            Call::Cancel(_) => Answer::Cancelling,
            Call::Show(_) => Answer::Shown(ShownState::Done),
        })
    }

    async fn tell(self, _: CallContext, _: String, _: String, _: Fence, _: LoanMsg) {}

    async fn ask(self, _: CallContext, _: PermitReq) -> permit::Result<PermitResp> {
        Err(permit::Error::NotSent { reason: "no service".to_owned() })
    }

    async fn take(self, _: CallContext, _: String, _: DaemonId, _: Vec<Lapse>) {}
}

/// Serves an owner whose first connection goes silent.
async fn serve_after_silence(listener: TcpListener) {
    listener.set_nonblocking(true).expect("a socket");
    let listener = tokio::net::TcpListener::from_std(listener).expect("a socket");
    let _silent = listener.accept().await.expect("a connection");
    loop {
        let (stream, _) = listener.accept().await.expect("a connection");
        let transport = tarpc::serde_transport::Transport::from((stream, Bincode::default()));
        let requests = BaseChannel::with_defaults(transport).execute(Owning.serve());
        actix::spawn(requests.for_each(|answer| async {
            actix::spawn(answer);
        }));
    }
}

// The connection to a shard's owner has gone silent without a word; new ones work. The caller has time
// left when the first attempt is given up, and what it asks may be asked twice: it gets its answer over
// a new connection, not "unknown".
#[actix::test]
async fn a_silent_connection_is_not_the_end_of_a_call() {
    let (listener, addr) = silent();
    actix::spawn(serve_after_silence(listener));
    let calls = calls(None, Some(addr));
    calls.note_shard(JOB, SHARD);
    let answer = answered(calls.show(JOB, LIMIT)).await;
    assert_eq!(answer, Answer::Shown(ShownState::Done));
}

/// A job of one lasting task of two cores.
fn lasting() -> Job {
    let step =
        Step { life: Life::Lasting, ..Step::new(1, Resources::new(2000, 2000, 0), Duration::ZERO) };
    Job { steps: vec![step], ..job() }
}

// A caller hands in a lasting job while no shard has room for more of them. The one with most room is
// asked and refuses; asking hundreds of others in turn would take the whole time of the call.
#[test]
fn shards_without_room_for_lasting_work_are_not_asked_one_by_one() {
    let job = lasting();
    let full = Summary { capacity: 8000, lasting: 7000, vms: 1, ..Summary::default() };
    let cost = |refused: &Refused| {
        Need::of(&job, refused).cost(SHARD, &full, &Sent::default(), Urge::Always)
    };
    assert!(cost(&Refused::default()).is_some());
    let mut refused = Refused::default();
    refused.add("kacyiru/1".to_owned(), Urge::Always);
    assert_eq!(cost(&refused), None);
}
