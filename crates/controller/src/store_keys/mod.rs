//! Keys of the daemons' records in the platform's key-value service.

use {
    jasmine_core::{
        ids::{UpstreamId, VmId},
        membership::EPOCH_KEY,
    },
    jasmine_store::store::Range,
};

/// Prefix of all configuration records.
pub const CONFIG: &str = "/jasmine/config/";

/// Key of the record with the newest edit and the revisions of the shards.
pub const CONFIG_HEAD: &str = "/jasmine/config/head";

const MEMBER: &str = "/jasmine/member/";
const OWNER: &str = "/jasmine/owner/";
const CLAIM: &str = "/jasmine/claim/";

/// Exclusive end of the key range that controllers watch.
///
/// Claims change with each client request; they sort before the configuration and are not watched.
const WATCHED_END: &str = "/jasmine/s";

/// Range of all watched keys: configuration, epoch, holdings, members, owners, released.
pub fn watched() -> Range {
    Range::between(CONFIG, WATCHED_END)
}

/// Range of the watched keys without the configuration.
pub fn fleet() -> Range {
    Range::between(EPOCH_KEY, WATCHED_END)
}

/// Key of the membership record of a VM.
pub fn member(vm: VmId) -> String {
    format!("{MEMBER}{vm}")
}

/// Parses the VM from the key of its membership record.
pub fn parse_member(key: &str) -> Option<VmId> {
    key.strip_prefix(MEMBER)?.parse().ok().map(VmId)
}

/// Key of the record of an upstream's owner.
pub fn owner(upstream: UpstreamId) -> String {
    format!("{OWNER}{upstream}")
}

/// Parses the upstream from the key of its owner record.
pub fn parse_owner(key: &str) -> Option<UpstreamId> {
    key.strip_prefix(OWNER)?.parse().ok().map(UpstreamId)
}

/// Key of the claim of an idempotency key, from the digest of the latter.
pub fn claim(digest: &[u8]) -> String {
    use std::fmt::Write;
    digest.iter().fold(CLAIM.to_owned(), |mut key, byte| {
        // Writing to a string can't fail.
        write!(key, "{byte:02x}").unwrap_or_default();
        key
    })
}
