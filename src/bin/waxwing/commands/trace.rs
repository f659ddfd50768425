//! The `trace` command: prints the trace of a job from logs.

use super::print;
use crate::app::Context;
use crate::output;
use clap::ArgMatches;
use eyre::{Result, WrapErr, eyre};
use std::fs::File;
use std::io::{self, BufRead, BufReader};
use std::path::Path;
use std::time::Duration;
use waxwingstall::job::JobId;
use waxwingstall::trace::{Gap, JobTrace, Tracer};

/// Names the standard input.
const STDIN: &str = "-";

/// Prints the trace of the job named on the command line.
pub fn run(cx: &mut Context<'_, '_>, args: &ArgMatches) -> Result<()> {
    let job = *args.get_one::<JobId>("job").ok_or_else(|| eyre!("no job was given"))?;
    let mut logs: Vec<&str> =
        args.get_many::<String>("log").into_iter().flatten().map(String::as_str).collect();
    if logs.is_empty() {
        logs.push(STDIN);
    }
    let mut tracer = Tracer::new(job);
    for log in logs {
        read(&mut tracer, log)?;
    }
    let missing = || output::not_found(&format!("line about job {job} in the logs"));
    let trace = tracer.finish().ok_or_else(missing)?;
    let text = lines(&trace);
    print(cx, &trace, text)
}

fn read(tracer: &mut Tracer, log: &str) -> Result<()> {
    if log == STDIN {
        return read_lines(tracer, STDIN, io::stdin().lock());
    }
    let file = File::open(log).wrap_err_with(|| format!("can't read {log}"))?;
    let name = Path::new(log).file_stem().map_or(log.into(), |stem| stem.to_string_lossy());
    read_lines(tracer, &name, BufReader::new(file)).wrap_err_with(|| format!("can't read {log}"))
}

/// Reads lines that need not be text throughout: a daemon may have been killed amid one.
fn read_lines(tracer: &mut Tracer, source: &str, mut log: impl BufRead) -> Result<()> {
    let mut buf = Vec::new();
    while log.read_until(b'\n', &mut buf)? > 0 {
        tracer.read(source, &String::from_utf8_lossy(&buf));
        buf.clear();
    }
    Ok(())
}

fn lines(trace: &JobTrace) -> Vec<String> {
    let first = trace.entries.first().map_or(Duration::ZERO, |entry| entry.at);
    let width = trace.entries.iter().map(|entry| entry.source.len()).max().unwrap_or(0);
    let mut text = vec![format!("job {}, lines: {}", trace.job, trace.entries.len())];
    text.extend(trace.shifts.iter().map(|shift| {
        format!("clock of {}: behind, {} ms were added", shift.source, shift.added_ms)
    }));
    text.extend(trace.entries.iter().map(|entry| {
        let since = entry.at.saturating_sub(first).as_secs_f64();
        format!("{since:>9.3} s  {:width$}  {} {}", entry.source, entry.event, entry.text)
    }));
    text.extend(trace.gaps.iter().map(|gap| format!("not told: {}", gap_text(gap))));
    text
}

fn gap_text(gap: &Gap) -> String {
    match gap {
        Gap::Dropped { source, event, lines } => {
            format!("{source} left out {lines} lines of {event}")
        }
        Gap::Missing { run, has, lacks } => format!("{run} has a {has} and no {lacks}"),
        Gap::Partial { source, what } => format!("the log of {source}: {what}"),
        Gap::Unreadable { source, lines } => format!("{lines} lines of {source} can't be read"),
    }
}
