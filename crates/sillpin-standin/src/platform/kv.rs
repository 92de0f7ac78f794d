//! The keys with their revisions, and the leases.

use sillpin_platform::{KvEntry, KvRevision, LeaseId};
use std::collections::{BTreeMap, HashMap};
use std::time::Duration;
use tokio::time::Instant;

struct Value {
    text: Option<String>,
    revision: KvRevision,
    lease: Option<LeaseId>,
}

struct Lease {
    ttl: Duration,
    expires: Instant,
}

pub(super) enum KvError {
    Conflict,
    LeaseExpired,
}

/// The key-value data. Deleted keys stay as entries without text, so that a watch reports the deletion.
#[derive(Default)]
pub(super) struct Kv {
    values: BTreeMap<String, Value>,
    leases: HashMap<LeaseId, Lease>,
    revision: KvRevision,
    last_lease: u64,
}

impl Kv {
    pub(super) fn revision(&self) -> KvRevision {
        self.revision
    }

    fn is_alive(&self, value: &Value) -> bool {
        let now = Instant::now();
        let lease_alive = |lease| {
            self.leases
                .get(&lease)
                .is_some_and(|l: &Lease| l.expires > now)
        };
        value.text.is_some() && value.lease.is_none_or(lease_alive)
    }

    fn current(&self, key: &str) -> KvRevision {
        match self.values.get(key) {
            Some(value) if self.is_alive(value) => value.revision,
            _ => KvRevision::ABSENT,
        }
    }

    fn entry(&self, key: &str, value: &Value) -> KvEntry {
        KvEntry {
            key: key.to_owned(),
            value: value.text.clone().filter(|_| self.is_alive(value)),
            revision: value.revision,
        }
    }

    pub(super) fn get(&self, key: &str) -> Option<KvEntry> {
        let value = self.values.get(key).filter(|v| self.is_alive(v))?;
        Some(self.entry(key, value))
    }

    pub(super) fn list(&self, prefix: &str, after: &str, limit: usize) -> Vec<KvEntry> {
        let from = if after.is_empty() { prefix } else { after };
        self.values
            .range(from.to_owned()..)
            .take_while(|(key, _)| key.starts_with(prefix))
            .filter(|(key, value)| key.as_str() != after && self.is_alive(value))
            .take(limit)
            .map(|(key, value)| self.entry(key, value))
            .collect()
    }

    pub(super) fn changed_since(&self, prefix: &str, after: KvRevision) -> Vec<KvEntry> {
        self.values
            .range(prefix.to_owned()..)
            .take_while(|(key, _)| key.starts_with(prefix))
            .filter(|(_, value)| value.revision > after)
            .map(|(key, value)| self.entry(key, value))
            .collect()
    }

    pub(super) fn put(
        &mut self,
        key: &str,
        text: String,
        expect: KvRevision,
        lease: Option<LeaseId>,
    ) -> Result<KvRevision, KvError> {
        if lease.is_some_and(|lease| !self.renewable(lease)) {
            return Err(KvError::LeaseExpired);
        }
        self.write(key, Some(text), expect, lease)
    }

    pub(super) fn delete(&mut self, key: &str, expect: KvRevision) -> Result<KvRevision, KvError> {
        self.write(key, None, expect, None)
    }

    fn write(
        &mut self,
        key: &str,
        text: Option<String>,
        expect: KvRevision,
        lease: Option<LeaseId>,
    ) -> Result<KvRevision, KvError> {
        if self.current(key) != expect {
            return Err(KvError::Conflict);
        }
        self.revision.0 += 1;
        let value = Value {
            text,
            revision: self.revision,
            lease,
        };
        self.values.insert(key.to_owned(), value);
        Ok(self.revision)
    }

    pub(super) fn grant(&mut self, ttl: Duration) -> LeaseId {
        self.last_lease += 1;
        let lease = LeaseId::from(self.last_lease);
        let expires = Instant::now() + ttl;
        self.leases.insert(lease, Lease { ttl, expires });
        lease
    }

    fn renewable(&self, lease: LeaseId) -> bool {
        self.leases
            .get(&lease)
            .is_some_and(|l| l.expires > Instant::now())
    }

    pub(super) fn renew(&mut self, lease: LeaseId) -> bool {
        let renewable = self.renewable(lease);
        if let Some(lease) = self.leases.get_mut(&lease).filter(|_| renewable) {
            lease.expires = Instant::now() + lease.ttl;
        }
        renewable
    }
}
