use {
    super::{Applied, ConfigKeeper},
    crate::clock::OwnClock,
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

/// Shards or edits read in one call, so that no answer is over the store's limits.
const PAGE: u32 = 32;

/// Attempts to read a tree that moves while it is read.
const LOAD_ATTEMPTS: usize = 5;

/// Why the configuration could not be read.
#[derive(Debug)]
#[derive(derive_more::Display, derive_more::Error, derive_more::From)]
pub enum ConfigReadError {
    /// The store gave no usable answer.
    Store(StoreError),
    /// What stands there gives no tree.
    Layout(LayoutError),
}

/// The head as it was read.
#[derive(Clone, Debug)]
pub struct ReadHead {
    /// Its text; none when there is no head yet.
    pub text: Option<String>,
    /// The store's revision of its last write, zero when there is none.
    pub mod_revision: u64,
    /// What it says.
    pub head: Head,
}

/// Reads the configuration from the store into a keeper.
pub struct ConfigStore {
    store: Rc<dyn Store>,
    clock: OwnClock,
    keeper: Rc<ConfigKeeper>,
}

impl std::fmt::Debug for ConfigStore {
    fn fmt(
        &self,
        f: &mut std::fmt::Formatter<'_>,
    ) -> std::fmt::Result {
        f.debug_struct("ConfigStore").finish_non_exhaustive()
    }
}

impl ConfigStore {
    /// A reader of `store` for `keeper`.
    pub const fn new(
        store: Rc<dyn Store>,
        clock: OwnClock,
        keeper: Rc<ConfigKeeper>,
    ) -> Self {
        Self {
            store,
            clock,
            keeper,
        }
    }

    /// Brings the keeper up to what the store has, and notes that the store confirmed it.
    ///
    /// One read of the records after the newest one known: its answer is the next edits, or nothing,
    /// and then the store has confirmed that what is in force is the newest.
    ///
    /// # Errors
    ///
    /// [`ConfigReadError`] where the store gave no usable answer.
    pub async fn pull(&self) -> Result<(), ConfigReadError> {
        if !self.keeper.is_loaded() {
            return self.load().await;
        }
        loop {
            let sent = self.clock.now();
            let next = edit_key(self.keeper.revision().next());
            let range = Range::between(next, edits_end()).limit(PAGE);
            let reply = self.store.range(range).await?;
            for kv in &reply.kvs {
                if self.take(kv) == Applied::Gap {
                    return self.load().await;
                }
            }
            if !reply.more {
                self.keeper.confirm(sent);
                return Ok(());
            }
        }
    }

    /// Takes the record of an edit.
    pub fn take(
        &self,
        kv: &KeyValue,
    ) -> Applied {
        match serde_json::from_slice::<AcceptedEdit>(&kv.value) {
            Ok(accepted) => self.keeper.apply(&accepted),
            Err(e) => {
                Line::new("edit_not_understood")
                    .with("key", &kv.key)
                    .with("error", e)
                    .error();
                Applied::Gap
            }
        }
    }

    /// Reads the head.
    ///
    /// # Errors
    ///
    /// [`ConfigReadError`] where it can't be read.
    pub async fn head(&self) -> Result<ReadHead, ConfigReadError> {
        let reply = self.store.range(Range::key(HEAD_KEY)).await?;
        let kv = reply.kvs.into_iter().next();
        let mod_revision = kv.as_ref().map_or(0, |kv| kv.mod_revision);
        let text = kv.as_ref().map(text_of);
        let head = Head::read(text.as_deref())?;
        Ok(ReadHead {
            text,
            mod_revision,
            head,
        })
    }

    /// The record of the edit that made a revision, if one did.
    ///
    /// # Errors
    ///
    /// [`StoreError`] where the store gave no usable answer.
    pub async fn record(
        &self,
        revision: Revision,
    ) -> Result<Option<String>, StoreError> {
        let reply = self.store.range(Range::key(edit_key(revision))).await?;
        Ok(reply.kvs.first().map(text_of))
    }

    /// Reads the whole tree and puts it in force if it is newer.
    async fn load(&self) -> Result<(), ConfigReadError> {
        let mut attempt = 1;
        loop {
            let sent = self.clock.now();
            match self.read_whole().await {
                Ok(loaded) => {
                    let edits = loaded.log.newest_first().cloned().collect::<Vec<_>>();
                    self.keeper
                        .install(loaded.tree, edits.into_iter().rev().collect());
                    self.keeper.confirm(sent);
                    return Ok(());
                }
                Err(ConfigReadError::Layout(LayoutError::ShardMismatch { .. }))
                    if attempt < LOAD_ATTEMPTS =>
                {
                    attempt += 1;
                }
                Err(e) => return Err(e),
            }
        }
    }

    async fn read_whole(&self) -> Result<LoadedConfig, ConfigReadError> {
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
            let page = Range::between(start, end.clone()).limit(PAGE);
            let reply = self.store.range(page).await?;
            all.extend(reply.kvs);
            match all.last() {
                Some(last) if reply.more => start = format!("{}\0", last.key),
                _ => return Ok(all),
            }
        }
    }
}

/// The key after the records of all edits.
pub fn edits_end() -> String {
    Range::prefix(EDIT_PREFIX).end.unwrap_or_default()
}

fn text_of(kv: &KeyValue) -> String {
    String::from_utf8_lossy(&kv.value).into_owned()
}
