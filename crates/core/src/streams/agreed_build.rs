/// The build of an assigned upstream, by the scheduler that assigned it and by the entry that this VM has read.
///
/// `None` if the two differ, or if the scheduler doesn't know it: the upstream may have restarted as another build.
pub fn agreed_build<'a>(
    assigned: Option<&'a str>,
    own: Option<&str>,
) -> Option<&'a str> {
    assigned.filter(|assigned| own.is_none_or(|own| own == *assigned))
}
