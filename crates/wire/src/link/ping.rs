use {
    crate::{
        jasmine_capnp::{controller, gateway},
        scheduler_capnp::scheduler,
    },
    futures::future::LocalBoxFuture,
};

/// An RPC client that supports heartbeats.
pub trait Ping: Clone {
    /// Makes a cheap call that the server answers immediately.
    fn ping(&self) -> LocalBoxFuture<'static, Result<(), capnp::Error>>;
}

impl Ping for controller::Client {
    fn ping(&self) -> LocalBoxFuture<'static, Result<(), capnp::Error>> {
        let promise = self.status_request().send().promise;
        Box::pin(async move { promise.await.map(drop) })
    }
}

impl Ping for gateway::Client {
    fn ping(&self) -> LocalBoxFuture<'static, Result<(), capnp::Error>> {
        let promise = self.status_request().send().promise;
        Box::pin(async move { promise.await.map(drop) })
    }
}

impl Ping for scheduler::Client {
    fn ping(&self) -> LocalBoxFuture<'static, Result<(), capnp::Error>> {
        let promise = self.ping_request().send().promise;
        Box::pin(async move { promise.await.map(drop) })
    }
}
