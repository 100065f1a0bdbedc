use {
    super::messages::{Blob, CompareReq, Op, PutReq, RangeReq, TxnReq},
    serde_json::{Value, json},
    std::{
        cmp::Ordering,
        collections::BTreeMap,
        time::{Duration, Instant},
    },
};

/// Maximum size of a value, in bytes.
pub(super) const MAX_VALUE_BYTES: usize = 1 << 20;

/// Revision of an empty store.
const EMPTY_STORE_REVISION: u64 = 1;

#[derive(Clone, Debug)]
struct Entry {
    value: Vec<u8>,
    create_revision: u64,
    mod_revision: u64,
    version: u64,
    lease: u64,
}

#[derive(Debug)]
struct Change {
    revision: u64,
    key: Vec<u8>,
    entry: Option<Entry>,
}

#[derive(Debug)]
struct Lease {
    ttl: Duration,
    expires_at: Instant,
}

/// An in-memory etcd store with the full change history.
#[derive(Debug)]
pub(super) struct Store {
    revision: u64,
    entries: BTreeMap<Vec<u8>, Entry>,
    changes: Vec<Change>,
    leases: BTreeMap<u64, Lease>,
    last_lease: u64,
}

impl Default for Store {
    fn default() -> Self {
        Self {
            revision: EMPTY_STORE_REVISION,
            entries: BTreeMap::new(),
            changes: Vec::new(),
            leases: BTreeMap::new(),
            last_lease: 0,
        }
    }
}

impl Store {
    /// The `header` of a response.
    pub(super) fn header(&self) -> Value {
        json!({"cluster_id": "1", "member_id": "1", "revision": self.revision.to_string(), "raft_term": "1"})
    }

    pub(super) fn revision(&self) -> u64 {
        self.revision
    }

    pub(super) fn range(
        &self,
        req: &RangeReq,
    ) -> Value {
        let limit = if req.limit.0 == 0 {
            usize::MAX
        } else {
            req.limit.0 as usize
        };
        let found: Vec<_> = self
            .entries
            .iter()
            .filter(|(key, _)| req.contains(key))
            .collect();
        let mut answer = json!({"header": self.header()});
        if !found.is_empty() {
            answer["count"] = json!(found.len().to_string());
        }
        if found.len() > limit {
            answer["more"] = json!(true);
        }
        if !req.count_only && !found.is_empty() {
            let kvs = found.into_iter().take(limit);
            answer["kvs"] = kvs
                .map(|(key, entry)| kv(key, entry, req.keys_only))
                .collect();
        }
        answer
    }

    /// Returns the events at or after `revision`.
    pub(super) fn events_from(
        &self,
        revision: u64,
        req: &RangeReq,
    ) -> Vec<Value> {
        let first = self
            .changes
            .partition_point(|change| change.revision < revision);
        let changes = self.changes[first..].iter();
        changes
            .filter(|change| req.contains(&change.key))
            .map(event)
            .collect()
    }

    pub(super) fn txn(
        &mut self,
        req: &TxnReq,
    ) -> Result<Value, &'static str> {
        let all_match = req.compare.iter().all(|compare| self.compare(compare));
        let ops = if all_match {
            &req.success
        } else {
            &req.failure
        };
        for op in ops {
            self.check(op)?;
        }
        let revision = self.revision.max(1) + 1;
        let responses: Vec<Value> = ops.iter().map(|op| self.apply(op, revision)).collect();
        let mut answer = json!({"header": self.header()});
        if all_match {
            answer["succeeded"] = json!(true);
        }
        if !responses.is_empty() {
            answer["responses"] = json!(responses);
        }
        Ok(answer)
    }

    /// Runs a single operation.
    pub(super) fn run_op(
        &mut self,
        op: &Op,
    ) -> Result<Value, &'static str> {
        self.check(op)?;
        let mut answer = self.apply(op, self.revision.max(1) + 1);
        let response = answer
            .as_object_mut()
            .and_then(|map| map.values_mut().next());
        Ok(response.map(Value::take).unwrap_or_default())
    }

    pub(super) fn grant(
        &mut self,
        requested_id: u64,
        ttl_s: u64,
    ) -> Result<u64, &'static str> {
        if self.leases.contains_key(&requested_id) {
            return Err("etcdserver: lease already exists");
        }
        self.last_lease += 1;
        let id = if requested_id == 0 {
            0x5a00_0000 + self.last_lease
        } else {
            requested_id
        };
        let ttl = Duration::from_secs(ttl_s.max(1));
        let expires_at = Instant::now() + ttl;
        self.leases.insert(id, Lease { ttl, expires_at });
        Ok(id)
    }

    /// Renews a lease; returns its TTL in seconds, 0 if it has expired.
    pub(super) fn keep_alive(
        &mut self,
        id: u64,
    ) -> u64 {
        self.leases.get_mut(&id).map_or(0, |lease| {
            lease.expires_at = Instant::now() + lease.ttl;
            lease.ttl.as_secs()
        })
    }

    pub(super) fn revoke(
        &mut self,
        id: u64,
    ) -> bool {
        let known = self.leases.remove(&id).is_some();
        let attached = self.entries.iter().filter(|(_, entry)| entry.lease == id);
        let keys: Vec<_> = attached.map(|(key, _)| key.clone()).collect();
        let revision = self.revision.max(1) + 1;
        for key in keys.into_iter().filter(|_| known) {
            self.delete(&key, revision);
        }
        known
    }

    /// Revokes the expired leases; returns whether there were any.
    pub(super) fn expire_leases(&mut self) -> bool {
        let now = Instant::now();
        let expired = self
            .leases
            .iter()
            .filter(|(_, lease)| lease.expires_at <= now);
        let expired: Vec<_> = expired.map(|(&id, _)| id).collect();
        let any = !expired.is_empty();
        for id in expired {
            self.revoke(id);
        }
        any
    }

    /// Resets every lease to its full TTL, as a new etcd leader does.
    pub(super) fn extend_leases(&mut self) {
        for lease in self.leases.values_mut() {
            lease.expires_at = Instant::now() + lease.ttl;
        }
    }

    fn check(
        &self,
        op: &Op,
    ) -> Result<(), &'static str> {
        match op {
            Op::Put(put) if put.value.0.len() > MAX_VALUE_BYTES => {
                Err("etcdserver: request is too large")
            }
            Op::Put(put) if put.lease.0 != 0 && !self.leases.contains_key(&put.lease.0) => {
                Err("etcdserver: requested lease not found")
            }
            _ => Ok(()),
        }
    }

    fn apply(
        &mut self,
        op: &Op,
        revision: u64,
    ) -> Value {
        match op {
            Op::Put(put) => {
                self.put(put, revision);
                json!({"response_put": {"header": self.header()}})
            }
            Op::Range(range) => json!({"response_range": self.range(range)}),
            Op::Delete(range) => {
                let keys: Vec<_> = self
                    .entries
                    .keys()
                    .filter(|key| range.contains(key))
                    .cloned()
                    .collect();
                for key in &keys {
                    self.delete(key, revision);
                }
                let mut answer = json!({"header": self.header()});
                if !keys.is_empty() {
                    answer["deleted"] = json!(keys.len().to_string());
                }
                json!({"response_delete_range": answer})
            }
        }
    }

    fn put(
        &mut self,
        put: &PutReq,
        revision: u64,
    ) {
        let old = self.entries.get(&put.key.0);
        let entry = Entry {
            value: put.value.0.clone(),
            create_revision: old.map_or(revision, |old| old.create_revision),
            mod_revision: revision,
            version: old.map_or(1, |old| old.version + 1),
            lease: put.lease.0,
        };
        self.revision = revision;
        self.entries.insert(put.key.0.clone(), entry.clone());
        self.changes.push(Change {
            revision,
            key: put.key.0.clone(),
            entry: Some(entry),
        });
    }

    fn delete(
        &mut self,
        key: &[u8],
        revision: u64,
    ) {
        self.revision = revision;
        self.entries.remove(key);
        self.changes.push(Change {
            revision,
            key: key.to_vec(),
            entry: None,
        });
    }

    fn compare(
        &self,
        compare: &CompareReq,
    ) -> bool {
        let entry = self.entries.get(&compare.key.0);
        let number = |field: fn(&Entry) -> u64, with: u64| entry.map_or(0, field).cmp(&with);
        let ordering = match compare.target.as_str() {
            "CREATE" => number(|entry| entry.create_revision, compare.create_revision.0),
            "MOD" => number(|entry| entry.mod_revision, compare.mod_revision.0),
            "VALUE" => match entry {
                Some(entry) => entry.value.cmp(&compare.value.0),
                None => return false,
            },
            _ => number(|entry| entry.version, compare.version.0),
        };
        match compare.result.as_str() {
            "GREATER" => ordering == Ordering::Greater,
            "LESS" => ordering == Ordering::Less,
            "NOT_EQUAL" => ordering != Ordering::Equal,
            _ => ordering == Ordering::Equal,
        }
    }
}

fn kv(
    key: &[u8],
    entry: &Entry,
    keys_only: bool,
) -> Value {
    let mut kv = json!({
        "key": Blob(key.to_vec()),
        "create_revision": entry.create_revision.to_string(),
        "mod_revision": entry.mod_revision.to_string(),
        "version": entry.version.to_string(),
    });
    if !keys_only {
        kv["value"] = json!(Blob(entry.value.clone()));
    }
    if entry.lease != 0 {
        kv["lease"] = json!(entry.lease.to_string());
    }
    kv
}

fn event(change: &Change) -> Value {
    match &change.entry {
        Some(entry) => json!({"kv": kv(&change.key, entry, false)}),
        None => json!({
            "type": "DELETE",
            "kv": {"key": Blob(change.key.clone()), "mod_revision": change.revision.to_string()},
        }),
    }
}
