//! The daemon.

mod app;
mod clap_app;

fn main() -> eyre::Result<std::process::ExitCode> {
    app::run(&clap_app::build().get_matches())
}
