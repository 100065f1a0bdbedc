use {
    super::NameInterner,
    capnp::struct_list,
    jasmine_core::costs::{CostKey, LearnedCost},
    jasmine_wire::scheduler_capnp::learned_cost,
};

/// What a VM has learned of the cost of requests, with names in place of ids.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct CostSpec {
    /// Name of the service.
    pub service: String,
    /// Name of the route; empty for all routes.
    pub route: String,
    /// Name of the account; empty for all accounts.
    pub account: String,
    /// The adapter, as `MODEL/ADAPTER`; empty for all adapters.
    pub adapter: String,
    /// Milliseconds for a service as a whole, otherwise a ratio.
    pub mean: f64,
    /// Mean deviation relative to the mean.
    pub deviation: f64,
    /// Number of observations on which it rests.
    pub weight: f64,
}

impl CostSpec {
    pub(super) fn of(
        cost: &LearnedCost,
        names: &NameInterner,
    ) -> Self {
        let CostKey {
            service,
            route,
            account,
            adapter,
        } = cost.key;
        Self {
            service: names.service_name(service).to_string(),
            route: route.map_or_else(String::new, |id| names.route_name(id).to_string()),
            account: account.map_or_else(String::new, |id| names.account_name(id).to_string()),
            adapter: adapter.map_or_else(String::new, |id| names.full_adapter_name(id).to_string()),
            mean: cost.mean,
            deviation: cost.deviation,
            weight: cost.weight,
        }
    }

    /// Resolves names to this process's ids; `None` if the adapter's name isn't `MODEL/ADAPTER`.
    pub(super) fn resolve(
        &self,
        names: &mut NameInterner,
    ) -> Option<LearnedCost> {
        let adapter = match self.adapter.as_str() {
            "" => None,
            name => {
                let (model, adapter) = name.split_once('/')?;
                Some(names.adapter(model, adapter))
            }
        };
        let is_named = |name: &str| !name.is_empty();
        Some(LearnedCost {
            key: CostKey {
                service: names.service(&self.service),
                route: is_named(&self.route).then(|| names.route(&self.route)),
                account: is_named(&self.account).then(|| names.account(&self.account)),
                adapter,
            },
            mean: self.mean,
            deviation: self.deviation,
            weight: self.weight,
        })
    }
}

pub(super) fn write_costs(
    mut to: struct_list::Builder<'_, learned_cost::Owned>,
    costs: &[CostSpec],
) {
    for (at, cost) in costs.iter().enumerate() {
        let mut one = to.reborrow().get(at as u32);
        one.set_service(&cost.service);
        one.set_route(&cost.route);
        one.set_account(&cost.account);
        one.set_adapter(&cost.adapter);
        one.set_mean(cost.mean);
        one.set_deviation(cost.deviation);
        one.set_weight(cost.weight);
    }
}

pub(super) fn read_costs(
    from: struct_list::Reader<'_, learned_cost::Owned>
) -> Result<Vec<CostSpec>, capnp::Error> {
    from.iter()
        .map(|one| {
            Ok(CostSpec {
                service: one.get_service()?.to_string()?,
                route: one.get_route()?.to_string()?,
                account: one.get_account()?.to_string()?,
                adapter: one.get_adapter()?.to_string()?,
                mean: one.get_mean(),
                deviation: one.get_deviation(),
                weight: one.get_weight(),
            })
        })
        .collect()
}
