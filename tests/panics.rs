//! Panics on vital threads, in processes of their own.

use std::process::Command;
use std::sync::Arc;
use std::time::Duration;
use waxwingstall::clock::SystemClock;
use waxwingstall::journal::Journal;
use waxwingstall::note::Weight;
use waxwingstall::panics;

/// Names the test that runs in a process of its own.
const CHILD_ENV: &str = "WAXWINGSTALL_PANIC_TEST";

/// Exit code of a child whose panic ended nothing.
const LIVES_ON: i32 = 7;

/// Runs a test in a process of its own, where `child` is called; returns the exit code and the log.
fn in_child(test: &str, child: fn()) -> (Option<i32>, String) {
    if std::env::var(CHILD_ENV).is_ok_and(|name| name == test) {
        let journal = Journal::start(Arc::new(SystemClock), Weight::Telling, std::io::stdout());
        panics::end_process_on_panic(journal);
        let _ = std::thread::Builder::new().name("part".to_owned()).spawn(child).map(|t| t.join());
        std::thread::sleep(Duration::from_millis(500));
        std::process::exit(LIVES_ON);
    }
    let program = std::env::current_exe().expect("this program");
    #[expect(clippy::disallowed_methods, reason = "the panic ends the process that it happens in")]
    let mut command = Command::new(program);
    command.args(["--exact", test, "--nocapture"]).env(CHILD_ENV, test);
    let output = command.output().expect("the program runs");
    (output.status.code(), String::from_utf8_lossy(&output.stdout).into_owned())
}

// Guards against a process that lives on, and looks alive, without a part that has ended.
#[test]
fn a_panic_on_a_vital_thread_ends_the_process() {
    let (code, log) = in_child("a_panic_on_a_vital_thread_ends_the_process", || {
        panics::mark_vital();
        panic!("a reason");
    });
    assert_eq!(code, Some(101), "{log}");
    let line = log.lines().find(|line| line.contains("event=daemon-failed"));
    let line = line.unwrap_or_else(|| panic!("no line says why: {log}"));
    assert!(line.contains("thread=part") && line.contains("reason=\"a reason\""), "{line}");
}

// Guards against a daemon that ends as one caller's connection fails.
#[test]
fn a_panic_elsewhere_ends_its_thread_only() {
    let (code, log) = in_child("a_panic_elsewhere_ends_its_thread_only", || panic!("a reason"));
    assert_eq!(code, Some(LIVES_ON), "{log}");
}

// Guards against a daemon that ends with a shard whose failure it handles.
#[test]
fn a_contained_panic_ends_nothing() {
    let (code, log) = in_child("a_contained_panic_ends_nothing", || {
        panics::mark_vital();
        let failed = panics::contain(|| panic!("a reason"));
        assert!(failed.is_err());
    });
    assert_eq!(code, Some(LIVES_ON), "{log}");
}
