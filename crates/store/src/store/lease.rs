use jasmine_core::clock::Millis;

/// The id of a lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[derive(derive_more::Display)]
pub struct LeaseId(pub u64);

/// A lease that was granted or renewed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Lease {
    /// Its id.
    pub id: LeaseId,
    /// Time to live; callers must count it from before the call was sent.
    pub ttl: Millis,
}
