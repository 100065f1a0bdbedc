use std::str::FromStr;

/// Precedes the number of an adapter in the text form.
const ADAPTER_PREFIX: &str = "adapter.";
/// Precedes the number of a request in the text form.
const REQUEST_PREFIX: &str = "request.";

/// Id of what may crash the upstreams that answer it: what prompts share, or a request as a whole.
///
/// The text form is `1f2e`, `adapter.1f2e` or `request.1f2e`, in hexadecimal. Callers choose the ids of parts, but name
/// neither adapters nor requests by them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(derive_more::Display)]
pub enum PartId {
    /// A part of the prompt, by the id that its caller gave it.
    #[display("{_0:x}")]
    Part(u64),
    /// The adapter that answers it, by a hash of its name.
    #[display("{ADAPTER_PREFIX}{_0:x}")]
    Adapter(u64),
    /// A request, by a hash of its content that all attempts of its caller have in common.
    #[display("{REQUEST_PREFIX}{_0:x}")]
    Request(u64),
}

impl PartId {
    /// Whether it is a request as a whole.
    pub const fn is_request(self) -> bool {
        matches!(self, Self::Request(_))
    }

    /// Whether it is an adapter.
    pub const fn is_adapter(self) -> bool {
        matches!(self, Self::Adapter(_))
    }
}

/// A text that is no [`PartId`].
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(derive_more::Display, derive_more::Error)]
#[display(
    "expected a hexadecimal number of 64 bits, or {ADAPTER_PREFIX} or {REQUEST_PREFIX} and one: {text:?}"
)]
pub struct InvalidPartId {
    /// The text.
    pub text: String,
}

impl FromStr for PartId {
    type Err = InvalidPartId;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let adapter = text.strip_prefix(ADAPTER_PREFIX);
        let (number, id): (&str, fn(u64) -> Self) = match text.strip_prefix(REQUEST_PREFIX) {
            Some(number) => (number, Self::Request),
            None => match adapter {
                Some(number) => (number, Self::Adapter),
                None => (text, Self::Part),
            },
        };
        u64::from_str_radix(number, 16)
            .map(id)
            .map_err(|_e| InvalidPartId {
                text: text.to_owned(),
            })
    }
}
