use {
    super::{
        ChangeSource, ConfigOrigin, Feed, Membership,
        crash_evidence::{self, EVIDENCE_PREFIX},
        membership::{LAST_LEADER_KEY, LEADER_KEY, VM_PREFIX},
        quarantine::{self, QUARANTINE_PREFIX},
    },
    crate::{context::Context, streams::STREAM_BUILDS_PREFIX},
    jasmine_core::{
        clock::Millis, feed::may_have_lapsed, ingress::UpstreamEntry, quarantine::VerdictSource,
        scheduler::Announcement,
    },
    jasmine_platform::{
        configuration, entries, evacuations,
        versions::{self, AnnouncedVersion},
    },
    jasmine_store::store::{KeyValue, RangeReply, StoreError, WatchEvent},
    jasmine_telemetry::log::Line,
    std::{
        cell::{Cell, RefCell},
        collections::{BTreeSet, HashMap, HashSet},
        fmt::Display,
        rc::Rc,
    },
    tokio::{
        task::{spawn_local, yield_now},
        time::sleep,
    },
};

/// How long after a store outage an upstream with an expired entry stays in use, so that it can register again.
const REJOIN_TIMEOUT: Millis = Millis(2_300);

/// Age from which on a record about crashes, read as a change, counts as late.
///
/// Shorter than the time by which reports of one crash may differ.
const MIN_LATE_AGE: Millis = Millis(1_000);
/// Largest age of such a record: the store keeps no longer history.
const MAX_LATE_AGE: Millis = Millis(30_000);

/// Most changes applied before yielding to other tasks.
///
/// A thousand of them would delay requests by some ten milliseconds.
const MAX_CHANGES_PER_YIELD: usize = 32;

/// Where an item was read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Origin<'a> {
    /// In a full read of the store.
    FullRead,
    /// In a change, which came from here.
    Change(&'a ChangeSource),
}

impl Origin<'_> {
    const fn is_change(self) -> bool {
        matches!(self, Self::Change(_))
    }

    /// Its name in the log.
    const fn as_str(self) -> &'static str {
        match self {
            Self::FullRead => "FullRead",
            Self::Change(_) => "Change",
        }
    }

    fn source(self) -> ChangeSource {
        match self {
            Self::FullRead => ChangeSource::FullRead,
            Self::Change(source) => source.clone(),
        }
    }
}

/// Applies the store's content to configuration, scheduler and membership.
#[derive(Debug)]
pub(super) struct View {
    cx: Rc<Context>,
    membership: Rc<Membership>,
    feed: Rc<Feed>,
    upstreams: RefCell<HashMap<String, UpstreamEntry>>,
    /// Upstreams whose entries expired in a store outage, and when they are removed.
    expired: RefCell<HashMap<String, Millis>>,
    /// The data centres that are being evacuated.
    evacuated: RefCell<BTreeSet<String>>,
    /// When the store last recovered from an outage.
    recovered_at: Cell<Millis>,
    is_store_down: Cell<bool>,
    /// The upstreams found so far, while the store is being read.
    found: RefCell<HashSet<String>>,
    /// The revision of the first page of that read.
    read_from: Cell<u64>,
}

impl View {
    pub(super) fn new(
        cx: Rc<Context>,
        membership: Rc<Membership>,
        feed: Rc<Feed>,
    ) -> Self {
        Self {
            cx,
            membership,
            feed,
            upstreams: RefCell::default(),
            expired: RefCell::default(),
            evacuated: RefCell::default(),
            recovered_at: Cell::new(Millis::ZERO),
            is_store_down: Cell::new(false),
            found: RefCell::default(),
            read_from: Cell::new(0),
        }
    }

    /// Records that the store doesn't respond.
    pub(super) fn record_outage(
        &self,
        e: &StoreError,
    ) {
        if !self.is_store_down.replace(true) {
            Line::new("store_lost").with("reason", e).warn();
        }
    }

    /// Records that the store has responded.
    pub(super) fn record_store_response(&self) {
        let unanswered = self.feed.unanswered_for();
        self.feed.record_response();
        if self.is_store_down.replace(false) {
            let may_have_lapsed = may_have_lapsed(unanswered);
            Line::new("store_back")
                .with("unanswered_ms", unanswered)
                .with("entries_may_have_lapsed", may_have_lapsed)
                .info();
            if may_have_lapsed {
                self.set_recovered_at(self.cx.clock.now());
            }
        }
    }

    /// Records a recovery of the store that the followed VM has seen, `since` ago.
    pub(super) fn record_remote_recovery(
        &self,
        since: Millis,
    ) {
        let at = self.cx.clock.now() - since;
        if at > self.recovered_at.get() {
            self.set_recovered_at(at);
        }
    }

    fn set_recovered_at(
        &self,
        at: Millis,
    ) {
        self.recovered_at.set(at);
        self.feed.set_recovered_at(at);
    }

    /// Applies the first read of the store.
    pub(super) async fn reset(
        self: &Rc<Self>,
        reply: &RangeReply,
    ) {
        self.record_store_response();
        self.feed.reset(reply.revision);
        self.read_from.set(reply.revision);
        // Requests are served from the first configuration on, and may need the other VMs at once.
        self.put_vms(reply);
        for kvs in reply.kvs.chunks(MAX_CHANGES_PER_YIELD) {
            for kv in kvs.iter().filter(|kv| !kv.key.starts_with(VM_PREFIX)) {
                self.put(kv, Origin::FullRead);
            }
            yield_now().await;
        }
        if !reply.kvs.iter().any(|kv| kv.key == LEADER_KEY) {
            self.membership.remove_leader();
        }
        self.found.replace(HashSet::new());
        self.record_found(reply);
    }

    /// Applies a read of the whole store as the changes since `revision`, so that VMs which follow this one get them.
    pub(super) async fn update(
        self: &Rc<Self>,
        reply: &RangeReply,
        revision: u64,
    ) {
        let found: HashSet<&str> = reply.kvs.iter().map(|kv| kv.key.as_str()).collect();
        let known = self.known_keys().into_iter();
        let gone = known.filter(|key| !found.contains(key.as_str()));
        let deleted = gone.map(|key| {
            WatchEvent::Delete(KeyValue {
                key,
                mod_revision: reply.revision,
                ..KeyValue::default()
            })
        });
        // Of upstreams this VM may have read only a part, and skipped minor changes.
        let may_be_new =
            |kv: &&KeyValue| kv.mod_revision > revision || kv.key.starts_with(entries::PREFIX);
        let changed = reply.kvs.iter().filter(may_be_new);
        let mut events: Vec<WatchEvent> = changed.cloned().map(WatchEvent::Put).collect();
        events.sort_unstable_by_key(|event| {
            let (WatchEvent::Put(kv) | WatchEvent::Delete(kv)) = event;
            kv.mod_revision
        });
        events.extend(deleted);
        // Of keys that came and went in between nothing is known.
        self.feed.note_gap(revision, reply.revision);
        self.apply_all(&events, &ChangeSource::FullRead).await;
        self.set_read(reply);
    }

    /// The keys of all that this VM knows and the store may have deleted.
    fn known_keys(&self) -> Vec<String> {
        let local_scheduler = &self.cx.scheduling.local_scheduler;
        let upstreams = self.upstreams.borrow();
        let upstreams = upstreams
            .keys()
            .map(|id| format!("{}{id}", entries::PREFIX));
        let evacuated = self.evacuated.borrow();
        let evacuated = evacuated
            .iter()
            .map(|data_centre| format!("{}{data_centre}", evacuations::PREFIX));
        let quarantined = local_scheduler.stored_quarantine();
        let quarantined = quarantined.iter().map(quarantine::key_of);
        let writers = local_scheduler.evidence_writers().into_iter();
        let evidence = writers.map(|vm| format!("{EVIDENCE_PREFIX}{vm}"));
        let vms = self.membership.keys().into_iter();
        upstreams
            .chain(evacuated)
            .chain(quarantined)
            .chain(evidence)
            .chain([LEADER_KEY.to_owned()])
            .chain(vms)
            .collect()
    }

    /// Records that all upstreams have been read.
    fn set_read(
        &self,
        reply: &RangeReply,
    ) {
        self.cx.scheduling.set_partial_upstreams(false);
        self.membership.set_loaded();
        Line::new("store_read")
            .with("revision", reply.revision)
            .with("upstreams", self.upstreams.borrow().len())
            .with("vms", self.cx.scheduling.vms().len())
            .info();
    }

    /// Adds the VMs of the first read of the store.
    fn put_vms(
        &self,
        reply: &RangeReply,
    ) {
        let records = reply.kvs.iter().filter(|kv| kv.key.starts_with(VM_PREFIX));
        for kv in records {
            self.membership.set_vm(kv);
        }
        self.membership.publish_vms(&self.cx);
    }

    /// Applies a further page of upstreams, except those with later changes known.
    pub(super) async fn apply_page(
        self: &Rc<Self>,
        page: &RangeReply,
    ) {
        for kvs in page.kvs.chunks(MAX_CHANGES_PER_YIELD) {
            for kv in kvs {
                if self.feed.record_change(&WatchEvent::Put(kv.clone()), false) {
                    self.put(kv, Origin::FullRead);
                }
            }
            yield_now().await;
        }
        self.record_found(page);
    }

    /// Applies the configuration that was read by itself.
    pub(super) fn apply_config(
        &self,
        page: &RangeReply,
    ) {
        let found = page.kvs.iter().find(|kv| kv.key == configuration::KEY);
        if let Some(kv) = found
            && self.feed.record_change(&WatchEvent::Put(kv.clone()), true)
        {
            self.put(kv, Origin::Change(&ChangeSource::Question));
        }
    }

    /// Records the upstreams of a page; after the last page, removes those that weren't found.
    fn record_found(
        self: &Rc<Self>,
        page: &RangeReply,
    ) {
        let ids = page
            .kvs
            .iter()
            .filter_map(|kv| kv.key.strip_prefix(entries::PREFIX));
        self.found.borrow_mut().extend(ids.map(str::to_owned));
        self.cx.scheduling.set_partial_upstreams(page.more);
        if page.more {
            return;
        }
        let found = self.found.take();
        let known: Vec<String> = self.upstreams.borrow().keys().cloned().collect();
        for id in known.iter().filter(|&id| !found.contains(id)) {
            // It may have been added after its page was read.
            let key = format!("{}{id}", entries::PREFIX);
            if !self.feed.has_changed_since(&key, self.read_from.get()) {
                self.remove_upstream(id);
            }
        }
        self.set_read(page);
    }

    /// Applies changes, yielding to other tasks in between.
    pub(super) async fn apply_all(
        self: &Rc<Self>,
        events: &[WatchEvent],
        source: &ChangeSource,
    ) {
        for events in events.chunks(MAX_CHANGES_PER_YIELD) {
            for event in events {
                self.apply(event, Origin::Change(source));
            }
            if events.len() == MAX_CHANGES_PER_YIELD {
                yield_now().await;
            }
        }
    }

    /// Applies a change, unless a later one of its key was applied.
    fn apply(
        self: &Rc<Self>,
        event: &WatchEvent,
        origin: Origin<'_>,
    ) {
        match event {
            // Read on demand only.
            WatchEvent::Put(kv) | WatchEvent::Delete(kv)
                if kv.key.starts_with(STREAM_BUILDS_PREFIX) => {}
            WatchEvent::Put(kv) => match kv.key.strip_prefix(entries::PREFIX) {
                Some(id) => self.apply_upstream(id, kv, event, origin),
                None if self.feed.record_change(event, true) => self.put(kv, origin),
                None => {}
            },
            WatchEvent::Delete(kv) if self.feed.record_change(event, true) => self.delete(&kv.key),
            WatchEvent::Delete(_) => {}
        }
    }

    /// Applies a change of an upstream, as a minor one if only what the upstream holds has changed.
    ///
    /// Only the leader needs minor changes at once, and it reads the store itself.
    fn apply_upstream(
        &self,
        id: &str,
        kv: &KeyValue,
        event: &WatchEvent,
        origin: Origin<'_>,
    ) {
        match entries::decode(id, &kv.value) {
            Ok(entry) => {
                let is_major = !self.upstreams.borrow().get(id).is_some_and(|known| {
                    known.state == entry.state
                        && known.address == entry.address
                        && known.service == entry.service
                        && known.build == entry.build
                        && known.started_unix_ms == entry.started_unix_ms
                        && (known.is_warming_up() || !entry.is_warming_up())
                });
                if self.feed.record_change(event, is_major) {
                    self.put_upstream(entry, origin);
                }
            }
            Err(e) => {
                self.feed.record_change(event, true);
                log_unreadable(&kv.key, &e);
            }
        }
    }

    fn put(
        &self,
        kv: &KeyValue,
        origin: Origin<'_>,
    ) {
        if kv.key == configuration::KEY {
            match configuration::decode(&kv.value) {
                Ok(config) => {
                    let taken = ConfigOrigin {
                        source: origin.source(),
                        revision: kv.mod_revision,
                        taken_at: self.cx.clock.now(),
                    };
                    self.cx.set_config(config, taken);
                }
                Err(e) => log_unreadable(&kv.key, &e),
            }
        } else if let Some(id) = kv.key.strip_prefix(entries::PREFIX) {
            match entries::decode(id, &kv.value) {
                Ok(entry) => self.put_upstream(entry, origin),
                Err(e) => log_unreadable(&kv.key, &e),
            }
        } else if kv.key.starts_with(versions::PREFIX) {
            self.put_version(kv);
        } else if let Some(rest) = kv.key.strip_prefix(evacuations::PREFIX) {
            match evacuations::decode(rest) {
                Ok(data_centre) => self.begin_evacuation(data_centre, origin),
                Err(e) => log_unreadable(&kv.key, &e),
            }
        } else if let Some(name) = kv.key.strip_prefix(QUARANTINE_PREFIX) {
            self.add_quarantine(name);
        } else if let Some(vm) = kv.key.strip_prefix(EVIDENCE_PREFIX) {
            self.put_crash_evidence(vm, kv, origin);
        } else if kv.key == LEADER_KEY {
            self.membership.set_leader(&self.cx, kv);
        } else if kv.key == LAST_LEADER_KEY {
            self.membership.set_last_leader(kv);
        } else if kv.key.starts_with(VM_PREFIX) {
            self.membership.set_vm(kv);
            if origin.is_change() {
                self.membership.publish_vms(&self.cx);
            }
        }
    }

    fn delete(
        self: &Rc<Self>,
        key: &str,
    ) {
        if let Some(id) = key.strip_prefix(entries::PREFIX) {
            self.remove_upstream(id);
        } else if let Some(data_centre) = key.strip_prefix(evacuations::PREFIX) {
            self.end_evacuation(data_centre);
        } else if let Some(name) = key.strip_prefix(QUARANTINE_PREFIX) {
            self.remove_quarantine(name);
        } else if let Some(vm) = key.strip_prefix(EVIDENCE_PREFIX) {
            self.cx
                .scheduling
                .local_scheduler
                .forget_stored_evidence(vm);
        } else if key == LEADER_KEY {
            self.membership.remove_leader();
        } else if let Some(vm) = key.strip_prefix(VM_PREFIX) {
            self.membership.remove_vm(&self.cx, vm);
        }
    }

    fn put_upstream(
        &self,
        entry: UpstreamEntry,
        origin: Origin<'_>,
    ) {
        let mut upstreams = self.upstreams.borrow_mut();
        let known = upstreams.get(&entry.id);
        // A late write of an earlier run must not replace the entry of a restarted upstream.
        if known.is_some_and(|known| known.started_unix_ms > entry.started_unix_ms) {
            return;
        }
        // Upstreams found at startup are logged as one line by `record_found`.
        let is_change = known.map_or(origin.is_change(), |known| {
            known.state != entry.state || known.started_unix_ms != entry.started_unix_ms
        });
        if is_change {
            Line::new("upstream_seen")
                .with("upstream", &entry.id)
                .with("service", &entry.service)
                .with("address", entry.address)
                .with("build", &entry.build)
                .with("state", format!("{:?}", entry.state))
                .info();
        }
        self.expired.borrow_mut().remove(&entry.id);
        self.cx.scheduling.local_scheduler.set_upstream(&entry);
        upstreams.insert(entry.id.clone(), entry);
    }

    /// How an announcement became known that is being applied.
    ///
    /// One that this VM didn't know is newer than all that it has read, also in a full read after lost history.
    fn announcement(&self) -> Announcement {
        Announcement::after(self.feed.complete_at())
    }

    fn put_version(
        &self,
        kv: &KeyValue,
    ) {
        let announced = match versions::decode(&kv.value) {
            Ok(announced) => announced,
            Err(e) => return log_unreadable(&kv.key, &e),
        };
        let source = self.announcement();
        Line::new("version_announced")
            .with("model", &announced.model)
            .with("adapter", announced.adapter.as_deref().unwrap_or("-"))
            .with("version", announced.version)
            .with("revision", kv.mod_revision)
            .with("absent_ms", self.absent_for(source))
            .info();
        // Requests name a version of their adapter only; weights of a base model are loaded in their newest version.
        if let Some(adapter) = &announced.adapter {
            let local_scheduler = &self.cx.scheduling.local_scheduler;
            let AnnouncedVersion { model, version, .. } = &announced;
            local_scheduler.announce_version(model, adapter, *version, source);
        }
    }

    /// How long ago an announcement was known to be absent, for the log; `-` if that isn't known.
    fn absent_for(
        &self,
        source: Announcement,
    ) -> String {
        match source {
            Announcement::New { absent_at } => self.cx.clock.now().since(absent_at).to_string(),
            Announcement::Found => "-".to_owned(),
        }
    }

    fn begin_evacuation(
        &self,
        data_centre: &str,
        origin: Origin<'_>,
    ) {
        if !self.evacuated.borrow_mut().insert(data_centre.to_owned()) {
            return;
        }
        let is_known = self.cx.settings.regions.contains_key(data_centre);
        let source = self.announcement();
        Line::new("evacuation_begun")
            .with("data_centre", data_centre)
            .with("known", is_known)
            .with("source", origin.as_str())
            .with("absent_ms", self.absent_for(source))
            .info();
        let local_scheduler = &self.cx.scheduling.local_scheduler;
        local_scheduler.begin_evacuation(data_centre, source);
    }

    fn end_evacuation(
        &self,
        data_centre: &str,
    ) {
        if self.evacuated.borrow_mut().remove(data_centre) {
            Line::new("evacuation_ended")
                .with("data_centre", data_centre)
                .info();
            let local_scheduler = &self.cx.scheduling.local_scheduler;
            local_scheduler.end_evacuation(data_centre);
        }
    }

    fn add_quarantine(
        &self,
        name: &str,
    ) {
        let parts = match quarantine::decode(name) {
            Ok(parts) => parts,
            Err(e) => return log_unreadable(&format!("{QUARANTINE_PREFIX}{name}"), &e),
        };
        let local_scheduler = &self.cx.scheduling.local_scheduler;
        local_scheduler.note_stored_quarantine(parts.clone());
        local_scheduler.add_quarantine(parts, VerdictSource::Store);
    }

    /// Releases what the store no longer holds: its key was deleted by an operator, or by the leader.
    fn remove_quarantine(
        &self,
        name: &str,
    ) {
        let local_scheduler = &self.cx.scheduling.local_scheduler;
        if let Ok(parts) = quarantine::decode(name)
            && local_scheduler.note_unstored_quarantine(&parts)
        {
            local_scheduler.remove_quarantine(&parts, VerdictSource::Store);
        }
    }

    fn put_crash_evidence(
        &self,
        vm: &str,
        kv: &KeyValue,
        origin: Origin<'_>,
    ) {
        let scheduling = &self.cx.scheduling;
        match (crash_evidence::decode(&kv.value), origin) {
            (Ok((evidence, _)), Origin::Change(_)) if vm == scheduling.me() => scheduling
                .local_scheduler
                .note_stored_evidence(vm, evidence, Millis::ZERO),
            (Ok((evidence, age)), Origin::FullRead | Origin::Change(ChangeSource::FullRead)) => {
                scheduling.note_stored_evidence(vm, evidence, age);
            }
            (Ok((evidence, age)), Origin::Change(_)) => {
                scheduling.note_stored_evidence(vm, evidence, age_of_change(age));
            }
            (Err(e), _) => log_unreadable(&kv.key, &e),
        }
    }

    /// Removes an upstream whose entry is gone, after a delay if it may have expired in a store outage.
    fn remove_upstream(
        self: &Rc<Self>,
        id: &str,
    ) {
        if !self.upstreams.borrow().contains_key(id) {
            // It came and left between two answers, of which each has the last change of a key only.
            self.cx.scheduling.note_missed_upstreams();
        }
        let now = self.cx.clock.now();
        let until = self.recovered_at.get() + REJOIN_TIMEOUT;
        let has_recovered = self.recovered_at.get() > Millis::ZERO;
        if !has_recovered || now >= until {
            return self.drop_upstream(id, "entry removed");
        }
        self.expired.borrow_mut().insert(id.to_owned(), until);
        let view = Rc::clone(self);
        let id = id.to_owned();
        spawn_local(async move {
            sleep(until.since(now).to_std()).await;
            if view.expired.borrow().get(&id) == Some(&until) {
                view.expired.borrow_mut().remove(&id);
                view.drop_upstream(&id, "entry not renewed after a store outage");
            }
        });
    }

    /// Removes an upstream from the scheduler.
    fn drop_upstream(
        &self,
        id: &str,
        reason: &str,
    ) {
        if self.upstreams.borrow_mut().remove(id).is_some() {
            Line::new("upstream_gone")
                .with("upstream", id)
                .with("reason", reason)
                .info();
            self.cx.scheduling.local_scheduler.remove_upstream(id);
        }
    }
}

/// How long ago a change was written, by the time of day that it names.
///
/// One that comes at once counts as new, as the times of day of VMs differ.
fn age_of_change(stated: Millis) -> Millis {
    match stated {
        age if age < MIN_LATE_AGE => Millis::ZERO,
        age => age.min(MAX_LATE_AGE),
    }
}

fn log_unreadable<E>(
    key: &str,
    e: &E,
) where
    E: Display,
{
    Line::new("entry_unreadable")
        .with("key", key)
        .with("reason", e)
        .warn();
}
