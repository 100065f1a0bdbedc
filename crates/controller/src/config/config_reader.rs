use {
    super::{ApplyOutcome, ConfigState},
    crate::clock::MonotonicClock,
    jasmine_conf::{
        store_layout::{
            EDIT_PREFIX, HEAD_KEY, Head, LayoutError, LoadedConfig, SHARD_PREFIX, edit_key, load,
        },
        tree::AcceptedEdit,
    },
    jasmine_core::ids::Revision,
    jasmine_store::store::{KeyValue, Range, Store, StoreError},
    jasmine_telemetry::log::Line,
    std::{collections::BTreeMap, rc::Rc},
};

/// Keys read per call, which keeps replies within the store's size limit.
const PAGE_KEYS: u32 = 32;

/// Attempts to read a consistent tree while it is being modified.
const MAX_LOAD_ATTEMPTS: usize = 5;

/// Why the configuration could not be read.
#[derive(Debug)]
#[derive(derive_more::Display, derive_more::Error, derive_more::From)]
pub enum ConfigReadError {
    /// The store returned no usable reply.
    Store(StoreError),
    /// The stored records do not form a valid tree.
    Layout(LayoutError),
}

/// The head record with its store revision.
#[derive(Clone, Debug)]
pub struct VersionedHead {
    /// Stored text; `None` before the first write.
    pub text: Option<String>,
    /// Store revision of its last write, zero before the first one.
    pub mod_revision: u64,
    /// The parsed head.
    pub head: Head,
}

/// Reads the configuration from the store and applies it.
pub struct ConfigReader {
    store: Rc<dyn Store>,
    clock: MonotonicClock,
    state: Rc<ConfigState>,
}

impl std::fmt::Debug for ConfigReader {
    fn fmt(
        &self,
        f: &mut std::fmt::Formatter<'_>,
    ) -> std::fmt::Result {
        f.debug_struct("ConfigStore").finish_non_exhaustive()
    }
}

impl ConfigReader {
    /// Creates a reader that applies what it reads from `store` to `state`.
    pub const fn new(
        store: Rc<dyn Store>,
        clock: MonotonicClock,
        state: Rc<ConfigState>,
    ) -> Self {
        Self {
            store,
            clock,
            state,
        }
    }

    /// Applies all newer edits from the store and marks the revision as confirmed.
    ///
    /// Reads the edits after the current revision; an empty reply confirms that it is the newest.
    ///
    /// # Errors
    ///
    /// [`ConfigReadError`] if the store returns no usable reply.
    pub async fn pull(&self) -> Result<(), ConfigReadError> {
        if !self.state.is_loaded() {
            return self.load().await;
        }
        loop {
            let sent = self.clock.now();
            let next = edit_key(self.state.revision().next());
            let range = Range::between(next, edit_range_end()).limit(PAGE_KEYS);
            let reply = self.store.range(range).await?;
            for kv in &reply.kvs {
                if self.take(kv) == ApplyOutcome::Gap {
                    return self.load().await;
                }
            }
            if !reply.more {
                self.state.confirm(sent);
                return Ok(());
            }
        }
    }

    /// Parses and applies the stored record of an edit.
    pub fn take(
        &self,
        kv: &KeyValue,
    ) -> ApplyOutcome {
        match serde_json::from_slice::<AcceptedEdit>(&kv.value) {
            Ok(accepted) => self.state.apply(&accepted),
            Err(e) => {
                Line::new("edit_not_understood")
                    .with("key", &kv.key)
                    .with("error", e)
                    .error();
                ApplyOutcome::Gap
            }
        }
    }

    /// Reads the head record.
    ///
    /// # Errors
    ///
    /// [`ConfigReadError`] if it can't be read or parsed.
    pub async fn head(&self) -> Result<VersionedHead, ConfigReadError> {
        let reply = self.store.range(Range::key(HEAD_KEY)).await?;
        let kv = reply.kvs.into_iter().next();
        let mod_revision = kv.as_ref().map_or(0, |kv| kv.mod_revision);
        let text = kv.as_ref().map(text_of);
        let head = Head::read(text.as_deref())?;
        Ok(VersionedHead {
            text,
            mod_revision,
            head,
        })
    }

    /// Reads the record of the edit that created a revision.
    ///
    /// # Errors
    ///
    /// [`StoreError`] if the store returns no usable reply.
    pub async fn record(
        &self,
        revision: Revision,
    ) -> Result<Option<String>, StoreError> {
        let reply = self.store.range(Range::key(edit_key(revision))).await?;
        Ok(reply.kvs.first().map(text_of))
    }

    /// Reads the full tree and installs it if it is newer.
    async fn load(&self) -> Result<(), ConfigReadError> {
        let mut attempt = 1;
        loop {
            let sent = self.clock.now();
            match self.read_snapshot().await {
                Ok(loaded) => {
                    let edits = loaded.log.newest_first().cloned().collect::<Vec<_>>();
                    self.state
                        .install(loaded.tree, edits.into_iter().rev().collect());
                    self.state.confirm(sent);
                    return Ok(());
                }
                Err(ConfigReadError::Layout(LayoutError::ShardMismatch { .. }))
                    if attempt < MAX_LOAD_ATTEMPTS =>
                {
                    attempt += 1;
                }
                Err(e) => return Err(e),
            }
        }
    }

    async fn read_snapshot(&self) -> Result<LoadedConfig, ConfigReadError> {
        let head = self.head().await?.head;
        let shards = self
            .read_all(Range::prefix(SHARD_PREFIX))
            .await?
            .iter()
            .map(|kv| (kv.key.clone(), text_of(kv)))
            .collect::<BTreeMap<_, _>>();
        let edits = Range::between(
            edit_key(head.first_edit_to_load()),
            edit_key(head.revision.next()),
        );
        let edits = self
            .read_all(edits)
            .await?
            .iter()
            .map(text_of)
            .collect::<Vec<_>>();
        Ok(load(&head, &shards, &edits)?)
    }

    async fn read_all(
        &self,
        range: Range,
    ) -> Result<Vec<KeyValue>, StoreError> {
        let end = range.end.clone().unwrap_or_default();
        let mut start = range.start;
        let mut all = Vec::new();
        loop {
            let page = Range::between(start, end.clone()).limit(PAGE_KEYS);
            let reply = self.store.range(page).await?;
            all.extend(reply.kvs);
            match all.last() {
                Some(last) if reply.more => start = format!("{}\0", last.key),
                _ => return Ok(all),
            }
        }
    }
}

/// Exclusive end of the key range of edit records.
pub fn edit_range_end() -> String {
    Range::prefix(EDIT_PREFIX).end.unwrap_or_default()
}

fn text_of(kv: &KeyValue) -> String {
    String::from_utf8_lossy(&kv.value).into_owned()
}
