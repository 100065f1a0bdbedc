use {
    super::{ConfigResponse, FleetResponse, Member, wire_types},
    capnp::capability::FromClientHook,
    jasmine_core::{
        clock::Millis,
        ids::{
            AccountId, AdapterVersion, Epoch, Fence, Holder, Incarnation, Revision, UpstreamId,
            VmId,
        },
        ownership::AcquireOutcome,
        placement::Instance,
        rights::{OutgoingTakeRequest, Right, TakeResponse},
        routing::EngineView,
    },
    jasmine_wire::{
        convert::{read_rights, read_take_response, write_peer, write_rights, write_take_request},
        jasmine_capnp::{controller, gateway, rights_holder},
        link::{Link, LinkError, LinkOptions},
    },
    std::{cell::RefCell, collections::HashMap, net::SocketAddr, rc::Rc},
};

/// An owner's response to a poll of its engines.
#[derive(Clone, Debug)]
pub struct UpstreamsResponse {
    /// Sequence number of the owner's latest change; sent back as `have` in the next poll.
    pub seq: u64,
    /// Engines that have changed since the polled sequence number.
    pub engines: Vec<EngineView>,
    /// Adapter instances that this gateway must stop using and release.
    pub recalls: Vec<Instance>,
}

/// RPC links to the controllers and to the other gateways.
pub struct Links {
    me: Holder,
    /// The address on which this gateway serves its peers.
    peer_address: SocketAddr,
    controllers: RefCell<HashMap<SocketAddr, Rc<Link<controller::Client>>>>,
    gateways: RefCell<HashMap<SocketAddr, Rc<Link<gateway::Client>>>>,
}

impl std::fmt::Debug for Links {
    fn fmt(
        &self,
        f: &mut std::fmt::Formatter<'_>,
    ) -> std::fmt::Result {
        f.debug_struct("Links")
            .field("me", &self.me)
            .finish_non_exhaustive()
    }
}

impl Links {
    /// Creates an empty set of links.
    pub fn new(
        me: Holder,
        peer_address: SocketAddr,
    ) -> Self {
        Self {
            me,
            peer_address,
            controllers: RefCell::default(),
            gateways: RefCell::default(),
        }
    }

    /// Polls a controller for a configuration newer than `have`; it may wait up to `wait` for one.
    ///
    /// # Errors
    ///
    /// [`LinkError`] if the call failed or timed out.
    pub async fn poll_config(
        &self,
        (vm, address): (VmId, SocketAddr),
        have: Revision,
        wait: Millis,
    ) -> Result<ConfigResponse, LinkError> {
        let me = self.me;
        self.controller(address)
            .call(wait, move |client| async move {
                let mut req = client.poll_config_request();
                write_peer(req.get().init_from(), me);
                req.get().set_have(have.0);
                req.get().set_wait_ms(wait.0 as u32);
                let res = req.send().promise.await?;
                let res = res.get()?;
                Ok(ConfigResponse {
                    vm,
                    body: res.get_body()?.to_vec(),
                    is_full_tree: res.get_full(),
                    store_confirmation_age: Millis(res.get_fresh_ms()),
                })
            })
            .await
    }

    /// Polls a controller for a fleet state other than `have`; it may wait up to `wait` for a change.
    ///
    /// # Errors
    ///
    /// [`LinkError`] if the call failed or timed out.
    pub async fn poll_fleet(
        &self,
        address: SocketAddr,
        have: u64,
        wait: Millis,
    ) -> Result<(u64, FleetResponse), LinkError> {
        let (me, peer_address) = (self.me, self.peer_address);
        self.controller(address)
            .call(wait, move |client| async move {
                let mut req = client.poll_fleet_request();
                write_peer(req.get().init_from(), me);
                req.get().set_peer_address(peer_address.to_string());
                req.get().set_have(have);
                req.get().set_wait_ms(wait.0 as u32);
                let res = req.send().promise.await?;
                let res = res.get()?;
                let epoch = res.get_epoch()?;
                let members = res.get_members()?.iter().map(read_member);
                let owners = res.get_owners()?.iter();
                let response = FleetResponse {
                    members: members.collect::<Result<Vec<_>, capnp::Error>>()?,
                    owners: owners
                        .map(|owner| (UpstreamId(owner.get_upstream()), VmId(owner.get_vm())))
                        .collect(),
                    epoch: Epoch(epoch.get_epoch()),
                    newest_epoch: Epoch(epoch.get_newest()),
                    is_closing: epoch.get_closing(),
                    grants: read_rights(epoch.get_grants()?),
                };
                Ok((res.get_seq(), response))
            })
            .await
    }

    /// Polls an owner for changes of its engines since `have`.
    ///
    /// `seen` are the highest fencing tokens known per engine, `held` the instances that this gateway uses.
    ///
    /// # Errors
    ///
    /// [`LinkError`] if the call failed or timed out.
    pub async fn poll_upstreams(
        &self,
        address: SocketAddr,
        have: u64,
        wait: Millis,
        seen: Vec<(UpstreamId, Fence)>,
        held: Vec<Instance>,
    ) -> Result<UpstreamsResponse, LinkError> {
        let me = self.me;
        self.controller(address)
            .call(wait, move |client| async move {
                let mut req = client.poll_upstreams_request();
                let mut params = req.get();
                write_peer(params.reborrow().init_from(), me);
                params.set_have(have);
                params.set_wait_ms(wait.0 as u32);
                let mut list = params.reborrow().init_seen(seen.len() as u32);
                for (i, (upstream, fence)) in (0..).zip(&seen) {
                    let mut item = list.reborrow().get(i);
                    item.set_upstream(upstream.0);
                    item.set_fence(fence.0);
                }
                wire_types::write_instances(params.init_held(held.len() as u32), &held);
                let res = req.send().promise.await?;
                let res = res.get()?;
                let engines = res.get_engines()?.iter().map(wire_types::read_engine);
                Ok(UpstreamsResponse {
                    seq: res.get_seq(),
                    engines: engines.collect::<Result<Vec<_>, capnp::Error>>()?,
                    recalls: res
                        .get_recalls()?
                        .iter()
                        .map(wire_types::read_instance)
                        .collect(),
                })
            })
            .await
    }

    /// Requests an adapter on an engine from the engine's owner.
    ///
    /// # Errors
    ///
    /// [`LinkError`] if the call failed or timed out.
    pub async fn acquire(
        &self,
        address: SocketAddr,
        upstream: UpstreamId,
        adapter: AdapterVersion,
        account: AccountId,
        ask: u64,
        wait: Millis,
    ) -> Result<AcquireOutcome, LinkError> {
        let me = self.me;
        self.controller(address)
            .call(wait, move |client| async move {
                let mut req = client.acquire_request();
                let mut params = req.get();
                write_peer(params.reborrow().init_from(), me);
                params.set_upstream(upstream.0);
                params.set_adapter(adapter.adapter.0);
                params.set_version(adapter.version);
                params.set_account(account.0);
                params.set_wait_ms(wait.0 as u32);
                params.set_ask(ask);
                let res = req.send().promise.await?;
                wire_types::read_acquired(res.get()?)
            })
            .await
    }

    /// Tells an owner that this gateway has released an instance.
    ///
    /// # Errors
    ///
    /// [`LinkError`] if the call failed or timed out.
    pub async fn release(
        &self,
        address: SocketAddr,
        instance: Instance,
        fence: Fence,
        ask: u64,
    ) -> Result<(), LinkError> {
        let me = self.me;
        self.controller(address)
            .call(Millis::ZERO, move |client| async move {
                let mut req = client.release_request();
                let mut params = req.get();
                write_peer(params.reborrow().init_from(), me);
                params.set_owner_fence(fence.0);
                params.set_ask(ask);
                wire_types::write_instances(params.init_instances(1), &[instance]);
                req.send().promise.await.map(drop)
            })
            .await
    }

    /// Reports the rights held at the start of an epoch.
    ///
    /// # Errors
    ///
    /// [`LinkError`] if the call failed or timed out.
    pub async fn report_holdings(
        &self,
        address: SocketAddr,
        epoch: Epoch,
        held: Vec<Right>,
    ) -> Result<(), LinkError> {
        let me = self.me;
        self.controller(address)
            .call(Millis::ZERO, move |client| async move {
                let mut req = client.report_holdings_request();
                write_peer(req.get().init_from(), me);
                req.get().set_epoch(epoch.0);
                write_rights(req.get().init_holdings(held.len() as u32), &held);
                req.send().promise.await.map(drop)
            })
            .await
    }

    /// Returns all rights to a controller before a planned stop.
    ///
    /// # Errors
    ///
    /// [`LinkError`] if the call failed or timed out.
    pub async fn leave(
        &self,
        address: SocketAddr,
        epoch: Epoch,
        held: Vec<Right>,
    ) -> Result<(), LinkError> {
        let me = self.me;
        self.controller(address)
            .call(Millis::ZERO, move |client| async move {
                let mut req = client.leave_request();
                write_peer(req.get().init_from(), me);
                req.get().set_epoch(epoch.0);
                write_rights(req.get().init_holdings(held.len() as u32), &held);
                req.send().promise.await.map(drop)
            })
            .await
    }

    /// Requests rights from another gateway.
    ///
    /// # Errors
    ///
    /// [`LinkError`] if the call failed or timed out.
    pub async fn take_rights(
        &self,
        address: SocketAddr,
        take: OutgoingTakeRequest,
    ) -> Result<TakeResponse, LinkError> {
        let request = take.request;
        self.gateway(address)
            .call(Millis::ZERO, move |client| async move {
                let holder: rights_holder::Client = client.cast_to();
                let mut req = holder.take_rights_request();
                write_take_request(req.get(), &request);
                let res = req.send().promise.await?;
                read_take_response(res.get()?)
            })
            .await
    }

    /// The link to a controller, created on first use.
    pub fn controller(
        &self,
        address: SocketAddr,
    ) -> Rc<Link<controller::Client>> {
        get_or_create(&self.controllers, address)
    }

    /// Closes the links to all addresses that `is_current` rejects.
    pub fn retain_addresses<F>(
        &self,
        is_current: F,
    ) where
        F: Fn(SocketAddr) -> bool,
    {
        self.controllers
            .borrow_mut()
            .retain(|&address, _| is_current(address));
        self.gateways
            .borrow_mut()
            .retain(|&address, _| is_current(address));
    }

    fn gateway(
        &self,
        address: SocketAddr,
    ) -> Rc<Link<gateway::Client>> {
        get_or_create(&self.gateways, address)
    }
}

fn get_or_create<C>(
    links: &RefCell<HashMap<SocketAddr, Rc<Link<C>>>>,
    address: SocketAddr,
) -> Rc<Link<C>> {
    let mut links = links.borrow_mut();
    let link = links
        .entry(address)
        .or_insert_with(|| Rc::new(Link::new(address, LinkOptions::default())));
    Rc::clone(link)
}

fn read_member(
    reader: jasmine_wire::jasmine_capnp::member::Reader<'_>
) -> Result<Member, capnp::Error> {
    let address = |text: capnp::text::Reader<'_>| text.to_str().ok()?.parse().ok();
    let controller = address(reader.get_controller_address()?).ok_or_else(|| {
        capnp::Error::failed("invalid controller address in the member list".into())
    })?;
    let gateway = address(reader.get_gateway_address()?)
        .filter(|_| reader.get_gateway_incarnation() > 0)
        .map(|address| (Incarnation(reader.get_gateway_incarnation()), address));
    Ok(Member {
        vm: VmId(reader.get_vm()),
        controller,
        gateway,
        is_draining: reader.get_leaving(),
    })
}
