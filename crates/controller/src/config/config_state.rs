use {
    super::ApplyOutcome,
    crate::clock::{ChangeNotifier, MonotonicClock},
    jasmine_conf::{
        fleet::Fleet,
        tree::{AcceptedEdit, EditLog, EditsBody, Tree, TreeBody},
    },
    jasmine_core::{
        clock::Millis,
        ids::{AdapterVersion, Revision},
    },
    jasmine_telemetry::log::Line,
    std::{
        cell::{Cell, RefCell},
        sync::Arc,
    },
};

/// Most edits sent in one reply; a requester that misses more gets the full tree.
const MAX_EDITS_PER_REPLY: u64 = 256;

/// Age reported while the store has never confirmed the configuration.
const NEVER_CONFIRMED_AGE: Millis = Millis(u64::MAX / 2);

/// Reply to a request for the configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConfigReply {
    /// Current revision of this controller.
    pub revision: Revision,
    /// JSON of the missing edits or of the full tree; empty when there is nothing newer.
    pub body: Arc<Vec<u8>>,
    /// Whether the body is the full tree.
    pub full: bool,
    /// Time since the store confirmed the revision.
    pub confirmed_age: Millis,
}

/// One revision with the state derived from it.
#[derive(Debug)]
struct CurrentConfig {
    tree: Tree,
    fleet: Arc<Fleet>,
    log: EditLog,
    cached_body: RefCell<Option<Arc<Vec<u8>>>>,
}

/// Current configuration of this VM.
///
/// Edits and trees from the store or from a peer are applied only if they are newer, so a partitioned
/// peer or a late reply can't restore a revoked key.
#[derive(Debug)]
pub struct ConfigState {
    clock: MonotonicClock,
    current: RefCell<Option<CurrentConfig>>,
    confirmed: Cell<Option<Millis>>,
    gateway: Cell<Revision>,
    /// Raised on each new revision.
    pub changed: ChangeNotifier,
}

impl ConfigState {
    /// Creates a state without a configuration.
    pub fn new(clock: MonotonicClock) -> Self {
        Self {
            clock,
            current: RefCell::new(None),
            confirmed: Cell::new(None),
            gateway: Cell::new(Revision(0)),
            changed: ChangeNotifier::new(),
        }
    }

    /// Whether a configuration has been loaded.
    pub fn is_loaded(&self) -> bool {
        self.current.borrow().is_some()
    }

    /// Current revision, zero when no configuration is loaded.
    pub fn revision(&self) -> Revision {
        self.current
            .borrow()
            .as_ref()
            .map_or(Revision(0), |current| current.tree.revision())
    }

    /// The resolved configuration.
    pub fn fleet(&self) -> Option<Arc<Fleet>> {
        let current = self.current.borrow();
        current.as_ref().map(|current| Arc::clone(&current.fleet))
    }

    /// The tree and the newest edits; cloning them is cheap.
    pub fn tree(&self) -> Option<(Tree, EditLog)> {
        let current = self.current.borrow();
        current
            .as_ref()
            .map(|current| (current.tree.clone(), current.log.clone()))
    }

    /// Name of an adapter version's weights in the weight store.
    pub fn weights(
        &self,
        adapter: AdapterVersion,
    ) -> Option<String> {
        let fleet = self.fleet()?;
        let found = fleet.adapters.get(adapter.adapter)?;
        let version = found.versions.get(&adapter.version)?;
        Some(version.weights.clone())
    }

    /// Time since the store confirmed the current revision, to this controller or to a polled peer.
    pub fn confirmed_age(&self) -> Millis {
        match self.confirmed.get() {
            Some(at) => self.clock.now().since(at),
            None => NEVER_CONFIRMED_AGE,
        }
    }

    /// Records that the store had nothing newer at `at`, on this process's clock.
    pub fn confirm(
        &self,
        at: Millis,
    ) {
        if self.is_loaded() && self.confirmed.get().is_none_or(|known| known < at) {
            self.confirmed.set(Some(at));
        }
    }

    /// Revision that the gateway on this VM uses.
    pub const fn gateway_revision(&self) -> Revision {
        self.gateway.get()
    }

    /// Records the revision that the gateway on this VM uses.
    pub fn note_gateway(
        &self,
        revision: Revision,
    ) {
        self.gateway.set(revision);
    }

    /// Installs a full tree if it is newer; `edits` are the edits that led to it, if known.
    pub fn install(
        &self,
        tree: Tree,
        edits: Vec<AcceptedEdit>,
    ) -> ApplyOutcome {
        if self.is_loaded() && tree.revision() <= self.revision() {
            return ApplyOutcome::Stale;
        }
        let revision = tree.revision();
        let mut log = EditLog::new(
            edits
                .first()
                .map_or(revision, |edit| Revision(edit.revision.0.saturating_sub(1))),
        );
        let has_gap = edits.into_iter().any(|edit| !log.push(Arc::new(edit)));
        if has_gap || log.newest() != revision {
            log = EditLog::new(revision);
        }
        let fleet = Arc::new(tree.resolve());
        self.current.replace(Some(CurrentConfig {
            tree,
            fleet,
            log,
            cached_body: RefCell::new(None),
        }));
        Line::new("config_in_force")
            .with("revision", revision)
            .with("whole", true)
            .info();
        self.changed.raise();
        ApplyOutcome::Applied
    }

    /// Applies one edit if it is the next revision.
    pub fn apply(
        &self,
        accepted: &AcceptedEdit,
    ) -> ApplyOutcome {
        let mut current = self.current.borrow_mut();
        let Some(current) = current.as_mut() else {
            return ApplyOutcome::Gap;
        };
        let have = current.tree.revision();
        match accepted.revision {
            revision if revision <= have => return ApplyOutcome::Stale,
            revision if revision > have.next() => return ApplyOutcome::Gap,
            _ => {}
        }
        let Ok(changes) = current.tree.apply(accepted) else {
            return ApplyOutcome::Gap;
        };
        current
            .tree
            .refresh(Arc::make_mut(&mut current.fleet), &changes);
        current.log.push(Arc::new(accepted.clone()));
        current.cached_body.replace(None);
        Line::new("config_in_force")
            .with("revision", accepted.revision)
            .with("edit", &accepted.edit.id)
            .info();
        self.changed.raise();
        ApplyOutcome::Applied
    }

    /// Applies the body of a peer's reply if it is newer.
    pub fn apply_body(
        &self,
        body: &[u8],
        full: bool,
    ) -> ApplyOutcome {
        if full {
            return match serde_json::from_slice::<TreeBody>(body) {
                Ok(tree) => self.install(Tree::from(tree), Vec::new()),
                Err(e) => reject_body(&e),
            };
        }
        match serde_json::from_slice::<EditsBody>(body) {
            Ok(edits) => edits
                .edits
                .iter()
                .map(|edit| self.apply(edit))
                .find(|applied| *applied == ApplyOutcome::Gap)
                .unwrap_or(ApplyOutcome::Applied),
            Err(e) => reject_body(&e),
        }
    }

    /// Builds the reply for a requester that has revision `have`.
    ///
    /// Revision zero means that the requester has no configuration, so it gets the full tree.
    pub fn reply(
        &self,
        have: Revision,
    ) -> ConfigReply {
        let confirmed_age = self.confirmed_age();
        let current = self.current.borrow();
        let (revision, body, full) = match current.as_ref() {
            None => (Revision(0), Arc::default(), false),
            Some(current) if have >= current.tree.revision() && have != Revision(0) => {
                (current.tree.revision(), Arc::default(), false)
            }
            Some(current) => {
                let (body, full) = current.body_since(have);
                (current.tree.revision(), body, full)
            }
        };
        ConfigReply {
            revision,
            body,
            full,
            confirmed_age,
        }
    }
}

impl CurrentConfig {
    fn body_since(
        &self,
        have: Revision,
    ) -> (Arc<Vec<u8>>, bool) {
        let missing = self.tree.revision().0.saturating_sub(have.0);
        let edits = self
            .log
            .since(have)
            .filter(|_| have != Revision(0) && missing <= MAX_EDITS_PER_REPLY);
        match edits {
            Some(edits) => {
                let body = EditsBody {
                    edits: edits.cloned().collect(),
                };
                let json = serde_json::to_vec(&body).unwrap_or_default();
                (Arc::new(json), false)
            }
            None => (self.full_body(), true),
        }
    }

    /// The full tree as JSON, cached per revision because many VMs may request it at once.
    fn full_body(&self) -> Arc<Vec<u8>> {
        let mut cached_body = self.cached_body.borrow_mut();
        let body = cached_body.get_or_insert_with(|| {
            let body = TreeBody::from(&self.tree);
            Arc::new(serde_json::to_vec(&body).unwrap_or_default())
        });
        Arc::clone(body)
    }
}

fn reject_body(e: &serde_json::Error) -> ApplyOutcome {
    Line::new("config_body_not_understood")
        .with("error", e)
        .warn();
    ApplyOutcome::Gap
}
