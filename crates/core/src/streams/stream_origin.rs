/// The build that began a stream, as far as the VM that forwards it knows.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum StreamOrigin {
    /// The caller has received no event: any build may serve it.
    #[default]
    NotBegun,
    /// Only this build may resume it.
    Build(String),
    /// It began at a build that isn't known: none may resume it.
    Unknown,
}

impl StreamOrigin {
    /// Records which build wrote the first event; no effect on a stream that has begun.
    pub fn begin(
        &mut self,
        build: Option<&str>,
    ) {
        if *self == Self::NotBegun {
            *self = build.map_or(Self::Unknown, |build| Self::Build(build.to_owned()));
        }
    }

    /// The only build that may serve the stream; `None` if any may, or none.
    pub fn required_build(&self) -> Option<&str> {
        match self {
            Self::Build(build) => Some(build),
            Self::NotBegun | Self::Unknown => None,
        }
    }

    /// Whether some build may serve the rest of the stream.
    pub fn is_resumable(&self) -> bool {
        *self != Self::Unknown
    }
}
