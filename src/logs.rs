//! Log lines: one event a line, as key=value pairs.
//!
//! Code logs through the `log` macros, with the event's name as the message and everything else
//! as key-value pairs: `info!(vm:% = id; "lease-lapsed")`. The line is written by logforth; the
//! bridge from `log` is here because it stamps lines with the daemon's own clock.

use crate::clock::Clock;
use crate::settings::{LogLevel, LogSettings, LogTarget};
use log::kv::{self, VisitSource};
use logforth::append::{Stderr, Stdout};
use logforth::core::Logger;
use logforth::diagnostic::Diagnostic;
use logforth::layout::Layout;
use logforth::record::{FilterCriteria, Level, LevelFilter, Record};
use std::fmt::Write as _;
use std::sync::{Arc, OnceLock};
use std::time::{Duration, SystemTime};

#[cfg(test)]
mod tests;

/// Result of setting up logs.
pub type Result<T> = std::result::Result<T, Error>;

/// Logs that can't be set up.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    #[error("logs are set up already; call init once a process, before any daemon starts")]
    AlreadyInitialised,
}

/// Head of the targets of this project's own modules.
const OWN_TARGETS: &str = "waxwing";

static BRIDGE: OnceLock<Bridge> = OnceLock::new();

/// Sends everything logged in this process to the target in the settings.
pub fn init(settings: &LogSettings, clock: Arc<dyn Clock>) -> Result<()> {
    let bridge = Bridge { logger: logger(settings), clock };
    BRIDGE.set(bridge).map_err(|_| Error::AlreadyInitialised)?;
    let bridge = BRIDGE.get().ok_or(Error::AlreadyInitialised)?;
    log::set_logger(bridge).map_err(|_| Error::AlreadyInitialised)?;
    log::set_max_level(log_filter(settings.level));
    Ok(())
}

/// Writes an event as a line, without the line's end.
pub fn line(at: SystemTime, record: &log::Record<'_>) -> String {
    let mut buf = String::with_capacity(160);
    push_time(&mut buf, at);
    let level = record.level().as_str().to_ascii_lowercase();
    let _ = write!(buf, " level={level} target=");
    push_value(&mut buf, record.target());
    buf.push_str(" event=");
    push_value(&mut buf, &record.args().to_string());
    let _ = record.key_values().visit(&mut Pairs { buf: &mut buf });
    buf
}

fn logger(settings: &LogSettings) -> Logger {
    let filter = level_filter(settings.level);
    let builder = logforth::core::builder();
    match settings.target {
        LogTarget::Stdout => {
            builder.dispatch(|d| d.filter(filter).append(Stdout::default().with_layout(Plain)))
        }
        LogTarget::Stderr => {
            builder.dispatch(|d| d.filter(filter).append(Stderr::default().with_layout(Plain)))
        }
    }
    .build()
}

/// The payload is the whole line already.
#[derive(Debug)]
struct Plain;

impl Layout for Plain {
    fn format(
        &self,
        record: &Record<'_>,
        _: &[Box<dyn Diagnostic>],
    ) -> std::result::Result<Vec<u8>, logforth::Error> {
        Ok(record.payload().as_bytes().to_vec())
    }
}

struct Bridge {
    logger: Logger,
    clock: Arc<dyn Clock>,
}

impl log::Log for Bridge {
    fn enabled(&self, metadata: &log::Metadata<'_>) -> bool {
        if !wanted(metadata) {
            return false;
        }
        let criteria = FilterCriteria::builder();
        let criteria = criteria.level(severity(metadata.level())).target(metadata.target());
        self.logger.enabled(&criteria.build())
    }

    fn log(&self, record: &log::Record<'_>) {
        if self.enabled(record.metadata()) {
            let builder = Record::builder().level(severity(record.level()));
            let line = line(self.clock.wall(), record);
            self.logger.log(&builder.target(record.target()).payload(line).build());
        }
    }

    fn flush(&self) {
        self.logger.flush();
    }
}

/// Libraries log each of their calls as `info`; only what they warn of is an event here.
fn wanted(metadata: &log::Metadata<'_>) -> bool {
    metadata.target().starts_with(OWN_TARGETS) || metadata.level() <= log::Level::Warn
}

struct Pairs<'a> {
    buf: &'a mut String,
}

impl<'kvs> VisitSource<'kvs> for Pairs<'_> {
    fn visit_pair(
        &mut self,
        key: kv::Key<'kvs>,
        value: kv::Value<'kvs>,
    ) -> std::result::Result<(), kv::Error> {
        self.buf.push(' ');
        self.buf.push_str(key.as_str());
        self.buf.push('=');
        push_value(self.buf, &value.to_string());
        Ok(())
    }
}

/// Quotes a value that would otherwise end early or run into the next line. Texts that callers
/// chose are logged too, and must not be able to fake an event.
fn push_value(buf: &mut String, value: &str) {
    let plain = |c: char| !c.is_whitespace() && !c.is_control() && !matches!(c, '"' | '=' | '\\');
    if !value.is_empty() && value.chars().all(plain) {
        buf.push_str(value);
        return;
    }
    buf.push('"');
    for c in value.chars() {
        match c {
            '"' | '\\' => buf.extend(['\\', c]),
            '\n' => buf.push_str("\\n"),
            c if c.is_control() || matches!(c, '\u{2028}' | '\u{2029}') => {
                let _ = write!(buf, "\\u{{{:x}}}", u32::from(c));
            }
            c => buf.push(c),
        }
    }
    buf.push('"');
}

/// Quotes what was appended to `buf` from `start` on, if it needs quotes.
pub(crate) fn quote_from(buf: &mut String, start: usize) {
    let value = buf.split_off(start);
    push_value(buf, &value);
}

fn push_time(buf: &mut String, at: SystemTime) {
    buf.push_str("ts=");
    buf.push_str(&utc(at.duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default()));
}

/// Time since 1970 as `2026-12-02T20:15:00.250Z`.
pub fn utc(since_epoch: Duration) -> String {
    humantime::format_rfc3339_millis(SystemTime::UNIX_EPOCH + since_epoch).to_string()
}

fn severity(level: log::Level) -> Level {
    match level {
        log::Level::Error => Level::Error,
        log::Level::Warn => Level::Warn,
        log::Level::Info => Level::Info,
        log::Level::Debug => Level::Debug,
        log::Level::Trace => Level::Trace,
    }
}

fn level_filter(level: LogLevel) -> LevelFilter {
    match log_filter(level).to_level() {
        Some(level) => LevelFilter::MoreSevereEqual(severity(level)),
        None => LevelFilter::Off,
    }
}

fn log_filter(level: LogLevel) -> log::LevelFilter {
    match level {
        LogLevel::Off => log::LevelFilter::Off,
        LogLevel::Error => log::LevelFilter::Error,
        LogLevel::Warn => log::LevelFilter::Warn,
        LogLevel::Info => log::LevelFilter::Info,
        LogLevel::Debug => log::LevelFilter::Debug,
        LogLevel::Trace => log::LevelFilter::Trace,
    }
}
