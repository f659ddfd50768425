//! The daemon's command line.

use clap::{Arg, ArgAction, Command, crate_version};

/// The command line of `waxwingd`.
pub fn build() -> Command {
    Command::new("waxwingd")
        .version(crate_version!())
        .about("Schedules latency-critical services and batch work on the same VMs")
        .after_help("Example:\n  waxwingd --settings /etc/waxwingd.toml")
        .arg(
            Arg::new("settings")
                .long("settings")
                .value_name("FILE")
                .default_value("waxwingd.toml")
                .help("The daemon's settings"),
        )
        .arg(
            Arg::new("check")
                .long("check")
                .action(ArgAction::SetTrue)
                .help("Only check the settings"),
        )
}
