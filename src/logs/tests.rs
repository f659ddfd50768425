use super::{line, utc, wanted};
use log::{Level, Metadata, Record};
use std::time::{Duration, SystemTime};

fn written(event: &str, pairs: &[(&str, &str)]) -> String {
    let at = SystemTime::UNIX_EPOCH + Duration::from_millis(1_796_242_500_250);
    let mut builder = Record::builder();
    builder.level(Level::Warn).target("waxwing::control").key_values(&pairs);
    line(at, &builder.args(format_args!("{event}")).build())
}

#[test]
fn an_event_is_one_line_of_pairs_in_a_fixed_order() {
    assert_eq!(
        written("lease-lapsed", &[("vm", "worker-7"), ("token", "12")]),
        "ts=2026-12-02T20:15:00.250Z level=warn target=waxwing::control event=lease-lapsed \
         vm=worker-7 token=12"
    );
}

#[test]
fn values_that_would_break_the_line_are_quoted() {
    let cases = [
        ("", r#""""#),
        ("two words", r#""two words""#),
        ("a=b", r#""a=b""#),
        (r#"say "no""#, r#""say \"no\"""#),
        (r"C:\x", r#""C:\\x""#),
        ("kacyiru", "kacyiru"),
        ("brânză", "brânză"),
    ];
    for (value, expected) in cases {
        let line = written("refused", &[("reason", value)]);
        assert!(line.ends_with(&format!(" event=refused reason={expected}")), "{line}");
    }
}

// What the operator sees: a line that looks like an event that never happened. A caller puts a
// line break into its idempotency key, and the key is logged with the refusal.
#[test]
fn a_value_can_not_fake_another_event() {
    let line = written("refused", &[("key", "x\nts=2026 level=info event=started\r\u{2028}")]);
    assert_eq!(line.lines().count(), 1);
    assert!(
        line.contains(r"\n") && line.contains(r"\u{d}") && line.contains(r"\u{2028}"),
        "{line}"
    );
}

#[test]
fn dates_are_of_the_gregorian_calendar() {
    let cases = [
        (0, "1970-01-01T00:00:00.000Z"),
        (951_782_399, "2000-02-28T23:59:59.000Z"),
        (951_782_400, "2000-02-29T00:00:00.000Z"),
        (1_709_164_800, "2024-02-29T00:00:00.000Z"),
        (1_735_689_599, "2024-12-31T23:59:59.000Z"),
        (4_107_542_400, "2100-03-01T00:00:00.000Z"),
    ];
    for (seconds, expected) in cases {
        assert_eq!(utc(Duration::from_secs(seconds)), expected);
    }
}

#[test]
fn of_libraries_only_warnings_are_logged() {
    let cases = [
        ("waxwingstall::control", Level::Debug, true),
        ("waxwingd", Level::Info, true),
        ("tarpc::server", Level::Info, false),
        ("tarpc::server", Level::Warn, true),
        ("actix_server", Level::Error, true),
    ];
    for (target, level, expected) in cases {
        let metadata = Metadata::builder().target(target).level(level).build();
        assert_eq!(wanted(&metadata), expected, "{target} {level}");
    }
}
