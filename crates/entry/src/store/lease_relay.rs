use {
    crate::context::Context,
    jasmine_core::clock::Millis,
    jasmine_store::store::{Lease, LeaseId, StoreError},
    jasmine_telemetry::log::Line,
    jasmine_wire::{
        link::{Link, LinkOptions},
        scheduler_capnp::{RenewalState, scheduler},
    },
    std::{
        cell::{Cell, RefCell},
        net::SocketAddr,
        rc::Rc,
    },
};

/// Options of the links to other VMs; the call timeout includes their own call to the store.
const RELAY_LINK_OPTIONS: LinkOptions = LinkOptions {
    connect_timeout: Millis(100),
    call_timeout: Millis(300),
    heartbeat_interval: Millis(60_000),
    backoff_initial: Millis(30),
    backoff_max: Millis(200),
};
/// VMs tried in turn for one renewal.
const MAX_RELAY_ATTEMPTS: usize = 2;

/// Renews leases through other VMs while this VM can't reach the store.
pub(super) struct LeaseRelay {
    cx: Rc<Context>,
    /// The link to the VM that forwarded the last renewal.
    link: RefCell<Option<Rc<Link<scheduler::Client>>>>,
    /// VMs asked so far, for round-robin selection.
    asked: Cell<usize>,
}

impl LeaseRelay {
    pub(super) fn new(cx: Rc<Context>) -> Self {
        Self {
            cx,
            link: RefCell::default(),
            asked: Cell::new(0),
        }
    }

    /// Renews a lease through another VM; returns none if it has expired.
    pub(super) async fn renew(
        &self,
        id: LeaseId,
    ) -> Result<Option<Lease>, StoreError> {
        for _ in 0..MAX_RELAY_ATTEMPTS {
            let Some(link) = self.last_link().or_else(|| self.next_link()) else {
                break;
            };
            match call_renew(&link, id).await {
                Ok(renewed) => {
                    self.link.replace(Some(link));
                    return Ok(renewed);
                }
                Err(e) => {
                    Line::new("renewal_not_passed_on")
                        .with("via", link.address())
                        .with("reason", e)
                        .info();
                    self.link.replace(None);
                }
            }
        }
        Err(StoreError::Unreachable(
            "no other VM could forward the renewal".to_owned(),
        ))
    }

    fn last_link(&self) -> Option<Rc<Link<scheduler::Client>>> {
        self.link.borrow().clone()
    }

    fn next_link(&self) -> Option<Rc<Link<scheduler::Client>>> {
        let me = self.cx.scheduling.me();
        let vms = self.cx.scheduling.vms();
        let others: Vec<SocketAddr> = vms
            .iter()
            .filter(|(vm, _)| vm.as_str() != me)
            .map(|(_, &address)| address)
            .collect();
        let asked = self.asked.replace(self.asked.get() + 1);
        let address = *others.get(asked.checked_rem(others.len())?)?;
        Some(Rc::new(Link::new(address, RELAY_LINK_OPTIONS)))
    }
}

async fn call_renew(
    link: &Link<scheduler::Client>,
    id: LeaseId,
) -> Result<Option<Lease>, StoreError> {
    let reply = link
        .call(Millis::ZERO, |client| async move {
            let mut req = client.renew_request();
            req.get().set_lease(id.0);
            let res = req.send().promise.await?;
            let res = res.get()?;
            Ok((res.get_state()?, Millis(res.get_ttl_ms().into())))
        })
        .await;
    match reply {
        Ok((RenewalState::Renewed, ttl)) => Ok(Some(Lease { id, ttl })),
        Ok((RenewalState::Ended, _)) => Ok(None),
        Ok((RenewalState::Unknown, _)) => Err(StoreError::OutcomeUnknown(
            "the store didn't respond to the forwarding VM".to_owned(),
        )),
        Err(e) => Err(StoreError::OutcomeUnknown(e.to_string())),
    }
}
