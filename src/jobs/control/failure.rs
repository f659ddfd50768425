//! Shards whose code has panicked.
//!
//! Only the ownership of the shard ends, like that of an owner that is killed. The next owner, which
//! may be this daemon again, reads the shard from the store. What this owner knew beyond that is told
//! to nobody, as the panic may have left it inconsistent.
//!
//! A submission on which the shard has failed is refused for good. Otherwise its caller would take it
//! to the next owner, and the one after.

use super::{Control, HostedShard};
use crate::cluster;
use crate::ids::Ticket;
use crate::jobs::calls::Reply;
use crate::jobs::records::RemoveShard;
use crate::note::{Note, StaticText};
use crate::panics::{self, Panic};
use crate::shard::{Action, Answer, Event, Now};
use actix::prelude::*;

/// A panic of a shard's code.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct ShardFailure {
    pub stage: FailureStage,
    pub panic: Panic,
}

/// What a shard was doing as it panicked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum FailureStage {
    /// It was read from the store.
    Recovery,
    Event,
    /// A submission was decided on.
    Submission(Ticket),
    /// Work was done that becomes due after any event.
    DueWork,
}

impl FailureStage {
    fn of(event: &Event) -> Self {
        match event {
            Event::Submit { ticket, .. } => Self::Submission(*ticket),
            _ => Self::Event,
        }
    }

    fn name(self) -> StaticText {
        match self {
            Self::Recovery => "recovery",
            Self::Event => "event",
            Self::Submission(_) => "submission",
            Self::DueWork => "due-work",
        }
    }
}

impl HostedShard {
    /// Passes an event to the shard. After a failure the shard is to be dropped.
    pub(super) fn step(&mut self, now: Now, event: Event) -> Result<Vec<Action>, ShardFailure> {
        let (stage, is_answer) = (FailureStage::of(&event), event.is_answer());
        let failed = |stage| move |panic| ShardFailure { stage, panic };
        let shard = &mut self.shard;
        panics::contain(|| shard.apply(now, event)).map_err(failed(stage))?;
        panics::contain(|| shard.finish_step(is_answer)).map_err(failed(FailureStage::DueWork))
    }
}

impl Control {
    /// Ends the ownership of a shard whose code has panicked.
    pub(super) fn end_failed_shard(
        &mut self,
        shard: &str,
        failure: &ShardFailure,
        cx: &mut Context<Self>,
    ) {
        let Some(hosted) = self.hosted.shift_remove(shard) else { return };
        self.log_failure(shard, hosted.shard.fence().0, failure);
        if let FailureStage::Submission(ticket) = failure.stage {
            let reason = "the scheduler can't handle this job; it was not accepted".to_owned();
            self.reply(ticket, Reply::Answer(Answer::Impossible { reason }));
        }
        for event in hosted.deferred.into_iter().flatten() {
            if let Some(ticket) = event.ticket() {
                self.reply(ticket, Reply::NotOwner);
            }
        }
        let waiting = self.tickets.iter().filter(|(_, call)| *call.shard == *shard);
        let waiting: Vec<Ticket> = waiting.map(|(ticket, _)| *ticket).collect();
        for ticket in waiting {
            let reason = "the owner of the shard has failed".to_owned();
            self.reply(ticket, Reply::Answer(Answer::Unknown { reason }));
        }
        self.remove_writer(shard);
        let reason = "its code has panicked";
        let lost = cluster::Event::NoLongerOwned { shard: shard.to_owned(), reason };
        self.step_ownership(lost, cx);
        self.ownership.schedule_hello_to_all();
        self.send_hellos();
    }

    /// Gives up a shard whose code has panicked as it was read from the store.
    pub(super) fn fail_recovery(
        &mut self,
        shard: String,
        fence: u64,
        panic: Panic,
        cx: &mut Context<Self>,
    ) {
        let failure = ShardFailure { stage: FailureStage::Recovery, panic };
        self.log_failure(&shard, fence, &failure);
        self.remove_writer(&shard);
        let reason = failure.panic.to_string();
        self.step_ownership(cluster::Event::ClaimFailed { shard, head: None, reason }, cx);
    }

    fn log_failure(&self, shard: &str, fence: u64, failure: &ShardFailure) {
        self.journal.write(Note::ShardFailed {
            shard: shard.to_owned(),
            fence,
            stage: failure.stage.name(),
            reason: failure.panic.to_string(),
        });
    }

    pub(super) fn remove_writer(&self, shard: &str) {
        if let Some(actors) = &self.actors {
            actors.removals.do_send(RemoveShard { shard: shard.to_owned() });
        }
    }
}
