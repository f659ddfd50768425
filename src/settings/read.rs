//! Reading settings: each key by itself, then what has to agree between keys.

use super::{
    Fault, LeaseSettings, Listen, LogLevel, LogSettings, LogTarget, MetricSettings,
    PartitionSettings, Platform, Result, Settings, TimingSettings,
};
use crate::config::fields::{Choice, Choices, Fields, KeyLines, Sink, Value, tables};
use crate::ids::{DomainId, PartitionId};
use std::net::SocketAddr;
use std::time::Duration;
use toml::de::{DeTable, DeValue};

/// The scheme that the platform speaks.
const HTTP: &str = "http://";

/// Reads a settings file, or tells all that is wrong with it.
pub(super) fn settings(file_name: &str, text: &str) -> Result<Settings> {
    let mut sink = Sink::new(file_name, text);
    let (document, errors) = DeTable::parse_recoverable(text);
    for error in &errors {
        let line = sink.line(error.span().map_or(0, |span| span.start));
        let remedy = "correct the TOML syntax of this line".to_owned();
        sink.push(line, error.message().to_owned(), remedy);
    }
    // What is left of a file that isn't TOML would only raise faults that aren't there.
    let settings = if errors.is_empty() { read(document.get_ref(), &mut sink) } else { None };
    let mut faults: Vec<Fault> = sink.into_faults();
    faults.sort_by_key(|fault| fault.line);
    match settings {
        Some(settings) if faults.is_empty() => Ok(settings),
        _ => Err(faults),
    }
}

impl Value for SocketAddr {
    const EXPECTED: &'static str = "an address such as \"10.20.0.11:8080\"";

    fn read(value: &DeValue<'_>) -> Option<Self> {
        String::read(value)?.parse().ok()
    }
}

impl Value for PartitionId {
    const EXPECTED: &'static str = "a whole number from 0 to 65535";

    fn read(value: &DeValue<'_>) -> Option<Self> {
        u16::try_from(u32::read(value)?).ok().map(Self)
    }
}

impl<T: Value> Value for Option<T> {
    const EXPECTED: &'static str = T::EXPECTED;

    fn read(value: &DeValue<'_>) -> Option<Self> {
        T::read(value).map(Some)
    }
}

impl Choices for LogLevel {
    const NAMES: &'static str = "\"off\", \"error\", \"warn\", \"info\", \"debug\" or \"trace\"";
}

impl Choices for LogTarget {
    const NAMES: &'static str = "\"stdout\" or \"stderr\"";
}

fn read(document: &DeTable<'_>, sink: &mut Sink<'_>) -> Option<Settings> {
    let mut top = Fields::new(document, "the settings", 1);
    let name = top.required::<String>("name", sink);
    let domain = top.required::<String>("domain", sink);
    let listen = section(&mut top, "listen", "[listen]", sink, listen);
    let platform = section(&mut top, "platform", "[platform]", sink, platform);
    let partitions = partitions(&mut top, sink);
    let logs = section(&mut top, "logs", "[logs]", sink, logs);
    let metrics = section(&mut top, "metrics", "[metrics]", sink, metrics);
    let timing = section(&mut top, "timing", "[timing]", sink, timing);
    let calls = timing.as_ref().map(|timing| timing.worker_timeout);
    let leases =
        section(&mut top, "leases", "[leases]", sink, |fields, sink| leases(fields, calls, sink));
    let lines = top.finish(sink);
    for (key, value) in [("name", &name), ("domain", &domain)] {
        if let Some(value) = value {
            check_name(key, value, line(&lines, key), sink);
        }
    }
    Some(Settings {
        name: name?,
        domain: DomainId::new(&domain?),
        listen: listen?,
        platform: platform?,
        partitions: partitions?,
        logs: logs?,
        metrics: metrics?,
        leases: leases?,
        timing: timing?,
    })
}

/// Reads a table; one that is left out is read as an empty one, so that its defaults are those of
/// its keys and what it must have is missed key by key.
fn section<T>(
    top: &mut Fields<'_, '_>,
    key: &'static str,
    title: &'static str,
    sink: &mut Sink<'_>,
    read: impl FnOnce(Fields<'_, '_>, &mut Sink<'_>) -> Option<T>,
) -> Option<T> {
    let Some(value) = top.value(key, sink) else {
        let empty = DeTable::new();
        return read(Fields::new(&empty, title, 1), sink);
    };
    let line = sink.line(value.span().start);
    match value.get_ref() {
        DeValue::Table(table) => read(Fields::new(table, title, line), sink),
        _ => {
            sink.push(line, format!("`{key}` is not a table"), format!("write it as {title}"));
            None
        }
    }
}

fn listen(mut fields: Fields<'_, '_>, sink: &mut Sink<'_>) -> Option<Listen> {
    let front: Option<SocketAddr> = fields.required("front", sink);
    let peer: Option<SocketAddr> = fields.required("peer", sink);
    let lines = fields.finish(sink);
    let (front, peer) = (front?, peer?);
    if front == peer && front.port() != 0 {
        let message = "`peer` in [listen] is the same address as `front`".to_owned();
        sink.push(line(&lines, "peer"), message, "give each a port of its own".to_owned());
    }
    if peer.ip().is_unspecified() {
        let message =
            format!("`peer` in [listen] is {}, where no other daemon can connect", peer.ip());
        let remedy = "give the address of this VM that others are told".to_owned();
        sink.push(line(&lines, "peer"), message, remedy);
    }
    Some(Listen { front, peer })
}

fn platform(mut fields: Fields<'_, '_>, sink: &mut Sink<'_>) -> Option<Platform> {
    let store: Option<Vec<String>> = fields.required("store", sink);
    let list: Option<String> = fields.required("list", sink);
    let lines = fields.finish(sink);
    for url in store.iter().flatten() {
        check_url("store", url, line(&lines, "store"), sink);
    }
    if let Some(url) = &list {
        check_url("list", url, line(&lines, "list"), sink);
    }
    // A second URL would not be used, and an operator would count on it.
    if let Some(store) = store.as_ref().filter(|store| store.len() != 1) {
        let message = format!("`store` in [platform] has {} URLs", store.len());
        let remedy = "name the one URL of the key-value service".to_owned();
        sink.push(line(&lines, "store"), message, remedy);
    }
    Some(Platform { store: store?, list: list? })
}

fn partitions(top: &mut Fields<'_, '_>, sink: &mut Sink<'_>) -> Option<Vec<PartitionSettings>> {
    let value = top.value("partitions", sink);
    let found = value.map(|value| tables("partitions", value, sink)).unwrap_or_default();
    let mut partitions: Vec<PartitionSettings> = Vec::new();
    let mut whole = true;
    for (table, line) in &found {
        match partition(Fields::new(table, "[[partitions]]", *line), sink) {
            Some(next) if partitions.iter().any(|known| known.id == next.id) => {
                let message = format!("partition {} is declared twice", next.id);
                sink.push(*line, message, "give each partition an `id` of its own".to_owned());
            }
            Some(next) => partitions.push(next),
            None => whole = false,
        }
    }
    let none = value.is_none_or(|value| value.get_ref().as_array().is_some_and(|a| a.is_empty()));
    if none {
        let remedy = "add a table [[partitions]] with `id` and `domain` for each".to_owned();
        sink.push(1, "no partition of the task log is declared".to_owned(), remedy);
    }
    whole.then_some(partitions)
}

fn partition(mut fields: Fields<'_, '_>, sink: &mut Sink<'_>) -> Option<PartitionSettings> {
    let id = fields.required("id", sink);
    let domain: Option<String> = fields.required("domain", sink);
    let lines = fields.finish(sink);
    if let Some(domain) = &domain {
        check_name("domain", domain, line(&lines, "domain"), sink);
    }
    Some(PartitionSettings { id: id?, domain: DomainId::new(&domain?) })
}

fn logs(mut fields: Fields<'_, '_>, sink: &mut Sink<'_>) -> Option<LogSettings> {
    let default = LogSettings::default();
    let level = fields.optional("level", Choice(default.level), sink);
    let target = fields.optional("target", Choice(default.target), sink);
    fields.finish(sink);
    Some(LogSettings { level: level?.0, target: target?.0 })
}

fn metrics(mut fields: Fields<'_, '_>, sink: &mut Sink<'_>) -> Option<MetricSettings> {
    let default = MetricSettings::default();
    let addr = fields.optional("addr", default.addr, sink);
    let prefix = fields.optional("prefix", default.prefix, sink);
    let lines = fields.finish(sink);
    if let Some(prefix) = &prefix {
        check_name("prefix", prefix, line(&lines, "prefix"), sink);
    }
    Some(MetricSettings { addr: addr?, prefix: prefix? })
}

fn leases(
    mut fields: Fields<'_, '_>,
    worker_timeout: Option<Duration>,
    sink: &mut Sink<'_>,
) -> Option<LeaseSettings> {
    let default = LeaseSettings::default();
    let ttl = fields.optional("ttl", default.ttl, sink);
    let renew = fields.optional("renew", default.renew, sink);
    let drift_margin = fields.optional("drift_margin", default.drift_margin, sink);
    let lines = fields.finish(sink);
    let leases = LeaseSettings { ttl: ttl?, renew: renew?, drift_margin: drift_margin? };
    check_positive("[leases]", "renew", leases.renew, &lines, sink);
    // One renewal that is lost must not cost the lease: until it has timed out and the next one
    // is sent, the lease still has to be valid.
    let busy = leases.renew + worker_timeout? + leases.drift_margin;
    if busy >= leases.ttl {
        let message = format!(
            "`ttl` in [leases] is {:?}, not above `renew` + `worker_timeout` + `drift_margin`, {busy:?}",
            leases.ttl
        );
        let remedy = "raise `ttl`, or lower one of the others".to_owned();
        sink.push(line(&lines, "ttl"), message, remedy);
    }
    Some(leases)
}

fn timing(mut fields: Fields<'_, '_>, sink: &mut Sink<'_>) -> Option<TimingSettings> {
    let default = TimingSettings::default();
    let list_interval = fields.optional("list_interval", default.list_interval, sink);
    let worker_timeout = fields.optional("worker_timeout", default.worker_timeout, sink);
    let drain = fields.optional("drain", default.drain, sink);
    let lines = fields.finish(sink);
    for (key, time) in [("list_interval", list_interval), ("worker_timeout", worker_timeout)] {
        check_positive("[timing]", key, time.unwrap_or(Duration::MAX), &lines, sink);
    }
    Some(TimingSettings {
        list_interval: list_interval?,
        worker_timeout: worker_timeout?,
        drain: drain?,
    })
}

fn check_positive(
    title: &str,
    key: &'static str,
    time: Duration,
    lines: &KeyLines,
    sink: &mut Sink<'_>,
) {
    if time.is_zero() {
        let remedy = "give a time above zero".to_owned();
        sink.push(line(lines, key), format!("`{key}` in {title} is zero"), remedy);
    }
}

fn check_name(key: &str, name: &str, line: usize, sink: &mut Sink<'_>) {
    let allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
    if name.is_empty() || !name.chars().all(allowed) {
        let message = format!("`{key}` is \"{name}\"");
        sink.push(line, message, "use letters, digits, `-`, `_` and `.`".to_owned());
    }
}

fn check_url(key: &str, url: &str, line: usize, sink: &mut Sink<'_>) {
    let host = url.strip_prefix(HTTP).unwrap_or_default();
    if host.is_empty() || host.starts_with('/') || host.contains(char::is_whitespace) {
        let message = format!("`{key}` in [platform] has \"{url}\"");
        sink.push(line, message, format!("give a URL such as \"{HTTP}10.20.9.1:7000\""));
    }
}

fn line(lines: &KeyLines, key: &str) -> usize {
    lines.get(key).copied().unwrap_or(1)
}
