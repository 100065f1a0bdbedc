/// Whether this VM reaches upstreams.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LinkStatus {
    /// It does, as far as is known.
    #[default]
    Up,
    /// That is being tested.
    Suspect,
    /// It reaches none of them.
    Lost,
}
