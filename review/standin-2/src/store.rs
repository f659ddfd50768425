//! Stand-in of the platform's metadata store.

use crate::http::{Req, Resp};
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

#[derive(Clone)]
struct Item {
    value: String,
    rev: u64,
    created: u64,
    lease: u64,
}

#[derive(Default)]
struct State {
    rev: u64,
    items: BTreeMap<String, Item>,
    leases: BTreeMap<u64, (Duration, Instant)>,
    next_lease: u64,
    history: Vec<(u64, String, Option<Item>)>,
    /// Answers 503 to calls while set.
    refuses: bool,
    /// Share of the writes, in percent, that are done and not answered, or done late.
    lost: u64,
    late: u64,
    calls: u64,
}

#[derive(Clone, Default)]
pub struct Store(Arc<(Mutex<State>, Condvar)>);

const PAGE: usize = 500;
const ANSWER_TIME: Duration = Duration::from_millis(4);

impl State {
    fn write(&mut self, key: &str, item: Option<(String, u64)>) {
        match item {
            Some((value, lease)) => {
                let created = self.items.get(key).map_or(self.rev, |item| item.created);
                let item = Item { value, rev: self.rev, created, lease };
                self.items.insert(key.to_owned(), item.clone());
                self.history.push((self.rev, key.to_owned(), Some(item)));
            }
            None => {
                if self.items.remove(key).is_some() {
                    self.history.push((self.rev, key.to_owned(), None));
                }
            }
        }
    }

    fn expire(&mut self) {
        let now = Instant::now();
        let ended: Vec<u64> =
            self.leases.iter().filter(|(_, (_, end))| *end <= now).map(|(id, _)| *id).collect();
        ended.into_iter().for_each(|id| self.end_lease(id));
    }

    fn end_lease(&mut self, id: u64) {
        if self.leases.remove(&id).is_none() {
            return;
        }
        let keys: Vec<String> = self
            .items
            .iter()
            .filter(|(_, item)| item.lease == id)
            .map(|(k, _)| k.clone())
            .collect();
        if !keys.is_empty() {
            self.rev += 1;
            keys.iter().for_each(|key| self.write(key, None));
        }
    }

    fn wire(&self, key: &str) -> Value {
        match self.items.get(key) {
            Some(item) => wire(key, item),
            None => json!({ "key": key, "value": "", "rev": 0, "created": 0, "lease": 0 }),
        }
    }
}

fn wire(key: &str, item: &Item) -> Value {
    json!({ "key": key, "value": item.value, "rev": item.rev, "created": item.created, "lease": item.lease })
}

impl Store {
    pub fn new() -> Self {
        let store = Self::default();
        store.0.0.lock().unwrap().rev = 40;
        let expiry = store.clone();
        std::thread::spawn(move || {
            loop {
                std::thread::sleep(Duration::from_millis(20));
                expiry.0.0.lock().unwrap().expire();
                expiry.0.1.notify_all();
            }
        });
        store
    }

    pub fn set_refusing(&self, refuses: bool) {
        self.0.0.lock().unwrap().refuses = refuses;
    }

    /// Loses the answers of so many writes in a hundred; of so many more, the write is done 1 to 6 s
    /// later.
    pub fn set_lossy(&self, lost: u64, late: u64) {
        let mut state = self.0.0.lock().unwrap();
        (state.lost, state.late) = (lost, late);
    }

    /// Writes as the operator.
    pub fn put(&self, key: &str, value: &Value) {
        self.put_leased(key, value, 0);
    }

    /// Writes as a runner.
    pub fn put_leased(&self, key: &str, value: &Value, lease: u64) {
        use base64::Engine as _;
        let value = base64::engine::general_purpose::STANDARD.encode(value.to_string());
        let mut state = self.0.0.lock().unwrap();
        state.rev += 1;
        state.write(key, Some((value, lease)));
        self.0.1.notify_all();
    }

    pub fn grant(&self, ttl: Duration) -> u64 {
        let mut state = self.0.0.lock().unwrap();
        state.next_lease += 1;
        let id = state.next_lease;
        state.leases.insert(id, (ttl, Instant::now() + ttl));
        id
    }

    pub fn keep(&self, id: u64) -> bool {
        let mut state = self.0.0.lock().unwrap();
        let Some((ttl, end)) = state.leases.get_mut(&id) else { return false };
        *end = Instant::now() + *ttl;
        true
    }

    pub fn end_lease(&self, id: u64) {
        self.0.0.lock().unwrap().end_lease(id);
        self.0.1.notify_all();
    }

    pub fn get(&self, key: &str) -> Option<Value> {
        use base64::Engine as _;
        let state = self.0.0.lock().unwrap();
        let value = &state.items.get(key)?.value;
        let value = base64::engine::general_purpose::STANDARD.decode(value).ok()?;
        serde_json::from_slice(&value).ok()
    }

    pub fn handle(&self, req: &Req) -> Resp {
        std::thread::sleep(ANSWER_TIME);
        if self.0.0.lock().unwrap().refuses {
            return Resp::Json(503, "{}".to_owned());
        }
        let body: Value = serde_json::from_slice(&req.body).unwrap_or(Value::Null);
        let ok = |value: Value| Resp::Json(200, value.to_string());
        if req.path == "/api/kv-watch" {
            return self.watch(req);
        }
        let mut state = self.0.0.lock().unwrap();
        state.expire();
        if let Some(id) = req.path.strip_prefix("/api/kv-keep/") {
            drop(state);
            let kept = id.parse().is_ok_and(|id| self.keep(id));
            return if kept { ok(json!({})) } else { Resp::Json(404, "{}".to_owned()) };
        }
        if let Some(id) = req.path.strip_prefix("/api/kv-lease-end/") {
            drop(state);
            id.parse().into_iter().for_each(|id| self.end_lease(id));
            return ok(json!({}));
        }
        match req.path.as_str() {
            "/api/kv-key" => {
                let key = req.query("key");
                let found = state.items.get(key).map(|item| {
                    let mut item = wire(key, item);
                    item["store_revision"] = json!(state.rev);
                    item
                });
                found
                    .map_or(Resp::Json(404, json!({ "store_revision": state.rev }).to_string()), ok)
            }
            "/api/kv-range" => {
                let (prefix, after) = (req.query("prefix"), req.query("after"));
                let matching = state.items.iter().filter(|(key, _)| {
                    key.starts_with(prefix) && (after.is_empty() || key.as_str() > after)
                });
                let items: Vec<Value> =
                    matching.take(PAGE + 1).map(|(key, item)| wire(key, item)).collect();
                let more = items.len() > PAGE;
                let items: Vec<Value> = items.into_iter().take(PAGE).collect();
                ok(json!({ "items": items, "more_pages": more, "store_revision": state.rev }))
            }
            "/api/kv-txn" => {
                state.calls =
                    state.calls.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695);
                let draw = (state.calls >> 33) % 100;
                if draw < state.lost {
                    self.txn(&mut state, &body);
                    return Resp::Close;
                }
                if draw < state.lost + state.late {
                    let (store, wait) = (self.clone(), 1000 + (state.calls >> 40) % 5000);
                    std::thread::spawn(move || {
                        std::thread::sleep(Duration::from_millis(wait));
                        let mut state = store.0.0.lock().unwrap();
                        store.txn(&mut state, &body);
                    });
                    return Resp::Close;
                }
                self.txn(&mut state, &body)
            }
            "/api/kv-lease" => {
                drop(state);
                let ttl = body["ttl_ms"].as_u64().unwrap_or(1000).max(1000);
                let id = self.grant(Duration::from_millis(ttl));
                ok(json!({ "lease": id, "ttl_ms": ttl }))
            }
            _ => Resp::Json(400, "{}".to_owned()),
        }
    }

    fn txn(&self, state: &mut State, body: &Value) -> Resp {
        let empty = Vec::new();
        let rows = |name: &str| body[name].as_array().unwrap_or(&empty).clone();
        let (expected, puts, deletes) = (rows("expect_rev"), rows("puts"), rows("deletes"));
        let is_operators = |key: &Value| {
            let key = key.as_str().unwrap_or_default();
            key.starts_with("op/") || key.starts_with("servers/")
        };
        if puts.iter().any(|put| is_operators(&put["key"])) || deletes.iter().any(is_operators) {
            return Resp::Json(403, "{}".to_owned());
        }
        if expected.len() + puts.len() + deletes.len() > 32 {
            return Resp::Json(400, "{}".to_owned());
        }
        let rev_of = |key: &str| state.items.get(key).map_or(0, |item| item.rev);
        let holds = |row: &Value| rev_of(row["key"].as_str().unwrap_or_default()) == row["rev"];
        if !expected.iter().all(holds) {
            let items: Vec<Value> = expected
                .iter()
                .map(|row| state.wire(row["key"].as_str().unwrap_or_default()))
                .collect();
            return Resp::Json(412, json!({ "items": items }).to_string());
        }
        let leases = puts.iter().filter_map(|put| put["lease"].as_u64().filter(|id| *id > 0));
        if leases.into_iter().any(|id| !state.leases.contains_key(&id)) {
            return Resp::Json(404, "{}".to_owned());
        }
        state.rev += 1;
        for put in &puts {
            let value = put["value"].as_str().unwrap_or_default().to_owned();
            let lease = put["lease"].as_u64().unwrap_or(0);
            state.write(put["key"].as_str().unwrap_or_default(), Some((value, lease)));
        }
        for key in &deletes {
            state.write(key.as_str().unwrap_or_default(), None);
        }
        self.0.1.notify_all();
        Resp::Json(200, json!({ "rev": state.rev }).to_string())
    }

    fn watch(&self, req: &Req) -> Resp {
        let after: u64 = req.query("after").parse().unwrap_or(0);
        let wait: u64 = req.query("wait_ms").parse().unwrap_or(0);
        let end = Instant::now() + Duration::from_millis(wait.min(30_000));
        let prefix = req.query("prefix");
        let mut state = self.0.0.lock().unwrap();
        loop {
            let changes = state
                .history
                .iter()
                .filter(|(rev, key, _)| *rev > after && key.starts_with(prefix));
            let events: Vec<Value> = changes
                .map(|(rev, key, item)| match item {
                    Some(item) => wire(key, item),
                    None => json!({ "key": key, "rev": rev, "deleted": true }),
                })
                .collect();
            let now = Instant::now();
            if !events.is_empty() || now >= end {
                let answer = json!({ "events": events, "store_revision": state.rev });
                return Resp::Json(200, answer.to_string());
            }
            state = self.0.1.wait_timeout(state, end - now).unwrap().0;
        }
    }
}
