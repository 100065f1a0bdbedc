use {
    super::{read_members, read_owners},
    crate::fleet::{MemberRecord, Owner},
    capnp::capability::FromClientHook,
    jasmine_core::{
        clock::Millis,
        ids::{Epoch, Holder, Revision, UpstreamId, VmId},
        rights::{OutgoingTakeRequest, TakeResponse},
    },
    jasmine_wire::{
        convert::{read_take_response, write_peer, write_take_request},
        jasmine_capnp::{controller, rights_holder},
        link::{Link, LinkError, LinkOptions},
    },
    std::{cell::RefCell, collections::BTreeMap, net::SocketAddr, rc::Rc},
};

/// A newer configuration as another controller tells it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConfigAnswer {
    /// The revision that the other has.
    pub revision: Revision,
    /// JSON of the edits or of the whole tree; empty when there is nothing newer.
    pub body: Vec<u8>,
    /// Whether the body is the whole tree.
    pub full: bool,
    /// Time since the store confirmed the revision.
    pub fresh: Millis,
}

/// The fleet as another controller tells it.
#[derive(Clone, Debug, PartialEq)]
pub struct FleetAnswer {
    /// The number of the change, to be sent with the next question.
    pub seq: u64,
    /// VMs with a live lease.
    pub members: BTreeMap<VmId, MemberRecord>,
    /// Owners of engines.
    pub owners: BTreeMap<UpstreamId, Owner>,
    /// The epoch of rights.
    pub epoch: Epoch,
    /// Whether reports of holdings are still being gathered.
    pub closing: bool,
}

/// How this controller reads another one's progress.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PeerStatus {
    /// The revision in force at the controller.
    pub revision: Revision,
    /// The revision in force at the gateway beside it, zero when it has none.
    pub gateway_revision: Revision,
    /// The epoch that the controller is in.
    pub epoch: Epoch,
    /// Whether the controller reaches the store.
    pub store_up: bool,
    /// Engines that it owns.
    pub owned: u32,
    /// Whether it is about to stop.
    pub leaving: bool,
}

/// The links to the other controllers.
#[derive(Debug)]
pub struct PeerLinks {
    me: Holder,
    own_address: SocketAddr,
    links: RefCell<BTreeMap<SocketAddr, Rc<Link<controller::Client>>>>,
    controllers: RefCell<BTreeMap<VmId, SocketAddr>>,
}

impl PeerLinks {
    /// Links of the controller `me`, which others reach at `own_address`.
    pub fn new(
        me: Holder,
        own_address: SocketAddr,
    ) -> Self {
        Self {
            me,
            own_address,
            links: RefCell::default(),
            controllers: RefCell::default(),
        }
    }

    /// Sets where the other controllers are, and drops links to those that are gone.
    pub fn set_members<'a>(
        &self,
        members: impl IntoIterator<Item = &'a MemberRecord>,
    ) {
        let controllers: BTreeMap<_, _> = members
            .into_iter()
            .filter(|member| member.vm != self.me.vm)
            .map(|member| (member.vm, member.controller.address))
            .collect();
        self.links
            .borrow_mut()
            .retain(|address, _| controllers.values().any(|known| known == address));
        self.controllers.replace(controllers);
    }

    /// Where a VM's controller is.
    pub fn address(
        &self,
        vm: VmId,
    ) -> Option<SocketAddr> {
        self.controllers.borrow().get(&vm).copied()
    }

    /// Asks the controller at `address` for a configuration newer than `have`.
    ///
    /// # Errors
    ///
    /// [`LinkError`] where it can't be reached or doesn't answer.
    pub async fn poll_config(
        &self,
        address: SocketAddr,
        have: Revision,
        wait: Millis,
    ) -> Result<ConfigAnswer, LinkError> {
        let me = self.me;
        self.link(address)
            .call(wait, move |client| async move {
                let mut req = client.poll_config_request();
                write_peer(req.get().init_from(), me);
                req.get().set_have(have.0);
                req.get().set_wait_ms(wait.0 as u32);
                let res = req.send().promise.await?;
                let res = res.get()?;
                Ok(ConfigAnswer {
                    revision: Revision(res.get_revision()),
                    body: res.get_body()?.to_vec(),
                    full: res.get_full(),
                    fresh: Millis(res.get_fresh_ms()),
                })
            })
            .await
    }

    /// Asks the controller at `address` for the fleet once its change is another than `have`.
    ///
    /// # Errors
    ///
    /// [`LinkError`] where it can't be reached or doesn't answer.
    pub async fn poll_fleet(
        &self,
        address: SocketAddr,
        have: u64,
        wait: Millis,
    ) -> Result<FleetAnswer, LinkError> {
        let (me, own_address) = (self.me, self.own_address);
        self.link(address)
            .call(wait, move |client| async move {
                let mut req = client.poll_fleet_request();
                write_peer(req.get().init_from(), me);
                req.get().set_peer_address(own_address.to_string());
                req.get().set_have(have);
                req.get().set_wait_ms(wait.0 as u32);
                let res = req.send().promise.await?;
                let res = res.get()?;
                let members = read_members(res.get_members()?)?;
                let owners = read_owners(res.get_owners()?, &members);
                let epoch = res.get_epoch()?;
                Ok(FleetAnswer {
                    seq: res.get_seq(),
                    members,
                    owners,
                    epoch: Epoch(epoch.get_epoch()),
                    closing: epoch.get_closing(),
                })
            })
            .await
    }

    /// Asks another controller for rights; `None` where no answer came.
    pub async fn take_rights(
        &self,
        ask: &OutgoingTakeRequest,
    ) -> Option<TakeResponse> {
        let request = ask.request;
        let address = self.address(ask.to.vm)?;
        self.link(address)
            .call(Millis::ZERO, move |client| async move {
                let holder = client.cast_to::<rights_holder::Client>();
                let mut req = holder.take_rights_request();
                write_take_request(req.get(), &request);
                let res = req.send().promise.await?;
                read_take_response(res.get()?)
            })
            .await
            .ok()
    }

    /// Asks a VM's controller how far it is.
    ///
    /// # Errors
    ///
    /// [`LinkError`] where it can't be reached or doesn't answer.
    pub async fn status(
        &self,
        vm: VmId,
    ) -> Result<PeerStatus, LinkError> {
        let address = self
            .address(vm)
            .ok_or_else(|| LinkError::Unreachable("not a member".into()))?;
        self.link(address)
            .call(Millis::ZERO, |client| async move {
                let res = client.status_request().send().promise.await?;
                let res = res.get()?;
                Ok(PeerStatus {
                    revision: Revision(res.get_revision()),
                    gateway_revision: Revision(res.get_gateway_revision()),
                    epoch: Epoch(res.get_epoch()),
                    store_up: res.get_store_up(),
                    owned: res.get_owned(),
                    leaving: res.get_leaving(),
                })
            })
            .await
    }

    fn link(
        &self,
        address: SocketAddr,
    ) -> Rc<Link<controller::Client>> {
        let mut links = self.links.borrow_mut();
        let link = links
            .entry(address)
            .or_insert_with(|| Rc::new(Link::new(address, LinkOptions::default())));
        Rc::clone(link)
    }
}
