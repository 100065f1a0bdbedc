use {
    super::Core,
    jasmine_wire::{
        convert::{read_take_request, write_take_response},
        jasmine_capnp::{gateway, rights_holder},
    },
    std::rc::Rc,
};

/// RPC server for other daemons: transfers of rights and the gateway's status.
#[derive(Clone, Debug)]
pub struct PeerServer {
    core: Rc<Core>,
}

impl PeerServer {
    /// Creates a server that answers from the state of `core`.
    pub const fn new(core: Rc<Core>) -> Self {
        Self { core }
    }
}

impl rights_holder::Server for PeerServer {
    async fn take_rights(
        self: Rc<Self>,
        params: rights_holder::TakeRightsParams,
        mut results: rights_holder::TakeRightsResults,
    ) -> Result<(), capnp::Error> {
        let request = read_take_request(params.get()?)?;
        let given = self
            .core
            .update(|state| state.handle_take_request(&request));
        write_take_response(results.get(), &given);
        Ok(())
    }
}

impl gateway::Server for PeerServer {
    async fn status(
        self: Rc<Self>,
        _params: gateway::StatusParams,
        mut results: gateway::StatusResults,
    ) -> Result<(), capnp::Error> {
        let state = self.core.state.borrow();
        let mut answer = results.get();
        answer.set_revision(state.revision().0);
        answer.set_epoch(state.epoch().0);
        answer.set_in_flight(state.in_flight() as u32);
        answer.set_draining(state.is_draining());
        Ok(())
    }
}
