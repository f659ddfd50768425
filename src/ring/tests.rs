use super::*;
use actix::prelude::Context;

struct Sink;

impl Actor for Sink {
    type Context = Context<Self>;

    fn started(&mut self, cx: &mut Self::Context) {
        cx.set_mailbox_capacity(1);
    }
}

#[derive(Message, Debug, PartialEq)]
#[rtype(result = "()")]
struct Number(u32);

impl Handler<Number> for Sink {
    type Result = ();

    fn handle(&mut self, _: Number, _: &mut Self::Context) {}
}

// The caller is told at once that a request did not run. Order: the duty is busy, its ring fills,
// the next message comes. Why: an unbounded ring would take it and answer long after the deadline.
#[actix_rt::test]
async fn a_full_ring_does_what_it_says() {
    struct Case {
        when_full: WhenFull,
        refused: usize,
        waiting: usize,
        dropped: u64,
    }
    let cases = [
        Case { when_full: WhenFull::Refuse, refused: 2, waiting: 0, dropped: 0 },
        Case { when_full: WhenFull::Drop, refused: 0, waiting: 0, dropped: 2 },
        Case { when_full: WhenFull::Wait { limit: 1 }, refused: 0, waiting: 1, dropped: 1 },
    ];
    for case in cases {
        let addr = Sink.start();
        tokio::task::yield_now().await;
        let mut ring = Ring::new(addr, case.when_full);
        let mut taken = 0;
        while ring.waiting() == 0 && ring.dropped() == 0 && taken < 100 {
            if ring.push(Number(taken)).is_err() {
                break;
            }
            taken += 1;
        }
        let refused = usize::from(ring.push(Number(1000)).is_err());
        let refused = if case.refused > 0 { refused + 1 } else { refused };
        assert_eq!(refused, case.refused, "{:?}", case.when_full);
        assert_eq!(ring.waiting(), case.waiting, "{:?}", case.when_full);
        assert_eq!(ring.dropped(), case.dropped, "{:?}", case.when_full);
    }
}

#[actix_rt::test]
async fn what_waits_is_sent_first() {
    let addr = Sink.start();
    tokio::task::yield_now().await;
    let mut ring = Ring::new(addr, WhenFull::Wait { limit: 10 });
    while ring.waiting() < 3 {
        assert_eq!(ring.push(Number(1)), Ok(()));
    }
    while ring.waiting() > 0 {
        tokio::task::yield_now().await;
        ring.flush();
    }
    assert_eq!(ring.dropped(), 0);
}
