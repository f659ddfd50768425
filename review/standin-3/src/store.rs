//! The platform's store: revisions, transactions, leases, history and watches, as PROTOCOL.md tells.

use crate::http::{Answer, Request, serve};
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::net::TcpListener;
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::time::{Duration, Instant};

/// Largest value, as the settings tell the daemons.
pub const VALUE_BYTES: usize = 1_048_576;

const MAX_ENTRIES: usize = 32;
const PAGE_ITEMS: usize = 500;
const PAGE_BYTES: usize = 1 << 20;

#[derive(Clone)]
struct Item {
    /// Base64, as it was written.
    value: String,
    rev: u64,
    created: u64,
    lease: u64,
}

struct Lease {
    ttl: Duration,
    until: Instant,
}

#[derive(Default)]
struct Table {
    rev: u64,
    items: BTreeMap<String, Item>,
    leases: BTreeMap<u64, Lease>,
    /// Changes in order; `None` for a deletion.
    history: Vec<(u64, String, Option<Item>)>,
    next_lease: u64,
    /// Writes refused since a value was larger than `VALUE_BYTES`, and the largest such value.
    too_large: (u64, usize),
}

#[derive(Clone)]
pub struct Store {
    shared: Arc<(Mutex<Table>, Condvar)>,
}

impl Store {
    pub fn start(listener: TcpListener) -> Self {
        let table = Table { rev: 1000, ..Table::default() };
        let store = Self { shared: Arc::new((Mutex::new(table), Condvar::new())) };
        let served = store.clone();
        serve(listener, move |request| served.handle(request));
        let passing = store.clone();
        std::thread::spawn(move || {
            loop {
                std::thread::sleep(Duration::from_millis(50));
                passing.pass();
            }
        });
        store
    }

    /// Number of refused writes of too large a value, and the largest such value.
    pub fn too_large(&self) -> (u64, usize) {
        self.table().too_large
    }

    fn table(&self) -> MutexGuard<'_, Table> {
        self.shared.0.lock().expect("no handler panics")
    }

    fn pass(&self) {
        let now = Instant::now();
        let mut table = self.table();
        let ended: Vec<u64> =
            table.leases.iter().filter(|(_, l)| l.until <= now).map(|(id, _)| *id).collect();
        if ended.is_empty() {
            return;
        }
        ended.into_iter().for_each(|id| table.end_lease(id));
        self.shared.1.notify_all();
    }

    /// Writes a value as the operator or a runner does; lease 0 is none.
    pub fn put(&self, key: &str, value: &Value, lease: u64) {
        let mut table = self.table();
        table.rev += 1;
        table.put(key, base64(value.to_string().as_bytes()), lease);
        self.shared.1.notify_all();
    }

    pub fn delete(&self, key: &str) {
        let mut table = self.table();
        table.rev += 1;
        table.delete(key);
        self.shared.1.notify_all();
    }

    /// A value as text, where bytes that aren't printable are dots.
    pub fn text(&self, key: &str) -> Option<String> {
        let table = self.table();
        let bytes = unbase64(&table.items.get(key)?.value);
        Some(bytes.iter().map(|b| if b.is_ascii_graphic() { *b as char } else { '.' }).collect())
    }

    fn handle(&self, request: &Request) -> Answer {
        match (request.method.as_str(), request.path.as_str()) {
            ("GET", "/api/kv-key") => {
                let table = self.table();
                let key = request.query.get("key").cloned().unwrap_or_default();
                match table.items.get(&key) {
                    Some(item) => {
                        let mut body = wire(&key, item);
                        body["store_revision"] = json!(table.rev);
                        answer(200, &body)
                    }
                    None => answer(404, &json!({ "store_revision": table.rev })),
                }
            }
            ("GET", "/api/kv-range") => self.range(request),
            ("GET", "/api/kv-watch") => self.watch(request),
            ("POST", "/api/kv-txn") => self.txn(&request.json()),
            ("POST", "/api/kv-lease") => {
                let ttl = request.json()["ttl_ms"].as_u64().unwrap_or(0).clamp(1000, 600_000);
                let mut table = self.table();
                table.next_lease += 1;
                let (id, ttl_time) = (table.next_lease, Duration::from_millis(ttl));
                table.leases.insert(id, Lease { ttl: ttl_time, until: Instant::now() + ttl_time });
                answer(200, &json!({ "lease": id, "ttl_ms": ttl }))
            }
            ("POST", path) if path.starts_with("/api/kv-keep/") => {
                let mut table = self.table();
                match path["/api/kv-keep/".len()..]
                    .parse()
                    .ok()
                    .and_then(|id: u64| table.leases.get_mut(&id))
                {
                    Some(lease) => {
                        lease.until = Instant::now() + lease.ttl;
                        answer(200, &json!({}))
                    }
                    None => answer(404, &json!({})),
                }
            }
            ("DELETE", path) if path.starts_with("/api/kv-lease-end/") => {
                let id = path["/api/kv-lease-end/".len()..].parse().unwrap_or(0);
                let mut table = self.table();
                if !table.leases.contains_key(&id) {
                    return answer(404, &json!({}));
                }
                table.end_lease(id);
                self.shared.1.notify_all();
                answer(200, &json!({}))
            }
            _ => answer(404, &json!({})),
        }
    }

    fn range(&self, request: &Request) -> Answer {
        let prefix = request.query.get("prefix").cloned().unwrap_or_default();
        let after = request.query.get("after").cloned();
        let table = self.table();
        let (mut items, mut bytes, mut more) = (Vec::new(), 0, false);
        for (key, item) in &table.items {
            if !key.starts_with(&prefix) || after.as_ref().is_some_and(|after| key <= after) {
                continue;
            }
            if items.len() >= PAGE_ITEMS || (bytes > 0 && bytes + item.value.len() > PAGE_BYTES) {
                more = true;
                break;
            }
            bytes += item.value.len();
            items.push(wire(key, item));
        }
        answer(200, &json!({ "items": items, "more_pages": more, "store_revision": table.rev }))
    }

    fn watch(&self, request: &Request) -> Answer {
        let prefix = request.query.get("prefix").cloned().unwrap_or_default();
        let (after, wait) = (request.number("after"), request.number("wait_ms").min(30_000));
        let until = Instant::now() + Duration::from_millis(wait);
        let mut table = self.table();
        loop {
            let later = table.history.partition_point(|(rev, ..)| *rev <= after);
            let mut events = Vec::new();
            let mut at = table.rev;
            for (rev, key, item) in &table.history[later..] {
                if !key.starts_with(&prefix) {
                    continue;
                }
                // Changes of one revision stay together.
                if events.len() >= PAGE_ITEMS && *rev != at {
                    break;
                }
                events.push(match item {
                    Some(item) => wire(key, item),
                    None => json!({ "key": key, "rev": rev, "deleted": true }),
                });
                if events.len() >= PAGE_ITEMS {
                    at = *rev;
                }
            }
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                return answer(200, &json!({ "events": events, "store_revision": at }));
            }
            table = self.shared.1.wait_timeout(table, left).expect("no handler panics").0;
        }
    }

    fn txn(&self, body: &Value) -> Answer {
        let list = |name: &str| body[name].as_array().cloned().unwrap_or_default();
        let (conditions, puts, deletes) = (list("expect_rev"), list("puts"), list("deletes"));
        let mut table = self.table();
        if conditions.len() + puts.len() + deletes.len() > MAX_ENTRIES {
            return answer(400, &json!({ "error": "too many entries" }));
        }
        let key_of = |entry: &Value| entry["key"].as_str().unwrap_or_default().to_owned();
        for put in &puts {
            let value = put["value"].as_str().unwrap_or_default();
            let size = value.trim_end_matches('=').len() * 3 / 4;
            if size > VALUE_BYTES || key_of(put).len() > 200 {
                table.too_large = (table.too_large.0 + 1, table.too_large.1.max(size));
                return answer(400, &json!({ "error": "the value is larger than value_bytes" }));
            }
        }
        let holds = |entry: &Value| {
            let rev = table.items.get(&key_of(entry)).map_or(0, |item| item.rev);
            entry["rev"].as_u64() == Some(rev)
        };
        if !conditions.iter().all(holds) {
            let items = conditions.iter().map(|entry| {
                let key = key_of(entry);
                table
                    .items
                    .get(&key)
                    .map_or_else(|| json!({ "key": key, "rev": 0 }), |item| wire(&key, item))
            });
            return answer(412, &json!({ "items": items.collect::<Vec<_>>() }));
        }
        let lease_of = |put: &Value| put["lease"].as_u64().unwrap_or(0);
        if puts.iter().any(|put| lease_of(put) != 0 && !table.leases.contains_key(&lease_of(put))) {
            return answer(404, &json!({}));
        }
        table.rev += 1;
        for put in &puts {
            let value = put["value"].as_str().unwrap_or_default().to_owned();
            table.put(&key_of(put), value, lease_of(put));
        }
        for key in &deletes {
            table.delete(key.as_str().unwrap_or_default());
        }
        self.shared.1.notify_all();
        answer(200, &json!({ "rev": table.rev }))
    }
}

impl Table {
    fn put(&mut self, key: &str, value: String, lease: u64) {
        let rev = self.rev;
        let created = self.items.get(key).map_or(rev, |item| item.created);
        let item = Item { value, rev, created, lease };
        self.history.push((rev, key.to_owned(), Some(item.clone())));
        self.items.insert(key.to_owned(), item);
    }

    fn delete(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.history.push((self.rev, key.to_owned(), None));
        }
    }

    fn end_lease(&mut self, id: u64) {
        self.leases.remove(&id);
        let keys: Vec<String> = self
            .items
            .iter()
            .filter(|(_, item)| item.lease == id)
            .map(|(key, _)| key.clone())
            .collect();
        self.rev += 1;
        keys.iter().for_each(|key| self.delete(key));
    }
}

fn wire(key: &str, item: &Item) -> Value {
    json!({ "key": key, "value": item.value, "rev": item.rev, "created": item.created, "lease": item.lease })
}

fn answer(status: u16, body: &Value) -> Answer {
    Some((status, body.to_string()))
}

const ALPHABET: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

fn base64(bytes: &[u8]) -> String {
    let mut out = String::new();
    for chunk in bytes.chunks(3) {
        let word = chunk.iter().fold(0u32, |word, byte| word << 8 | u32::from(*byte))
            << (8 * (3 - chunk.len()));
        for place in 0..4 {
            let digit = (word >> (18 - 6 * place)) as usize & 63;
            out.push(if place <= chunk.len() { ALPHABET[digit] as char } else { '=' });
        }
    }
    out
}

fn unbase64(text: &str) -> Vec<u8> {
    let digits: Vec<u32> = text
        .bytes()
        .filter_map(|byte| ALPHABET.iter().position(|known| *known == byte))
        .map(|digit| digit as u32)
        .collect();
    let mut out = Vec::new();
    for chunk in digits.chunks(4) {
        let word =
            chunk.iter().fold(0u32, |word, digit| word << 6 | digit) << (6 * (4 - chunk.len()));
        out.extend_from_slice(&word.to_be_bytes()[1..chunk.len()]);
    }
    out
}
