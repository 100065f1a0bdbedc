use {
    super::{
        KvStore, Membership,
        membership::{LEADER_KEY, VM_PREFIX},
    },
    crate::context::Context,
    futures::StreamExt,
    jasmine_core::{clock::Millis, ingress::UpstreamEntry, scheduler::Announcement},
    jasmine_platform::{configuration, entries, versions},
    jasmine_store::store::{KeyValue, Range, RangeReply, Store, StoreError, WatchEvent},
    jasmine_telemetry::log::Line,
    std::{
        cell::{Cell, RefCell},
        collections::HashMap,
        rc::Rc,
    },
    tokio::{task::spawn_local, time::sleep},
};

/// All keys: the operator's, the upstreams' and our own. One watch over all of them is one call.
const EVERYTHING: &str = "";
/// The pause after a watch that brought something, in percent of the time in which a change has to be in force:
/// changes come in bursts, each call has its price, and a slow store takes some hundred milliseconds besides.
const PAUSE_PERCENT: u64 = 32;
/// The pause after a failed call.
const RETRY: Millis = Millis(150);
/// For how long after the store is back an upstream whose entry has lapsed is still used: those that live have
/// written again by then.
const REJOIN: Millis = Millis(2_300);

/// What was read of the upstreams' entries.
#[derive(Debug)]
struct View {
    cx: Rc<Context>,
    membership: Rc<Membership>,
    upstreams: RefCell<HashMap<String, UpstreamEntry>>,
    /// Entries that went while the store was away, and when they do count as gone.
    lapsed: RefCell<HashMap<String, Millis>>,
    /// When the store answered again after it had not.
    back_at: Cell<Millis>,
    is_away: Cell<bool>,
}

/// Follows the store for ever: configuration, versions, upstreams, VMs and leader.
pub async fn follow(
    cx: Rc<Context>,
    store: KvStore,
    membership: Rc<Membership>,
) {
    let view = Rc::new(View {
        cx,
        membership,
        upstreams: RefCell::default(),
        lapsed: RefCell::default(),
        back_at: Cell::new(Millis::ZERO),
        is_away: Cell::new(false),
    });
    loop {
        let result = match load(&store).await {
            Ok(reply) => {
                let revision = reply.revision;
                view.reset(&reply);
                watch(&view, &store, revision).await
            }
            Err(e) => Err(e),
        };
        if let Err(e) = result {
            view.note_away(&e);
            sleep(RETRY.to_std()).await;
        }
    }
}

async fn load(store: &KvStore) -> Result<RangeReply, StoreError> {
    store.range(Range::key(EVERYTHING)).await
}

/// Follows from a revision on, until the store no longer has what comes after it.
async fn watch(
    view: &Rc<View>,
    store: &KvStore,
    revision: u64,
) -> Result<(), StoreError> {
    let mut next = revision + 1;
    loop {
        let mut batches = store.watch(Range::key(EVERYTHING), next).await?;
        while let Some(batch) = batches.next().await {
            let batch = match batch {
                Ok(batch) => batch,
                Err(e) => {
                    view.note_away(&e);
                    sleep(RETRY.to_std()).await;
                    break;
                }
            };
            view.note_back();
            if batch.compacted.is_some() {
                Line::new("history_lost").with("revision", next).warn();
                return Ok(());
            }
            next = next.max(batch.revision + 1);
            for event in &batch.events {
                view.take(event);
            }
            if !batch.events.is_empty() {
                let pause = view.cx.settings.change_ms.0 * PAUSE_PERCENT / 100;
                sleep(Millis(pause).to_std()).await;
            }
        }
    }
}

impl View {
    fn note_away(
        &self,
        e: &StoreError,
    ) {
        if !self.is_away.replace(true) {
            Line::new("store_lost").with("reason", e).warn();
        }
    }

    fn note_back(&self) {
        if self.is_away.replace(false) {
            Line::new("store_back").info();
            self.back_at.set(self.cx.clock.now());
        }
    }

    /// Takes the whole content in place of what was known.
    fn reset(
        self: &Rc<Self>,
        reply: &RangeReply,
    ) {
        self.note_back();
        for kv in &reply.kvs {
            self.put(kv, Announcement::Found);
        }
        let has = |key: &str| reply.kvs.iter().any(|kv| kv.key == key);
        let known: Vec<String> = self.upstreams.borrow().keys().cloned().collect();
        for id in known {
            if !has(&format!("{}{id}", entries::PREFIX)) {
                self.remove_upstream(&id);
            }
        }
        let vms: Vec<&str> = reply
            .kvs
            .iter()
            .filter_map(|kv| kv.key.strip_prefix(VM_PREFIX))
            .collect();
        self.membership.retain_vms(&self.cx, &vms);
        if !has(LEADER_KEY) {
            self.membership.remove_leader();
        }
        self.membership.set_loaded();
    }

    fn take(
        self: &Rc<Self>,
        event: &WatchEvent,
    ) {
        match event {
            WatchEvent::Put(kv) => self.put(kv, Announcement::New),
            WatchEvent::Delete(kv) => self.delete(&kv.key),
        }
    }

    fn put(
        &self,
        kv: &KeyValue,
        how: Announcement,
    ) {
        if kv.key == configuration::KEY {
            match configuration::decode(&kv.value) {
                Ok(config) => self.cx.set_config(config),
                Err(e) => unreadable(&kv.key, &e),
            }
        } else if let Some(id) = kv.key.strip_prefix(entries::PREFIX) {
            self.put_upstream(id, kv);
        } else if kv.key.starts_with(versions::PREFIX) {
            self.put_version(kv, how);
        } else if kv.key == LEADER_KEY {
            self.membership.set_leader(&self.cx, kv);
        } else if kv.key.starts_with(VM_PREFIX) {
            self.membership.set_vm(&self.cx, kv);
        }
    }

    fn delete(
        self: &Rc<Self>,
        key: &str,
    ) {
        if let Some(id) = key.strip_prefix(entries::PREFIX) {
            self.remove_upstream(id);
        } else if key == LEADER_KEY {
            self.membership.remove_leader();
        } else if let Some(vm) = key.strip_prefix(VM_PREFIX) {
            self.membership.remove_vm(&self.cx, vm);
        }
    }

    fn put_upstream(
        &self,
        id: &str,
        kv: &KeyValue,
    ) {
        let entry = match entries::decode(id, &kv.value) {
            Ok(entry) => entry,
            Err(e) => return unreadable(&kv.key, &e),
        };
        let mut upstreams = self.upstreams.borrow_mut();
        let known = upstreams.get(id);
        // A restart has a later start; what an earlier run wrote may still arrive after it.
        if known.is_some_and(|known| known.started_unix_ms > entry.started_unix_ms) {
            return;
        }
        if known.is_none_or(|known| known.state != entry.state) {
            Line::new("upstream_seen")
                .with("upstream", id)
                .with("service", &entry.service)
                .with("address", entry.address)
                .with("state", format!("{:?}", entry.state))
                .info();
        }
        self.lapsed.borrow_mut().remove(id);
        self.cx.scheduling.desk.set_upstream(&entry);
        upstreams.insert(id.to_owned(), entry);
    }

    fn put_version(
        &self,
        kv: &KeyValue,
        how: Announcement,
    ) {
        match versions::decode(&kv.value) {
            Ok(announced) => {
                if let Some(adapter) = &announced.adapter {
                    let desk = &self.cx.scheduling.desk;
                    desk.announce_version(&announced.model, adapter, announced.version, how);
                    Line::new("version_announced")
                        .with("adapter", adapter)
                        .with("version", announced.version)
                        .info();
                }
            }
            Err(e) => unreadable(&kv.key, &e),
        }
    }

    /// An entry is gone. Entries lapse while the store is away, though their upstreams live; those are used
    /// for a while longer, or callers would be refused for a fault of the store's.
    fn remove_upstream(
        self: &Rc<Self>,
        id: &str,
    ) {
        let now = self.cx.clock.now();
        let until = self.back_at.get() + REJOIN;
        let has_been_away = self.back_at.get() > Millis::ZERO;
        if !has_been_away || now >= until {
            return self.forget(id, "entry gone");
        }
        self.lapsed.borrow_mut().insert(id.to_owned(), until);
        let view = Rc::clone(self);
        let id = id.to_owned();
        spawn_local(async move {
            sleep(until.since(now).to_std()).await;
            if view.lapsed.borrow().get(&id) == Some(&until) {
                view.lapsed.borrow_mut().remove(&id);
                view.forget(&id, "entry didn't come back");
            }
        });
    }

    fn forget(
        &self,
        id: &str,
        reason: &str,
    ) {
        if self.upstreams.borrow_mut().remove(id).is_some() {
            Line::new("upstream_gone")
                .with("upstream", id)
                .with("reason", reason)
                .info();
            self.cx.scheduling.desk.remove_upstream(id);
        }
    }
}

fn unreadable(
    key: &str,
    e: &jasmine_platform::DecodeError,
) {
    Line::new("entry_unreadable")
        .with("key", key)
        .with("reason", e)
        .warn();
}
