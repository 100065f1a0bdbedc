use {
    super::{statements::Statements, upstream::Upstream},
    crate::{clock::Millis, ids::UpstreamId},
    std::collections::HashMap,
};

/// How long an upstream is remembered after its entry was removed; one that still runs registers
/// again much sooner.
const RETENTION: Millis = Millis(600_000);

/// What upstreams had stated when their entries were removed.
///
/// An entry also lapses while the store is down: the same run of the upstream registers again
/// afterwards, and what it has stated still holds.
#[derive(Clone, Debug, Default)]
pub(super) struct DepartedUpstreams {
    upstreams: HashMap<UpstreamId, Departed>,
}

#[derive(Clone, Debug)]
struct Departed {
    at: Millis,
    started_unix_ms: Option<u64>,
    statements: Statements,
}

impl DepartedUpstreams {
    /// Keeps what an upstream has stated; forgets those that were removed long ago.
    pub(super) fn keep(
        &mut self,
        upstream: Upstream,
        now: Millis,
    ) {
        self.upstreams
            .retain(|_, departed| now.since(departed.at) < RETENTION);
        if !upstream.statements.is_empty(now) {
            let departed = Departed {
                at: now,
                started_unix_ms: upstream.started_unix_ms,
                statements: upstream.statements,
            };
            self.upstreams.insert(upstream.id, departed);
        }
    }

    /// Restores what the same run of an upstream had stated.
    pub(super) fn restore(
        &mut self,
        upstream: &mut Upstream,
    ) {
        let departed = self.upstreams.remove(&upstream.id);
        let same_run =
            departed.filter(|departed| departed.started_unix_ms == upstream.started_unix_ms);
        if let Some(departed) = same_run {
            upstream.statements = departed.statements;
        }
    }
}
