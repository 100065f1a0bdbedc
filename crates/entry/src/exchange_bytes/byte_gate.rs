use {
    super::ByteHold,
    crate::clock::Clock,
    jasmine_core::{
        byte_budget::{BudgetState, ByteBudget, ByteClaim, ByteLimits, ByteTicket, Denial, Grant},
        clock::Millis,
    },
    jasmine_telemetry::log::Line,
    std::{
        collections::HashMap,
        sync::{Arc, Mutex, MutexGuard, PoisonError},
    },
    tokio::{sync::oneshot, time::timeout},
};

/// Least time between two log lines about a full budget.
const LOG_INTERVAL: Millis = Millis(1_000);

/// The budget for the bytes of this VM's exchanges. Clones share it.
///
/// It is shared among threads, as the owner of [`bytes::Bytes`] may be sent to another one.
#[derive(Clone, Debug)]
pub struct ByteGate {
    clock: Clock,
    state: Arc<Mutex<State>>,
}

#[derive(Debug)]
struct State {
    budget: ByteBudget,
    waiting: HashMap<ByteTicket, oneshot::Sender<()>>,
    /// Exchanges that have stopped reading their upstream.
    paused: u64,
    logged_at: Option<Millis>,
    /// Claims that found the budget full since the last log line.
    unlogged: u64,
}

impl State {
    fn wake(
        &mut self,
        admitted: Vec<ByteTicket>,
    ) {
        for ticket in admitted {
            if let Some(tx) = self.waiting.remove(&ticket) {
                // Its receiver releases the bytes if it doesn't wait any more.
                let _is_received = tx.send(());
            }
        }
    }
}

impl ByteGate {
    /// Creates a budget of which nothing is held.
    pub fn new(limits: ByteLimits) -> Self {
        Self {
            clock: Clock,
            state: Arc::new(Mutex::new(State {
                budget: ByteBudget::new(limits),
                waiting: HashMap::new(),
                paused: 0,
                logged_at: None,
                unlogged: 0,
            })),
        }
    }

    /// The limits in force.
    pub fn limits(&self) -> ByteLimits {
        self.lock().budget.limits()
    }

    /// Holds bytes, or waits for earlier claims to end.
    ///
    /// # Errors
    ///
    /// [`Denial::Full`] if there is no room within `max_wait`, [`Denial::TooLarge`] if there never is.
    pub async fn hold(
        &self,
        claim: ByteClaim,
        max_wait: Millis,
    ) -> Result<ByteHold, Denial> {
        let now = self.clock.now();
        let grant = self.lock().budget.claim(claim, now);
        let ticket = match grant {
            Grant::Held => return Ok(ByteHold::new(self.clone(), claim)),
            Grant::Waits(ticket) => ticket,
            Grant::Denied(denial) => {
                self.log_full(claim, grant);
                return Err(denial);
            }
        };
        self.log_full(claim, grant);
        let (tx, rx) = oneshot::channel();
        self.lock().waiting.insert(ticket, tx);
        let mut waiting = WaitingClaim {
            gate: self,
            ticket,
            claim,
            is_taken: false,
        };
        match timeout(max_wait.to_std(), rx).await {
            Ok(Ok(())) => {
                waiting.is_taken = true;
                Ok(ByteHold::new(self.clone(), claim))
            }
            _ => Err(Denial::Full),
        }
    }

    /// Holds bytes if there is room now.
    pub fn try_hold(
        &self,
        claim: ByteClaim,
    ) -> Option<ByteHold> {
        let is_held = self.lock().budget.try_claim(claim);
        is_held.then(|| ByteHold::new(self.clone(), claim))
    }

    /// Counts an exchange as paused until the returned guard is dropped.
    pub fn pause(&self) -> Paused {
        self.lock().paused += 1;
        Paused(self.clone())
    }

    /// What is held and waits, and the number of paused exchanges.
    pub fn state(&self) -> (BudgetState, u64) {
        let state = self.lock();
        (state.budget.state(self.clock.now()), state.paused)
    }

    pub(super) fn release(
        &self,
        claim: ByteClaim,
    ) {
        let mut state = self.lock();
        let admitted = state.budget.release(claim);
        state.wake(admitted);
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Logs a claim that is not granted at once, at most once in [`LOG_INTERVAL`].
    fn log_full(
        &self,
        claim: ByteClaim,
        grant: Grant,
    ) {
        let now = self.clock.now();
        let mut state = self.lock();
        let is_recent = |at: Millis| now.since(at) < LOG_INTERVAL;
        if state.logged_at.is_some_and(is_recent) {
            state.unlogged += 1;
            return;
        }
        state.logged_at = Some(now);
        let unlogged = std::mem::take(&mut state.unlogged);
        let held = state.budget.state(now);
        let end = match grant {
            Grant::Held => "held",
            Grant::Waits(_) => "waits",
            Grant::Denied(Denial::Full) => "full",
            Grant::Denied(Denial::TooLarge) => "too_large",
        };
        Line::new("bytes_full")
            .with("for", claim.use_.as_str())
            .with("bytes", claim.bytes)
            .with("decision", end)
            .with("requests", held.requests)
            .with("answers", held.answers)
            .with("small", held.small)
            .with("waiting", held.waiting)
            .with("oldest_ms", held.oldest_wait)
            .with("paused", state.paused)
            .with("unlogged", unlogged)
            .info();
    }
}

/// A claim that waits; withdrawn when it is dropped.
struct WaitingClaim<'a> {
    gate: &'a ByteGate,
    ticket: ByteTicket,
    claim: ByteClaim,
    /// Whether its bytes were passed on.
    is_taken: bool,
}

impl Drop for WaitingClaim<'_> {
    fn drop(&mut self) {
        if self.is_taken {
            return;
        }
        let mut state = self.gate.lock();
        let is_waiting = state.waiting.remove(&self.ticket).is_some();
        let admitted = if is_waiting {
            state.budget.withdraw(self.ticket)
        } else {
            state.budget.release(self.claim)
        };
        state.wake(admitted);
    }
}

/// Counts an exchange as paused.
#[derive(Debug)]
pub struct Paused(ByteGate);

impl Drop for Paused {
    fn drop(&mut self) {
        let mut state = self.0.lock();
        state.paused = state.paused.saturating_sub(1);
    }
}
