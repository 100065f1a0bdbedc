use {
    crate::{
        fleet::{
            Account, Adapter, BaseModel, DataCentre, Fleet, Key, KeyDigest, Service, Upstream,
        },
        tree::{Family, RemovedEntity},
    },
    jasmine_core::ids::{AccountId, AdapterId, DataCentreId, ModelId, ServiceId, UpstreamId},
};

/// A resolved node with inherited values.
#[derive(Clone, Debug)]
pub(in crate::tree) enum Entity {
    /// A client account.
    Account(Account),
    /// A key with its digest.
    Key(KeyDigest, Key),
    /// An adapter with its versions.
    Adapter(Adapter),
    /// A base model.
    Model(BaseModel),
    /// An engine or server.
    Upstream(Upstream),
    /// A plain service with its calls.
    Service(Service),
    /// A data centre.
    DataCentre(DataCentre),
}

impl Entity {
    /// Inserts the entity into `fleet`, replacing its previous state.
    pub(in crate::tree) fn insert_into(
        self,
        fleet: &mut Fleet,
    ) {
        match self {
            Self::Account(account) => fleet.accounts.insert(account.id, account),
            Self::Key(digest, key) => {
                fleet.keys.insert(digest, key);
            }
            Self::Adapter(adapter) => {
                fleet.adapter_names.insert(adapter.name.clone(), adapter.id);
                fleet.adapters.insert(adapter.id, adapter);
            }
            Self::Model(model) => fleet.models.insert(model.id, model),
            Self::Upstream(upstream) => fleet.upstreams.insert(upstream.id, upstream),
            Self::Service(service) => fleet.services.insert(service.id, service),
            Self::DataCentre(centre) => fleet.data_centres.insert(centre.id, centre),
        }
    }
}

/// Removes a deleted entity from `fleet`.
pub(in crate::tree) fn remove_entity(
    removed: &RemovedEntity,
    fleet: &mut Fleet,
) {
    let number = removed.number;
    match removed.family {
        Family::Accounts => drop(fleet.accounts.remove(AccountId(number))),
        Family::Keys => {
            let digest = KeyDigest::try_from(String::from(removed.name.clone())).ok();
            digest.and_then(|digest| fleet.keys.remove(&digest));
        }
        Family::Adapters => {
            fleet.adapters.remove(AdapterId(number));
            fleet.adapter_names.remove(&*removed.name);
        }
        Family::Models => drop(fleet.models.remove(ModelId(number))),
        Family::Upstreams => drop(fleet.upstreams.remove(UpstreamId(number))),
        Family::Services => drop(fleet.services.remove(ServiceId(number))),
        Family::DataCentres => drop(fleet.data_centres.remove(DataCentreId(number as u16))),
    }
}
