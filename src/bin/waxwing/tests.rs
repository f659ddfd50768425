//! The operators' tool, run in this process against a daemon that answers as told.

mod fake_daemon;

use crate::app::{self, Env, Io};
use crate::exit::Exit;
use fake_daemon::FakeDaemon;
use std::path::PathBuf;
use std::sync::Arc;
use waxwingstall::api::{
    ApiError, ApplyReply, ApplyReq, CallOutcome, ConfigView, ErrorKind, Explanation, FileView,
    Status, SubmitReply, TaskList,
};
use waxwingstall::clock::ManualClock;
use waxwingstall::config::apply::Effect;
use waxwingstall::ids::{PartitionId, Revision, TaskId};

struct Ran {
    exit: Exit,
    out: String,
    err: String,
}

async fn run(daemons: &str, line: &[&str]) -> Ran {
    let env = Env {
        daemons: Some(daemons.to_owned()),
        user: Some("anna".to_owned()),
        clock: Arc::new(ManualClock::new()),
    };
    let (mut out, mut err) = (Vec::new(), Vec::new());
    let mut io = Io { out: &mut out, err: &mut err };
    let args = std::iter::once("waxwing").chain(line.iter().copied()).map(Into::into).collect();
    let exit = app::run(args, &env, &mut io).await;
    let text = |buf| String::from_utf8(buf).expect("text");
    Ran { exit, out: text(out), err: text(err) }
}

/// Files in a folder of their own, for one test.
struct Files {
    folder: PathBuf,
}

impl Files {
    fn new(test: &str) -> Self {
        let name = format!("waxwing-{}-{test}", std::process::id());
        let folder = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&folder).expect("a folder for the test");
        Self { folder }
    }

    fn write(&self, name: &str, text: &str) -> String {
        let path = self.folder.join(name);
        std::fs::write(&path, text).expect("written");
        path.to_str().expect("text").to_owned()
    }
}

impl Drop for Files {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

fn reply(revision: u64) -> ApplyReply {
    ApplyReply {
        change_id: "anna-0-1".to_owned(),
        revision: Revision(revision),
        effect: Effect::Changed,
    }
}

#[actix_web::test]
async fn each_kind_of_failure_has_its_exit_code() {
    let cases = [
        (ErrorKind::Usage, Exit::Usage, 2),
        (ErrorKind::Refused, Exit::Refused, 3),
        (ErrorKind::Conflict, Exit::Conflict, 4),
        (ErrorKind::Unreachable, Exit::Unreachable, 5),
        (ErrorKind::NotFound, Exit::NotFound, 6),
        (ErrorKind::Unknown, Exit::Unknown, 7),
    ];
    for (kind, exit, code) in cases {
        let daemon = FakeDaemon::start();
        daemon.will_refuse("/v1/tasks/t1-2/cancel", &ApiError::new(kind, "no", "do this"));
        let ran = run(&daemon.addr, &["task", "cancel", "t1-2"]).await;
        assert_eq!((ran.exit, exit as u8), (exit, code));
        assert!(ran.err.contains("remedy: "), "{}", ran.err);
        assert!(ran.out.is_empty());
    }
}

#[actix_web::test]
async fn a_wrong_command_line_is_refused_before_anything_is_sent() {
    let lines: [&[&str]; 7] = [
        &[],
        &["stat"],
        &["task", "show", "1187"],
        &["task", "list", "--state", "lost"],
        &["submit", "--class", "narration"],
        &["apply"],
        &["apply", "--confirm", "x", "--base", "one"],
    ];
    for line in lines {
        let ran = run("127.0.0.1:1", line).await;
        assert_eq!(ran.exit, Exit::Usage, "{line:?}");
        assert!(!ran.err.is_empty(), "{line:?}");
    }
    let ran = run("", &["status"]).await;
    assert_eq!(ran.exit, Exit::Usage);
    assert!(ran.err.contains("--daemon"), "{}", ran.err);
}

#[actix_web::test]
async fn help_shows_examples_and_exit_codes() {
    let ran = run("", &["--help"]).await;
    assert_eq!(ran.exit, Exit::Ok);
    for part in ["Examples:", "Exit codes:", "waxwing explain task", "  7  unknown"] {
        assert!(ran.out.contains(part), "{part}");
    }
    for command in
        ["check", "diff", "apply", "submit", "task list", "vm show", "explain", "audit", "show"]
    {
        let mut line: Vec<_> = command.split(' ').collect();
        line.push("--help");
        let ran = run("", &line).await;
        assert!(ran.out.contains("Example"), "{command}: {}", ran.out);
    }
}

/// A reader that has gone, as `head` does once it has its lines.
struct Gone;

impl std::io::Write for Gone {
    fn write(&mut self, _: &[u8]) -> std::io::Result<usize> {
        Err(std::io::ErrorKind::BrokenPipe.into())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

#[actix_web::test]
async fn a_reader_that_has_seen_enough_is_no_failure() {
    let env = Env { daemons: None, user: None, clock: Arc::new(ManualClock::new()) };
    let mut err = Vec::new();
    let mut io = Io { out: &mut Gone, err: &mut err };
    let args = ["waxwing", "completions", "bash"].map(Into::into).into();
    assert_eq!(app::run(args, &env, &mut io).await, Exit::Ok);
    assert!(err.is_empty());
}

#[actix_web::test]
async fn completions_are_printed_for_each_shell() {
    for shell in ["bash", "zsh", "fish", "elvish", "powershell"] {
        let ran = run("", &["completions", shell]).await;
        assert_eq!(ran.exit, Exit::Ok);
        assert!(ran.out.contains("explain"), "{shell}");
    }
}

#[actix_web::test]
async fn a_submission_prints_its_task_in_either_form() {
    let daemon = FakeDaemon::start();
    let task = TaskId::new(PartitionId(3), 1187);
    let line =
        ["submit", "--class", "narration", "--key", "order-1", "--payload", "a b", "--urgent"];
    daemon.will_answer("/v1/tasks", &SubmitReply { task, repeated: false });
    assert_eq!(run(&daemon.addr, &line).await.out, "t3-1187\n");
    daemon.will_answer("/v1/tasks", &SubmitReply { task, repeated: true });
    let json = run(&daemon.addr, &[&line[..], &["--output", "json"]].concat()).await.out;
    let reply: SubmitReply = serde_json::from_str(&json).expect("JSON");
    assert_eq!(reply, SubmitReply { task, repeated: true });
    let sent = r#"{"class":"narration","key":"order-1","payload":"a b","priority":"urgent"}"#;
    assert_eq!(daemon.sent(), [sent, sent]);
}

#[actix_web::test]
async fn files_are_applied_in_order_each_on_top_of_the_last() {
    let daemon = FakeDaemon::start();
    daemon.will_answer("/v1/config", &NOTHING_IN_FORCE);
    let files = Files::new("in-order");
    let pools = files.write("pools.toml", "[[pool]]");
    let batch = files.write("batch.toml", "[[batch]]");
    daemon.will_answer("/v1/config/apply", &reply(8));
    daemon.will_answer("/v1/config/apply", &reply(9));
    let ran = run(&daemon.addr, &["apply", "--base", "7", &pools, &batch]).await;
    assert_eq!(ran.exit, Exit::Ok, "{}", ran.err);
    assert!(ran.out.contains("in force since revision 9"), "{}", ran.out);
    let sent: Vec<ApplyReq> =
        daemon.sent()[1..].iter().map(|body| serde_json::from_str(body).expect("JSON")).collect();
    let bases: Vec<_> = sent.iter().map(|req| req.base).collect();
    assert_eq!(bases, [Some(Revision(7)), Some(Revision(8))]);
    assert_eq!(sent[0].file, "pools.toml");
    assert_eq!(sent[1].text.as_deref(), Some("[[batch]]"));
    assert!(sent[0].change_id.starts_with("anna-0-") && sent[0].change_id != sent[1].change_id);
    assert!(ran.err.contains(&sent[0].change_id), "the id is told before it is sent");
}

// What the operator sees: which of three files are in force, and how to learn the fate of the one
// whose answer was lost. The first is accepted, the daemon can't tell about the second, and the
// third must not be sent on top of that.
#[actix_web::test]
async fn a_run_that_breaks_off_says_what_is_in_force_and_what_is_not() {
    let daemon = FakeDaemon::start();
    let files = Files::new("breaks-off");
    let paths = ["a.toml", "b.toml", "c.toml"].map(|name| files.write(name, ""));
    daemon.will_answer("/v1/config", &NOTHING_IN_FORCE);
    daemon.will_answer("/v1/config/apply", &reply(8));
    daemon.will_refuse("/v1/config/apply", &ApiError::new(ErrorKind::Unknown, "lost", "confirm"));
    let ran = run(&daemon.addr, &["apply", &paths[0], &paths[1], &paths[2]]).await;
    assert_eq!(ran.exit, Exit::Unknown);
    let second: ApplyReq = serde_json::from_str(&daemon.sent()[2]).expect("JSON");
    let remedy = format!("remedy: run `waxwing apply --confirm {}`", second.change_id);
    for part in ["b.toml: lost", "a.toml is in force", "c.toml was not sent", &remedy] {
        assert!(ran.err.contains(part), "{part} is not in {}", ran.err);
    }
    assert!(ran.err.contains("outcome: unknown"));
    assert_eq!(daemon.sent().len(), 3);
}

#[actix_web::test]
async fn a_file_that_can_not_be_read_stops_the_run_before_anything_is_sent() {
    let daemon = FakeDaemon::start();
    let files = Files::new("unreadable");
    let readable = files.write("ok.toml", "");
    let ran = run(&daemon.addr, &["apply", &readable, "no/such/file.toml"]).await;
    assert_eq!(ran.exit, Exit::Usage);
    assert!(ran.err.contains("no/such/file.toml"), "{}", ran.err);
    assert!(daemon.sent().is_empty());
}

#[actix_web::test]
async fn a_change_is_confirmed_by_its_id() {
    let daemon = FakeDaemon::start();
    daemon.will_answer("/v1/config/confirm", &reply(8));
    let ran = run(&daemon.addr, &["apply", "--confirm", "anna-0-1"]).await;
    assert_eq!((ran.exit, ran.out.contains("in force since revision 8")), (Exit::Ok, true));
    assert_eq!(daemon.sent(), [r#"{"operator":"anna","change_id":"anna-0-1"}"#]);
}

#[actix_web::test]
async fn a_file_in_force_is_shown_as_it_was_applied() {
    let daemon = FakeDaemon::start();
    let text = "[weights]\ntail = 2.0".to_owned();
    let files = vec![FileView { name: "w.toml".to_owned(), revision: Revision(4), text }];
    let view = ConfigView { revision: Revision(9), files };
    daemon.will_answer("/v1/config", &view);
    assert_eq!(run(&daemon.addr, &["show", "w.toml"]).await.out, "[weights]\ntail = 2.0");
    daemon.will_answer("/v1/config", &view);
    assert_eq!(run(&daemon.addr, &["show", "x.toml"]).await.exit, Exit::NotFound);
}

#[actix_web::test]
async fn what_is_missing_from_an_answer_is_said() {
    let daemon = FakeDaemon::start();
    let missing = Some("partition 2 has no writer".to_owned());
    let list = TaskList { tasks: Vec::new(), complete: false, missing: missing.clone() };
    daemon.will_answer("/v1/tasks?state=waiting&limit=5", &list);
    let ran = run(&daemon.addr, &["task", "list", "--state", "waiting", "--limit", "5"]).await;
    assert!(ran.out.contains("incomplete: partition 2 has no writer"), "{}", ran.out);
    daemon.will_answer("/v1/explain/task/t1-2", &Explanation { missing, ..Explanation::default() });
    let ran = run(&daemon.addr, &["explain", "task", "t1-2"]).await;
    assert!(ran.out.contains("incomplete: partition 2 has no writer"), "{}", ran.out);
}

const NOTHING_IN_FORCE: ConfigView = ConfigView { revision: Revision(0), files: Vec::new() };

// What the operator sees: files given as a shell sorts them are all put in force. The one that
// comes first names pools and teams that the later ones declare, and would be refused.
#[actix_web::test]
async fn a_file_goes_after_those_that_it_needs() {
    let daemon = FakeDaemon::start();
    let examples = concat!(env!("CARGO_MANIFEST_DIR"), "/examples/inkuru/");
    let names = ["batch.toml", "pools.toml", "services.toml", "teams.toml"];
    let paths = names.map(|name| format!("{examples}{name}"));
    daemon.will_answer("/v1/config", &NOTHING_IN_FORCE);
    (1..=4).for_each(|revision| daemon.will_answer("/v1/config/apply", &reply(revision)));
    let ran = run(&daemon.addr, &["apply", &paths[0], &paths[1], &paths[2], &paths[3]]).await;
    assert_eq!(ran.exit, Exit::Ok, "{}", ran.err);
    let file = |body: &String| serde_json::from_str::<ApplyReq>(body).expect("JSON").file;
    let sent: Vec<_> = daemon.sent()[1..].iter().map(file).collect();
    let place = |name| sent.iter().position(|sent| sent == name).expect("sent");
    assert!(place("batch.toml") > place("pools.toml"), "{sent:?}");
    assert!(place("batch.toml") > place("teams.toml"), "{sent:?}");
    assert_eq!(sent.len(), 4);
}

const POOL: &str = "[[pool]]\nname = \"batch\"\n";

#[actix_web::test]
async fn files_are_checked_against_each_other_without_a_daemon() {
    let files = Files::new("check");
    let pools = files.write("pools.toml", POOL);
    let batch = files.write("batch.toml", "[[batch]]\nname = \"narration\"\npool = \"bath\"\n");
    let ran = run("", &["check", &pools, &batch]).await;
    assert_eq!(ran.exit, Exit::Usage);
    for part in ["batch.toml:1: ", "has no `team`", "has no `resources`"] {
        assert!(ran.err.contains(part), "{part} is not in {}", ran.err);
    }
    let ran = run("", &["check", &pools, "--output", "json"]).await;
    assert_eq!(ran.exit, Exit::Ok, "{}", ran.err);
    let checked: serde_json::Value = serde_json::from_str(&ran.out).expect("JSON");
    assert_eq!((&checked["files"], &checked["pools"]), (&1.into(), &1.into()));
}

#[actix_web::test]
async fn files_are_compared_with_those_in_force() {
    let files = Files::new("diff");
    let (same, other) = (files.write("a.toml", POOL), files.write("b.toml", POOL));
    let new = files.write("c.toml", "x");
    let daemon = FakeDaemon::start();
    let file = |name: &str, text: &str| FileView {
        name: name.to_owned(),
        revision: Revision(4),
        text: text.to_owned(),
    };
    let in_force = vec![file("a.toml", POOL), file("b.toml", "[[pool]]\nname = \"old\"\n")];
    let view = ConfigView { revision: Revision(9), files: in_force };
    daemon.will_answer("/v1/config", &view);
    let ran = run(&daemon.addr, &["diff", &same, &other, &new]).await;
    let expected = "\
a.toml: no difference
b.toml:
  -2: name = \"old\"
  +2: name = \"batch\"
c.toml: not in force yet
  +1: x
";
    assert_eq!((ran.exit, ran.out.as_str()), (Exit::Ok, expected));
}

const TROUBLED: &str = r#"{
    "daemon": "entry-1", "domain": "kacyiru", "state": "serving", "revision": 41,
    "store": {"reachable": false, "since_ms": 2520000},
    "vms_held": 7, "leases_near_lapse": 0,
    "queued": {"page-preview": 12, "cover": 0}, "refusals": {"deadline": 3},
    "partitions": [
        {"partition": 1, "writer": "entry-1", "tasks": 90, "waiting_tasks": 4},
        {"partition": 2, "writer": null, "tasks": null, "waiting_tasks": null}
    ],
    "members": [
        {"daemon": "entry-2", "domain": "kacyiru", "state": "draining", "revision": 40}
    ]
}"#;

#[actix_web::test]
async fn the_status_page_begins_with_what_needs_a_look() {
    let status: Status = serde_json::from_str(TROUBLED).expect("a status");
    let daemon = FakeDaemon::start();
    daemon.will_answer("/v1/status", &status);
    let ran = run(&daemon.addr, &["status"]).await;
    let expected = "\
entry-1 in kacyiru: serving, configuration 41
3 things need a look:
  ! the key-value service does not answer, for 42 min; bound work goes on, new tasks and changes \
are refused
  ! partition 2 has no known writer; its waiting tasks stand still
  ! entry-2 is at configuration 40, behind this daemon

key-value service DOES NOT ANSWER, for 42 min
VMs held: 7, leases near their end: 0
queued: 12 page-preview
refused since the start: 3 deadline

PARTITION  WRITER   TASKS  WAITING
1          entry-1  90     4
2          none     -      -

DAEMON   DOMAIN   STATE     CONFIGURATION
entry-2  kacyiru  draining  40
";
    assert_eq!(ran.out, expected);
}

const UNCONFIRMED: &str = r#"{
    "daemon": "entry-1", "domain": "kacyiru", "state": "starting", "revision": 41,
    "store": {"reachable": true, "since_ms": 60000},
    "vms_held": 0, "leases_near_lapse": 0, "queued": {}, "refusals": {}, "partitions": [],
    "shards": [{"shard": "kacyiru.0", "owner": "entry-2"}],
    "configuration": {
        "unconfirmed_ms": 8200, "calls_refused": true, "newest_heard": 44,
        "fault": "the answer was given up with 870 of 1500 bytes read"
    },
    "members": []
}"#;

// Guards against a daemon whose configuration doesn't come in, and an operator who isn't told why.
#[actix_web::test]
async fn the_status_page_tells_why_the_configuration_is_unconfirmed() {
    let status: Status = serde_json::from_str(UNCONFIRMED).expect("a status");
    let daemon = FakeDaemon::start();
    daemon.will_answer("/v1/status", &status);
    let ran = run(&daemon.addr, &["status"]).await;
    let lines: Vec<&str> = ran.out.lines().collect();
    let fault = "  ! the configuration is unconfirmed for 8 s (the answer was given up with 870 of \
                 1500 bytes read); calls are turned away";
    assert!(lines.contains(&fault), "{}", ran.out);
    assert!(lines.contains(&"kacyiru.0  entry-2"), "{}", ran.out);
    assert!(!ran.out.contains("PARTITION"), "{}", ran.out);
}

#[actix_web::test]
async fn a_failure_is_printed_as_json_where_that_was_asked_for() {
    let ran = run("127.0.0.1:1", &["status", "--output", "json"]).await;
    assert_eq!(ran.exit, Exit::Unreachable);
    let error: ApiError = serde_json::from_str(&ran.err).expect("JSON");
    assert_eq!(error.outcome, CallOutcome::NotRun);
}
