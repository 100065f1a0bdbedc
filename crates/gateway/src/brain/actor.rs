use {
    super::{BrainMessage, Core, PeerServer, polls},
    actix::{Actor, AsyncContext, Context, Handler, ResponseFuture},
    jasmine_core::clock::Millis,
    jasmine_telemetry::log::Line,
    jasmine_wire::{jasmine_capnp::gateway, link::serve},
    std::{net::TcpListener, rc::Rc},
};

/// How often time is looked at.
const TICK: Millis = Millis(50);

/// The actor behind all decisions.
#[derive(Debug)]
pub struct Brain {
    core: Rc<Core>,
    peers: Option<TcpListener>,
}

impl Brain {
    /// A brain that serves other daemons on `peers`.
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

impl Actor for Brain {
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
        cx.run_interval(TICK.to_std(), |brain, _| {
            brain.core.decide(super::State::tick);
        });
    }
}

impl Handler<BrainMessage> for Brain {
    type Result = ();

    fn handle(
        &mut self,
        message: BrainMessage,
        _cx: &mut Self::Context,
    ) {
        match message {
            BrainMessage::Admit {
                admission,
                reply,
                withdrawn,
            } => self
                .core
                .decide(|state| state.admit(admission, reply, withdrawn)),
            BrainMessage::RouteAgain { again, reply } => {
                self.core.decide(|state| state.route_again(again, reply));
            }
            BrainMessage::Finished(finished) => self.core.decide(|state| state.finish(finished)),
            BrainMessage::Claim { claim, reply } => {
                let core = Rc::clone(&self.core);
                tokio::task::spawn_local(async move {
                    drop(reply.send(core.claim(claim).await));
                });
            }
            BrainMessage::FinishClaim {
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

/// Gives the rights back: the last thing before a planned stop.
#[derive(Clone, Copy, Debug)]
#[derive(actix::Message)]
#[rtype(result = "()")]
pub struct Leave;

impl Handler<Leave> for Brain {
    type Result = ResponseFuture<()>;

    fn handle(
        &mut self,
        _message: Leave,
        _cx: &mut Self::Context,
    ) -> Self::Result {
        let core = Rc::clone(&self.core);
        Box::pin(async move {
            let (epoch, held) = core.decide(super::State::give_back);
            for (vm, address) in core.controllers() {
                if core.links.leave(address, epoch, held.clone()).await.is_ok() {
                    Line::new("rights_given_back").with("to", vm).info();
                    return;
                }
            }
            // They come back with an epoch once this VM is gone from the platform's list.
            Line::new("rights_not_given_back").warn();
        })
    }
}
