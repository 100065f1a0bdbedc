use std::str::FromStr;

/// Precedes the number of an adapter in the text form.
const ADAPTER_PREFIX: &str = "adapter.";

/// Id of what prompts may share that crashes the upstreams which answer them.
///
/// The text form is `1f2e` or `adapter.1f2e`, in hexadecimal. Callers choose the ids of parts, but name no adapter by them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(derive_more::Display)]
pub enum PartId {
    /// A part of the prompt, by the id that its caller gave it.
    #[display("{_0:x}")]
    Part(u64),
    /// The adapter that answers it, by a hash of its name.
    #[display("{ADAPTER_PREFIX}{_0:x}")]
    Adapter(u64),
}

/// A text that is no [`PartId`].
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(derive_more::Display, derive_more::Error)]
#[display("expected a hexadecimal number of 64 bits, or {ADAPTER_PREFIX} and one: {text:?}")]
pub struct InvalidPartId {
    /// The text.
    pub text: String,
}

impl FromStr for PartId {
    type Err = InvalidPartId;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let (number, id): (&str, fn(u64) -> Self) = match text.strip_prefix(ADAPTER_PREFIX) {
            Some(number) => (number, Self::Adapter),
            None => (text, Self::Part),
        };
        u64::from_str_radix(number, 16)
            .map(id)
            .map_err(|_e| InvalidPartId {
                text: text.to_owned(),
            })
    }
}
