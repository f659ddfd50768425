//! The daemon's command line.

use clap::{Arg, ArgAction, Command, crate_version};

const NOTES: &str = "\
Exit codes:
  0  stopped as asked, or the settings have no faults
  1  the settings file can't be read, or an address can't be listened on
  2  the command line or the settings are wrong

SIGTERM drains: the daemon takes nothing new, finishes what is in flight, hands its VMs over
and ends.

Examples:
  waxwingd --settings waxwingd.toml --check
  waxwingd --settings waxwingd.toml";

/// The command line of `waxwingd`.
pub fn build() -> Command {
    Command::new("waxwingd")
        .version(crate_version!())
        .about("Schedules latency-critical services and batch work on the same VMs")
        .after_help(NOTES)
        .arg(
            Arg::new("settings")
                .long("settings")
                .value_name("FILE")
                .required(true)
                .help("The daemon's settings, in TOML"),
        )
        .arg(
            Arg::new("check")
                .long("check")
                .action(ArgAction::SetTrue)
                .help("Only check the settings"),
        )
}
