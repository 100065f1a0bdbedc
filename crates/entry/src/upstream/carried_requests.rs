use {super::RequestTag, jasmine_core::clock::Millis};

/// What a connection has carried, as far as its answers may be taken for others.
#[derive(Clone, Debug, Default)]
pub(super) struct CarriedRequests {
    /// Hashes of the ids of requests that may still be sent again, and until when.
    requests: Vec<(u64, Millis)>,
    is_used: bool,
}

impl CarriedRequests {
    /// Whether nothing was sent on the connection.
    pub(super) const fn is_empty(&self) -> bool {
        !self.is_used
    }

    /// Whether an attempt of a request was sent on the connection, whose answer might come once more.
    pub(super) fn contains(
        &self,
        tag: RequestTag<'_>,
    ) -> bool {
        let hash = tag.hash();
        self.requests.iter().any(|&(carried, _)| carried == hash)
    }

    /// Records that something is sent, an attempt of a request or another call.
    pub(super) fn note(
        &mut self,
        tag: Option<RequestTag<'_>>,
        now: Millis,
    ) {
        self.is_used = true;
        self.requests.retain(|&(_, until)| until > now);
        if let Some(tag) = tag {
            self.requests.push((tag.hash(), tag.repeatable_until));
        }
    }
}
