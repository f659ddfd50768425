use super::{Client, ExplainSubject, query_string, segment};
use crate::api::{ApiError, CallOutcome, ErrorKind, SubmitPriority, SubmitReq, TaskQuery};
use crate::ids::VmId;
use std::io::{Read, Write};
use std::net::TcpListener;
use std::thread::JoinHandle;

/// A daemon that answers one call with these bytes; returns what it was sent.
struct OneAnswer {
    addr: String,
    thread: JoinHandle<String>,
}

fn answers(bytes: String) -> OneAnswer {
    let listener = TcpListener::bind("127.0.0.1:0").expect("loopback");
    let addr = listener.local_addr().expect("bound").to_string();
    let thread = std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a call");
        let mut buf = vec![0; 4096];
        let len = stream.read(&mut buf).expect("a request");
        stream.write_all(bytes.as_bytes()).expect("answered");
        String::from_utf8_lossy(&buf[..len]).into_owned()
    });
    OneAnswer { addr, thread }
}

fn http(status: &str, body: &str) -> String {
    format!("HTTP/1.1 {status}\r\ncontent-length: {}\r\n\r\n{body}", body.len())
}

/// An address that refuses connections.
fn closed() -> String {
    let listener = TcpListener::bind("127.0.0.1:0").expect("loopback");
    listener.local_addr().expect("bound").to_string()
}

fn submit() -> SubmitReq {
    SubmitReq {
        class: "narration".into(),
        key: "order-1".into(),
        team: None,
        payload: String::new(),
        priority: SubmitPriority::AsClass,
    }
}

fn block_on<F: Future>(f: F) -> F::Output {
    actix_rt::System::new().block_on(f)
}

#[test]
fn a_daemon_that_refuses_connections_is_passed_over() {
    let daemon = answers(http("200 OK", r#"{"task":"t1-7","repeated":false}"#));
    let client = || Client::new(vec![closed(), daemon.addr.clone()]);
    let reply = block_on(async { client().submit(&submit()).await }).expect("the second answers");
    assert_eq!(reply.task.to_string(), "t1-7");
    let sent = daemon.thread.join().expect("served");
    assert!(sent.starts_with("POST /v1/tasks HTTP/1.1"), "{sent}");
}

// What the operator sees: "unknown", not a task that was submitted twice. The first daemon takes
// the submission and its connection closes before the answer; the second daemon must not be asked,
// and here it would refuse the connection and turn the outcome into "not run".
#[test]
fn after_a_lost_answer_a_change_is_not_sent_to_another_daemon() {
    for answer in ["", "HTTP/1.1 200 OK\r\ncontent-length: 99\r\n\r\n{\"task\""] {
        let daemon = answers(answer.to_owned());
        let daemons = vec![daemon.addr.clone(), closed()];
        let error = block_on(async { Client::new(daemons).submit(&submit()).await });
        let error = error.expect_err("no answer came");
        assert_eq!((error.kind, error.outcome), (ErrorKind::Unknown, CallOutcome::Unknown));
        daemon.thread.join().expect("served");
    }
}

#[test]
fn after_a_lost_answer_a_read_is_asked_of_another_daemon() {
    let cut = answers(String::new());
    let whole = answers(http("200 OK", r#"{"tasks":[],"complete":true,"missing":null}"#));
    let daemons = vec![cut.addr.clone(), whole.addr.clone()];
    let list = block_on(async { Client::new(daemons).tasks(&TaskQuery::default()).await });
    assert!(list.expect("the second answers").complete);
    cut.thread.join().expect("served");
    whole.thread.join().expect("served");
}

#[test]
fn an_error_is_passed_on_as_the_daemon_said_it() {
    let refused = ApiError::new(ErrorKind::Conflict, "revision 8 won", "rebase on it")
        .with_details(vec!["weights: tail 1 -> 2".to_owned()]);
    let body = serde_json::to_string(&refused).expect("an error can be written");
    let daemon = answers(http("409 Conflict", &body));
    let addr = daemon.addr.clone();
    let error = block_on(async { Client::new(vec![addr, closed()]).submit(&submit()).await });
    assert_eq!(error, Err(refused));
    daemon.thread.join().expect("served");
}

#[test]
fn when_no_daemon_can_be_reached_each_one_is_named() {
    let daemons = vec![closed(), closed()];
    let listed = daemons.clone();
    let error = block_on(async { Client::new(daemons).status().await }).expect_err("none is up");
    assert_eq!((error.kind, error.outcome), (ErrorKind::Unreachable, CallOutcome::NotRun));
    assert_eq!(error.details.len(), 2);
    for (detail, daemon) in error.details.iter().zip(&listed) {
        assert!(detail.starts_with(daemon.as_str()), "{detail}");
    }
}

#[test]
fn what_a_daemon_says_goes_before_those_that_can_not_be_reached() {
    let said = ApiError::new(ErrorKind::Unreachable, "no writer yet", "repeat the call");
    let body = serde_json::to_string(&said).expect("an error can be written");
    let daemon = answers(http("503 Service Unavailable", &body));
    let daemons = vec![closed(), daemon.addr.clone(), closed()];
    let error = block_on(async { Client::new(daemons).submit(&submit()).await });
    let error = error.expect_err("no daemon can");
    assert_eq!((error.message.as_str(), error.details.len()), ("no writer yet", 3));
    daemon.thread.join().expect("served");
}

#[test]
fn an_answer_of_something_else_is_not_taken_for_a_daemons() {
    let daemon = answers(http("404 Not Found", "<html>"));
    let addr = daemon.addr.clone();
    let vm = ExplainSubject::Vm(VmId::new("a/b"));
    let error = block_on(async { Client::new(vec![addr]).explain(&vm).await });
    assert_eq!(error.expect_err("not a daemon").kind, ErrorKind::Unknown);
    let sent = daemon.thread.join().expect("served");
    assert!(sent.starts_with("GET /v1/explain/vm/a%2Fb HTTP/1.1"), "{sent}");
}

#[test]
fn names_are_escaped_in_paths_and_queries() {
    assert_eq!(segment("a b/ă&?"), "a%20b%2F%C4%83%26%3F");
    let pairs = [("state", None), ("class", Some("a&b".to_owned())), ("limit", Some("3".into()))];
    assert_eq!(query_string(&pairs), "?class=a%26b&limit=3");
    assert_eq!(query_string(&pairs[..1]), "");
}
