//! Tests of the request path over real sockets that involve several requests.

mod request_support;

use request_support::{
    Front, Response, call, config, listed, listed_in, read_answer, send, wait_until,
};
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;
use waxwingstall::clock::{Clock, SystemClock};
use waxwingstall::ids::{ClassName, DaemonId, Token};
use waxwingstall::request::share::{AllocatorSettings, PriorGrants, SlotAllocators};
use waxwingstall::request::{
    DispatcherSettings, EndpointState, Explained, Limits, Outcome, PeerFront, Reason, Shares,
};
use waxwingstall_standin::endpoint::{Endpoint, EndpointSettings, Fault, OnClose, answer_body};

fn one_slot(on_close: OnClose) -> Endpoint {
    Endpoint::start(EndpointSettings { slots: 1, on_close, ..EndpointSettings::default() })
}

/// Sends a request without reading its answer.
fn start(addr: SocketAddr, class: &str, tail: &str, id: &str) -> TcpStream {
    let mut stream = TcpStream::connect(addr).unwrap();
    stream.set_read_timeout(Some(Duration::from_secs(30))).unwrap();
    let head = format!(
        "POST /v1/requests/{class}/{tail} HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\
         waxwing-request-id: {id}\r\ncontent-length: 0\r\n\r\n"
    );
    stream.write_all(head.as_bytes()).unwrap();
    stream
}

fn queued(front: &Front) -> usize {
    front.with(|dispatcher| dispatcher.status().queued.values().sum())
}

fn assert_ran(got: &Response, id: &str) {
    assert_eq!(got.outcome(), "ran", "{id}: {got:?}");
    assert!(got.whole, "{id} was cut");
    assert_eq!(got.body, answer_body(id, got.body.len()), "{id} got another's answer");
}

/// A drain starts while one request runs and one is queued, and another arrives afterwards. The
/// running one is answered completely; the queued and the new one are refused as not run, and never
/// run.
#[test]
fn a_drain_finishes_what_runs_and_refuses_the_rest_as_not_run() {
    let endpoint = one_slot(OnClose::Stops);
    let front = Front::start(config(1), &[listed("vm-1", &endpoint)]);
    let mut running = start(front.addr, "plan", "x?ms=700&bytes=300000", "running");
    wait_until("the first runs", || endpoint.running() == 1);
    let mut waiting = start(front.addr, "plan", "x", "waiting");
    wait_until("the second waits", || queued(&front) == 1);
    front.with(|dispatcher| dispatcher.drain());
    let waiting = read_answer(&mut waiting);
    let new = call(front.addr, "plan", "x", "new");
    for got in [&waiting, &new] {
        assert_eq!((got.outcome(), got.reason()), ("not-run", "draining"), "{got:?}");
        assert_eq!(got.header("retry-after"), "1");
    }
    assert_ran(&read_answer(&mut running), "running");
    wait_until("nothing is in flight", || front.with(|dispatcher| dispatcher.in_flight()) == 0);
    assert_eq!((endpoint.runs_of("waiting"), endpoint.runs_of("new")), (0, 0));
}

/// A drain starts during a streamed answer. The caller gets the rest of it, and the request counts
/// as in flight until then.
#[test]
fn a_drain_waits_for_streams() {
    let endpoint = one_slot(OnClose::Stops);
    let front = Front::start(config(1), &[listed("vm-1", &endpoint)]);
    let mut stream = start(front.addr, "plan", "x?bytes=400000&chunked=1&gap_ms=60", "stream");
    wait_until("the stream runs", || endpoint.running() == 1);
    front.with(|dispatcher| dispatcher.drain());
    assert_eq!(front.with(|dispatcher| dispatcher.in_flight()), 1);
    let got = read_answer(&mut stream);
    assert_ran(&got, "stream");
    assert_eq!(got.body.len(), 400_000);
    wait_until("nothing is in flight", || front.with(|dispatcher| dispatcher.in_flight()) == 0);
}

/// A caller disconnects while its request runs on the only slot. The connection to the endpoint is
/// closed, the endpoint stops, and the next caller gets the slot long before the first request
/// would have ended.
#[test]
fn a_caller_that_goes_away_frees_its_slot() {
    let endpoint = one_slot(OnClose::Stops);
    let front = Front::start(config(1), &[listed("vm-1", &endpoint)]);
    let gone = start(front.addr, "plan", "x?ms=1000000", "gone");
    wait_until("the first runs", || endpoint.running() == 1);
    drop(gone);
    assert_ran(&call(front.addr, "plan", "x", "next"), "next");
    assert_eq!(endpoint.slot_violations(), 0);
}

/// The endpoint does not notice closed connections: the next request must wait until the first has
/// ended, or two would run on one slot.
#[test]
fn a_slot_is_not_given_away_while_its_request_still_runs() {
    let endpoint = one_slot(OnClose::RunsOn);
    let front = Front::start(config(1), &[listed("vm-1", &endpoint)]);
    let gone = start(front.addr, "plan", "x?ms=800", "gone");
    wait_until("the first runs", || endpoint.running() == 1);
    drop(gone);
    assert_ran(&call(front.addr, "plan", "x", "next"), "next");
    assert_eq!((endpoint.max_concurrent(), endpoint.slot_violations()), (1, 0));
}

/// The deadline of a request passes while it runs at an endpoint that does not notice closed
/// connections. The caller gets `unknown` at once; the next request still waits for the slot.
#[test]
fn a_passed_deadline_is_told_at_once_and_gives_no_slot_away() {
    let endpoint = one_slot(OnClose::RunsOn);
    let front = Front::start(config(1), &[listed("vm-1", &endpoint)]);
    let soon = "waxwing-request-id: late\r\nwaxwing-deadline-ms: 300\r\n";
    let late = send(front.addr, "POST", "/v1/requests/plan/x?ms=1500", soon, b"");
    assert_eq!((late.status, late.outcome()), (504, "unknown"), "{late:?}");
    assert_eq!(late.reason(), "deadline-passed");
    assert_eq!(endpoint.running(), 1, "the answer came while the request still ran");
    assert_ran(&call(front.addr, "plan", "x", "next"), "next");
    assert_eq!((endpoint.max_concurrent(), endpoint.slot_violations()), (1, 0));
}

/// The caller of a non-idempotent request disconnects while it runs. Cancelling it could leave it
/// half done, so it runs to its end, and the result can be queried.
#[test]
fn a_run_that_cannot_be_repeated_is_not_cut_when_its_caller_goes_away() {
    let endpoint = one_slot(OnClose::Stops);
    let front = Front::start(config(1), &[listed("vm-1", &endpoint)]);
    let gone = start(front.addr, "build", "x?ms=400", "build-1");
    wait_until("the build runs", || endpoint.running() == 1);
    drop(gone);
    wait_until("the build ends", || match front.explain("build-1") {
        Explained::Known(entry) => entry.end.is_some_and(|end| end.outcome == Outcome::Ran),
        Explained::Forgotten { .. } => false,
    });
    assert_eq!((endpoint.completed(), endpoint.runs_of("build-1")), (1, 1));
}

/// Callers send one byte of the body and then nothing. They hold no slot, so others are answered
/// meanwhile. After the body timeout they are refused as not run.
#[test]
fn slow_senders_hold_no_slot_and_are_told_so() {
    let endpoint = one_slot(OnClose::Stops);
    let limits = Limits { body_time: Duration::from_millis(1500), ..Limits::default() };
    let settings = DispatcherSettings::new("d1".into(), "home".into()).with_limits(limits);
    let front = Front::start_with(settings, config(1), &[listed("vm-1", &endpoint)]);
    let mut slow: Vec<TcpStream> = (0..20)
        .map(|_| {
            let mut stream = TcpStream::connect(front.addr).unwrap();
            let head = "POST /v1/requests/plan/x HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\
                        content-length: 10\r\n\r\n1";
            stream.write_all(head.as_bytes()).unwrap();
            stream
        })
        .collect();
    wait_until("they have arrived", || front.with(|dispatcher| dispatcher.in_flight()) == 20);
    assert_ran(&call(front.addr, "plan", "x", "quick"), "quick");
    for stream in &mut slow {
        let got = read_answer(stream);
        assert_eq!((got.status, got.outcome()), (408, "not-run"), "{got:?}");
        assert_eq!(got.reason(), "body-too-slow");
    }
    assert_eq!(endpoint.runs(), 1);
}

/// Invalid requests are refused as not run, with the reason.
#[test]
fn malformed_input_is_refused_with_the_reason() {
    let endpoint = one_slot(OnClose::Stops);
    let limits = Limits { body_bytes: 1000, ..Limits::default() };
    let settings = DispatcherSettings::new("d1".into(), "home".into()).with_limits(limits);
    let front = Front::start_with(settings, config(1), &[listed("vm-1", &endpoint)]);
    let long = format!("waxwing-request-id: {}\r\n", "x".repeat(129));
    let cases: [(&str, &str, usize, u16, &str); 8] = [
        ("/v1/requests/nothing/x", "", 0, 404, "unknown-class"),
        ("/v1/requests/plan/x", "waxwing-request-id: a b\r\n", 0, 400, "bad-request-id"),
        ("/v1/requests/plan/x", long.as_str(), 0, 400, "bad-request-id"),
        ("/v1/requests/plan/x", "waxwing-deadline-ms: soon\r\n", 0, 400, "bad-deadline"),
        ("/v1/requests/plan/x", "waxwing-deadline-ms: 0\r\n", 0, 400, "bad-deadline"),
        ("/v1/requests/plan/x", "waxwing-deadline-ms: -5\r\n", 0, 400, "bad-deadline"),
        ("/v1/requests/plan/x", "waxwing-team: \u{1}\r\n", 0, 400, "bad-team"),
        ("/v1/requests/plan/x", "", 1001, 413, "body-too-large"),
    ];
    for (path, headers, length, status, reason) in cases {
        let got = send(front.addr, "POST", path, headers, &vec![b'x'; length]);
        if reason == "bad-team" && got.outcome().is_empty() {
            // The HTTP server rejects control characters before the dispatcher sees the request.
            assert_eq!(got.status, 400, "{got:?}");
            continue;
        }
        assert_eq!((got.status, got.reason()), (status, reason), "{path} {headers}");
        assert_eq!(got.outcome(), "not-run", "{path} {headers}");
    }
    assert_eq!(endpoint.runs(), 0);
}

/// An endpoint reports that it is leaving, refuses connections, or is listed as leaving. No request
/// fails, and the endpoint gets no new requests except probes.
#[test]
fn a_leaving_endpoint_gets_no_new_work() {
    type Leave = fn(&Front, &Endpoint, &Endpoint);
    let by_word: Leave = |_, leaving, _| leaving.faults().leaving(true);
    let by_refusal: Leave = |_, leaving, _| leaving.faults().refuse_connections(true);
    let by_list: Leave = |front, leaving, remaining| {
        let mut info = listed("leaving", leaving);
        info.state = EndpointState::Leaving;
        let endpoints = [info, listed("remaining", remaining)];
        front.with(move |dispatcher| dispatcher.set_endpoints(&endpoints));
    };
    for (name, leave) in [("word", by_word), ("refusal", by_refusal), ("list", by_list)] {
        let leaving = Endpoint::start(EndpointSettings::default());
        let remaining = Endpoint::start(EndpointSettings::default());
        let endpoints = [listed("leaving", &leaving), listed("remaining", &remaining)];
        let front = Front::start(config(8), &endpoints);
        for at in 0..20 {
            assert_eq!(call(front.addr, "build", "x", &format!("before-{at}")).outcome(), "ran");
        }
        leave(&front, &leaving, &remaining);
        let (runs, arrived) = (leaving.runs(), leaving.requests());
        for at in 0..60 {
            let got = call(front.addr, "build", "x", &format!("after-{at}"));
            assert_eq!(got.outcome(), "ran", "{name}: {got:?}");
        }
        assert_eq!(leaving.runs(), runs, "{name}: new requests after it left");
        let asked = leaving.requests() - arrived;
        assert!(asked <= 2, "{name}: still sent {asked} requests, which it refused");
    }
}

/// An endpoint that reported that it was leaving gets requests again after a successful probe.
#[test]
fn an_endpoint_that_is_well_again_returns() {
    let endpoint = Endpoint::start(EndpointSettings::default());
    let front = Front::start(config(8), &[listed("vm-1", &endpoint)]);
    endpoint.faults().leaving(true);
    let refused = call(front.addr, "build", "x", "refused");
    assert_eq!(refused.outcome(), "not-run", "{refused:?}");
    endpoint.faults().leaving(false);
    wait_until("it is back", || call(front.addr, "build", "x", "again").outcome() == "ran");
    assert_eq!(endpoint.runs_of("refused"), 0);
}

/// One of four endpoints answers every request with an error at once. Its short response time must
/// not attract requests: nearly all go to the others, and the callers see no error.
#[test]
fn an_endpoint_that_fails_quickly_attracts_nothing() {
    let endpoints: Vec<Endpoint> =
        (0..4).map(|_| Endpoint::start(EndpointSettings::default())).collect();
    endpoints[0].faults().always(Fault::ErrorFast(500));
    let infos: Vec<_> =
        endpoints.iter().enumerate().map(|(at, e)| listed(&format!("vm-{at}"), e)).collect();
    let front = Front::start(config(8), &infos);
    let mut errors = 0;
    for at in 0..300 {
        let got = call(front.addr, "preview", "x?ms=1", &format!("r{at}"));
        errors += usize::from(got.status != 200);
    }
    let ran: usize = endpoints[1..].iter().map(Endpoint::runs).sum();
    assert_eq!(errors, 0);
    assert_eq!(ran, 300);
    let tries = endpoints[0].requests() + ran;
    assert!(tries <= 330, "{tries} tries of 300 requests");
}

/// Every endpoint fails every request. Retries must not multiply the load on them. The class used
/// has a long wait limit, since a slot is held until its request is known to have ended, which takes
/// longer than the wait limit of `preview` on a busy machine.
#[test]
fn when_everything_fails_there_are_few_retries() {
    let endpoints: Vec<Endpoint> =
        (0..4).map(|_| Endpoint::start(EndpointSettings::default())).collect();
    endpoints.iter().for_each(|e| e.faults().always(Fault::CloseBeforeHead));
    let infos: Vec<_> =
        endpoints.iter().enumerate().map(|(at, e)| listed(&format!("vm-{at}"), e)).collect();
    let front = Front::start(config(8), &infos);
    for at in 0..600 {
        let got = call(front.addr, "plan", "x", &format!("r{at}"));
        assert_eq!(got.outcome(), "unknown", "{got:?}");
    }
    let tries: usize = endpoints.iter().map(Endpoint::runs).sum();
    assert!(tries <= 660, "{tries} tries of 600 requests");
}

fn front_of(id: &str, domain: &str) -> Front {
    let settings = DispatcherSettings::new(id.into(), domain.into());
    Front::start_with(settings, config(8), &[])
}

/// A daemon of the same domain that is never contacted; only its id is used.
fn domain_peer(id: &str) -> PeerFront {
    PeerFront { id: id.into(), domain: "home".into(), addr: "127.0.0.1:1".to_owned() }
}

fn peer(id: &str, domain: &str, front: &Front) -> PeerFront {
    PeerFront { id: id.into(), domain: domain.into(), addr: front.addr.to_string() }
}

/// A caller doesn't read its answer of 200 MB. The endpoint can send only what fits into the socket
/// buffers, and the daemon buffers little. At the deadline the slot is released, so that the next
/// caller is served, and the answer ends truncated.
#[test]
fn a_caller_that_does_not_read_holds_little_memory_and_its_slot_only_until_the_deadline() {
    const LENGTH: usize = 200_000_000;
    let endpoint = one_slot(OnClose::Stops);
    let front = Front::start(config(1), &[listed("vm-1", &endpoint)]);
    let mut slow_reader = TcpStream::connect(front.addr).unwrap();
    let head = format!(
        "POST /v1/requests/plan/x?bytes={LENGTH} HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\
         waxwing-deadline-ms: 2000\r\ncontent-length: 0\r\n\r\n"
    );
    slow_reader.write_all(head.as_bytes()).unwrap();
    wait_until("it runs", || endpoint.running() == 1);
    assert_ran(&call(front.addr, "plan", "x", "next"), "next");
    assert!(endpoint.body_bytes_sent() < LENGTH / 2, "{} bytes", endpoint.body_bytes_sent());
    let got = read_answer(&mut slow_reader);
    assert_eq!((got.status, got.whole), (200, false));
}

/// There is no endpoint in the domain. The request is forwarded to a daemon of another domain, and
/// streamed and truncated answers are forwarded as such.
#[test]
fn another_domain_is_asked_when_there_is_no_endpoint_at_home() {
    let (home, away) = (front_of("d1", "home"), front_of("d2", "away"));
    let endpoint = Endpoint::start(EndpointSettings::default());
    let info = listed_in("away", "vm-1", &endpoint);
    let infos = [info.clone()];
    away.with(move |dispatcher| dispatcher.set_endpoints(&infos));
    home.with(move |dispatcher| dispatcher.set_endpoints(&[info]));
    let fronts = [peer("d2", "away", &away)];
    home.with(move |dispatcher| dispatcher.set_peers(&fronts));
    for (id, tail) in [("a", "x"), ("b", "x?bytes=500000"), ("c", "x?bytes=500000&chunked=1")] {
        assert_ran(&call(home.addr, "build", tail, id), id);
    }
    endpoint.faults().next(Fault::CutBody);
    let cut = call(home.addr, "build", "x?bytes=500000&chunked=1", "cut");
    assert!(!cut.whole, "a truncated answer looked complete after forwarding");
    assert_eq!(endpoint.repeated(), Vec::<String>::new());
}

/// Two domains without endpoints each know the other. A request is forwarded once and refused as
/// not run; it must not loop.
#[test]
fn a_request_is_forwarded_once_at_most() {
    let (one, other) = (front_of("d1", "home"), front_of("d2", "away"));
    let to_other = [peer("d2", "away", &other)];
    let to_one = [peer("d1", "home", &one)];
    one.with(move |dispatcher| dispatcher.set_peers(&to_other));
    other.with(move |dispatcher| dispatcher.set_peers(&to_one));
    let got = call(one.addr, "build", "x", "lost");
    assert_eq!((got.outcome(), got.reason()), ("not-run", "no-endpoint"), "{got:?}");
    let Explained::Known(entry) = one.explain("lost") else { panic!("forgotten") };
    assert_eq!(entry.tries.len(), 1, "{entry:?}");
}

/// The only other domain can't be reached: the caller gets the local refusal.
#[test]
fn an_unreachable_domain_changes_nothing() {
    let home = front_of("d1", "home");
    let nowhere =
        [PeerFront { id: "d2".into(), domain: "away".into(), addr: "127.0.0.1:1".to_owned() }];
    home.with(move |dispatcher| dispatcher.set_peers(&nowhere));
    let got = call(home.addr, "build", "x", "r");
    assert_eq!((got.outcome(), got.reason()), ("not-run", "no-endpoint"), "{got:?}");
}

/// Three daemons share an endpoint's eight slots, each with more callers than slots, some of which
/// disconnect. The endpoint never has more requests than slots.
#[test]
fn daemons_that_share_an_endpoint_never_overfill_it() {
    let settings = EndpointSettings {
        slots: 8,
        service_time: Duration::from_millis(15),
        on_close: OnClose::RunsOn,
    };
    let endpoint = Endpoint::start(settings);
    let ids: Vec<DaemonId> = (0..3).map(|at| DaemonId::new(&format!("d{at}"))).collect();
    let fronts: Vec<Front> = ids
        .iter()
        .map(|id| {
            let settings = DispatcherSettings::new(id.clone(), "home".into());
            let front = Front::start_with(settings, config(8), &[listed("vm-1", &endpoint)]);
            assert_eq!(share(&front), 8, "a single daemon has all slots");
            let others: Vec<PeerFront> = ids.iter().map(|id| domain_peer(id.as_str())).collect();
            front.with(move |dispatcher| dispatcher.set_peers(&others));
            front
        })
        .collect();
    assert_eq!(fronts.iter().map(share).sum::<u32>(), 8);
    std::thread::scope(|scope| {
        for (at, front) in fronts.iter().enumerate() {
            for caller in 0..6 {
                scope.spawn(move || {
                    for turn in 0..30 {
                        let id = format!("{at}-{caller}-{turn}");
                        if turn % 5 == 4 {
                            drop(start(front.addr, "plan", "x", &id));
                        } else {
                            assert_ran(&call(front.addr, "plan", "x", &id), &id);
                        }
                    }
                });
            }
        }
    });
    assert_eq!(endpoint.slot_violations(), 0);
    assert!(endpoint.max_concurrent() >= 6, "the slots were used");
    assert_eq!(endpoint.repeated(), Vec::<String>::new());
}

/// Two daemons get slots from an allocator, which is replaced while requests run. The endpoint
/// never has more requests than slots, and the slots move to the daemon that has callers.
#[test]
fn granted_slots_move_to_demand_and_never_overfill() {
    let settings = EndpointSettings {
        slots: 8,
        service_time: Duration::from_millis(15),
        on_close: OnClose::RunsOn,
    };
    let endpoint = Endpoint::start(settings);
    let start = |id: &str| {
        let settings = DispatcherSettings::new(id.into(), "home".into());
        let front = Front::start_with(settings, config(8), &[listed("vm-1", &endpoint)]);
        front.with(|dispatcher| dispatcher.set_shares(Shares::Granted));
        front
    };
    let fronts = [start("d1"), start("d2")];
    let refused = call(fronts[0].addr, "plan", "x", "early");
    assert_eq!(refused.outcome(), "not-run", "nothing was granted yet: {refused:?}");
    let mut allocators = SlotAllocators::new();
    let settings = AllocatorSettings {
        slots: 8,
        ttl: Duration::from_secs(1),
        max_run_time: Duration::from_millis(100),
    };
    let mut token = 1;
    let round = |allocators: &mut SlotAllocators, token: u64| {
        let now = SystemClock.now();
        allocators.hold(
            &"vm-1".into(),
            Token(token),
            now + settings.ttl,
            settings,
            PriorGrants::Unknown,
            now,
        );
        for front in &fronts {
            let sent = SystemClock.now();
            for ask in front.with(|dispatcher| dispatcher.share_requests()) {
                let Some(grant) = allocators.allocate(&ask, SystemClock.now()) else { continue };
                front.with(move |dispatcher| dispatcher.share_granted(&grant, sent));
            }
        }
    };
    wait_until("the first allocator grants slots", || {
        round(&mut allocators, token);
        share(&fronts[0]) + share(&fronts[1]) > 0
    });
    std::thread::scope(|scope| {
        let callers: Vec<_> = (0..12)
            .map(|caller| {
                let addr = fronts[0].addr;
                scope.spawn(move || {
                    for turn in 0..60 {
                        let id = format!("{caller}-{turn}");
                        let got = call(addr, "plan", "x", &id);
                        assert!(["ran", "not-run"].contains(&got.outcome()), "{got:?}");
                    }
                })
            })
            .collect();
        wait_until("the slots have moved to the daemon with callers", || {
            round(&mut allocators, token);
            share(&fronts[0]) >= 7
        });
        token += 1;
        while callers.iter().any(|caller| !caller.is_finished()) {
            round(&mut allocators, token);
        }
    });
    assert_eq!(endpoint.slot_violations(), 0);
    assert!(endpoint.max_concurrent() >= 7, "the slots were used");
}

fn share(front: &Front) -> u32 {
    front.with(|dispatcher| dispatcher.status().endpoints[0].share)
}

/// A request can be explained afterwards; for an unknown id there is no explanation.
#[test]
fn a_request_can_be_explained() {
    let endpoint = Endpoint::start(EndpointSettings::default());
    let front = Front::start(config(8), &[listed("vm-1", &endpoint)]);
    endpoint.faults().next(Fault::CloseBeforeHead);
    assert_ran(&call(front.addr, "preview", "x", "told"), "told");
    let Explained::Known(entry) = front.explain("told") else { panic!("forgotten") };
    assert_eq!(entry.class, ClassName::new("preview"));
    let results: Vec<&str> = entry.tries.iter().map(|tried| tried.result.as_str()).collect();
    assert_eq!(results, ["unknown: connection-lost", "answered 200"]);
    let end = entry.end.expect("it has ended");
    assert_eq!((end.outcome, end.reason), (Outcome::Ran, Reason::Answered));
    assert_eq!(front.explain("never"), Explained::Forgotten { until: None });
}
