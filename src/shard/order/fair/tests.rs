//! A greedy queue beside a modest one of the same priority.

use super::{Turn, order};
use crate::job::QueueName;
use indexmap::IndexMap;

/// Cores of the VMs and of one job, and how long a job holds them.
const CORES: usize = 100;
const JOB_CORES: usize = 10;
const JOB_SECONDS: usize = 2;

/// Jobs of the greedy and the modest queue that start each second, if one asks for three times the
/// room and the other one for a tenth of it; and the longest wait of a modest job.
fn started(
    fair: impl Fn(&[Turn], &mut IndexMap<QueueName, f64>) -> Vec<usize>,
) -> ([usize; 2], usize) {
    let names = [QueueName::new("greedy"), QueueName::new("modest")];
    let mut waiting: Vec<(usize, usize)> = Vec::new();
    let mut running: Vec<(usize, usize)> = Vec::new();
    let (mut started, mut longest) = ([0, 0], 0);
    for now in 0..60 {
        running.retain(|(_, end)| *end > now);
        waiting.extend(std::iter::repeat_n((0, now), 15));
        waiting.extend((now % 2 == 0).then_some((1, now)));
        let held = |queue: usize| running.iter().filter(|run| run.0 == queue).count() * JOB_CORES;
        let mut known: IndexMap<QueueName, f64> =
            (0..2).map(|queue| (names[queue].clone(), held(queue) as f64)).collect();
        let turns: Vec<Turn> = waiting
            .iter()
            .map(|(queue, _)| Turn { queue: &names[*queue], cores: JOB_CORES as f64 })
            .collect();
        let free = (CORES - (held(0) + held(1))) / JOB_CORES;
        let mut chosen: Vec<usize> = fair(&turns, &mut known).into_iter().take(free).collect();
        chosen.sort_unstable();
        for index in chosen.into_iter().rev() {
            let (queue, since) = waiting.remove(index);
            running.push((queue, now + JOB_SECONDS));
            started[queue] += 1;
            if queue == 1 {
                longest = longest.max(now - since);
            }
        }
    }
    (started, longest)
}

// Guards against a modest queue whose jobs wait behind all those of a greedy one, and against room
// that is left free although jobs wait: the greedy queue gets all that the modest one leaves.
#[test]
fn a_greedy_queue_gets_what_a_modest_one_leaves() {
    let ([_, modest], wait) = started(|turns, _| (0..turns.len()).collect());
    println!("in order of arrival: {modest} of 30 modest jobs started, waits up to {wait} s");
    let ([greedy, modest], wait) = started(order);
    println!("fair: {modest} of 30 modest jobs started, waits up to {wait} s, {greedy} greedy");
    assert_eq!(modest, 30);
    assert!(wait <= 1, "{wait} s");
    assert_eq!(greedy + modest, 60 * CORES / JOB_CORES / JOB_SECONDS);
}

// Guards against a change of the order within a queue, and of that of a lone queue.
#[test]
fn a_lone_queue_keeps_its_order() {
    let queue = QueueName::new("builds");
    let turns = [3.0, 1.0, 2.0].map(|cores| Turn { queue: &queue, cores });
    assert_eq!(order(&turns, &mut IndexMap::new()), [0, 1, 2]);
}
