/// How far a value reaches and whether it may change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
    /// It may be written on any level above and overridden below.
    Inherited,
    /// It belongs to the node alone.
    Own,
    /// It belongs to the node alone and is given when the node is created, once and for all.
    Fixed,
}
