use super::{LeaseSettings, Settings, TimingSettings};

const EXAMPLE: &str = include_str!("../../examples/waxwingd.toml");

#[test]
fn the_example_is_valid_and_shows_the_defaults() {
    let settings = Settings::parse("waxwingd.toml", EXAMPLE).expect("the example is valid");
    assert_eq!(settings.leases, LeaseSettings::default());
    assert_eq!(settings.timing, TimingSettings::default());
    assert_eq!(settings.partitions.len(), 3);
}
