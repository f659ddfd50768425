//! Checks within and across files.

use crate::config::sections::{Declared, Sections};
use crate::config::{ConfigFile, Fault, Result, is_file_name};
use crate::ids::{ClassName, PoolName, ServiceName, TeamName};
use crate::model::{BatchClass, Config, Idempotency, RequestClass, Resumption, Weights};
use crate::units::Resources;
use indexmap::IndexMap;
use std::time::Duration;

/// Longest name of an item, in bytes.
const MAX_NAME: usize = 64;

/// Reads all files together and returns what they declare, or every fault in them.
///
/// The result doesn't depend on the order of the files. Its revision is zero.
pub fn check(files: &[ConfigFile]) -> Result<Config> {
    let mut ordered: Vec<&ConfigFile> = files.iter().collect();
    ordered.sort_by(|a, b| a.name.cmp(&b.name));
    let mut faults = file_names(&ordered);
    let mut sections = Sections::default();
    for file in &ordered {
        faults.extend(sections.read(file));
    }
    let faults = Checker { sections: &sections, faults }.run();
    if faults.is_empty() { Ok(config(sections)) } else { Err(faults) }
}

fn file_names(files: &[&ConfigFile]) -> Vec<Fault> {
    let mut faults = Vec::new();
    for (i, file) in files.iter().enumerate() {
        let fault = |message: &str, remedy: &str| Fault {
            file: file.name.clone(),
            line: 1,
            message: message.to_owned(),
            remedy: remedy.to_owned(),
        };
        if !is_file_name(&file.name) {
            let remedy =
                "use letters, digits, `-`, `_` and `.`, at most 128, not starting with `.`";
            faults.push(fault("the file's name can't be kept", remedy));
        }
        if files[..i].iter().any(|other| other.name == file.name) {
            faults.push(fault("the file is given twice", "give each file once"));
        }
    }
    faults
}

fn config(sections: Sections) -> Config {
    Config {
        revision: Default::default(),
        services: named(sections.services, ServiceName::new),
        requests: named(sections.requests, ClassName::new),
        batch: named(sections.batch, ClassName::new),
        pools: named(sections.pools, PoolName::new),
        teams: named(sections.teams, TeamName::new),
        weights: sections.weights.first().map(|weights| weights.item).unwrap_or_default(),
    }
}

fn named<N: std::hash::Hash + Eq, T>(
    items: Vec<Declared<T>>,
    name: fn(&str) -> N,
) -> IndexMap<N, T> {
    items.into_iter().map(|declared| (name(&declared.name), declared.item)).collect()
}

struct Checker<'a> {
    sections: &'a Sections,
    faults: Vec<Fault>,
}

impl Checker<'_> {
    fn run(mut self) -> Vec<Fault> {
        let sections = self.sections;
        self.unique("service", &sections.services);
        self.unique("request class", &sections.requests);
        self.unique("batch class", &sections.batch);
        self.unique("pool", &sections.pools);
        self.unique("team", &sections.teams);
        self.distinct_classes();
        self.services();
        sections.requests.iter().for_each(|class| self.request(class));
        sections.batch.iter().for_each(|class| self.batch(class));
        self.pools();
        self.teams();
        self.weights();
        self.faults.sort_by(|a, b| (&a.file, a.line).cmp(&(&b.file, b.line)));
        self.faults
    }

    fn report<T>(&mut self, at: &Declared<T>, key: &str, message: String, remedy: &str) {
        self.faults.push(at.place.fault(key, message, remedy.to_owned()));
    }

    fn unique<T>(&mut self, kind: &str, items: &[Declared<T>]) {
        let mut seen: IndexMap<&str, &Declared<T>> = IndexMap::new();
        for item in items {
            self.name(kind, item);
            if let Some(first) = seen.get(item.name.as_str()) {
                let message =
                    format!("{kind} `{}` is declared already at {}", item.name, first.place);
                self.report(item, "name", message, "rename or remove one of the two");
            } else {
                seen.insert(&item.name, item);
            }
        }
    }

    fn name<T>(&mut self, kind: &str, item: &Declared<T>) {
        let allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
        let name = &item.name;
        if name.is_empty() || name.len() > MAX_NAME || !name.chars().all(allowed) {
            let message = format!("`{name}` can't name a {kind}");
            let remedy = "use 1 to 64 letters, digits, `-`, `_` and `.`";
            self.report(item, "name", message, remedy);
        }
    }

    /// Slowdown is learned by name, of services and batch classes alike.
    fn distinct_classes(&mut self) {
        let sections = self.sections;
        for class in &sections.batch {
            let service = sections.services.iter().find(|other| other.name == class.name);
            let request = sections.requests.iter().find(|other| other.name == class.name);
            let other = service.map(|s| &s.place).or(request.map(|r| &r.place));
            if let Some(place) = other {
                let message = format!("batch class `{}` has the name used at {place}", class.name);
                self.report(class, "name", message, "give each class and service its own name");
            }
        }
    }

    fn services(&mut self) {
        for service in &self.sections.services {
            let item = &service.item;
            if item.slots == 0 {
                let message = format!("service `{}` has no slots", service.name);
                self.report(service, "slots", message, "give at least 1");
            }
            if item.connections < item.slots {
                let message = format!(
                    "service `{}` has {} connections for {} slots",
                    service.name, item.connections, item.slots
                );
                self.report(service, "connections", message, "give at least one for each slot");
            }
        }
    }

    fn request(&mut self, class: &Declared<RequestClass>) {
        let item = &class.item;
        self.known(class, "service", item.service.as_str());
        self.positive(class, "deadline", item.deadline);
        self.positive(class, "target_p99", item.target_p99);
        self.positive(class, "expected", item.expected);
        if item.target_p99 > item.deadline {
            let message = format!("class `{}` aims at a p99 over its deadline", class.name);
            self.report(class, "target_p99", message, "lower target_p99 or raise deadline");
        }
        if item.expected > item.deadline {
            let message =
                format!("class `{}` expects to take longer than its deadline", class.name);
            self.report(class, "expected", message, "lower expected or raise deadline");
        }
        if item.weight == 0 {
            let message = format!("class `{}` has no share under overload", class.name);
            self.report(class, "weight", message, "give at least 1");
        }
    }

    fn batch(&mut self, class: &Declared<BatchClass>) {
        let item = &class.item;
        let sections = self.sections;
        self.known(class, "pool", item.pool.as_str());
        self.known(class, "team", item.team.as_str());
        let team = sections.teams.iter().find(|team| team.name == item.team.as_str());
        if let Some(team) = team.filter(|team| !item.resources.fits_in(&team.item.quota)) {
            let message = format!(
                "a task of class `{}` ({}) is larger than the whole quota of team `{}` ({})",
                class.name, item.resources, team.name, team.item.quota
            );
            self.report(class, "resources", message, "raise the quota or declare less");
        }
        self.positive(class, "expected", item.expected);
        if item.resources == Resources::ZERO {
            let message = format!("class `{}` declares no resources", class.name);
            self.report(class, "resources", message, "declare what one task uses");
        }
        if item.max_failures == 0 {
            let message = format!("class `{}` may not fail once", class.name);
            self.report(class, "max_failures", message, "give at least 1");
        }
        self.at_most_once(class);
    }

    /// A non-idempotent task that starts again from its beginning runs twice.
    fn at_most_once(&mut self, class: &Declared<BatchClass>) {
        let item = &class.item;
        if item.idempotency != Idempotency::NonIdempotent {
            return;
        }
        if item.resumption == Resumption::FromStart {
            let message =
                format!("non-idempotent class `{}` would run again from the start", class.name);
            let remedy = "use resumption = \"never\" or \"checkpoint\"";
            self.report(class, "resumption", message, remedy);
        }
        if item.max_failures > 1 {
            let message = format!("non-idempotent class `{}` would be retried", class.name);
            self.report(class, "max_failures", message, "use max_failures = 1");
        }
    }

    fn pools(&mut self) {
        for pool in &self.sections.pools {
            let domains = &pool.item.domains;
            for (i, domain) in domains.iter().enumerate() {
                if domains[..i].contains(domain) {
                    let message = format!("pool `{}` names domain `{domain}` twice", pool.name);
                    self.report(pool, "domains", message, "name each failure domain once");
                }
            }
        }
    }

    fn teams(&mut self) {
        for team in &self.sections.teams {
            if team.item.quota == Resources::ZERO {
                let message = format!("team `{}` has an empty quota", team.name);
                self.report(team, "quota", message, "give it a quota or remove the team");
            }
        }
    }

    fn weights(&mut self) {
        let declared = &self.sections.weights;
        for repeated in declared.iter().skip(1) {
            let message = format!("weights are declared already at {}", declared[0].place);
            self.report(repeated, "", message, "keep one [weights] in all files");
        }
        for weights in declared {
            let Weights { tail, evictions, throughput } = weights.item;
            let parts = [("tail", tail), ("evictions", evictions), ("throughput", throughput)];
            for (key, part) in parts {
                if !part.is_finite() || part < 0.0 {
                    let message = format!("weight `{key}` is {part}");
                    self.report(weights, key, message, "give a number from zero up");
                }
            }
            if parts.iter().all(|(_, part)| *part == 0.0) {
                let message = "all weights are zero".to_owned();
                self.report(weights, "", message, "raise at least one of them");
            }
        }
    }

    fn known<T>(&mut self, at: &Declared<T>, section: &str, name: &str) {
        if self.sections.lacks(section, name) {
            let message =
                format!("`{}` names the {section} `{name}`, which no file declares", at.name);
            let remedy = format!("declare [[{section}]] with that name, or name another");
            self.report(at, section, message, &remedy);
        }
    }

    fn positive<T>(&mut self, at: &Declared<T>, key: &str, value: Duration) {
        if value.is_zero() {
            let message = format!("`{key}` of `{}` is zero", at.name);
            self.report(at, key, message, "give a duration above zero");
        }
    }
}
