//! Reads the settings, starts the daemon and stops it as planned on SIGTERM.

use clap::ArgMatches;
use eyre::{Context, OptionExt, Result};
use std::process::ExitCode;
use std::sync::Arc;
use tokio::signal::unix::{SignalKind, signal};
use waxwingstall::clock::SystemClock;
use waxwingstall::daemon::Daemon;
use waxwingstall::logs;
use waxwingstall::settings::Settings;

/// The settings are wrong.
const EXIT_USAGE: u8 = 2;

/// Runs the daemon until it is told to stop.
pub fn run(args: &ArgMatches) -> Result<ExitCode> {
    let file = args.get_one::<String>("settings").ok_or_eyre("name a file with --settings")?;
    let text = std::fs::read_to_string(file)
        .wrap_err_with(|| format!("can't read {file}; name a readable file with --settings"))?;
    let settings = match Settings::parse(file, &text) {
        Ok(settings) => settings,
        Err(faults) => {
            for fault in &faults {
                eprintln!("{fault}");
            }
            return Ok(ExitCode::from(EXIT_USAGE));
        }
    };
    if args.get_flag("check") {
        println!("{file}: no faults");
        return Ok(ExitCode::SUCCESS);
    }
    logs::init(&settings.logs, Arc::new(SystemClock))?;
    serve(settings)?;
    Ok(ExitCode::SUCCESS)
}

fn serve(settings: Settings) -> Result<()> {
    let daemon = Daemon::start(settings, Arc::new(SystemClock))?;
    wait_for_signal()?;
    daemon.drain().wait();
    Ok(())
}

fn wait_for_signal() -> Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    runtime.block_on(async {
        let mut term = signal(SignalKind::terminate())?;
        let mut int = signal(SignalKind::interrupt())?;
        tokio::select! {
            _ = term.recv() => {}
            _ = int.recv() => {}
        }
        Ok(())
    })
}
