//! The sections of one file, each item with its place.

use crate::config::fields::{Choice, Choices, Fields, KeyLines, Sink, tables};
use crate::config::{ConfigFile, Fault};
use crate::ids::{DomainId, PoolName, ServiceName, TeamName};
use crate::model::{
    BatchClass, Idempotency, Pool, RequestClass, Resumption, Service, Team, Urgency, Weights,
};
use indexmap::{IndexMap, IndexSet};
use std::time::Duration;
use toml::de::{DeTable, DeValue};

/// Attempts that may fail, where the file doesn't say.
const DEFAULT_MAX_FAILURES: u32 = 3;

/// A named item with the place where it is declared.
#[derive(Debug)]
pub(super) struct Declared<T> {
    pub(super) name: String,
    pub(super) item: T,
    pub(super) place: Place,
}

/// Where something is declared.
#[derive(Clone, Debug)]
pub(super) struct Place {
    file: String,
    line: usize,
    keys: KeyLines,
}

impl Place {
    /// A fault at the line of `key`, or of the whole item where the key is not given.
    pub(super) fn fault(&self, key: &str, message: String, remedy: String) -> Fault {
        let line = self.keys.get(key).copied().unwrap_or(self.line);
        Fault { file: self.file.clone(), line, message, remedy }
    }
}

impl std::fmt::Display for Place {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}:{}", self.file, self.line)
    }
}

/// Everything that one file, or all of them, declare.
#[derive(Debug, Default)]
pub(super) struct Sections {
    pub(super) services: Vec<Declared<Service>>,
    pub(super) requests: Vec<Declared<RequestClass>>,
    pub(super) batch: Vec<Declared<BatchClass>>,
    pub(super) pools: Vec<Declared<Pool>>,
    pub(super) teams: Vec<Declared<Team>>,
    pub(super) weights: Vec<Declared<Weights>>,
    /// Names of all items by section, also of those that could not be read.
    names: IndexMap<&'static str, IndexSet<String>>,
    unparsed: usize,
}

impl Choices for Idempotency {
    const NAMES: &'static str = "\"idempotent\" or \"non-idempotent\"";
}

impl Choices for Resumption {
    const NAMES: &'static str = "\"checkpoint\", \"from-start\" or \"never\"";
}

impl Choices for Urgency {
    const NAMES: &'static str = "\"low\", \"normal\", \"high\" or \"urgent\"";
}

impl Sections {
    /// Reads a file, and adds what it declares; returns its faults.
    pub(super) fn read(&mut self, file: &ConfigFile) -> Vec<Fault> {
        let mut sink = Sink::new(&file.name, &file.text);
        let (document, errors) = DeTable::parse_recoverable(&file.text);
        for error in &errors {
            let line = sink.line(error.span().map_or(0, |span| span.start));
            let remedy = "correct the TOML syntax of this line".to_owned();
            sink.push(line, error.message().to_owned(), remedy);
        }
        // What is left of a file that isn't TOML would only raise faults that aren't there.
        if errors.is_empty() {
            self.read_document(document.get_ref(), &mut sink);
        } else {
            self.unparsed += 1;
        }
        sink.into_faults()
    }

    /// Whether nothing declares the name. Where a file is not TOML, it may be declared there, and
    /// reporting it would send the operator after a fault that isn't there.
    pub(super) fn lacks(&self, section: &str, name: &str) -> bool {
        let declared = self.names.get(section).is_some_and(|names| names.contains(name));
        self.unparsed == 0 && !declared
    }

    fn read_document(&mut self, document: &DeTable<'_>, sink: &mut Sink<'_>) {
        let names = &mut self.names;
        for (key, value) in document {
            let name = key.get_ref().as_ref();
            match name {
                "service" => each(&SERVICE, value, sink, &mut self.services, names),
                "request" => each(&REQUEST, value, sink, &mut self.requests, names),
                "batch" => each(&BATCH, value, sink, &mut self.batch, names),
                "pool" => each(&POOL, value, sink, &mut self.pools, names),
                "team" => each(&TEAM, value, sink, &mut self.teams, names),
                "weights" => {
                    let line = sink.line(key.span().start);
                    self.weights.extend(weights(value, line, sink));
                }
                _ => {
                    let line = sink.line(key.span().start);
                    let remedy = "use [[service]], [[request]], [[batch]], [[pool]], [[team]] \
                                  or [weights]";
                    sink.push(line, format!("unknown section `{name}`"), remedy.to_owned());
                }
            }
        }
    }
}

/// A section that lists items, and how one item is read.
struct Section<T> {
    key: &'static str,
    title: &'static str,
    read: Reader<T>,
}

/// Reads the keys of one item; `None` if any is wrong.
type Reader<T> = fn(&mut Fields<'_, '_>, &mut Sink<'_>) -> Option<T>;

const SERVICE: Section<Service> = Section { key: "service", title: "[[service]]", read: service };
const REQUEST: Section<RequestClass> =
    Section { key: "request", title: "[[request]]", read: request };
const BATCH: Section<BatchClass> = Section { key: "batch", title: "[[batch]]", read: batch };
const POOL: Section<Pool> = Section { key: "pool", title: "[[pool]]", read: pool };
const TEAM: Section<Team> = Section { key: "team", title: "[[team]]", read: team };

fn each<T>(
    section: &Section<T>,
    value: &toml::Spanned<DeValue<'_>>,
    sink: &mut Sink<'_>,
    items: &mut Vec<Declared<T>>,
    names: &mut IndexMap<&'static str, IndexSet<String>>,
) {
    for (table, line) in tables(section.key, value, sink) {
        let mut fields = Fields::new(table, section.title, line);
        let name: Option<String> = fields.required("name", sink);
        let item = (section.read)(&mut fields, sink);
        let keys = fields.finish(sink);
        names.entry(section.key).or_default().extend(name.clone());
        if let (Some(name), Some(item)) = (name, item) {
            let place = Place { file: sink.file().to_owned(), line, keys };
            items.push(Declared { name, item, place });
        }
    }
}

fn weights(
    value: &toml::Spanned<DeValue<'_>>,
    line: usize,
    sink: &mut Sink<'_>,
) -> Option<Declared<Weights>> {
    let DeValue::Table(table) = value.get_ref() else {
        sink.push(line, "`weights` is not a table".to_owned(), "use [weights]".to_owned());
        return None;
    };
    let mut fields = Fields::new(table, "[weights]", line);
    let tail = fields.required("tail", sink);
    let evictions = fields.required("evictions", sink);
    let throughput = fields.required("throughput", sink);
    let keys = fields.finish(sink);
    Some(Declared {
        name: "weights".to_owned(),
        item: Weights { tail: tail?, evictions: evictions?, throughput: throughput? },
        place: Place { file: sink.file().to_owned(), line, keys },
    })
}

fn service(fields: &mut Fields<'_, '_>, sink: &mut Sink<'_>) -> Option<Service> {
    let slots = fields.required("slots", sink);
    let connections = fields.required("connections", sink);
    let resources = fields.resources("resources", sink);
    Some(Service { slots: slots?, connections: connections?, resources: resources? })
}

fn request(fields: &mut Fields<'_, '_>, sink: &mut Sink<'_>) -> Option<RequestClass> {
    let service: Option<String> = fields.required("service", sink);
    let deadline: Option<Duration> = fields.required("deadline", sink);
    let target_p99 = fields.required("target_p99", sink);
    let expected = fields.required("expected", sink);
    let idempotency: Option<Choice<Idempotency>> = fields.required("idempotency", sink);
    let weight = fields.optional("weight", 1, sink);
    Some(RequestClass {
        service: ServiceName::new(&service?),
        deadline: deadline?,
        target_p99: target_p99?,
        expected: expected?,
        idempotency: idempotency?.0,
        weight: weight?,
    })
}

fn batch(fields: &mut Fields<'_, '_>, sink: &mut Sink<'_>) -> Option<BatchClass> {
    let pool: Option<String> = fields.required("pool", sink);
    let team: Option<String> = fields.required("team", sink);
    let resources = fields.resources("resources", sink);
    let expected = fields.required("expected", sink);
    let idempotency: Option<Choice<Idempotency>> = fields.required("idempotency", sink);
    let resumption: Option<Choice<Resumption>> = fields.required("resumption", sink);
    let urgency = fields.optional("urgency", Choice(Urgency::default()), sink);
    let attempts = match &idempotency {
        Some(Choice(Idempotency::NonIdempotent)) => 1,
        _ => DEFAULT_MAX_FAILURES,
    };
    let max_failures = fields.optional("max_failures", attempts, sink);
    Some(BatchClass {
        pool: PoolName::new(&pool?),
        team: TeamName::new(&team?),
        resources: resources?,
        expected: expected?,
        idempotency: idempotency?.0,
        resumption: resumption?.0,
        urgency: urgency?.0,
        max_failures: max_failures?,
    })
}

fn pool(fields: &mut Fields<'_, '_>, sink: &mut Sink<'_>) -> Option<Pool> {
    let domains: Option<Vec<String>> = fields.optional("domains", Vec::new(), sink);
    let min_size = fields.optional_resources("min_size", sink);
    let domains = domains?.iter().map(|name| DomainId::new(name)).collect();
    Some(Pool { domains, min_size: min_size? })
}

fn team(fields: &mut Fields<'_, '_>, sink: &mut Sink<'_>) -> Option<Team> {
    let quota = fields.resources("quota", sink);
    Some(Team { quota: quota? })
}
