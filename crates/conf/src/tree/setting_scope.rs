/// Whether a setting is inherited and whether it may change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SettingScope {
    /// May be set on any level above the node and overridden on lower levels.
    Inherited,
    /// May be set only on the node itself.
    NodeOnly,
    /// May be set only on the node itself, when it is created.
    Fixed,
}
