use {
    jasmine_core::ids::{
        AccountId, AdapterId, BuildId, DataCentreId, ModelId, RouteId, ServiceId, UpstreamId,
    },
    std::{collections::HashMap, rc::Rc},
};

/// Assigns consecutive ids to names of one kind.
#[derive(Clone, Debug, Default)]
struct Interner {
    ids: HashMap<Rc<str>, u32>,
    names: Vec<Rc<str>>,
}

impl Interner {
    fn intern(
        &mut self,
        name: &str,
    ) -> u32 {
        if let Some(&id) = self.ids.get(name) {
            return id;
        }
        let name: Rc<str> = name.into();
        let id = self.names.len() as u32;
        self.ids.insert(Rc::clone(&name), id);
        self.names.push(name);
        id
    }

    fn name(
        &self,
        id: u32,
    ) -> Rc<str> {
        self.names
            .get(id as usize)
            .map_or_else(|| "".into(), Rc::clone)
    }
}

/// Maps names of the platform to ids and back; the ids are valid in this process only.
#[derive(Clone, Debug, Default)]
pub struct NameInterner {
    services: Interner,
    routes: Interner,
    accounts: Interner,
    models: Interner,
    adapters: Interner,
    upstreams: Interner,
    data_centres: Interner,
    builds: Interner,
}

impl NameInterner {
    /// Returns the id of a service, assigning one if needed.
    pub fn service(
        &mut self,
        name: &str,
    ) -> ServiceId {
        ServiceId(self.services.intern(name))
    }

    /// Returns the name of a service; empty for an unknown id.
    pub fn service_name(
        &self,
        id: ServiceId,
    ) -> Rc<str> {
        self.services.name(id.0)
    }

    /// Returns the id of a route, assigning one if needed.
    pub fn route(
        &mut self,
        name: &str,
    ) -> RouteId {
        RouteId(self.routes.intern(name))
    }

    /// Returns the name of a route; empty for an unknown id.
    pub fn route_name(
        &self,
        id: RouteId,
    ) -> Rc<str> {
        self.routes.name(id.0)
    }

    /// Returns the id of a client account, assigning one if needed.
    pub fn account(
        &mut self,
        name: &str,
    ) -> AccountId {
        AccountId(self.accounts.intern(name))
    }

    /// Returns the name of a client account.
    pub fn account_name(
        &self,
        id: AccountId,
    ) -> Rc<str> {
        self.accounts.name(id.0)
    }

    /// Returns the id of a base model, assigning one if needed.
    pub fn model(
        &mut self,
        name: &str,
    ) -> ModelId {
        ModelId(self.models.intern(name))
    }

    /// Returns the name of a base model; empty for an unknown id.
    pub fn model_name(
        &self,
        id: ModelId,
    ) -> Rc<str> {
        self.models.name(id.0)
    }

    /// Returns the id of an adapter of a base model, assigning one if needed.
    pub fn adapter(
        &mut self,
        model: &str,
        adapter: &str,
    ) -> AdapterId {
        AdapterId(self.adapters.intern(&format!("{model}/{adapter}")))
    }

    /// Returns the name of an adapter, without its model's name.
    pub fn adapter_name(
        &self,
        id: AdapterId,
    ) -> String {
        let name = self.adapters.name(id.0);
        let adapter = name.split_once('/').map_or(&*name, |(_, adapter)| adapter);
        adapter.to_owned()
    }

    /// Returns the name of an adapter as `MODEL/ADAPTER`; empty for an unknown id.
    pub fn full_adapter_name(
        &self,
        id: AdapterId,
    ) -> Rc<str> {
        self.adapters.name(id.0)
    }

    /// The names of all adapters, each as `MODEL/ADAPTER`.
    pub fn adapters(&self) -> impl Iterator<Item = &str> {
        self.adapters.names.iter().map(|name| &**name)
    }

    /// Returns the id of an upstream, assigning one if needed.
    pub fn upstream(
        &mut self,
        id: &str,
    ) -> UpstreamId {
        UpstreamId(self.upstreams.intern(id))
    }

    /// Returns the name of an upstream; empty for an unknown id.
    pub fn upstream_name(
        &self,
        id: UpstreamId,
    ) -> Rc<str> {
        self.upstreams.name(id.0)
    }

    /// Returns the id of a data centre, assigning one if needed.
    pub fn data_centre(
        &mut self,
        name: &str,
    ) -> DataCentreId {
        DataCentreId(self.data_centres.intern(name) as u16)
    }

    /// Returns the id of a build, assigning one if needed.
    pub fn build(
        &mut self,
        name: &str,
    ) -> BuildId {
        BuildId(self.builds.intern(name))
    }

    /// Returns the name of a build; empty for an unknown id.
    pub fn build_name(
        &self,
        id: BuildId,
    ) -> Rc<str> {
        self.builds.name(id.0)
    }
}
