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

/// The answer of another controller to a configuration poll.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConfigAnswer {
    /// Revision of the answering controller.
    pub revision: Revision,
    /// JSON of the newer edits or of the whole tree; empty if there is nothing newer.
    pub body: Vec<u8>,
    /// Whether `body` is the whole tree.
    pub full: bool,
    /// Time since the store confirmed the revision.
    pub confirmed_age: Millis,
}

/// The answer of another controller to a fleet poll.
#[derive(Clone, Debug, PartialEq)]
pub struct FleetAnswer {
    /// Sequence number of the state, to be sent with the next poll.
    pub seq: u64,
    /// Members with a valid lease, by VM.
    pub members: BTreeMap<VmId, MemberRecord>,
    /// Engine owners by upstream.
    pub owners: BTreeMap<UpstreamId, Owner>,
    /// Current epoch of rights.
    pub epoch: Epoch,
    /// Whether the epoch still collects reports of holdings.
    pub closing: bool,
}

/// The status reported by another controller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PeerStatus {
    /// Revision in force at the controller.
    pub revision: Revision,
    /// Revision in force at the gateway of the same VM; zero if there is none.
    pub gateway_revision: Revision,
    /// Epoch that the controller has entered.
    pub epoch: Epoch,
    /// Whether the controller reaches the store.
    pub store_up: bool,
    /// Number of engines owned by the controller.
    pub owned: u32,
    /// Whether the controller is shutting down.
    pub leaving: bool,
}

/// RPC links to the other controllers.
#[derive(Debug)]
pub struct PeerLinks {
    me: Holder,
    own_address: SocketAddr,
    links: RefCell<BTreeMap<SocketAddr, Rc<Link<controller::Client>>>>,
    controllers: RefCell<BTreeMap<VmId, SocketAddr>>,
}

impl PeerLinks {
    /// Creates the links of controller `me`, which peers reach at `own_address`.
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

    /// Sets the addresses of the other controllers and drops links to removed ones.
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

    /// Returns the address of a VM's controller.
    pub fn address(
        &self,
        vm: VmId,
    ) -> Option<SocketAddr> {
        self.controllers.borrow().get(&vm).copied()
    }

    /// Polls the controller at `address` for a configuration newer than `have`.
    ///
    /// # Errors
    ///
    /// [`LinkError`] if the controller can't be reached or doesn't answer.
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
                    confirmed_age: Millis(res.get_fresh_ms()),
                })
            })
            .await
    }

    /// Polls the controller at `address` for a fleet state with another number than `have`.
    ///
    /// # Errors
    ///
    /// [`LinkError`] if the controller can't be reached or doesn't answer.
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

    /// Asks another controller for rights; `None` if the call failed.
    pub async fn take_rights(
        &self,
        outgoing: &OutgoingTakeRequest,
    ) -> Option<TakeResponse> {
        let request = outgoing.request;
        let address = self.address(outgoing.to.vm)?;
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

    /// Returns the status of a VM's controller.
    ///
    /// # Errors
    ///
    /// [`LinkError`] if the controller can't be reached or doesn't answer.
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
