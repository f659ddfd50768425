//! Benchmarks of the request path: routing and overload simulated in virtual time on a fixed
//! arrival trace, and overload and overhead over real sockets on loopback. Run with `cargo bench
//! --bench requests [part]`, where the part is `routing`, `overload`, `live` or `loopback`.

mod live;
mod loopback;
mod overload;
mod routing;
#[path = "../../tests/request_support/mod.rs"]
mod support;
mod virtual_time;

fn main() {
    let part = std::env::args().skip(1).find(|arg| !arg.starts_with('-'));
    let wanted = |name: &str| part.as_deref().is_none_or(|part| part == name);
    if wanted("routing") {
        routing::run();
    }
    if wanted("overload") {
        overload::run();
    }
    if wanted("live") {
        live::run();
    }
    if wanted("loopback") {
        loopback::run();
    }
}
