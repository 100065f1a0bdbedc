use {
    crate::caller::IncomingRequest,
    jasmine_platform::headers::CallerHeaders,
    sha2::{Digest, Sha256},
};

/// Identifies a request over all attempts of its caller, which have ids of their own.
///
/// A cryptographic hash of the account and of what the caller asks for; no caller can choose a request that has the
/// fingerprint of another account's. What differs by attempt isn't in it: the id, the deadline and the last event.
pub(super) fn fingerprint(
    incoming: &IncomingRequest,
    caller: &CallerHeaders,
    account: Option<&str>,
) -> u64 {
    let head = &incoming.head;
    let mut hasher = Sha256::new();
    let mut add = |field: &[u8]| {
        hasher.update((field.len() as u64).to_le_bytes());
        hasher.update(field);
    };
    add(account.unwrap_or_default().as_bytes());
    add(head.method.as_bytes());
    add(head.host().as_bytes());
    add(head.target.as_bytes());
    add(caller.model.as_deref().unwrap_or_default().as_bytes());
    add(caller.adapter.as_deref().unwrap_or_default().as_bytes());
    for part in &caller.parts {
        add(&part.id.to_le_bytes());
        add(&part.tokens.to_le_bytes());
    }
    add(&incoming.body);
    let hash = hasher.finalize();
    let (first, _) = hash.split_first_chunk().unwrap_or((&[0; 8], &[]));
    u64::from_le_bytes(*first)
}
