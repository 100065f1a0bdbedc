use {
    super::{ApplyOutcome, ConfigReadError, ConfigReader, ConfigState, EditSubmitError},
    crate::clock::{MonotonicClock, unix_millis},
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

/// Limit for retrying an edit before an error is returned.
const SUBMIT_TIMEOUT: Millis = Millis(8_000);

/// Delay between reads that determine the outcome of a write.
const OUTCOME_READ_INTERVAL: Millis = Millis(200);

/// Writes operators' edits into the store.
///
/// The reply to a write can be lost after the write took effect. The outcome is then read from the
/// record of the target revision and the edit's id, so an edit is never applied twice and never
/// reported as rejected after it was applied.
pub struct EditWriter {
    store: Rc<dyn Store>,
    clock: MonotonicClock,
    state: Rc<ConfigState>,
    reader: Rc<ConfigReader>,
    submit_lock: Mutex<()>,
}

impl std::fmt::Debug for EditWriter {
    fn fmt(
        &self,
        f: &mut std::fmt::Formatter<'_>,
    ) -> std::fmt::Result {
        f.debug_struct("EditDesk").finish_non_exhaustive()
    }
}

/// Result of one attempt to write an edit.
enum Attempt {
    Accepted(AcceptedEdit),
    /// Another edit was written first: retry against the newer tree.
    Conflict,
}

impl EditWriter {
    /// Creates a writer for `store`.
    pub fn new(
        store: Rc<dyn Store>,
        clock: MonotonicClock,
        state: Rc<ConfigState>,
        reader: Rc<ConfigReader>,
    ) -> Self {
        Self {
            store,
            clock,
            state,
            reader,
            submit_lock: Mutex::new(()),
        }
    }

    /// Validates an edit against the newest tree, writes it and applies it.
    ///
    /// # Errors
    ///
    /// [`EditSubmitError`]; only after [`EditSubmitError::OutcomeUnknown`] may the edit have been written.
    pub async fn submit(
        &self,
        edit: &Edit,
    ) -> Result<AcceptedEdit, EditSubmitError> {
        let deadline = self.clock.now() + SUBMIT_TIMEOUT;
        // Serializes the edits of this VM, which would otherwise conflict in the store.
        let _guard = self.submit_lock.lock().await;
        while self.clock.now() < deadline {
            match self.attempt(edit, deadline).await? {
                Attempt::Accepted(accepted) => return Ok(accepted),
                Attempt::Conflict => {}
            }
        }
        // Every attempt lost to another edit, so nothing was written.
        Err(EditSubmitError::Unavailable(
            "too many concurrent edits".into(),
        ))
    }

    async fn attempt(
        &self,
        edit: &Edit,
        deadline: Millis,
    ) -> Result<Attempt, EditSubmitError> {
        self.reader.pull().await.map_err(|e| unavailable(&e))?;
        let head = self.reader.head().await.map_err(|e| unavailable(&e))?;
        let (current_tree, log) = self
            .state
            .tree()
            .ok_or_else(|| EditSubmitError::Unavailable("no configuration is loaded".into()))?;
        if let Some(accepted) = log.find_duplicate(edit)? {
            return Ok(Attempt::Accepted(accepted.clone()));
        }
        if head.head.revision != current_tree.revision() {
            return Ok(Attempt::Conflict);
        }
        let proposal = current_tree.propose(edit, &log, unix_millis())?;
        let write = plan(
            head.text.as_deref(),
            &current_tree,
            &proposal.tree,
            &proposal.accepted,
        )
        .map_err(|e| EditSubmitError::Unavailable(e.to_string()))?;
        let compare = match head.mod_revision {
            0 => Compare::Absent(HEAD_KEY.into()),
            revision => Compare::ModRevision(HEAD_KEY.into(), revision),
        };
        self.write(&proposal, to_txn(compare, write), deadline)
            .await
    }

    async fn write(
        &self,
        proposal: &Proposal,
        txn: Txn,
        deadline: Millis,
    ) -> Result<Attempt, EditSubmitError> {
        let mut is_outcome_unknown = false;
        loop {
            match self.store.txn(txn.clone()).await {
                Ok(reply) if reply.succeeded => return Ok(self.accept(&proposal.accepted)),
                // The head changed: by another edit, or by an earlier attempt of this one.
                Ok(_) => {}
                Err(StoreError::OutcomeUnknown(_)) => is_outcome_unknown = true,
                // This attempt was not executed, but an earlier one may still be in flight.
                Err(e) if is_outcome_unknown => {
                    return Err(EditSubmitError::OutcomeUnknown(e.to_string()));
                }
                Err(e) => return Err(EditSubmitError::Unavailable(e.to_string())),
            }
            match self.read_outcome(proposal, deadline).await? {
                WriteOutcome::AcceptedEdit => return Ok(self.accept(&proposal.accepted)),
                WriteOutcome::Superseded(_) => return Ok(Attempt::Conflict),
                WriteOutcome::Pending if self.clock.now() >= deadline => {
                    return Err(EditSubmitError::OutcomeUnknown(
                        "the store did not confirm the write".into(),
                    ));
                }
                // Retrying is safe: the compare on the head lets only one attempt succeed.
                WriteOutcome::Pending => {}
            }
        }
    }

    /// Determines the outcome of a write from the record of its target revision, with retries.
    async fn read_outcome(
        &self,
        proposal: &Proposal,
        deadline: Millis,
    ) -> Result<WriteOutcome, EditSubmitError> {
        let accepted = &proposal.accepted;
        loop {
            if let Ok(record) = self.reader.record(accepted.revision).await {
                return write_outcome(&accepted.edit.id, record.as_deref())
                    .map_err(|e| EditSubmitError::OutcomeUnknown(e.to_string()));
            }
            if self.clock.now() >= deadline {
                Line::new("edit_unsettled")
                    .with("edit", &accepted.edit.id)
                    .warn();
                return Err(EditSubmitError::OutcomeUnknown(
                    "the store could not be read to determine the outcome".into(),
                ));
            }
            sleep(OUTCOME_READ_INTERVAL.to_std()).await;
        }
    }

    fn accept(
        &self,
        accepted: &AcceptedEdit,
    ) -> Attempt {
        let applied = self.state.apply(accepted);
        Line::new("edit_accepted")
            .with("edit", &accepted.edit.id)
            .with("revision", accepted.revision)
            .with("author", &accepted.edit.author)
            .with("in_force", applied != ApplyOutcome::Gap)
            .info();
        Attempt::Accepted(accepted.clone())
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

fn unavailable(e: &ConfigReadError) -> EditSubmitError {
    EditSubmitError::Unavailable(e.to_string())
}
