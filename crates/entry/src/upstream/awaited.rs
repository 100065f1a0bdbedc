use {
    crate::http1::ResponseHead, jasmine_core::clock::Millis,
    jasmine_platform::headers::ResponseHeaders, xxhash_rust::xxh3::xxh3_64,
};

/// A request as the connections know it that carry its attempts.
#[derive(Clone, Copy, Debug)]
pub struct RequestTag<'a> {
    /// Its id, which all of its attempts share and answers name.
    pub id: Option<&'a str>,
    /// Until when it may be sent again.
    pub repeatable_until: Millis,
}

impl RequestTag<'_> {
    /// A hash of the id.
    pub(super) fn hash(&self) -> u64 {
        xxh3_64(self.id.unwrap_or_default().as_bytes())
    }
}

/// Which answer belongs to an exchange.
///
/// An upstream may send an answer once more, where the next one is expected.
#[derive(Clone, Copy, Debug)]
pub enum Awaited<'a> {
    /// Any: the peer answers each call once, or the connection carries this call only.
    Any,
    /// One that names this request, or one without a name on a connection that has carried nothing else.
    Request(RequestTag<'a>),
    /// One that names this request, or none: another VM answers each request once.
    FromVm(RequestTag<'a>),
}

impl<'a> Awaited<'a> {
    /// The request, unless the call isn't one.
    pub const fn tag(self) -> Option<RequestTag<'a>> {
        match self {
            Self::Any => None,
            Self::Request(tag) | Self::FromVm(tag) => Some(tag),
        }
    }

    /// Whether an answer belongs to the exchange; `is_first` on a connection that has carried nothing else.
    pub(super) fn is_answered_by(
        self,
        head: &ResponseHead,
        is_first: bool,
    ) -> bool {
        let named = || ResponseHeaders::read(head.status.code(), head.headers.pairs()).request_id;
        match self {
            Self::Any => true,
            Self::Request(tag) => named().map_or(is_first, |id| Some(id.as_str()) == tag.id),
            Self::FromVm(tag) => named().is_none_or(|id| Some(id.as_str()) == tag.id),
        }
    }
}
