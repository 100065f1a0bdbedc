use jasmine_core::ids::{DataCentreId, ModelId};

/// A data centre.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DataCentre {
    /// The id assigned at creation.
    pub id: DataCentreId,
    /// The name, unique over the fleet.
    pub name: String,
    /// The region that the data centre is in.
    pub region: String,
}

/// A base model.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BaseModel {
    /// The id assigned at creation.
    pub id: ModelId,
    /// The name used by callers and engines.
    pub name: String,
}
