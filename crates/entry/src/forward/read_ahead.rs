use {
    super::piece::{AttemptError, Piece},
    crate::exchange_bytes::{ByteGate, ByteHold},
    jasmine_core::byte_budget::{ByteClaim, ByteUse},
    std::collections::VecDeque,
};

/// The pieces of an answer that were read while its caller took earlier ones.
#[derive(Debug)]
pub(super) struct ReadAhead {
    pieces: VecDeque<(Result<Piece, AttemptError>, Option<ByteHold>)>,
    /// What the piece that was taken last holds, until the next one is wanted.
    taken: Option<ByteHold>,
    bytes: u64,
    max_bytes: u64,
    /// Whether a piece found no room in the budget of the VM.
    is_denied: bool,
    /// Whether nothing follows the last piece.
    has_ended: bool,
}

impl ReadAhead {
    /// Keeps no pieces yet, and at most so many bytes.
    pub(super) fn new(max_bytes: u64) -> Self {
        Self {
            pieces: VecDeque::new(),
            taken: None,
            bytes: 0,
            max_bytes,
            is_denied: false,
            has_ended: false,
        }
    }

    /// Whether no more may be kept.
    pub(super) const fn is_full(&self) -> bool {
        self.is_denied || self.bytes >= self.max_bytes
    }

    /// Whether nothing follows what is kept.
    pub(super) const fn has_ended(&self) -> bool {
        self.has_ended
    }

    /// Keeps a piece behind the others.
    ///
    /// One that finds no room in the budget is kept as well, as it was read already; it is the last for now.
    pub(super) fn push(
        &mut self,
        piece: Result<Piece, AttemptError>,
        budget: &ByteGate,
    ) {
        self.has_ended = piece.as_ref().map_or(true, Piece::is_last);
        let bytes = piece.as_ref().map_or(0, Piece::len);
        let claim = ByteClaim {
            use_: ByteUse::ReadAhead,
            bytes,
        };
        let hold = budget.try_hold(claim);
        self.is_denied = hold.is_none();
        self.bytes += bytes;
        self.pieces.push_back((piece, hold));
    }

    /// Takes the first piece; its bytes stay held until the next call.
    pub(super) fn take(&mut self) -> Option<Result<Piece, AttemptError>> {
        self.taken = None;
        let (piece, hold) = self.pieces.pop_front()?;
        self.bytes -= piece.as_ref().map_or(0, Piece::len);
        self.taken = hold;
        self.is_denied = self.is_denied && !self.pieces.is_empty();
        Some(piece)
    }
}
