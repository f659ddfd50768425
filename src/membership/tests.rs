use super::*;
use crate::ids::{DomainId, Revision};
use crate::peer::MemberState;

fn member(name: &str, addr: &str) -> Member {
    Member {
        id: DaemonId::new(name),
        domain: DomainId::new("kacyiru"),
        peer_addr: addr.to_owned(),
        state: MemberState::Serving,
        revision: Revision(1),
    }
}

fn entry(addr: &str) -> DaemonEntry {
    DaemonEntry {
        domain: DomainId::new("kacyiru"),
        peer_addr: addr.to_owned(),
        front_addr: String::new(),
    }
}

fn secs(s: u64) -> Duration {
    Duration::from_secs(s)
}

fn watched(barrier: Barrier) -> Membership {
    let settings = MembershipSettings { barrier, ..MembershipSettings::default() };
    let mut membership = Membership::new(member("a@1", "a"), settings);
    membership.listed(&[entry("a"), entry("b"), entry("c")]);
    membership
}

#[test]
fn a_listed_daemon_is_a_member_only_once_it_answers() {
    let mut membership = watched(Barrier::Used);
    assert_eq!(membership.round(secs(1)).probes, ["b", "c"]);
    assert_eq!(membership.members().len(), 1);
    membership.heard(secs(1), &member("b@1", "b"));
    assert_eq!(membership.members().len(), 2);
}

// The caller sees tasks re-placed and VMs change hands although every daemon is well. Order: the
// receiver is paused for longer than the timeout; answers arrive and wait in its sockets; it wakes,
// its timer fires first, and it reports all peers dead. With the barrier the waiting answers are
// read before the report.
#[test]
fn answers_unread_during_a_pause_prevent_a_false_report() {
    for (barrier, dead) in [(Barrier::Used, 0), (Barrier::Skipped, 2)] {
        let mut membership = watched(barrier);
        membership.heard(secs(1), &member("b@1", "b"));
        membership.heard(secs(1), &member("c@1", "c"));
        let mut reported = 0;
        let round = membership.round(secs(9));
        reported += round.dead.len();
        membership.heard(secs(9), &member("b@1", "b"));
        membership.heard(secs(9), &member("c@1", "c"));
        if let Some(id) = round.barrier {
            reported += membership.passed(id).len();
        }
        assert_eq!(reported, dead, "{barrier:?}");
    }
}

// The caller sees nothing placed on a dead daemon's VMs until it is found dead. Order: the daemon
// dies; the timeout passes; the barrier passes and nothing of it was unread; it is reported.
#[test]
fn a_daemon_that_is_really_silent_is_reported_after_the_barrier() {
    let mut membership = watched(Barrier::Used);
    membership.heard(secs(1), &member("b@1", "b"));
    assert_eq!(membership.round(secs(2)).barrier, None);
    let round = membership.round(secs(6));
    assert_eq!(round.dead, []);
    let dead = membership.passed(round.barrier.expect("a barrier for b"));
    assert_eq!(dead, [DaemonId::new("b@1")]);
    assert_eq!(membership.members().len(), 1);
}

#[test]
fn a_restart_at_the_same_address_replaces_the_earlier_run() {
    let mut membership = watched(Barrier::Used);
    membership.heard(secs(1), &member("b@1", "b"));
    membership.heard(secs(2), &member("b@2", "b"));
    let ids: Vec<_> = membership.members().into_iter().map(|m| m.id).collect();
    assert_eq!(ids, [DaemonId::new("a@1"), DaemonId::new("b@2")]);
}

#[test]
fn a_daemon_missing_from_a_late_list_stays_while_it_answers() {
    let mut membership = watched(Barrier::Used);
    membership.heard(secs(1), &member("b@1", "b"));
    membership.listed(&[entry("a")]);
    assert_eq!(membership.members().len(), 2);
}

#[test]
fn probes_take_turns_when_there_are_more_daemons_than_the_fanout() {
    let settings = MembershipSettings { fanout: 2, ..MembershipSettings::default() };
    let mut membership = Membership::new(member("a@1", "a"), settings);
    membership.listed(&[entry("b"), entry("c"), entry("d")]);
    assert_eq!(membership.round(secs(1)).probes, ["b", "c"]);
    assert_eq!(membership.round(secs(2)).probes, ["d", "b"]);
    assert_eq!(membership.round(secs(3)).probes, ["c", "d"]);
}
