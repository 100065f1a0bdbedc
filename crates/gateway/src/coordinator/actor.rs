use {
    super::{Core, PeerServer, WorkerMessage, polls},
    actix::{Actor, AsyncContext, Context, Handler, ResponseFuture},
    jasmine_core::clock::Millis,
    jasmine_telemetry::log::Line,
    jasmine_wire::{jasmine_capnp::gateway, link::serve},
    std::{net::TcpListener, rc::Rc},
};

/// Interval of the state's periodic work.
const TICK_INTERVAL: Millis = Millis(50);

/// Actor that owns the gateway's state and handles the messages of the HTTP workers.
#[derive(Debug)]
pub struct Coordinator {
    core: Rc<Core>,
    peers: Option<TcpListener>,
}

impl Coordinator {
    /// Creates a coordinator that serves other daemons on `peers`.
    pub const fn new(
        core: Rc<Core>,
        peers: TcpListener,
    ) -> Self {
        Self {
            core,
            peers: Some(peers),
        }
    }
}

impl Actor for Coordinator {
    type Context = Context<Self>;

    fn started(
        &mut self,
        cx: &mut Self::Context,
    ) {
        polls::start(&self.core);
        if let Some(listener) = self.peers.take() {
            let server: gateway::Client =
                capnp_rpc::new_client(PeerServer::new(Rc::clone(&self.core)));
            let listener = listener
                .set_nonblocking(true)
                .and_then(|()| tokio::net::TcpListener::from_std(listener));
            match listener {
                Ok(listener) => drop(tokio::task::spawn_local(serve(listener, server.client))),
                Err(e) => Line::new("peers_not_served").with("reason", e).error(),
            }
        }
        cx.run_interval(TICK_INTERVAL.to_std(), |actor, _| {
            actor.core.update(super::State::tick);
        });
    }
}

impl Handler<WorkerMessage> for Coordinator {
    type Result = ();

    fn handle(
        &mut self,
        message: WorkerMessage,
        _cx: &mut Self::Context,
    ) {
        match message {
            WorkerMessage::Admit {
                admission,
                reply,
                withdrawn,
            } => self
                .core
                .update(|state| state.admit(admission, reply, withdrawn)),
            WorkerMessage::Reroute { reroute, reply } => {
                self.core.update(|state| state.reroute(reroute, reply));
            }
            WorkerMessage::Finished(finished) => self.core.update(|state| state.finish(finished)),
            WorkerMessage::Claim { claim, reply } => {
                let core = Rc::clone(&self.core);
                tokio::task::spawn_local(async move {
                    drop(reply.send(core.claim(claim).await));
                });
            }
            WorkerMessage::FinishClaim {
                claim,
                answer,
                reply,
            } => {
                let core = Rc::clone(&self.core);
                tokio::task::spawn_local(async move {
                    reply
                        .send(core.finish_claim(claim, answer).await)
                        .unwrap_or_default();
                });
            }
        }
    }
}

/// Returns all rights to a controller, as the last step before a planned stop.
#[derive(Clone, Copy, Debug)]
#[derive(actix::Message)]
#[rtype(result = "()")]
pub struct ReleaseRights;

impl Handler<ReleaseRights> for Coordinator {
    type Result = ResponseFuture<()>;

    fn handle(
        &mut self,
        _message: ReleaseRights,
        _cx: &mut Self::Context,
    ) -> Self::Result {
        let core = Rc::clone(&self.core);
        Box::pin(async move {
            let (epoch, held) = core.update(super::State::release_rights);
            for (vm, address) in core.controllers() {
                if core.links.leave(address, epoch, held.clone()).await.is_ok() {
                    Line::new("rights_given_back").with("to", vm).info();
                    return;
                }
            }
            // A later epoch grants them again once this VM is off the platform's list.
            Line::new("rights_not_given_back").warn();
        })
    }
}
