//! From the command line to an exit code.

use crate::clap_app::build_app;
use crate::commands;
use crate::exit::Exit;
use clap::ArgMatches;
use std::ffi::OsString;
use std::io::Write;
use std::sync::Arc;
use waxwingstall::api::{ApiError, CallOutcome, ErrorKind};
use waxwingstall::client::Client;
use waxwingstall::clock::{Clock, SystemClock};

/// Environment variable with the daemons' addresses.
pub const DAEMONS_VAR: &str = "WAXWING_DAEMONS";

/// What the tool takes from its surroundings.
pub struct Env {
    pub daemons: Option<String>,
    pub user: Option<String>,
    pub clock: Arc<dyn Clock>,
}

/// Where the tool writes.
pub struct Io<'a> {
    pub out: &'a mut dyn Write,
    pub err: &'a mut dyn Write,
}

/// Form of what is printed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Format {
    Text,
    Json,
}

/// What every command is given.
pub struct Context<'a, 'io> {
    pub env: &'a Env,
    pub io: &'a mut Io<'io>,
    pub format: Format,
    daemons: Vec<String>,
}

impl Env {
    /// The process's own surroundings.
    pub fn from_process() -> Self {
        Self {
            daemons: std::env::var(DAEMONS_VAR).ok(),
            user: std::env::var("USER").ok(),
            clock: Arc::new(SystemClock),
        }
    }
}

impl Context<'_, '_> {
    /// A client of the daemons that were given.
    pub fn client(&self) -> eyre::Result<Client> {
        if self.daemons.is_empty() {
            let remedy = "give --daemon ADDR, or set WAXWING_DAEMONS";
            return Err(ApiError::new(ErrorKind::Usage, "no daemon was given", remedy).into());
        }
        Ok(Client::new(self.daemons.clone()))
    }
}

/// Runs one command line.
pub async fn run(args: Vec<OsString>, env: &Env, io: &mut Io<'_>) -> Exit {
    let matches = match build_app().try_get_matches_from(args) {
        Ok(matches) => matches,
        Err(error) => return refuse_usage(&error, io),
    };
    let format = match matches.get_one::<String>("output").map(String::as_str) {
        Some("json") => Format::Json,
        _ => Format::Text,
    };
    let daemons = daemons(&matches, env);
    let mut cx = Context { env, io, format, daemons };
    match commands::run(&mut cx, &matches).await {
        Ok(()) => Exit::Ok,
        // The reader, such as `head`, has seen enough.
        Err(report) if is_broken_pipe(&report) => Exit::Ok,
        Err(report) => report_failure(&report, cx.io, format),
    }
}

fn daemons(matches: &ArgMatches, env: &Env) -> Vec<String> {
    match matches.get_many::<String>("daemon") {
        Some(given) => given.cloned().collect(),
        None => {
            let listed = env.daemons.as_deref().unwrap_or_default();
            listed.split(',').map(str::trim).filter(|s| !s.is_empty()).map(str::to_owned).collect()
        }
    }
}

fn refuse_usage(error: &clap::Error, io: &mut Io<'_>) -> Exit {
    let text = error.render().to_string();
    if error.use_stderr() {
        let _ = io.err.write_all(text.as_bytes());
        Exit::Usage
    } else {
        let _ = io.out.write_all(text.as_bytes());
        Exit::Ok
    }
}

fn is_broken_pipe(report: &eyre::Report) -> bool {
    let error = report.downcast_ref::<std::io::Error>();
    error.is_some_and(|error| error.kind() == std::io::ErrorKind::BrokenPipe)
}

fn report_failure(report: &eyre::Report, io: &mut Io<'_>, format: Format) -> Exit {
    let error = match report.downcast_ref::<ApiError>() {
        Some(error) => error.clone(),
        None => {
            let remedy = "correct the command line or the file, and run it again";
            ApiError::new(ErrorKind::Usage, format!("{report:#}"), remedy)
        }
    };
    let text = match format {
        Format::Json => serde_json::to_string_pretty(&error).unwrap_or_default(),
        Format::Text => failure_text(&error),
    };
    let _ = writeln!(io.err, "{text}");
    Exit::from(error.kind)
}

fn failure_text(error: &ApiError) -> String {
    let mut lines = vec![format!("error: {}", error.message)];
    lines.extend(error.details.iter().map(|detail| format!("  {detail}")));
    lines.push(format!("remedy: {}", error.remedy));
    lines.push(match error.outcome {
        CallOutcome::NotRun => "outcome: surely without effect".to_owned(),
        CallOutcome::Unknown => "outcome: unknown; it may have taken effect".to_owned(),
        CallOutcome::Ran => "outcome: it took effect".to_owned(),
    });
    lines.join("\n")
}
