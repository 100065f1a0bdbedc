use {
    super::{
        admission_log::AdmissionLog, request_limit::RequestLimit, rests::Rests, upstream::Upstream,
    },
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
    run_known_since: Millis,
    request_limit: Option<RequestLimit>,
    limit_admissions: AdmissionLog,
    own_sent: AdmissionLog,
    rests: Rests,
    is_leaving: bool,
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
        let has_stated = upstream.request_limit.is_some()
            || upstream.is_leaving
            || now < upstream.rests.last_end();
        if !has_stated {
            return;
        }
        let departed = Departed {
            at: now,
            started_unix_ms: upstream.started_unix_ms,
            run_known_since: upstream.run_known_since,
            request_limit: upstream.request_limit,
            limit_admissions: upstream.limit_admissions,
            own_sent: upstream.own_sent,
            rests: upstream.rests,
            is_leaving: upstream.is_leaving,
        };
        self.upstreams.insert(upstream.id, departed);
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
            upstream.run_known_since = departed.run_known_since;
            upstream.request_limit = departed.request_limit;
            upstream.limit_admissions = departed.limit_admissions;
            upstream.own_sent = departed.own_sent;
            upstream.rests = departed.rests;
            upstream.is_leaving = departed.is_leaving;
        }
    }
}
