use super::{NodeKind, SettingScope, Value, ValueType};

/// The definition of a setting.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingSpec {
    /// The name used by operators and in JSON.
    pub name: &'static str,
    /// The type and range of values.
    pub value_type: ValueType,
    /// Whether the value is inherited and whether it may change.
    pub scope: SettingScope,
    /// The node kinds that use the setting; their ancestors may hold it if it is inherited.
    pub kinds: &'static [NodeKind],
    /// The value used if no level sets one.
    pub default: Option<Value>,
}

impl SettingSpec {
    /// Creates the definition of one setting.
    pub(super) const fn new(
        name: &'static str,
        value_type: ValueType,
        scope: SettingScope,
        kinds: &'static [NodeKind],
        default: Option<Value>,
    ) -> Self {
        Self {
            name,
            value_type,
            scope,
            kinds,
            default,
        }
    }
}
