use {
    super::Applied,
    crate::clock::{OwnClock, Signal},
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

/// Edits that are told one by one; who lacks more gets the whole tree.
const MOST_EDITS: u64 = 256;

/// Freshness of a configuration that the store has never confirmed.
const NEVER: Millis = Millis(u64::MAX / 2);

/// What somebody who asks for the configuration gets.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConfigReply {
    /// The revision in force here.
    pub revision: Revision,
    /// JSON of the edits or of the whole tree; empty when there is nothing newer.
    pub body: Arc<Vec<u8>>,
    /// Whether the body is the whole tree.
    pub full: bool,
    /// Time since the store confirmed the revision.
    pub fresh: Millis,
}

/// One revision with everything worked out from it.
#[derive(Debug)]
struct InForce {
    tree: Tree,
    fleet: Arc<Fleet>,
    log: EditLog,
    whole: RefCell<Option<Arc<Vec<u8>>>>,
}

/// The configuration in force on this VM.
///
/// Whatever arrives, from the store or from a peer, is taken only if it is newer. A peer that was cut
/// off, or an old reply that arrives late, therefore can't bring a withdrawn key back.
#[derive(Debug)]
pub struct ConfigKeeper {
    clock: OwnClock,
    in_force: RefCell<Option<InForce>>,
    confirmed: Cell<Option<Millis>>,
    gateway: Cell<Revision>,
    /// Raised with each new revision.
    pub changed: Signal,
}

impl ConfigKeeper {
    /// Nothing is in force yet.
    pub fn new(clock: OwnClock) -> Self {
        Self {
            clock,
            in_force: RefCell::new(None),
            confirmed: Cell::new(None),
            gateway: Cell::new(Revision(0)),
            changed: Signal::new(),
        }
    }

    /// Whether any configuration is in force.
    pub fn is_loaded(&self) -> bool {
        self.in_force.borrow().is_some()
    }

    /// The revision in force, zero when there is none.
    pub fn revision(&self) -> Revision {
        self.in_force
            .borrow()
            .as_ref()
            .map_or(Revision(0), |in_force| in_force.tree.revision())
    }

    /// The resolved configuration.
    pub fn fleet(&self) -> Option<Arc<Fleet>> {
        let in_force = self.in_force.borrow();
        in_force
            .as_ref()
            .map(|in_force| Arc::clone(&in_force.fleet))
    }

    /// The tree and the newest edits; copies are cheap.
    pub fn tree(&self) -> Option<(Tree, EditLog)> {
        let in_force = self.in_force.borrow();
        in_force
            .as_ref()
            .map(|in_force| (in_force.tree.clone(), in_force.log.clone()))
    }

    /// The name of an adapter version's weights in the weight store.
    pub fn weights(
        &self,
        adapter: AdapterVersion,
    ) -> Option<String> {
        let fleet = self.fleet()?;
        let found = fleet.adapters.get(adapter.adapter)?;
        let version = found.versions.get(&adapter.version)?;
        Some(version.weights.clone())
    }

    /// Time since the store confirmed, to this controller or to one it heard from, what is in force.
    pub fn fresh(&self) -> Millis {
        match self.confirmed.get() {
            Some(at) => self.clock.now().since(at),
            None => NEVER,
        }
    }

    /// Notes that the store had nothing newer at the time `at` of this process's own clock.
    pub fn confirm(
        &self,
        at: Millis,
    ) {
        if self.is_loaded() && self.confirmed.get().is_none_or(|known| known < at) {
            self.confirmed.set(Some(at));
        }
    }

    /// The revision in force at the gateway beside this controller.
    pub const fn gateway_revision(&self) -> Revision {
        self.gateway.get()
    }

    /// Notes which revision the gateway beside this controller has.
    pub fn note_gateway(
        &self,
        revision: Revision,
    ) {
        self.gateway.set(revision);
    }

    /// Puts a whole tree in force if it is newer; `edits` are those that led to it, if known.
    pub fn install(
        &self,
        tree: Tree,
        edits: Vec<AcceptedEdit>,
    ) -> Applied {
        if self.is_loaded() && tree.revision() <= self.revision() {
            return Applied::Old;
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
        self.in_force.replace(Some(InForce {
            tree,
            fleet,
            log,
            whole: RefCell::new(None),
        }));
        Line::new("config_in_force")
            .with("revision", revision)
            .with("whole", true)
            .info();
        self.changed.raise();
        Applied::Yes
    }

    /// Puts one edit in force if it is the next.
    pub fn apply(
        &self,
        accepted: &AcceptedEdit,
    ) -> Applied {
        let mut in_force = self.in_force.borrow_mut();
        let Some(in_force) = in_force.as_mut() else {
            return Applied::Gap;
        };
        let have = in_force.tree.revision();
        match accepted.revision {
            revision if revision <= have => return Applied::Old,
            revision if revision > have.next() => return Applied::Gap,
            _ => {}
        }
        let Ok(changes) = in_force.tree.apply(accepted) else {
            return Applied::Gap;
        };
        in_force
            .tree
            .refresh(Arc::make_mut(&mut in_force.fleet), &changes);
        in_force.log.push(Arc::new(accepted.clone()));
        in_force.whole.replace(None);
        Line::new("config_in_force")
            .with("revision", accepted.revision)
            .with("edit", &accepted.edit.id)
            .info();
        self.changed.raise();
        Applied::Yes
    }

    /// Puts in force what a peer has told, if it is newer.
    pub fn take_body(
        &self,
        body: &[u8],
        full: bool,
    ) -> Applied {
        if full {
            return match serde_json::from_slice::<TreeBody>(body) {
                Ok(tree) => self.install(Tree::from(tree), Vec::new()),
                Err(e) => refuse_body(&e),
            };
        }
        match serde_json::from_slice::<EditsBody>(body) {
            Ok(edits) => edits
                .edits
                .iter()
                .map(|edit| self.apply(edit))
                .find(|applied| *applied == Applied::Gap)
                .unwrap_or(Applied::Yes),
            Err(e) => refuse_body(&e),
        }
    }

    /// What somebody who has the revision `have` lacks.
    ///
    /// Revision zero stands for nothing at all, so whoever has it gets the whole tree.
    pub fn reply(
        &self,
        have: Revision,
    ) -> ConfigReply {
        let fresh = self.fresh();
        let in_force = self.in_force.borrow();
        let (revision, body, full) = match in_force.as_ref() {
            None => (Revision(0), Arc::default(), false),
            Some(in_force) if have >= in_force.tree.revision() && have != Revision(0) => {
                (in_force.tree.revision(), Arc::default(), false)
            }
            Some(in_force) => {
                let (body, full) = in_force.body_for(have);
                (in_force.tree.revision(), body, full)
            }
        };
        ConfigReply {
            revision,
            body,
            full,
            fresh,
        }
    }
}

impl InForce {
    fn body_for(
        &self,
        have: Revision,
    ) -> (Arc<Vec<u8>>, bool) {
        let missing = self.tree.revision().0.saturating_sub(have.0);
        let edits = self
            .log
            .since(have)
            .filter(|_| have != Revision(0) && missing <= MOST_EDITS);
        match edits {
            Some(edits) => {
                let body = EditsBody {
                    edits: edits.cloned().collect(),
                };
                let json = serde_json::to_vec(&body).unwrap_or_default();
                (Arc::new(json), false)
            }
            None => (self.whole_body(), true),
        }
    }

    /// The whole tree as JSON, made once a revision: many VMs may ask for it at the same time.
    fn whole_body(&self) -> Arc<Vec<u8>> {
        let mut whole = self.whole.borrow_mut();
        let body = whole.get_or_insert_with(|| {
            let body = TreeBody::from(&self.tree);
            Arc::new(serde_json::to_vec(&body).unwrap_or_default())
        });
        Arc::clone(body)
    }
}

fn refuse_body(e: &serde_json::Error) -> Applied {
    Line::new("config_body_not_understood")
        .with("error", e)
        .warn();
    Applied::Gap
}
