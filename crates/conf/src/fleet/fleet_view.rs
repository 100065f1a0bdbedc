use {
    super::{Account, Adapter, BaseModel, DataCentre, Key, KeyDigest, Service, Upstream},
    crate::arena::SharedArena,
    imbl::HashMap,
    jasmine_core::{
        error::ErrorKind,
        ids::{
            AccountId, AdapterId, AdapterVersion, DataCentreId, ModelId, Revision, ServiceId,
            UpstreamId,
        },
    },
};

/// The model or adapter that a model name in a request refers to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ModelRef {
    /// The base model without an adapter.
    Base(ModelId),
    /// One exact version of an adapter.
    Adapter(ModelId, AdapterVersion),
}

/// One revision of the configuration, with inheritance resolved.
///
/// Clones share unchanged values, so readers can cheaply keep a revision while the next one is made.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Fleet {
    /// The revision of the tree that this was resolved from.
    pub revision: Revision,
    /// Client accounts by id.
    pub accounts: SharedArena<AccountId, Account>,
    /// Keys by digest, including withdrawn keys.
    pub keys: HashMap<KeyDigest, Key>,
    /// Adapters by id.
    pub adapters: SharedArena<AdapterId, Adapter>,
    /// Adapter ids by name.
    pub adapter_names: HashMap<String, AdapterId>,
    /// The base models that adapters are loaded onto, by id.
    pub models: SharedArena<ModelId, BaseModel>,
    /// Data centres by id.
    pub data_centres: SharedArena<DataCentreId, DataCentre>,
    /// Upstreams by id.
    pub upstreams: SharedArena<UpstreamId, Upstream>,
    /// Plain services by id.
    pub services: SharedArena<ServiceId, Service>,
}

impl Fleet {
    /// Resolves a model name: `adapter@version`, `adapter` (its live version) or a base model.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::ModelNotFound`] if no such adapter, version or base model exists.
    pub fn model(
        &self,
        name: &str,
    ) -> Result<ModelRef, ErrorKind> {
        let (adapter_name, version) = match name.rsplit_once('@') {
            Some((adapter_name, version)) => (adapter_name, Some(version)),
            None => (name, None),
        };
        let adapter = self
            .adapter_names
            .get(adapter_name)
            .and_then(|&id| self.adapters.get(id));
        match (adapter, version) {
            (Some(adapter), Some(version)) => version
                .parse()
                .ok()
                .and_then(|version| adapter_ref(adapter, version)),
            (Some(adapter), None) => adapter
                .live
                .and_then(|version| adapter_ref(adapter, version)),
            (None, None) => self
                .models
                .iter()
                .find(|model| model.name == name)
                .map(|model| ModelRef::Base(model.id)),
            (None, Some(_)) => None,
        }
        .ok_or(ErrorKind::ModelNotFound)
    }

    /// Finds a service by name.
    pub fn service(
        &self,
        name: &str,
    ) -> Option<&Service> {
        self.services.iter().find(|service| service.name == name)
    }

    /// Finds a key by digest.
    pub fn key(
        &self,
        digest: KeyDigest,
    ) -> Option<Key> {
        self.keys.get(&digest).copied()
    }
}

fn adapter_ref(
    adapter: &Adapter,
    version: u32,
) -> Option<ModelRef> {
    let named = AdapterVersion {
        adapter: adapter.id,
        version,
    };
    adapter
        .versions
        .contains_key(&version)
        .then_some(ModelRef::Adapter(adapter.model, named))
}
