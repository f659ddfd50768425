//! Panics in the code of shards.

use super::TEST_TIMEOUT;
use super::offers::{FENCE, Node, SHARD, listener, member};
use crate::clock::ManualClock;
use crate::cluster::Member;
use crate::ids::Ticket;
use crate::job::JobId;
use crate::jobs::calls::{Call, Reply};
use crate::jobs::control::failure::{FailureStage, ShardFailure};
use crate::jobs::control::{Control, HandleCall, PendingCall};
use crate::jobs::records::OwnershipStatus;
use crate::panics;
use crate::shard::{Answer, Event, PreviousOwner, PreviousOwnerEnd};
use actix::prelude::*;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::oneshot;

/// Passes the shard an event with a time that it can't compute with.
#[derive(Message)]
#[rtype(result = "()")]
struct BreakShard;

impl Handler<BreakShard> for Control {
    type Result = ();

    fn handle(&mut self, _: BreakShard, cx: &mut Self::Context) {
        let end = PreviousOwnerEnd::new(Duration::MAX);
        self.step_shard(SHARD, Event::PreviousOwnerEnded(end), cx);
    }
}

/// Lets the shard fail on a submission, with another call under way; returns both replies.
#[derive(Message)]
#[rtype(result = "[Reply; 2]")]
struct FailOnSubmission;

impl Handler<FailOnSubmission> for Control {
    type Result = ResponseFuture<[Reply; 2]>;

    fn handle(&mut self, _: FailOnSubmission, cx: &mut Self::Context) -> Self::Result {
        let replies = [Ticket(1001), Ticket(1002)].map(|ticket| {
            let (tx, rx) = oneshot::channel();
            self.tickets.insert(ticket, PendingCall { shard: SHARD.to_owned(), tx });
            rx
        });
        let panic = panics::contain(|| panic!("test")).expect_err("a panic");
        let stage = FailureStage::Submission(Ticket(1001));
        self.end_failed_shard(SHARD, &ShardFailure { stage, panic }, cx);
        Box::pin(async {
            let [submitted, other] = replies;
            [submitted.await.expect("a reply"), other.await.expect("a reply")]
        })
    }
}

async fn owner() -> (Node, Member, Arc<ManualClock>) {
    let clock = Arc::new(ManualClock::new());
    let listener = listener();
    let me = member("one", 100, &listener);
    let node = Node::start_with(me.clone(), listener, clock.clone(), OwnershipStatus::Owned).await;
    node.read_store(&me).await;
    node.own().await;
    (node, me, clock)
}

// Guards against a shard that nobody takes over although its owner's code has panicked.
#[actix::test]
async fn a_shard_whose_code_panics_is_claimed_again() {
    let (node, me, clock) = owner().await;
    assert!(node.has_shards().await);
    node.control.send(BreakShard).await.expect("a control that lives on");
    assert!(node.lines.wait_for("shard-failed", 1).await, "{}", node.lines.text());
    let call = Call::Show(JobId(1));
    let asked = node.control.send(HandleCall { shard: SHARD.to_owned(), call, valid_until: None });
    assert_eq!(asked.await.expect("a control that lives on"), Reply::NotOwner);
    // It reads the heads after each loss.
    node.read_store(&me).await;
    // A clock that is ahead of the timers would look like a pause of the process.
    let step = Duration::from_millis(20);
    let passing = async {
        while node.claims().is_empty() {
            clock.advance(step);
            actix::clock::sleep(step).await;
        }
    };
    let _ = tokio::time::timeout(TEST_TIMEOUT, passing).await;
    assert_eq!(node.claims(), [PreviousOwner::Ended], "{}", node.lines.text());
    assert!(node.lines.text().contains(&format!("fence={FENCE} stage=event")));
}

// Guards against a submission that its caller takes from one owner to the next, each of which fails on it.
#[actix::test]
async fn a_submission_that_a_shard_panics_on_is_refused_for_good() {
    let (node, ..) = owner().await;
    let [submitted, other] = node.control.send(FailOnSubmission).await.expect("a control");
    assert!(matches!(submitted, Reply::Answer(Answer::Impossible { .. })), "{submitted:?}");
    assert!(matches!(other, Reply::Answer(Answer::Unknown { .. })), "{other:?}");
    assert!(!node.has_shards().await);
}
