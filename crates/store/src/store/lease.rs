use jasmine_core::clock::Millis;

/// The number of a lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[derive(derive_more::Display)]
pub struct LeaseId(pub u64);

/// A lease as granted or kept alive.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Lease {
    /// Its number.
    pub id: LeaseId,
    /// How long it holds, counted from before the call was sent.
    pub ttl: Millis,
}
