//! The keys that the daemons use in the platform's key-value service.

use {
    jasmine_core::{
        ids::{UpstreamId, VmId},
        membership::EPOCH_KEY,
    },
    jasmine_store::store::Range,
};

/// Everything of the configuration.
pub const CONFIG: &str = "/jasmine/config/";

/// The newest edit and the revisions of the shards.
pub const CONFIG_HEAD: &str = "/jasmine/config/head";

const MEMBER: &str = "/jasmine/member/";
const OWNER: &str = "/jasmine/owner/";
const CLAIM: &str = "/jasmine/claim/";

/// The key after the last that a controller watches.
///
/// Claims, which change with each call of a caller, sort before the configuration and so lie outside.
const WATCHED_END: &str = "/jasmine/s";

/// What a controller watches: configuration, epoch, holdings, members, owners, released.
pub fn watched() -> Range {
    Range::between(CONFIG, WATCHED_END)
}

/// The watched keys without the configuration.
pub fn fleet() -> Range {
    Range::between(EPOCH_KEY, WATCHED_END)
}

/// The record of a VM.
pub fn member(vm: VmId) -> String {
    format!("{MEMBER}{vm}")
}

/// The VM whose record this key is.
pub fn parse_member(key: &str) -> Option<VmId> {
    key.strip_prefix(MEMBER)?.parse().ok().map(VmId)
}

/// The record of an upstream's owner.
pub fn owner(upstream: UpstreamId) -> String {
    format!("{OWNER}{upstream}")
}

/// The upstream whose owner's record this key is.
pub fn parse_owner(key: &str) -> Option<UpstreamId> {
    key.strip_prefix(OWNER)?.parse().ok().map(UpstreamId)
}

/// The record of an idempotency key in use.
pub fn claim(digest: &[u8]) -> String {
    use std::fmt::Write;
    digest.iter().fold(CLAIM.to_owned(), |mut key, byte| {
        // Writing to a string can't fail.
        write!(key, "{byte:02x}").unwrap_or_default();
        key
    })
}
