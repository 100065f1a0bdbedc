use {
    super::{ByteGate, ByteHold, byte_hold::HeldBytes},
    bytes::Bytes,
    jasmine_core::{
        byte_budget::{ByteClaim, ByteUse, Denial},
        clock::Millis,
    },
};

/// Bytes of each body that aren't counted, so that short requests are read whatever other callers send.
const UNCOUNTED_BYTES: u64 = 8 << 10;
/// Least bytes that a body of unknown length holds in advance.
const MIN_STEP_BYTES: u64 = 32 << 10;

/// What a body that is being received holds of a budget.
#[derive(Debug)]
pub struct ByteHolds {
    gate: ByteGate,
    held: u64,
    holds: Vec<ByteHold>,
}

impl ByteHolds {
    /// Holds nothing yet.
    pub const fn new(gate: ByteGate) -> Self {
        Self {
            gate,
            held: UNCOUNTED_BYTES,
            holds: Vec::new(),
        }
    }

    /// Holds all bytes of a body of known length, or waits for them.
    ///
    /// # Errors
    ///
    /// [`Denial`].
    pub async fn hold_all(
        &mut self,
        len: u64,
        max_wait: Millis,
    ) -> Result<(), Denial> {
        match len.saturating_sub(self.held) {
            0 => Ok(()),
            more => self.hold_more(more, max_wait).await,
        }
    }

    /// Holds enough for the bytes received so far, and as many again, of a body of unknown length.
    ///
    /// # Errors
    ///
    /// [`Denial`].
    pub async fn cover(
        &mut self,
        len: u64,
        max_wait: Millis,
    ) -> Result<(), Denial> {
        if len <= self.held {
            return Ok(());
        }
        let max = self.gate.limits().exchange.saturating_sub(self.held);
        let wanted = (len - self.held).max(self.held).max(MIN_STEP_BYTES);
        self.hold_more(wanted.min(max).max(len - self.held), max_wait)
            .await
    }

    /// Holds the bytes for as long as anything refers to `bytes`.
    pub fn attach(
        self,
        bytes: Bytes,
    ) -> Bytes {
        if self.holds.is_empty() {
            return bytes;
        }
        Bytes::from_owner(HeldBytes {
            bytes,
            _holds: self.holds,
        })
    }

    async fn hold_more(
        &mut self,
        bytes: u64,
        max_wait: Millis,
    ) -> Result<(), Denial> {
        if self.held + bytes > self.gate.limits().exchange {
            return Err(Denial::TooLarge);
        }
        let claim = ByteClaim {
            use_: ByteUse::Request,
            bytes,
        };
        self.holds.push(self.gate.hold(claim, max_wait).await?);
        self.held += bytes;
        Ok(())
    }
}
