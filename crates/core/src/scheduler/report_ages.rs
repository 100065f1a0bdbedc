use {super::upstream::Upstream, crate::clock::Millis};

/// How old the load reports were by which requests were assigned.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct ReportAges {
    /// Requests assigned to an upstream whose reports take effect.
    pub decisions: u64,
    /// Sum of the ages, in milliseconds.
    pub sum_ms: u64,
}

impl ReportAges {
    /// Records that a request is assigned.
    pub(super) fn note(
        &mut self,
        up: &Upstream,
        now: Millis,
    ) {
        let statements = &up.statements;
        let newest = statements.forecast.and_then(|_| statements.pace.newest());
        if let Some(newest) = newest {
            self.decisions += 1;
            self.sum_ms += now.since(newest.heard_at).0;
        }
    }
}
