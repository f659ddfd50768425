use super::{Error, Settings};

const TEXT: &str = r#"
name = "front-1"
domain = "kacyiru"
ip = "127.0.0.1"
ports = [7720, 7721]

[machine]
cores = 1
core_share = 0.5

[listen]
front = "127.0.0.1:0"
ready = "127.0.0.1:0"

[store]
address = "127.0.0.1:1"
min_lease_ms = 1000

[bounds]
max_keep_ms = 10000
stop_timeout_ms = 900
group_timeout_ms = 3000
remote_factor = 3
checkpoint_s = 2
restore_ms = 600
show_for_s = 120
notice_ms = 4500
harm_ms = 4000
pace_ms = 100
config_in_force_ms = 2000
grace_s = 6
"#;

fn parse(machine: &str) -> super::Result<Settings> {
    Settings::parse(&TEXT.replace("core_share = 0.5", &format!("core_share = 0.5\n{machine}")))
}

// Guards against limits that don't follow the machine.
#[test]
fn the_limits_are_those_of_the_machine() {
    let limits = parse("memory_mb = 64\nmax_fds = 400").expect("valid settings").machine.limits();
    assert_eq!((limits.memory_mb, limits.max_fds), (64, 400));
    let limits = parse("").expect("valid settings").machine.limits();
    assert_eq!((limits.memory_mb, limits.max_fds), (256, 4096));
}

// Guards against a daemon that starts with limits under which it can't serve anybody.
#[test]
fn a_machine_that_is_too_small_is_an_error() {
    for (machine, wrong) in
        [("memory_mb = 63", "machine.memory_mb"), ("max_fds = 127", "machine.max_fds")]
    {
        let error = parse(machine).expect_err("too small");
        assert!(matches!(error, Error::Range { key, .. } if key == wrong), "{error}");
    }
    parse("memory_mb = 64\nmax_fds = 128").expect("valid settings");
}
