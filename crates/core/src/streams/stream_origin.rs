/// The software version that began a stream, as one request on its way knows it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum StreamOrigin {
    /// The caller has no event yet: any version may serve it.
    #[default]
    NotBegun,
    /// Only this version may go on with it.
    Build(String),
    /// It has begun at a version that isn't known: none may go on with it.
    Unknown,
}

impl StreamOrigin {
    /// Records that the first event was written by an upstream of this version, if it is known.
    ///
    /// A stream that has begun keeps its origin.
    pub fn begin(
        &mut self,
        build: Option<&str>,
    ) {
        if *self == Self::NotBegun {
            *self = build.map_or(Self::Unknown, |build| Self::Build(build.to_owned()));
        }
    }

    /// The only version that may serve the stream; `None` if any may, or none.
    pub fn required_build(&self) -> Option<&str> {
        match self {
            Self::Build(build) => Some(build),
            Self::NotBegun | Self::Unknown => None,
        }
    }

    /// Whether some upstream may serve the rest of the stream.
    pub fn is_resumable(&self) -> bool {
        *self != Self::Unknown
    }
}
