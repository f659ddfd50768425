//! The command line.

use clap::{Arg, ArgAction, Command};

const NOTES: &str = "\
Exit codes:
  0  stopped as asked, or the settings are valid
  2  the command line or the settings are wrong
  1  anything else

SIGTERM drains: the daemon takes nothing new, finishes what is in flight, hands its VMs over
and ends. A second one ends it at once.

Examples:
  waxwingd --settings waxwingd.toml --check
  waxwingd --settings waxwingd.toml";

/// The whole command line.
pub fn build_app() -> Command {
    Command::new("waxwingd")
        .version(clap::crate_version!())
        .about("Schedules latency-critical services and batch work on the same VMs")
        .after_help(NOTES)
        .arg(
            Arg::new("settings")
                .long("settings")
                .value_name("FILE")
                .help("Settings of this daemon, in TOML")
                .required(true),
        )
        .arg(
            Arg::new("check")
                .long("check")
                .help("Only check the settings, and end")
                .action(ArgAction::SetTrue),
        )
}
