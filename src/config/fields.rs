//! Typed reading of a TOML table that notes every fault with its line and goes on.

use crate::config::Fault;
use crate::units::Resources;
use indexmap::IndexMap;
use serde::Deserialize;
use serde::de::IntoDeserializer;
use serde::de::value::{Error as ValueError, StrDeserializer};
use std::time::Duration;
use toml::Spanned;
use toml::de::{DeTable, DeValue};

/// Lines of the keys that were read, by key.
pub(crate) type KeyLines = IndexMap<&'static str, usize>;

/// Faults of one file as they are found.
pub(crate) struct Sink<'a> {
    file: &'a str,
    text: &'a str,
    found: Vec<Fault>,
}

impl<'a> Sink<'a> {
    pub(crate) fn new(file: &'a str, text: &'a str) -> Self {
        Self { file, text, found: Vec::new() }
    }

    pub(crate) fn file(&self) -> &'a str {
        self.file
    }

    /// Line of a byte offset, counted from one.
    pub(crate) fn line(&self, offset: usize) -> usize {
        let before = self.text.get(..offset).unwrap_or(self.text);
        1 + before.bytes().filter(|byte| *byte == b'\n').count()
    }

    pub(crate) fn push(&mut self, line: usize, message: String, remedy: String) {
        self.found.push(Fault { file: self.file.to_owned(), line, message, remedy });
    }

    pub(crate) fn into_faults(self) -> Vec<Fault> {
        self.found
    }
}

/// A value that a key can have.
pub(crate) trait Value: Sized {
    /// What is expected, in words.
    const EXPECTED: &'static str;

    fn read(value: &DeValue<'_>) -> Option<Self>;
}

impl Value for String {
    const EXPECTED: &'static str = "a string";

    fn read(value: &DeValue<'_>) -> Option<Self> {
        match value {
            DeValue::String(text) => Some(text.to_string()),
            _ => None,
        }
    }
}

impl Value for u32 {
    const EXPECTED: &'static str = "a whole number from 0 to 4294967295";

    fn read(value: &DeValue<'_>) -> Option<Self> {
        match value {
            DeValue::Integer(number) => Self::from_str_radix(number.as_str(), number.radix()).ok(),
            _ => None,
        }
    }
}

impl Value for f64 {
    const EXPECTED: &'static str = "a number";

    fn read(value: &DeValue<'_>) -> Option<Self> {
        match value {
            DeValue::Integer(number) => number.as_str().parse().ok(),
            DeValue::Float(number) => number.as_str().parse().ok(),
            _ => None,
        }
    }
}

impl Value for Duration {
    const EXPECTED: &'static str =
        "a duration such as \"250ms\", \"30s\", \"10m\", \"4h\" or \"2d\"";

    fn read(value: &DeValue<'_>) -> Option<Self> {
        match value {
            DeValue::String(text) => parse_duration(text),
            _ => None,
        }
    }
}

impl Value for Vec<String> {
    const EXPECTED: &'static str = "a list of strings";

    fn read(value: &DeValue<'_>) -> Option<Self> {
        match value {
            DeValue::Array(items) => {
                items.iter().map(|item| String::read(item.get_ref())).collect()
            }
            _ => None,
        }
    }
}

/// One of the names that a small enum has in files.
pub(crate) struct Choice<T>(pub(crate) T);

/// An enum with its names in words.
pub(crate) trait Choices: for<'de> Deserialize<'de> {
    const NAMES: &'static str;
}

impl<T: Choices> Value for Choice<T> {
    const EXPECTED: &'static str = T::NAMES;

    fn read(value: &DeValue<'_>) -> Option<Self> {
        let DeValue::String(text) = value else { return None };
        let name: StrDeserializer<'_, ValueError> = text.as_ref().into_deserializer();
        T::deserialize(name).ok().map(Self)
    }
}

fn parse_duration(text: &str) -> Option<Duration> {
    let digits = text.find(|c: char| !c.is_ascii_digit())?;
    let (amount, unit) = text.split_at(digits);
    let amount: u64 = amount.parse().ok()?;
    let millis_per_unit: u64 = match unit {
        "ms" => 1,
        "s" => 1_000,
        "m" => 60_000,
        "h" => 3_600_000,
        "d" => 86_400_000,
        _ => return None,
    };
    amount.checked_mul(millis_per_unit).map(Duration::from_millis)
}

/// A table being read; each key is asked for once, and what is left over is unknown.
pub(crate) struct Fields<'a, 'i> {
    table: &'a DeTable<'i>,
    title: &'static str,
    line: usize,
    known: Vec<&'static str>,
    lines: KeyLines,
}

impl<'a, 'i> Fields<'a, 'i> {
    pub(crate) fn new(table: &'a DeTable<'i>, title: &'static str, line: usize) -> Self {
        Self { table, title, line, known: Vec::new(), lines: KeyLines::new() }
    }

    /// Reads a key that must be there.
    pub(crate) fn required<T: Value>(
        &mut self,
        key: &'static str,
        sink: &mut Sink<'_>,
    ) -> Option<T> {
        match self.find(key, sink) {
            Some((value, line)) => self.typed(key, value, line, sink),
            None => {
                self.missing(key, T::EXPECTED, sink);
                None
            }
        }
    }

    /// Reads a key that may be left out; `None` if it is there with a wrong value.
    pub(crate) fn optional<T: Value>(
        &mut self,
        key: &'static str,
        default: T,
        sink: &mut Sink<'_>,
    ) -> Option<T> {
        match self.find(key, sink) {
            Some((value, line)) => self.typed(key, value, line, sink),
            None => Some(default),
        }
    }

    /// Reads amounts that must be there.
    pub(crate) fn resources(
        &mut self,
        key: &'static str,
        sink: &mut Sink<'_>,
    ) -> Option<Resources> {
        const EXPECTED: &str = "a table { milli_cores, memory_mib, accelerators }";
        let Some((value, line)) = self.find(key, sink) else {
            self.missing(key, EXPECTED, sink);
            return None;
        };
        let DeValue::Table(table) = value else {
            self.mistyped(key, EXPECTED, line, sink);
            return None;
        };
        let mut fields = Fields::new(table, key, line);
        let milli_cores = fields.required("milli_cores", sink);
        let memory_mib = fields.required("memory_mib", sink);
        let accelerators = fields.optional("accelerators", 0, sink);
        fields.finish(sink);
        Some(Resources::new(milli_cores?, memory_mib?, accelerators?))
    }

    /// Reads amounts that may be left out.
    pub(crate) fn optional_resources(
        &mut self,
        key: &'static str,
        sink: &mut Sink<'_>,
    ) -> Option<Resources> {
        if self.find(key, sink).is_none() {
            Some(Resources::ZERO)
        } else {
            self.resources(key, sink)
        }
    }

    /// Notes every key that was not asked for; returns the lines of the others.
    pub(crate) fn finish(self, sink: &mut Sink<'_>) -> KeyLines {
        for key in self.table.keys() {
            if !self.known.contains(&key.get_ref().as_ref()) {
                let line = sink.line(key.span().start);
                let message = format!("unknown key `{}` in {}", key.get_ref(), self.title);
                let remedy = format!("remove it, or use one of: {}", self.known.join(", "));
                sink.push(line, message, remedy);
            }
        }
        self.lines
    }

    /// The value of a key that the caller reads, such as a table of its own.
    pub(crate) fn value(
        &mut self,
        key: &'static str,
        sink: &Sink<'_>,
    ) -> Option<&'a Spanned<DeValue<'i>>> {
        if !self.known.contains(&key) {
            self.known.push(key);
        }
        let (name, value) = self.table.iter().find(|(name, _)| name.get_ref() == key)?;
        self.lines.insert(key, sink.line(name.span().start));
        Some(value)
    }

    fn find(&mut self, key: &'static str, sink: &Sink<'_>) -> Option<(&'a DeValue<'i>, usize)> {
        let value = self.value(key, sink)?;
        Some((value.get_ref(), self.lines[key]))
    }

    fn typed<T: Value>(
        &self,
        key: &str,
        value: &DeValue<'_>,
        line: usize,
        sink: &mut Sink<'_>,
    ) -> Option<T> {
        let read = T::read(value);
        if read.is_none() {
            self.mistyped(key, T::EXPECTED, line, sink);
        }
        read
    }

    fn missing(&self, key: &str, expected: &str, sink: &mut Sink<'_>) {
        let message = format!("{} has no `{key}`", self.title);
        sink.push(self.line, message, format!("add `{key}`: {expected}"));
    }

    fn mistyped(&self, key: &str, expected: &str, line: usize, sink: &mut Sink<'_>) {
        let message = format!("`{key}` in {} has a wrong value", self.title);
        sink.push(line, message, format!("give {expected}"));
    }
}

/// Each table of an array of tables, with its line.
pub(crate) fn tables<'a, 'i>(
    key: &str,
    value: &'a Spanned<DeValue<'i>>,
    sink: &mut Sink<'_>,
) -> Vec<(&'a DeTable<'i>, usize)> {
    let DeValue::Array(items) = value.get_ref() else {
        let line = sink.line(value.span().start);
        sink.push(line, format!("`{key}` is not a list"), format!("write it as [[{key}]]"));
        return Vec::new();
    };
    let mut tables = Vec::new();
    for item in items {
        let line = sink.line(item.span().start);
        match item.get_ref() {
            DeValue::Table(table) => tables.push((table, line)),
            _ => sink.push(line, format!("`{key}` holds a plain value"), format!("use [[{key}]]")),
        }
    }
    tables
}
