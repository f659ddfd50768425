//! Bodies, and the memory that they may take.

use crate::inbound::body::{self, Body, BodyLimits, Error};
use crate::memory::MemoryBudget;
use actix_web::test::TestRequest;
use actix_web::web::Payload;
use actix_web::{FromRequest, HttpRequest};
use std::time::Duration;

const LIMITS: BodyLimits =
    BodyLimits { bytes: 1000, free_bytes: 100, time: Duration::from_secs(5) };

async fn request(bytes: usize) -> (HttpRequest, Payload) {
    let (req, mut payload) = TestRequest::post().set_payload(vec![b'x'; bytes]).to_http_parts();
    let payload = Payload::from_request(&req, &mut payload).await;
    (req, payload.expect("a payload"))
}

async fn read(bytes: usize, budget: &MemoryBudget) -> body::Result<Body> {
    let (req, payload) = request(bytes).await;
    body::read(&req, payload, budget, LIMITS).await
}

// Guards against bodies that are each within the limit, and too much in sum.
#[actix_web::test]
async fn a_body_is_refused_once_others_hold_the_budget() {
    let budget = MemoryBudget::new(1000);
    let held = read(1000, &budget).await.expect("a body");
    assert_eq!((held.bytes.len(), budget.held()), (1000, 900));
    assert_eq!(read(300, &budget).await.expect_err("no memory"), Error::NoMemory);
    assert_eq!(budget.held(), 900);
    drop(held);
    assert_eq!(budget.held(), 0);
    read(1000, &budget).await.expect("a body");
}

// Guards against large bodies that keep small ones out.
#[actix_web::test]
async fn a_small_body_needs_no_budget() {
    let budget = MemoryBudget::new(0);
    assert_eq!(read(100, &budget).await.expect("a body").bytes.len(), 100);
    assert_eq!(read(129, &budget).await.expect_err("no memory"), Error::NoMemory);
}

// Guards against a body over the limit that is held.
#[actix_web::test]
async fn a_body_over_the_limit_is_refused() {
    let budget = MemoryBudget::new(10_000);
    assert_eq!(read(1001, &budget).await.expect_err("too large"), Error::TooLarge(1000));
    assert_eq!(budget.held(), 0);
}
