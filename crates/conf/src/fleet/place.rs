use jasmine_core::ids::{DataCentreId, ModelId};

/// A data centre.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DataCentre {
    /// Its number.
    pub id: DataCentreId,
    /// Its name.
    pub name: String,
    /// The region it lies in.
    pub region: String,
}

/// A base model.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BaseModel {
    /// Its number.
    pub id: ModelId,
    /// Its name, as callers and engines write it.
    pub name: String,
}
