use super::StreamOrigin;

/// What a VM has found out about the origin of a stream that a caller takes up.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Inquiry {
    /// The version that began it, as this VM or another one has recorded.
    pub recorded: Option<String>,
    /// VMs that were asked.
    pub asked: usize,
    /// VMs of these that answered, whether they knew it or not.
    pub answered: usize,
}

impl Inquiry {
    /// The origin of the stream; `only_build` is the one version of which the service has had upstreams lately.
    ///
    /// A VM that few others answer may not have heard of another version.
    pub fn conclude(
        self,
        only_build: Option<String>,
    ) -> StreamOrigin {
        let is_in_touch = self.answered * 2 >= self.asked;
        let build = self.recorded.or(only_build.filter(|_| is_in_touch));
        build.map_or(StreamOrigin::Unknown, StreamOrigin::Build)
    }
}
