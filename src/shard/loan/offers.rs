//! Which waiting tasks are offered to other shards in a scheduling pass.
//!
//! An offer compares a task with all VMs that other shards report, so that a pass makes a limited
//! number of them. Tasks that no shard can run are offered in vain in every pass. They count once for
//! all tasks with the same requirements, and steps that were offered in vain longest ago go first if
//! not all can be offered, so that they don't use up the offers of tasks behind them.

#[cfg(test)]
mod tests;

use crate::ids::ServiceName;
use crate::job::{Image, Label, Share, Step};
use crate::units::Resources;

/// Maximum number of tasks lent in one pass, and of offers that are made in vain.
const MAX_OFFERS: usize = 64;

/// Offers of one scheduling pass.
#[derive(Debug)]
pub(super) struct Offers {
    /// Offers that may still be accepted, and made in vain.
    accepted_left: usize,
    vain_left: usize,
    /// Requirements that no other shard meets.
    unmet: Vec<Wanted>,
}

/// What decides whether another shard may have room for a task.
#[derive(Clone, Debug, PartialEq)]
struct Wanted {
    service: ServiceName,
    label: Option<Label>,
    size: Resources,
    share: Share,
    /// Image of leftover work, whose interference is known by image.
    image: Option<Image>,
}

impl Offers {
    /// Creates the offers of a pass without a limit.
    pub fn unlimited() -> Self {
        Self { accepted_left: usize::MAX, vain_left: usize::MAX, unmet: Vec::new() }
    }

    /// Creates the offers of a pass.
    pub fn limited() -> Self {
        Self { accepted_left: MAX_OFFERS, vain_left: MAX_OFFERS, unmet: Vec::new() }
    }

    /// Returns whether no more offers are made in this pass.
    pub fn is_used_up(&self) -> bool {
        self.accepted_left == 0 || self.vain_left == 0
    }

    /// Returns whether offers for this many steps may exceed the limit.
    pub fn may_exceed(&self, steps: usize) -> bool {
        steps > self.vain_left
    }

    /// Counts lent tasks.
    pub fn count_accepted(&mut self, tasks: usize) {
        self.accepted_left = self.accepted_left.saturating_sub(tasks);
    }

    /// Counts an offer made in vain.
    pub fn count_vain(&mut self) {
        self.vain_left = self.vain_left.saturating_sub(1);
    }

    /// Records that no other shard has room for a task of a step.
    pub fn add_unmet(&mut self, step: &Step, service: &ServiceName, image: &Image) {
        self.unmet.push(Wanted::of(step, service, image));
    }

    /// Returns whether no other shard has room for a task of a step, as the offer of another task
    /// has shown in this pass.
    pub fn is_unmet(&self, step: &Step, service: &ServiceName, image: &Image) -> bool {
        self.unmet.iter().any(|unmet| unmet.is_met_with(step, service, image))
    }
}

impl Wanted {
    fn of(step: &Step, service: &ServiceName, image: &Image) -> Self {
        Self {
            service: service.clone(),
            label: step.label.clone(),
            size: step.size,
            share: step.share,
            image: (step.share == Share::Leftover).then(|| image.clone()),
        }
    }

    /// Whether room for a task of a step would also be room for this.
    fn is_met_with(&self, step: &Step, service: &ServiceName, image: &Image) -> bool {
        self.share == step.share
            && self.image.as_ref().is_none_or(|known| known == image)
            && (self.label.is_none() || self.label == step.label)
            && self.service == *service
            && self.size.fits_in(&step.size)
    }
}
