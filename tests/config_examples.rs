//! The example configurations are whole, and can be put in force file by file.

use futures::executor::block_on;
use std::convert::Infallible;
use std::path::Path;
use waxwingstall::clock::ManualClock;
use waxwingstall::config::apply::{Action, ChangeRequest, Confirmation, apply, confirm};
use waxwingstall::config::follow::Newcomer;
use waxwingstall::config::follow::fetch::{Started, start};
use waxwingstall::config::{ConfigFile, check};
use waxwingstall::ids::{ChangeId, OperatorName, Revision};
use waxwingstall::model::Config;
use waxwingstall::store::memory::MemoryStore;

/// Each file of these can be checked once the earlier ones are in force.
const ORDER: [&str; 4] = ["services.toml", "pools.toml", "teams.toml", "batch.toml"];

fn files(dir: &str) -> Vec<ConfigFile> {
    let dir = Path::new(env!("CARGO_MANIFEST_DIR")).join("examples").join(dir);
    let read = |name: &&str| {
        ConfigFile::new(name, &std::fs::read_to_string(dir.join(name)).expect("an example"))
    };
    ORDER.iter().map(read).collect()
}

fn checked(dir: &str) -> Config {
    check(&files(dir)).expect("a faultless example")
}

#[test]
fn the_inkuru_files_are_faultless_and_weigh_the_tail_most() {
    let cfg = checked("inkuru");
    assert_eq!((cfg.services.len(), cfg.requests.len(), cfg.batch.len()), (1, 3, 4));
    assert!(cfg.weights.tail > cfg.weights.evictions && cfg.weights.tail > cfg.weights.throughput);
}

#[test]
fn the_pivnita_files_are_faultless_and_weigh_evictions_most() {
    let cfg = checked("pivnita");
    assert_eq!((cfg.services.len(), cfg.requests.len(), cfg.batch.len()), (1, 3, 4));
    assert!(cfg.weights.evictions > cfg.weights.tail);
}

#[test]
fn files_applied_one_by_one_are_in_force_together() {
    let store = MemoryStore::new();
    let clock = ManualClock::new();
    let operator = OperatorName::new("uwase");
    for (i, file) in files("inkuru").into_iter().enumerate() {
        let req = ChangeRequest {
            operator: operator.clone(),
            change: ChangeId::new(&format!("c{i}")),
            file: file.name,
            action: Action::Replace { text: file.text },
            base: None,
        };
        let applied = block_on(apply(&store, &clock, &req)).expect("applied");
        assert_eq!(applied.revision, Revision(i as u64 + 1));
    }
    let started = block_on(start(Newcomer::new(), &store, &[] as &[Infallible]));
    let Started::Following { follower, .. } = started else { panic!("{started:?}") };
    assert_eq!(**follower.config(), Config { revision: Revision(4), ..checked("inkuru") });
    let settled = block_on(confirm(&store, &clock, &ChangeId::new("c2"), &operator));
    assert!(matches!(settled, Ok(Confirmation::Applied(applied)) if applied.revision.0 == 3));
}
