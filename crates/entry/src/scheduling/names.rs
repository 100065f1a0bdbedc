use {
    jasmine_core::ids::{AccountId, AdapterId, DataCentreId, ModelId, ServiceId, UpstreamId},
    std::{collections::HashMap, rc::Rc},
};

/// Numbers for names of one kind, given out as they are met.
#[derive(Clone, Debug, Default)]
struct Table {
    numbers: HashMap<Rc<str>, u32>,
    names: Vec<Rc<str>>,
}

impl Table {
    fn number(
        &mut self,
        name: &str,
    ) -> u32 {
        if let Some(&number) = self.numbers.get(name) {
            return number;
        }
        let name: Rc<str> = name.into();
        let number = self.names.len() as u32;
        self.numbers.insert(Rc::clone(&name), number);
        self.names.push(name);
        number
    }

    fn name(
        &self,
        number: u32,
    ) -> Rc<str> {
        self.names
            .get(number as usize)
            .map_or_else(|| "".into(), Rc::clone)
    }
}

/// The numbers that this process uses for the platform's names. Another process has other ones.
#[derive(Clone, Debug, Default)]
pub struct Names {
    services: Table,
    accounts: Table,
    models: Table,
    adapters: Table,
    upstreams: Table,
    data_centres: Table,
}

impl Names {
    /// The number of a service.
    pub fn service(
        &mut self,
        name: &str,
    ) -> ServiceId {
        ServiceId(self.services.number(name))
    }

    /// The number of a client account.
    pub fn account(
        &mut self,
        name: &str,
    ) -> AccountId {
        AccountId(self.accounts.number(name))
    }

    /// The number of a base model.
    pub fn model(
        &mut self,
        name: &str,
    ) -> ModelId {
        ModelId(self.models.number(name))
    }

    /// The name of a base model.
    pub fn model_name(
        &self,
        id: ModelId,
    ) -> Rc<str> {
        self.models.name(id.0)
    }

    /// The number of an adapter of a base model.
    pub fn adapter(
        &mut self,
        model: &str,
        adapter: &str,
    ) -> AdapterId {
        AdapterId(self.adapters.number(&format!("{model}/{adapter}")))
    }

    /// The name of an adapter, without its model's.
    pub fn adapter_name(
        &self,
        id: AdapterId,
    ) -> String {
        let name = self.adapters.name(id.0);
        let adapter = name.split_once('/').map_or(&*name, |(_, adapter)| adapter);
        adapter.to_owned()
    }

    /// The number of an upstream.
    pub fn upstream(
        &mut self,
        id: &str,
    ) -> UpstreamId {
        UpstreamId(self.upstreams.number(id))
    }

    /// The id of an upstream.
    pub fn upstream_name(
        &self,
        id: UpstreamId,
    ) -> Rc<str> {
        self.upstreams.name(id.0)
    }

    /// The number of a data centre.
    pub fn data_centre(
        &mut self,
        name: &str,
    ) -> DataCentreId {
        DataCentreId(self.data_centres.number(name) as u16)
    }
}
