use super::{Connect, Control, Rings, Stored, TakeCall};
use crate::clock::{Clock, ManualClock};
use crate::cluster::ownership::OWN_PAUSE;
use crate::cluster::{Member, MemberStage};
use crate::ids::{DaemonId, DomainId};
use crate::job::JobId;
use crate::jobs::calls::{Call, Reply};
use crate::jobs::links::Links;
use crate::jobs::machines::Upkeep;
use crate::jobs::orders::{AskHere, Order};
use crate::jobs::records::{Claim, Commit, Confirm, Confirmation, Forget, ReadHeads};
use crate::jobs::view::View;
use crate::journal::Journal;
use crate::note::Weight;
use crate::permit::{self, PermitResp};
use crate::ring::{Ring, WhenFull};
use crate::shard::{Previous, Recovered, Settings};
use crate::vm::Fence;
use actix::prelude::*;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::watch;

const SHARD: &str = "kacyiru/0";

/// Far longer than any answer takes here; only a fault makes a test wait so long.
const LIMIT: Duration = Duration::from_secs(20);

/// The duties beside control. The store says that another daemon owns every shard.
struct Others;

impl Actor for Others {
    type Context = Context<Self>;
}

impl Handler<Confirm> for Others {
    type Result = Confirmation;

    fn handle(&mut self, _: Confirm, _: &mut Self::Context) -> Self::Result {
        Confirmation::Lost
    }
}

impl Handler<AskHere> for Others {
    type Result = permit::Result<PermitResp>;

    fn handle(&mut self, _: AskHere, _: &mut Self::Context) -> Self::Result {
        Err(permit::Error::NotSent { reason: "no service".to_owned() })
    }
}

/// Messages that these duties take and do nothing about.
macro_rules! ignored {
    ($($msg:ty),+) => {
        $(impl Handler<$msg> for Others {
            type Result = ();

            fn handle(&mut self, _: $msg, _: &mut Self::Context) {}
        })+
    };
}

ignored!(Order, Upkeep, Claim, Commit, Forget, ReadHeads);

fn control(clock: Arc<ManualClock>) -> Addr<Control> {
    let me = Member {
        id: DaemonId::new("one@1"),
        name: "one".to_owned(),
        domain: DomainId::new("kacyiru"),
        addr: "127.0.0.1:1".to_owned(),
        stage: MemberStage::Serving,
        power: 100,
    };
    let journal = Journal::start(clock.clone(), Weight::Urgent, std::io::sink());
    let (publish, _) = watch::channel(Arc::new(View::default()));
    let settings = Settings::default();
    let in_force = Duration::from_secs(2);
    let control = Control::new(me, settings, in_force, clock, journal, publish, Arc::default());
    let control = control.start();
    let others = Others.start();
    control.do_send(Connect(Rings {
        orders: Ring::new(others.clone(), WhenFull::Drop),
        asker: others.clone().recipient(),
        upkeep: others.clone().recipient(),
        links: Links::new(control.clone()).start(),
        claims: others.clone().recipient(),
        commits: others.clone().recipient(),
        forget: others.clone().recipient(),
        heads: others.clone().recipient(),
        confirm: others.recipient(),
    }));
    control
}

fn claimed() -> Stored {
    Stored::Claimed(Box::new(Recovered {
        shard: SHARD.to_owned(),
        fence: Fence(7),
        seq: 0,
        previous: Previous::Ended,
        predecessor: None,
        lapses: Vec::new(),
        silent: Vec::new(),
        told: Vec::new(),
        jobs: Vec::new(),
        progress: Vec::new(),
    }))
}

// A daemon stood still for a while, and another one has taken its shard. A caller asks; the call waits
// until the store has said who owns the shard. The call had no effect here, so the caller is to be sent
// to the owner, not left waiting for an answer that nobody gives any more.
#[actix::test]
async fn calls_held_for_a_shard_that_was_lost_are_sent_on_to_its_owner() {
    let clock = Arc::new(ManualClock::new());
    let control = control(clock.clone());
    control.send(claimed()).await.expect("a control");
    clock.advance(2 * OWN_PAUSE);
    for call in [Call::Show(JobId(1)), Call::Cancel(JobId(1))] {
        let asked = control.send(TakeCall { shard: SHARD.to_owned(), call });
        let reply = tokio::time::timeout(LIMIT, asked).await.expect("an answer");
        assert_eq!(reply.expect("a control"), Reply::NotOwner);
    }
    assert!(clock.now() >= OWN_PAUSE);
}
