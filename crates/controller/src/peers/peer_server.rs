use {
    super::{write_fleet, write_upstreams},
    crate::{claims::ClaimOutcome, daemon::ControllerContext, fleet::DaemonRecord},
    jasmine_core::{
        clock::Millis,
        ids::{
            AccountId, AdapterId, AdapterVersion, Epoch, Fence, Holder, Revision, Role, UpstreamId,
        },
        ownership::{self, AcquireRequest, OwnerEvent, Poll, Release},
    },
    jasmine_wire::{
        convert::{
            read_instances, read_peer, read_rights, read_take_request, write_instance,
            write_take_response,
        },
        jasmine_capnp::{
            AcquireOutcome, ClaimOutcome as WireClaimOutcome, controller, rights_holder,
        },
    },
    std::rc::Rc,
};

/// Upper bound on the wait requested by a long poll.
const MAX_POLL_WAIT: Millis = Millis(30_000);

/// RPC server for gateways and other controllers.
#[derive(Clone, Debug)]
pub struct PeerServer {
    cx: Rc<ControllerContext>,
}

impl PeerServer {
    /// Creates a server of this controller's state.
    pub const fn new(cx: Rc<ControllerContext>) -> Self {
        Self { cx }
    }

    fn is_own_gateway(
        &self,
        from: Holder,
    ) -> bool {
        from.role == Role::Gateway && from.vm == self.cx.me.vm
    }
}

impl rights_holder::Server for PeerServer {
    async fn take_rights(
        self: Rc<Self>,
        params: rights_holder::TakeRightsParams,
        mut results: rights_holder::TakeRightsResults,
    ) -> Result<(), capnp::Error> {
        let given = self
            .cx
            .budget
            .handle_take_request(&read_take_request(params.get()?)?);
        write_take_response(results.get(), &given);
        Ok(())
    }
}

impl controller::Server for PeerServer {
    async fn poll_config(
        self: Rc<Self>,
        params: controller::PollConfigParams,
        mut results: controller::PollConfigResults,
    ) -> Result<(), capnp::Error> {
        let params = params.get()?;
        let have = Revision(params.get_have());
        let config = &self.cx.config;
        if self.is_own_gateway(read_peer(params.get_from()?)?) {
            config.note_gateway(have);
        }
        let seen = config.changed.seq();
        if config.revision() <= have && (config.is_loaded() || have == Revision(0)) {
            config
                .changed
                .wait_for_change_after(seen, poll_wait(params.get_wait_ms()))
                .await;
        }
        let reply = config.reply(have);
        let mut res = results.get();
        res.set_revision(reply.revision.0);
        res.set_body(&reply.body);
        res.set_full(reply.full);
        res.set_fresh_ms(reply.confirmed_age.0);
        Ok(())
    }

    async fn poll_fleet(
        self: Rc<Self>,
        params: controller::PollFleetParams,
        mut results: controller::PollFleetResults,
    ) -> Result<(), capnp::Error> {
        let params = params.get()?;
        let from = read_peer(params.get_from()?)?;
        let address = params.get_peer_address()?.to_str()?.parse();
        match address {
            Ok(address) if self.is_own_gateway(from) => self.cx.note_gateway(DaemonRecord {
                incarnation: from.incarnation,
                address,
            }),
            _ => {}
        }
        let changed = self.cx.fleet.borrow().changed.clone();
        let have = params.get_have();
        changed
            .wait_for_change_after(have, poll_wait(params.get_wait_ms()))
            .await;
        let mirror = self.cx.fleet.borrow();
        if mirror.changed.seq() == have {
            // Nothing changed: sending the whole fleet after each poll timeout would waste bandwidth.
            results.get().set_seq(have);
        } else {
            write_fleet(results.get(), &mirror, from);
        }
        Ok(())
    }

    async fn report_holdings(
        self: Rc<Self>,
        params: controller::ReportHoldingsParams,
        _: controller::ReportHoldingsResults,
    ) -> Result<(), capnp::Error> {
        let params = params.get()?;
        let from = read_peer(params.get_from()?)?;
        let rights = read_rights(params.get_holdings()?);
        self.cx
            .holdings
            .report(Epoch(params.get_epoch()), from, rights)
            .await
            .map_err(|e| capnp::Error::failed(e.to_string()))
    }

    async fn poll_upstreams(
        self: Rc<Self>,
        params: controller::PollUpstreamsParams,
        mut results: controller::PollUpstreamsResults,
    ) -> Result<(), capnp::Error> {
        let params = params.get()?;
        let from = read_peer(params.get_from()?)?;
        let seen = params
            .get_seen()?
            .iter()
            .map(|seen| (UpstreamId(seen.get_upstream()), Fence(seen.get_fence())))
            .collect();
        let engine_owner = &self.cx.engine_owner;
        engine_owner.handle(OwnerEvent::Polled(Poll {
            from,
            seen,
            held: read_instances(params.get_held()?),
        }));
        let have = params.get_have();
        if engine_owner.recalls(from).is_empty() {
            engine_owner
                .changed
                .wait_for_change_after(have, poll_wait(params.get_wait_ms()))
                .await;
        }
        let seq = engine_owner.changed.seq();
        write_upstreams(
            results.get(),
            seq,
            &engine_owner.states_since(have),
            &engine_owner.recalls(from),
        );
        Ok(())
    }

    async fn acquire(
        self: Rc<Self>,
        params: controller::AcquireParams,
        mut results: controller::AcquireResults,
    ) -> Result<(), capnp::Error> {
        let params = params.get()?;
        let ask = AcquireRequest {
            from: read_peer(params.get_from()?)?,
            ask: params.get_ask(),
            upstream: UpstreamId(params.get_upstream()),
            adapter: AdapterVersion {
                adapter: AdapterId(params.get_adapter()),
                version: params.get_version(),
            },
            account: AccountId(params.get_account()),
            wait: poll_wait(params.get_wait_ms()),
        };
        let outcome = self.cx.engine_owner.acquire(ask).await;
        let mut res = results.get();
        let (outcome, retry) = match outcome {
            ownership::AcquireOutcome::Granted { instance, owner } => {
                write_instance(res.reborrow().init_instance(), &instance);
                res.set_owner_fence(owner.0);
                (AcquireOutcome::Granted, Millis::ZERO)
            }
            ownership::AcquireOutcome::Loading => (AcquireOutcome::Loading, Millis::ZERO),
            ownership::AcquireOutcome::Full(retry) => (AcquireOutcome::Full, retry),
            ownership::AcquireOutcome::LoadFailed(retry) => (AcquireOutcome::LoadFailed, retry),
            ownership::AcquireOutcome::NotOwner => (AcquireOutcome::NotOwner, Millis::ZERO),
        };
        res.set_outcome(outcome);
        res.set_retry_ms(retry.0.min(u64::from(u32::MAX)) as u32);
        Ok(())
    }

    async fn release(
        self: Rc<Self>,
        params: controller::ReleaseParams,
        _: controller::ReleaseResults,
    ) -> Result<(), capnp::Error> {
        let params = params.get()?;
        self.cx.engine_owner.handle(OwnerEvent::Released(Release {
            from: read_peer(params.get_from()?)?,
            fence: Fence(params.get_owner_fence()),
            ask: params.get_ask(),
            instances: read_instances(params.get_instances()?),
        }));
        Ok(())
    }

    async fn claim(
        self: Rc<Self>,
        params: controller::ClaimParams,
        mut results: controller::ClaimResults,
    ) -> Result<(), capnp::Error> {
        let params = params.get()?;
        let claims = Rc::clone(&self.cx.claims);
        let outcome = claims
            .claim(params.get_key()?, params.get_fingerprint()?)
            .await;
        let mut res = results.get();
        res.set_outcome(match &outcome {
            ClaimOutcome::Fresh => WireClaimOutcome::Fresh,
            ClaimOutcome::Running => WireClaimOutcome::Running,
            ClaimOutcome::Done(_) => WireClaimOutcome::Done,
            ClaimOutcome::Mismatch => WireClaimOutcome::Mismatch,
            ClaimOutcome::Unavailable => WireClaimOutcome::Unavailable,
        });
        if let ClaimOutcome::Done(answer) = outcome {
            res.set_answer(&answer);
        }
        Ok(())
    }

    async fn finish_claim(
        self: Rc<Self>,
        params: controller::FinishClaimParams,
        mut results: controller::FinishClaimResults,
    ) -> Result<(), capnp::Error> {
        let params = params.get()?;
        let stored = self
            .cx
            .claims
            .finish(
                params.get_key()?,
                params.get_fingerprint()?,
                params.get_answer()?,
            )
            .await;
        results.get().set_stored(stored);
        Ok(())
    }

    async fn status(
        self: Rc<Self>,
        _: controller::StatusParams,
        mut results: controller::StatusResults,
    ) -> Result<(), capnp::Error> {
        let status = self.cx.status();
        let mut res = results.get();
        res.set_revision(status.revision.0);
        res.set_epoch(status.epoch.0);
        res.set_gateway_revision(status.gateway_revision.0);
        res.set_store_up(status.store_up);
        res.set_owned(status.owned);
        res.set_leaving(status.leaving);
        Ok(())
    }

    async fn leave(
        self: Rc<Self>,
        params: controller::LeaveParams,
        _: controller::LeaveResults,
    ) -> Result<(), capnp::Error> {
        let params = params.get()?;
        let from = read_peer(params.get_from()?)?;
        let rights = read_rights(params.get_holdings()?);
        self.cx
            .holdings
            .release(from, rights)
            .await
            .map_err(|e| capnp::Error::failed(e.to_string()))
    }
}

fn poll_wait(ms: u32) -> Millis {
    Millis(u64::from(ms)).min(MAX_POLL_WAIT)
}
