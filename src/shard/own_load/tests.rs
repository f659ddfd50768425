use super::OwnLoad;
use std::time::Duration;

const TARGET: Duration = Duration::from_millis(18);

// A load that was never reported has the initial estimate at any time.
#[test]
fn an_unreported_load_has_the_initial_estimate() {
    let load = OwnLoad::new(TARGET, Duration::ZERO);
    let second = Duration::from_secs(1);
    assert!((load.forecast(second, second) - super::INITIAL_LOAD).abs() < 1e-3);
    assert!(load.deviation(second, second) > 0.1);
}
