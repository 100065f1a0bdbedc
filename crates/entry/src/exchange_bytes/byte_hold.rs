use {super::ByteGate, bytes::Bytes, jasmine_core::byte_budget::ByteClaim};

/// Bytes that are held of a budget until this is dropped.
#[derive(Debug)]
pub struct ByteHold {
    gate: ByteGate,
    claim: ByteClaim,
}

impl ByteHold {
    /// Holds a claim that was granted.
    pub(super) const fn new(
        gate: ByteGate,
        claim: ByteClaim,
    ) -> Self {
        Self { gate, claim }
    }

    /// Holds the bytes for as long as anything refers to `bytes`.
    pub fn attach(
        self,
        bytes: Bytes,
    ) -> Bytes {
        Bytes::from_owner(HeldBytes {
            bytes,
            _holds: vec![self],
        })
    }
}

impl Drop for ByteHold {
    fn drop(&mut self) {
        self.gate.release(self.claim);
    }
}

/// Bytes with what they hold of a budget.
pub(super) struct HeldBytes {
    pub bytes: Bytes,
    pub _holds: Vec<ByteHold>,
}

impl AsRef<[u8]> for HeldBytes {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}
