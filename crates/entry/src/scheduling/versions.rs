//! Adapter versions: announcements, what VMs tell each other of them, and until when older ones may be begun.

use {
    super::{GenerationSpec, JobSpec, LocalScheduler, NewestSpec},
    jasmine_core::{
        clock::Millis,
        scheduler::{Announcement, NewestVersion},
    },
    jasmine_telemetry::log::Line,
    tokio::time::timeout,
};

impl LocalScheduler {
    /// Applies an operator's announcement of an adapter version.
    pub fn announce_version(
        &self,
        model: &str,
        adapter: &str,
        version: u32,
        how: Announcement,
    ) {
        let adapter = self.names.borrow_mut().adapter(model, adapter);
        let now = self.clock.now();
        let mut scheduler = self.scheduler.borrow_mut();
        scheduler.announce_version(adapter, version, how, now);
        self.versions_changed.send_modify(|count| *count += 1);
    }

    /// Adds what this VM knows of the newest version of a request's adapter.
    pub(super) fn add_newest_version(
        &self,
        spec: &mut GenerationSpec,
    ) {
        let adapter = spec.adapter.as_ref();
        let newest = adapter.and_then(|adapter| self.newest_version(&spec.model, adapter));
        let now = self.clock.now();
        spec.newest = newest.map(|NewestVersion { limit, .. }| NewestSpec {
            version: limit.version,
            older_for: limit.older_until.since(now),
        });
    }

    /// Learns the version that the VM of a request knows, if it is newer than those known here.
    pub(super) fn learn_version(
        &self,
        spec: &JobSpec,
    ) {
        let Some(spec) = &spec.generation else {
            return;
        };
        let (Some(adapter), Some(newest)) = (&spec.adapter, spec.newest) else {
            return;
        };
        let known = self.newest_version(&spec.model, adapter);
        if known.is_some_and(|known| known.limit.version > newest.version) {
            return;
        }
        if known.is_none_or(|known| known.limit.version < newest.version) {
            Line::new("version_learned")
                .with("model", &spec.model)
                .with("adapter", adapter)
                .with("version", newest.version)
                .info();
            // The other VM may know less of its age than this one: it is newer than all that this VM has read.
            let source = Announcement::after(self.complete_at.get());
            self.announce_version(&spec.model, adapter, newest.version, source);
        }
        let now = self.clock.now();
        let id = self.names.borrow_mut().adapter(&spec.model, adapter);
        let mut scheduler = self.scheduler.borrow_mut();
        scheduler.learn_version(id, newest.resolve(now), now);
    }

    /// Records that this VM has applied all announcements that the store held at `at`.
    pub fn set_complete_at(
        &self,
        at: Millis,
    ) {
        self.complete_at.set(self.complete_at.get().max(Some(at)));
    }

    /// The version that a request has to be sent with: the assigned one, or the newest if that may no longer be begun.
    pub(super) fn current_version(
        &self,
        spec: &JobSpec,
        assigned: Option<u32>,
    ) -> Option<u32> {
        let generation = spec.generation.as_ref()?;
        let adapter = generation.adapter.as_ref()?;
        let until = self.version_usable_until(&generation.model, adapter, assigned);
        match self.newest_version(&generation.model, adapter) {
            Some(newest) if until.is_some_and(|until| until <= self.clock.now()) => {
                Some(newest.limit.version)
            }
            _ => assigned,
        }
    }

    /// Until when requests may begin on a version of an adapter, `None` if this VM knows no newer one.
    pub fn version_usable_until(
        &self,
        model: &str,
        adapter: &str,
        version: Option<u32>,
    ) -> Option<Millis> {
        let adapter = self.names.borrow_mut().adapter(model, adapter);
        self.scheduler
            .borrow()
            .version_usable_until(adapter, version)
    }

    /// Waits until requests may no longer begin on a version of an adapter, as far as this VM knows.
    pub async fn version_expired(
        &self,
        model: &str,
        adapter: &str,
        version: Option<u32>,
    ) {
        let mut changed = self.versions_changed.subscribe();
        loop {
            changed.mark_unchanged();
            let now = self.clock.now();
            match self.version_usable_until(model, adapter, version) {
                Some(until) if until <= now => return,
                // Either way the limit is looked up again.
                Some(until) => drop(timeout(until.since(now).to_std(), changed.changed()).await),
                // The sender lives as long as this scheduler.
                None => drop(changed.changed().await),
            }
        }
    }

    /// The newest announced version of an adapter that this VM knows.
    pub fn newest_version(
        &self,
        model: &str,
        adapter: &str,
    ) -> Option<NewestVersion> {
        let adapter = self.names.borrow_mut().adapter(model, adapter);
        self.scheduler.borrow().newest_version(adapter)
    }
}
