use super::*;

// Guards against times too large for `Duration` that count as none.
#[test]
fn times_too_large_become_the_longest_one() {
    for ms in [1e22, 1e300, f64::MAX, f64::INFINITY] {
        assert_eq!(from_millis(ms), MAX_OUTSIDE, "{ms}");
    }
    assert_eq!(bounded(Duration::MAX), MAX_OUTSIDE);
}

#[test]
fn negative_times_and_nan_become_zero() {
    for ms in [-1.0, -1e300, -0.0, f64::NAN, f64::NEG_INFINITY] {
        assert_eq!(from_millis(ms), Duration::ZERO, "{ms}");
    }
}

#[test]
fn ordinary_times_are_kept() {
    assert_eq!(from_millis(1500.0), Duration::from_millis(1500));
    assert_eq!(from_secs(0.25), Duration::from_millis(250));
    assert_eq!(bounded(Duration::from_secs(7)), Duration::from_secs(7));
}

#[test]
fn a_product_with_any_factor_is_a_time() {
    let time = Duration::from_secs(4);
    assert_eq!(scaled(time, 2.5), Duration::from_secs(10));
    assert_eq!(scaled(time, f64::MAX), MAX_OUTSIDE);
    assert_eq!(scaled(Duration::ZERO, f64::INFINITY), Duration::ZERO);
    assert_eq!(scaled(time, f64::NAN), Duration::ZERO);
    assert_eq!(scaled(time, -1.0), Duration::ZERO);
}
