//! The platform's store in memory: revisions, transactions, leases, history.

use bytes::Bytes;
use indexmap::IndexMap;
use std::collections::BTreeMap;
use std::time::Duration;
use waxwingstall::kv::{
    Change, Changes, Error, HasMore, Item, LeaseId, MAX_TXN_ENTRIES, Page, Result, Rev, Txn,
};

/// Items of a page of a range.
const PAGE_ITEMS: usize = 500;

/// Changes that a watch's answer holds; more are left to the next one. Counted in the answers of the
/// users' store.
pub const ANSWER_CHANGES: usize = 500;

#[derive(Clone, Debug)]
struct Stored {
    value: Bytes,
    rev: Rev,
    lease: Option<LeaseId>,
}

#[derive(Clone, Copy, Debug)]
struct Lease {
    ttl: Duration,
    until: Duration,
}

/// The store's contents.
#[derive(Debug)]
pub struct TxnTable {
    rev: u64,
    items: BTreeMap<String, Stored>,
    leases: IndexMap<LeaseId, Lease>,
    next_lease: u64,
    /// Changes with their revisions, as far as they are kept.
    history: Vec<(Rev, Change)>,
    /// Changes up to here are dropped.
    forgotten: Rev,
    pub calls: u64,
    /// Largest value that is accepted.
    pub max_value_bytes: usize,
    /// Transactions refused since a value was larger.
    pub rejected: u64,
}

impl Default for TxnTable {
    fn default() -> Self {
        Self {
            rev: 1,
            items: BTreeMap::new(),
            leases: IndexMap::new(),
            next_lease: 0,
            history: Vec::new(),
            forgotten: Rev::ABSENT,
            calls: 0,
            max_value_bytes: usize::MAX,
            rejected: 0,
        }
    }
}

impl TxnTable {
    /// An empty store.
    pub fn new() -> Self {
        Self::default()
    }

    /// Lets leases end.
    pub fn pass(&mut self, now: Duration) {
        let ended: Vec<LeaseId> =
            self.leases.iter().filter(|(_, lease)| lease.until <= now).map(|(id, _)| *id).collect();
        ended.into_iter().for_each(|id| self.drop_lease(id));
    }

    /// Revision of the last change.
    pub fn revision(&self) -> Rev {
        Rev(self.rev)
    }

    /// Reads a key.
    pub fn get(&mut self, key: &str) -> Option<Item> {
        self.calls += 1;
        self.items.get(key).map(|stored| item(key, stored))
    }

    /// Reads a page.
    pub fn range(&mut self, prefix: &str, after: Option<&str>) -> Page {
        self.calls += 1;
        let from = after.unwrap_or_default();
        let matching = self
            .items
            .iter()
            .filter(|(key, _)| key.starts_with(prefix) && (after.is_none() || key.as_str() > from));
        let mut items: Vec<Item> =
            matching.take(PAGE_ITEMS + 1).map(|(key, stored)| item(key, stored)).collect();
        let more = if items.len() > PAGE_ITEMS { HasMore::Yes } else { HasMore::No };
        items.truncate(PAGE_ITEMS);
        Page { items, more, at: Rev(self.rev) }
    }

    /// Changes of a range after a revision.
    pub fn changes(&mut self, prefix: &str, after: Rev) -> Result<Changes> {
        self.calls += 1;
        if after < self.forgotten {
            return Err(Error::HistoryGone);
        }
        let matches = |(rev, change): &&(Rev, Change)| {
            let key = match change {
                Change::Put(item) => &item.key,
                Change::Deleted { key, .. } => key,
            };
            *rev > after && key.starts_with(prefix)
        };
        let mut matching = self.history.iter().filter(matches).peekable();
        let (mut changes, mut at) = (Vec::new(), after);
        // Changes of one revision stay together.
        while let Some((rev, change)) =
            matching.next_if(|(rev, _)| changes.len() < ANSWER_CHANGES || *rev == at)
        {
            changes.push(change.clone());
            at = *rev;
        }
        let at = if matching.peek().is_some() { at } else { Rev(self.rev) };
        Ok(Changes { changes, at })
    }

    /// Carries out a transaction.
    pub fn commit(&mut self, txn: &Txn) -> Result<Rev> {
        self.calls += 1;
        if txn.entries() > MAX_TXN_ENTRIES {
            return Err(Error::Refused { reason: "too many entries".to_owned() });
        }
        if txn.puts.iter().any(|put| put.value.len() > self.max_value_bytes) {
            self.rejected += 1;
            let reason = "a value is too large".to_owned();
            return Err(Error::Rejected { reason });
        }
        let present = |key: &str| self.items.get(key).map_or(Rev::ABSENT, |stored| stored.rev);
        if txn.conditions.iter().any(|condition| present(&condition.key) != condition.rev) {
            let items = txn.conditions.iter().map(|condition| {
                let absent =
                    || Item { key: condition.key.clone(), value: Bytes::new(), rev: Rev::ABSENT };
                let stored = self.items.get(&condition.key);
                stored.map_or_else(absent, |stored| item(&condition.key, stored))
            });
            return Err(Error::Conflict { items: items.collect() });
        }
        let gone = |lease: &LeaseId| !self.leases.contains_key(lease);
        if txn.puts.iter().filter_map(|put| put.lease.as_ref()).any(gone) {
            return Err(Error::LeaseEnded);
        }
        self.rev += 1;
        let rev = Rev(self.rev);
        for put in &txn.puts {
            let stored = Stored { value: put.value.clone(), rev, lease: put.lease };
            self.history.push((rev, Change::Put(item(&put.key, &stored))));
            self.items.insert(put.key.clone(), stored);
        }
        for key in &txn.deletes {
            if self.items.remove(key).is_some() {
                self.history.push((rev, Change::Deleted { key: key.clone(), rev }));
            }
        }
        Ok(rev)
    }

    /// Grants a lease.
    pub fn grant(&mut self, ttl: Duration, now: Duration) -> LeaseId {
        self.next_lease += 1;
        let id = LeaseId(self.next_lease);
        self.leases.insert(id, Lease { ttl, until: now + ttl });
        id
    }

    /// Renews a lease.
    pub fn keep(&mut self, id: LeaseId, now: Duration) -> Result<()> {
        self.pass(now);
        let lease = self.leases.get_mut(&id).ok_or(Error::LeaseEnded)?;
        lease.until = now + lease.ttl;
        Ok(())
    }

    /// Ends a lease.
    pub fn end(&mut self, id: LeaseId) -> Result<()> {
        if !self.leases.contains_key(&id) {
            return Err(Error::LeaseEnded);
        }
        self.drop_lease(id);
        Ok(())
    }

    /// Drops the history, so that earlier watches can't go on.
    pub fn compact(&mut self) {
        self.history.clear();
        self.forgotten = Rev(self.rev);
    }

    /// Takes leased keys away while their leases live on.
    pub fn revoke(&mut self) {
        let leased: Vec<String> = self
            .items
            .iter()
            .filter(|(_, stored)| stored.lease.is_some())
            .map(|(key, _)| key.clone())
            .collect();
        self.delete(&leased);
    }

    fn drop_lease(&mut self, id: LeaseId) {
        self.leases.shift_remove(&id);
        let keys: Vec<String> = self
            .items
            .iter()
            .filter(|(_, stored)| stored.lease == Some(id))
            .map(|(key, _)| key.clone())
            .collect();
        self.delete(&keys);
    }

    fn delete(&mut self, keys: &[String]) {
        if keys.is_empty() {
            return;
        }
        self.rev += 1;
        let rev = Rev(self.rev);
        for key in keys {
            self.items.remove(key);
            self.history.push((rev, Change::Deleted { key: key.clone(), rev }));
        }
    }
}

fn item(key: &str, stored: &Stored) -> Item {
    Item { key: key.to_owned(), value: stored.value.clone(), rev: stored.rev }
}
