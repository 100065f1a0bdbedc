use {
    super::{Applied, ConfigKeeper, ConfigReadError, ConfigStore, EditRefusal},
    crate::clock::{OwnClock, unix_millis},
    jasmine_conf::{
        store_layout::{HEAD_KEY, Transaction, WriteOutcome, plan, write_outcome},
        tree::{AcceptedEdit, Edit, Proposal},
    },
    jasmine_core::clock::Millis,
    jasmine_store::store::{Compare, Op, Range, Store, StoreError, Txn},
    jasmine_telemetry::log::Line,
    std::rc::Rc,
    tokio::{sync::Mutex, time::sleep},
};

/// How long an edit is tried before its sender is told what is known.
const PATIENCE: Millis = Millis(8_000);

/// The pause before a lost reply is looked into again.
const SETTLE_PAUSE: Millis = Millis(200);

/// Writes operators' edits into the store.
///
/// The reply to a write can be lost after it took effect. The edit's id and the record of the
/// revision it was to make tell afterwards what became of it, so an edit is never carried out twice
/// and never reported as refused when it is in force.
pub struct EditDesk {
    store: Rc<dyn Store>,
    clock: OwnClock,
    keeper: Rc<ConfigKeeper>,
    reader: Rc<ConfigStore>,
    turn: Mutex<()>,
}

impl std::fmt::Debug for EditDesk {
    fn fmt(
        &self,
        f: &mut std::fmt::Formatter<'_>,
    ) -> std::fmt::Result {
        f.debug_struct("EditDesk").finish_non_exhaustive()
    }
}

/// What one attempt came to.
enum Attempt {
    AcceptedEdit(AcceptedEdit),
    /// Somebody else's edit came first: check again against the newer tree.
    Overtaken,
}

impl EditDesk {
    /// A desk that writes into `store`.
    pub fn new(
        store: Rc<dyn Store>,
        clock: OwnClock,
        keeper: Rc<ConfigKeeper>,
        reader: Rc<ConfigStore>,
    ) -> Self {
        Self {
            store,
            clock,
            keeper,
            reader,
            turn: Mutex::new(()),
        }
    }

    /// Checks an edit against the newest tree and puts it in force.
    ///
    /// # Errors
    ///
    /// [`EditRefusal`]; only after [`EditRefusal::OutcomeUnknown`] may the edit be in force.
    pub async fn submit(
        &self,
        edit: &Edit,
    ) -> Result<AcceptedEdit, EditRefusal> {
        let until = self.clock.now() + PATIENCE;
        // Edits that reach one VM together would only run into one another at the store.
        let _turn = self.turn.lock().await;
        while self.clock.now() < until {
            match self.attempt(edit, until).await? {
                Attempt::AcceptedEdit(accepted) => return Ok(accepted),
                Attempt::Overtaken => {}
            }
        }
        // Each attempt so far was overtaken for certain.
        Err(EditRefusal::Unavailable("too many edits at once".into()))
    }

    async fn attempt(
        &self,
        edit: &Edit,
        until: Millis,
    ) -> Result<Attempt, EditRefusal> {
        self.reader.pull().await.map_err(|e| unavailable(&e))?;
        let head = self.reader.head().await.map_err(|e| unavailable(&e))?;
        let (before, log) = self
            .keeper
            .tree()
            .ok_or_else(|| EditRefusal::Unavailable("no configuration yet".into()))?;
        if let Some(accepted) = log.find_duplicate(edit)? {
            return Ok(Attempt::AcceptedEdit(accepted.clone()));
        }
        if head.head.revision != before.revision() {
            return Ok(Attempt::Overtaken);
        }
        let proposal = before.propose(edit, &log, unix_millis())?;
        let write = plan(
            head.text.as_deref(),
            &before,
            &proposal.tree,
            &proposal.accepted,
        )
        .map_err(|e| EditRefusal::Unavailable(e.to_string()))?;
        let compare = match head.mod_revision {
            0 => Compare::Absent(HEAD_KEY.into()),
            revision => Compare::ModRevision(HEAD_KEY.into(), revision),
        };
        self.write(&proposal, to_txn(compare, write), until).await
    }

    async fn write(
        &self,
        proposal: &Proposal,
        txn: Txn,
        until: Millis,
    ) -> Result<Attempt, EditRefusal> {
        let mut is_in_doubt = false;
        loop {
            match self.store.txn(txn.clone()).await {
                Ok(reply) if reply.succeeded => return Ok(self.accept(&proposal.accepted)),
                // The head moved on: by somebody else, or by this very edit sent before.
                Ok(_) => {}
                Err(StoreError::OutcomeUnknown(_)) => is_in_doubt = true,
                // This one was not done, but the one sent before may still be on its way.
                Err(e) if is_in_doubt => return Err(EditRefusal::OutcomeUnknown(e.to_string())),
                Err(e) => return Err(EditRefusal::Unavailable(e.to_string())),
            }
            match self.find_out(proposal, until).await? {
                WriteOutcome::AcceptedEdit => return Ok(self.accept(&proposal.accepted)),
                WriteOutcome::Superseded(_) => return Ok(Attempt::Overtaken),
                WriteOutcome::Pending if self.clock.now() >= until => {
                    return Err(EditRefusal::OutcomeUnknown(
                        "the store answers no write".into(),
                    ));
                }
                // Sending it again is safe: of the two only one finds the head that it compares.
                WriteOutcome::Pending => {}
            }
        }
    }

    /// Reads the record of the revision that the edit was to make, until it can be read.
    async fn find_out(
        &self,
        proposal: &Proposal,
        until: Millis,
    ) -> Result<WriteOutcome, EditRefusal> {
        let accepted = &proposal.accepted;
        loop {
            if let Ok(record) = self.reader.record(accepted.revision).await {
                return write_outcome(&accepted.edit.id, record.as_deref())
                    .map_err(|e| EditRefusal::OutcomeUnknown(e.to_string()));
            }
            if self.clock.now() >= until {
                Line::new("edit_unsettled")
                    .with("edit", &accepted.edit.id)
                    .warn();
                return Err(EditRefusal::OutcomeUnknown(
                    "the store can't be read".into(),
                ));
            }
            sleep(SETTLE_PAUSE.to_std()).await;
        }
    }

    fn accept(
        &self,
        accepted: &AcceptedEdit,
    ) -> Attempt {
        let applied = self.keeper.apply(accepted);
        Line::new("edit_accepted")
            .with("edit", &accepted.edit.id)
            .with("revision", accepted.revision)
            .with("author", &accepted.edit.author)
            .with("in_force", applied != Applied::Gap)
            .info();
        Attempt::AcceptedEdit(accepted.clone())
    }
}

fn to_txn(
    compare: Compare,
    write: Transaction,
) -> Txn {
    let puts = write
        .puts
        .into_iter()
        .map(|(key, value)| Op::put(key, value));
    let deletes = write
        .deletes
        .into_iter()
        .map(|key| Op::Delete(Range::key(key)));
    Txn {
        compare: vec![compare],
        success: puts.chain(deletes).collect(),
        failure: Vec::new(),
    }
}

fn unavailable(e: &ConfigReadError) -> EditRefusal {
    EditRefusal::Unavailable(e.to_string())
}
