//! The operators' tool: applies configuration, submits tasks, and asks daemons about their
//! decisions.

mod app;
mod clap_app;
mod commands;
mod exit;
mod output;
mod status_page;
mod tables;
#[cfg(test)]
mod tests;

use crate::app::{Env, Io};
use std::io;
use std::process::ExitCode;

fn main() -> ExitCode {
    let env = Env::from_process();
    let mut out = io::stdout().lock();
    let mut err = io::stderr().lock();
    let mut io = Io { out: &mut out, err: &mut err };
    let exit =
        actix_rt::System::new().block_on(app::run(std::env::args_os().collect(), &env, &mut io));
    ExitCode::from(exit as u8)
}
