//! RPC calls of a gateway to a controller.

use {
    jasmine_core::{clock::Millis, ids::Holder, placement::Instance},
    jasmine_wire::{
        convert::{read_instance, write_instances, write_peer},
        jasmine_capnp::{AcquireOutcome, ClaimOutcome, controller},
        link::{Link, LinkError},
    },
};

type ControllerLink = Link<controller::Client>;

/// Owner's reply to an acquire call.
#[derive(Debug)]
pub struct Acquired {
    pub outcome: AcquireOutcome,
    pub instance: Instance,
    pub owner_fence: u64,
}

pub async fn poll_fleet(
    to: &ControllerLink,
    from: Holder,
) -> Result<Vec<(u32, u32, u64)>, LinkError> {
    to.call(Millis::ZERO, move |client| async move {
        let mut req = client.poll_fleet_request();
        write_peer(req.get().init_from(), from);
        req.get().set_peer_address("127.0.0.1:9");
        let res = req.send().promise.await?;
        let owners = res.get()?.get_owners()?;
        let rows = owners.iter();
        Ok(rows
            .map(|owner| (owner.get_upstream(), owner.get_vm(), owner.get_fence()))
            .collect())
    })
    .await
}

pub async fn poll_upstreams(
    to: &ControllerLink,
    from: Holder,
    seen: (u32, u64),
    held: Vec<Instance>,
) -> Result<(), LinkError> {
    to.call(Millis::ZERO, move |client| async move {
        let mut req = client.poll_upstreams_request();
        write_peer(req.get().init_from(), from);
        let mut rows = req.get().init_seen(1);
        rows.reborrow().get(0).set_upstream(seen.0);
        rows.reborrow().get(0).set_fence(seen.1);
        let rows = req.get().init_held(held.len() as u32);
        write_instances(rows, &held);
        req.send().promise.await.map(drop)
    })
    .await
}

pub async fn acquire(
    to: &ControllerLink,
    from: Holder,
    ask: u64,
    upstream: u32,
    adapter: u32,
) -> Result<Acquired, LinkError> {
    let wait = Millis(1000);
    to.call(wait, move |client| async move {
        let mut req = client.acquire_request();
        let mut params = req.get();
        write_peer(params.reborrow().init_from(), from);
        params.set_upstream(upstream);
        params.set_adapter(adapter);
        params.set_version(1);
        params.set_wait_ms(wait.0 as u32);
        params.set_ask(ask);
        let res = req.send().promise.await?;
        let res = res.get()?;
        Ok(Acquired {
            outcome: res.get_outcome()?,
            instance: read_instance(res.get_instance()?),
            owner_fence: res.get_owner_fence(),
        })
    })
    .await
}

pub async fn claim(
    to: &ControllerLink,
    key: &'static [u8],
    fingerprint: &'static [u8],
) -> (ClaimOutcome, Vec<u8>) {
    to.call(Millis(3000), move |client| async move {
        let mut req = client.claim_request();
        req.get().set_key(key);
        req.get().set_fingerprint(fingerprint);
        let res = req.send().promise.await?;
        let res = res.get()?;
        Ok((res.get_outcome()?, res.get_answer()?.to_vec()))
    })
    .await
    .unwrap()
}

pub async fn finish_claim(
    to: &ControllerLink,
    key: &'static [u8],
    fingerprint: &'static [u8],
    answer: &'static [u8],
) -> bool {
    to.call(Millis(3000), move |client| async move {
        let mut req = client.finish_claim_request();
        req.get().set_key(key);
        req.get().set_fingerprint(fingerprint);
        req.get().set_answer(answer);
        let res = req.send().promise.await?;
        Ok(res.get()?.get_stored())
    })
    .await
    .unwrap()
}
