use {
    super::{MemberRecord, Owner},
    crate::{clock::ChangeNotifier, store_keys},
    jasmine_core::{
        ids::{Fence, UpstreamId, VmId},
        membership::{
            EPOCH_KEY, EpochRecord, HOLDINGS_PREFIX, HoldingsRecord, RELEASED_PREFIX,
            ReleasedRecord, Versioned,
        },
    },
    jasmine_store::store::{KeyValue, WatchEvent},
    jasmine_telemetry::log::Line,
    serde::de::DeserializeOwned,
    std::collections::BTreeMap,
};

/// A local copy of the fleet state in the store, which may lag behind it.
#[derive(Clone, Debug, Default)]
pub struct FleetMirror {
    /// Members with a valid lease, by VM.
    pub members: BTreeMap<VmId, MemberRecord>,
    /// Engine owners by upstream.
    pub owners: BTreeMap<UpstreamId, Owner>,
    /// Current epoch of rights, if known.
    pub epoch: Option<Versioned<EpochRecord>>,
    /// Reports of holdings by store key.
    pub holdings: BTreeMap<String, HoldingsRecord>,
    /// Release records of stopped holders, by store key.
    pub released: BTreeMap<String, ReleasedRecord>,
    /// Raised on each change.
    pub changed: ChangeNotifier,
}

impl FleetMirror {
    /// Replaces the state with a complete read of the store.
    pub fn reset(
        &mut self,
        kvs: &[KeyValue],
    ) {
        self.members.clear();
        self.owners.clear();
        self.holdings.clear();
        self.released.clear();
        for kv in kvs {
            self.put(kv);
        }
        self.changed.raise();
    }

    /// Applies one change from the watch.
    pub fn apply(
        &mut self,
        event: &WatchEvent,
    ) {
        match event {
            WatchEvent::Put(kv) => self.put(kv),
            WatchEvent::Delete(kv) => self.delete(&kv.key),
        }
        self.changed.raise();
    }

    /// Replaces members and owners with those received from a peer.
    pub fn relay(
        &mut self,
        members: BTreeMap<VmId, MemberRecord>,
        owners: BTreeMap<UpstreamId, Owner>,
    ) {
        if self.members != members || self.owners != owners {
            self.members = members;
            self.owners = owners;
            self.changed.raise();
        }
    }

    /// Sets the epoch record if it is newer than the known one.
    pub fn set_epoch(
        &mut self,
        kv: &KeyValue,
    ) {
        let known = self.epoch.as_ref().map_or(0, |epoch| epoch.mod_revision);
        match parse::<EpochRecord>(kv) {
            Some(value) if kv.mod_revision > known => {
                self.epoch = Some(Versioned {
                    value,
                    mod_revision: kv.mod_revision,
                });
                self.changed.raise();
            }
            _ => {}
        }
    }

    fn put(
        &mut self,
        kv: &KeyValue,
    ) {
        let key = kv.key.as_str();
        match (store_keys::parse_member(key), store_keys::parse_owner(key)) {
            (Some(vm), _) => {
                if let Some(record) = parse(kv) {
                    self.members.insert(vm, record);
                }
            }
            (_, Some(upstream)) => {
                if let Some(record) = parse(kv) {
                    let fence = Fence(kv.mod_revision);
                    self.owners.insert(upstream, Owner { record, fence });
                }
            }
            _ if key == EPOCH_KEY => self.set_epoch(kv),
            _ if key.starts_with(HOLDINGS_PREFIX) => {
                if let Some(record) = parse(kv) {
                    self.holdings.insert(kv.key.clone(), record);
                }
            }
            _ if key.starts_with(RELEASED_PREFIX) => {
                if let Some(record) = parse(kv) {
                    self.released.insert(kv.key.clone(), record);
                }
            }
            _ => {}
        }
    }

    fn delete(
        &mut self,
        key: &str,
    ) {
        if let Some(vm) = store_keys::parse_member(key) {
            self.members.remove(&vm);
        }
        if let Some(upstream) = store_keys::parse_owner(key) {
            self.owners.remove(&upstream);
        }
        self.holdings.remove(key);
        self.released.remove(key);
    }
}

/// Parses a record; an invalid one is logged and skipped, so that it doesn't block the others.
fn parse<T>(kv: &KeyValue) -> Option<T>
where
    T: DeserializeOwned,
{
    serde_json::from_slice(&kv.value)
        .inspect_err(|e| {
            Line::new("record_not_understood")
                .with("key", &kv.key)
                .with("error", e)
                .warn();
        })
        .ok()
}
