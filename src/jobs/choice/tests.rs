use super::{Demand, Refusals, UnreportedLoad, UnreportedLoads};
use crate::cluster::{Member, MemberStage, StoreReachability};
use crate::ids::{DaemonId, DomainId, RackId, ServiceName};
use crate::job::{Grouping, Job, JobId, Life, QueueName, Repeat, Share, Step};
use crate::jobs::view::{Owner, ShardView, View};
use crate::shard::event::FreeRoom;
use crate::shard::{AdmissionMode, Summary};
use crate::units::Resources;
use std::sync::Arc;
use std::time::Duration;

const SHARD: &str = "kacyiru/0";
const NOW: Duration = Duration::from_secs(60);
const HELLO_INTERVAL: Duration = Duration::from_millis(400);

fn job(step: Step) -> Job {
    Job {
        id: JobId(0xa1),
        queue: QueueName::new("builds"),
        service: ServiceName::new("shop"),
        payload: Arc::from(""),
        steps: vec![step],
        repeat: Repeat::Once,
        accepted: Duration::ZERO,
        terms: None,
    }
}

/// A job with one lasting task of two cores.
fn lasting() -> Job {
    let step = Step::new(1, Resources::new(2000, 2000, 0), Duration::ZERO);
    job(Step { life: Life::Lasting, ..step })
}

/// A job with forty tasks that run on unreserved capacity.
fn build() -> Job {
    let step = Step::new(40, Resources::new(3500, 6000, 0), Duration::from_millis(1700));
    job(Step { share: Share::Leftover, ..step })
}

/// A shard with this much leftover capacity, whose owner was last heard from that long ago.
fn shard(leftover: u64, silent: Duration, store: StoreReachability) -> ShardView {
    let owner = Member {
        id: DaemonId::new("two@1"),
        name: "two".to_owned(),
        domain: DomainId::new("kacyiru"),
        addr: "two:1".to_owned(),
        stage: MemberStage::Serving,
        milli_cores: 500,
    };
    let summary = Summary { vms: 50, capacity: 1_600_000, leftover, ..Summary::default() };
    ShardView {
        owner: Some(Owner::Remote(owner)),
        store,
        summary: Arc::new(summary),
        summary_at: NOW - silent,
        clock: None,
        is_evacuated: false,
    }
}

fn chosen(shards: Vec<(&str, ShardView)>) -> Option<String> {
    chosen_for(&build(), shards)
}

fn chosen_for(job: &Job, shards: Vec<(&str, ShardView)>) -> Option<String> {
    let mut view = View::default();
    view.shards.extend(shards.into_iter().map(|(name, shard)| (name.to_owned(), shard)));
    let choice = UnreportedLoads::default().choose(&view, NOW, job, &Refusals::default());
    choice.map(|(shard, _)| shard)
}

/// A shard whose VMs have these free cores.
fn shard_with_rooms(free_cores: &[u32]) -> ShardView {
    let room = |cores: &u32| FreeRoom {
        free: Resources::new(cores * 1000, 64_000, 0),
        rack: RackId::new("r0"),
        labels: Vec::new(),
        service: ServiceName::new("shop"),
    };
    let free = free_cores.iter().map(|cores| u64::from(cores * 1000)).sum();
    let rooms = free_cores.iter().map(room).collect();
    let mut view = shard(0, HELLO_INTERVAL, StoreReachability::Reached);
    let summary = Summary { free, rooms, ..(*view.summary).clone() };
    view.summary = Arc::new(summary);
    view
}

// Guards against a gang that is sent to a shard with room for one of its tasks, where it waits.
#[test]
fn a_gang_is_sent_where_all_its_tasks_fit() {
    let step = Step::new(4, Resources::new(20_000, 1000, 0), Duration::from_secs(8));
    let gang = job(Step { grouping: Grouping::Together, ..step });
    let shards = || {
        let few = shard_with_rooms(&[32, 32, 32, 16, 16, 16, 16]);
        vec![("gikondo/0", few), (SHARD, shard_with_rooms(&[20, 20, 20, 20]))]
    };
    assert_eq!(chosen_for(&gang, shards()).as_deref(), Some(SHARD));
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

// Guards against a fifth of all jobs being sent into a failure domain that was just cut off, where
// they wait for an answer that can't come: its shards look as good as ever, or better.
#[test]
fn owners_that_missed_a_hello_are_passed_over_while_others_are_heard() {
    let lost = |silent| shard(400_000, silent, StoreReachability::Reached);
    let well = || shard(50_000, HELLO_INTERVAL, StoreReachability::Reached);
    let chosen = |silent| chosen(vec![("gikondo/0", lost(silent)), (SHARD, well())]);
    assert_eq!(chosen(HELLO_INTERVAL).as_deref(), Some("gikondo/0"));
    assert_eq!(chosen(2 * HELLO_INTERVAL).as_deref(), Some(SHARD));
}

// Guards against refusing jobs because of a pause of this daemon itself, which has heard nobody.
#[test]
fn an_owner_that_missed_a_hello_is_chosen_if_none_is_heard() {
    let late = || shard(50_000, 3 * HELLO_INTERVAL, StoreReachability::Reached);
    assert!(chosen(vec![("gikondo/0", late()), (SHARD, late())]).is_some());
}

// Guards against jobs sent to an owner that is cut off from the store alone, where they would wait
// for a commit and then be refused.
#[test]
fn owners_without_the_store_are_passed_over() {
    let away = shard(400_000, Duration::ZERO, StoreReachability::Away);
    let well = shard(50_000, Duration::ZERO, StoreReachability::Reached);
    assert_eq!(chosen(vec![("gikondo/0", away.clone()), (SHARD, well)]).as_deref(), Some(SHARD));
    assert_eq!(chosen(vec![("gikondo/0", away)]), None);
}

// Guards against a job that is sent again to the shard that left it unanswered.
#[test]
fn a_shard_that_left_the_job_unanswered_is_not_chosen_again() {
    let mut view = View::default();
    let well = shard(50_000, Duration::ZERO, StoreReachability::Reached);
    view.shards.insert(SHARD.to_owned(), well);
    let mut refusals = Refusals::default();
    refusals.add_unanswered(SHARD.to_owned(), "timeout".to_owned());
    assert_eq!(UnreportedLoads::default().choose(&view, NOW, &build(), &refusals), None);
}

// Guards against jobs sent to an evacuated failure domain, whose last summary still tells of room.
#[test]
fn evacuated_shards_are_passed_over() {
    let well = || shard(400_000, Duration::ZERO, StoreReachability::Reached);
    let evacuated = ShardView { is_evacuated: true, ..well() };
    let busy = shard(50_000, Duration::ZERO, StoreReachability::Reached);
    assert_eq!(chosen(vec![("gikondo/0", evacuated), (SHARD, busy)]).as_deref(), Some(SHARD));
}

/// A shard with this summary, heard of just now.
fn with_summary(summary: Summary) -> ShardView {
    let summary = Arc::new(Summary { vms: 50, capacity: 1_600_000, ..summary });
    ShardView { summary, ..shard(0, Duration::ZERO, StoreReachability::Reached) }
}

/// The shard chosen for ten tasks of eight cores.
fn chosen_for_short_tasks(shards: [Summary; 2]) -> Option<String> {
    let mut view = View::default();
    for (name, summary) in ["gikondo/0", SHARD].into_iter().zip(shards) {
        view.shards.insert(name.to_owned(), with_summary(summary));
    }
    let job = job(Step::new(10, Resources::new(8000, 4000, 0), Duration::from_millis(600)));
    let choice = UnreportedLoads::default().choose(&view, NOW, &job, &Refusals::default());
    choice.map(|(shard, _)| shard)
}

// Guards against jobs sent to a shard that has less waiting work but does it more slowly: lasting
// tasks hold nearly all of its room.
#[test]
fn waiting_work_is_weighed_by_the_room_beside_lasting_tasks() {
    let crowded = Summary { waiting_work: 100_000_000, lasting: 1_500_000, ..Summary::default() };
    let roomy = Summary { waiting_work: 200_000_000, lasting: 400_000, ..Summary::default() };
    assert_eq!(chosen_for_short_tasks([crowded, roomy]).as_deref(), Some(SHARD));
}

// Guards against jobs sent to a shard whose free room is in pieces too small for any of their tasks.
#[test]
fn room_in_small_pieces_is_passed_over() {
    let with_pieces = |pieces: u64, milli_cores: u32| {
        let room = FreeRoom {
            free: Resources::new(milli_cores, 64_000, 0),
            rack: RackId::new("r0"),
            labels: Vec::new(),
            service: ServiceName::new("shop"),
        };
        let free = pieces * u64::from(milli_cores);
        let rooms = vec![room; usize::try_from(pieces).expect("few")];
        Summary { free, rooms, ..Summary::default() }
    };
    let shards = [with_pieces(50, 4000), with_pieces(10, 16_000)];
    assert_eq!(chosen_for_short_tasks(shards).as_deref(), Some(SHARD));
}

// Guards against a finite job that is passed from shard to shard until its call has no time left.
#[test]
fn a_finite_job_is_passed_on_twice_at_most() {
    let mut view = View::default();
    for name in ["gikondo/0", "kacyiru/0", "kacyiru/1", "remera/0"] {
        view.shards.insert(name.to_owned(), with_summary(Summary::default()));
    }
    let (mut refusals, mut loads) = (Refusals::default(), UnreportedLoads::default());
    let mut modes = Vec::new();
    for _ in 0..3 {
        let chosen = loads.choose(&view, NOW, &build(), &refusals);
        let (shard, mode) = chosen.expect("a shard");
        refusals.add(shard, mode);
        modes.push(mode);
    }
    use AdmissionMode::{Always, IfRoom};
    assert_eq!(modes, [IfRoom, IfRoom, Always]);
}
