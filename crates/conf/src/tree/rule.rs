use super::{NodeKind, Shape, Standing, Value};

/// What is known of a setting.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Rule {
    /// Its name.
    pub name: &'static str,
    /// Its type and range.
    pub shape: Shape,
    /// How far it reaches.
    pub standing: Standing,
    /// The kinds of node that need it; levels above them may hold it when it is inherited.
    pub kinds: &'static [NodeKind],
    /// The value where no level gives one.
    pub default: Option<Value>,
}

impl Rule {
    /// One row of the table.
    pub(super) const fn new(
        name: &'static str,
        shape: Shape,
        standing: Standing,
        kinds: &'static [NodeKind],
        default: Option<Value>,
    ) -> Self {
        Self {
            name,
            shape,
            standing,
            kinds,
            default,
        }
    }
}
