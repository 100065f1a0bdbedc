use {
    super::convert::{read_origin, write_origin},
    crate::{clock::Clock, scheduling::LINK_OPTIONS},
    jasmine_core::{
        clock::Millis,
        ids::StreamId,
        streams::{KnownBuilds, ServiceBuild},
    },
    jasmine_telemetry::log::Line,
    jasmine_wire::{
        link::{Link, LinkError},
        scheduler_capnp::scheduler,
    },
    std::{
        cell::{Cell, RefCell},
        net::SocketAddr,
        rc::Rc,
    },
    tokio::{sync::Notify, task::spawn_local, time::sleep},
};

/// Time for which origins are collected before they are sent; short, as this VM may be killed.
const BATCH_DELAY: Millis = Millis(2);
/// Pause after a VM didn't answer.
const RETRY_DELAY: Millis = Millis(200);
/// How long an origin is sent again to a VM that doesn't answer.
const RETRY_TIMEOUT: Millis = Millis(5_000);
/// Most origins that wait for one VM.
const MAX_QUEUED: usize = 10_000;

/// The origin of a stream that another VM is to keep.
#[derive(Clone, Debug)]
struct QueuedOrigin {
    stream: StreamId,
    origin: Rc<ServiceBuild>,
    queued_at: Millis,
    /// Notified once a VM keeps it.
    kept: Rc<Notify>,
}

/// Another VM that keeps origins of this VM's streams.
#[derive(Debug)]
pub(super) struct OriginPeer {
    link: Link<scheduler::Client>,
    queue: RefCell<Vec<QueuedOrigin>>,
    is_sending: Cell<bool>,
}

impl OriginPeer {
    pub(super) fn new(address: SocketAddr) -> Self {
        Self {
            link: Link::new(address, LINK_OPTIONS),
            queue: RefCell::default(),
            is_sending: Cell::new(false),
        }
    }

    pub(super) const fn address(&self) -> SocketAddr {
        self.link.address()
    }

    /// Queues an origin, and sends what is queued in the background; `kept` is notified once the VM keeps it.
    pub(super) fn tell(
        self: &Rc<Self>,
        stream: StreamId,
        origin: &Rc<ServiceBuild>,
        kept: &Rc<Notify>,
    ) {
        let mut queue = self.queue.borrow_mut();
        if queue.len() < MAX_QUEUED {
            queue.push(QueuedOrigin {
                stream,
                origin: Rc::clone(origin),
                queued_at: Clock.now(),
                kept: Rc::clone(kept),
            });
        }
        if !self.is_sending.replace(true) {
            spawn_local(Rc::clone(self).send_queued());
        }
    }

    /// The origin of a stream, if the VM has a record of it.
    pub(super) async fn ask(
        &self,
        stream: StreamId,
    ) -> Result<Option<ServiceBuild>, LinkError> {
        let answer = self
            .link
            .call(Millis::ZERO, |client| async move {
                let mut req = client.find_origin_request();
                req.get().set_stream(stream.0);
                let res = req.send().promise.await?;
                let res = res.get()?;
                let has_record = res.has_origin();
                has_record
                    .then(|| read_origin(res.get_origin()?))
                    .transpose()
            })
            .await;
        answer.inspect_err(|e| {
            Line::new("origin_lookup_failed")
                .with("address", self.address())
                .with("reason", e)
                .info();
        })
    }

    /// What the VM knows of the builds of a service.
    pub(super) async fn known_builds(
        &self,
        service: &str,
    ) -> Result<KnownBuilds, LinkError> {
        let answer = self
            .link
            .call(Millis::ZERO, |client| async move {
                let mut req = client.known_builds_request();
                req.get().set_service(service);
                let res = req.send().promise.await?;
                let res = res.get()?;
                let complete_for = Millis(res.get_complete_for_ms().into());
                Ok(KnownBuilds {
                    only: Some(res.get_only()?.to_string()?).filter(|only| !only.is_empty()),
                    complete_for: Some(complete_for).filter(|&time| time > Millis::ZERO),
                    is_confirmed: res.get_is_confirmed(),
                })
            })
            .await;
        answer.inspect_err(|e| {
            Line::new("builds_not_told")
                .with("address", self.address())
                .with("reason", e)
                .info();
        })
    }

    async fn send_queued(self: Rc<Self>) {
        while !self.queue.borrow().is_empty() {
            sleep(BATCH_DELAY.to_std()).await;
            let origins = self.queue.take();
            let sent = self.send(&origins).await;
            if sent.is_ok() {
                for origin in &origins {
                    origin.kept.notify_one();
                }
            }
            if let Err(e) = sent {
                Line::new("origins_not_told")
                    .with("address", self.address())
                    .with("streams", origins.len())
                    .with("reason", e)
                    .info();
                self.queue_again(origins);
                sleep(RETRY_DELAY.to_std()).await;
            }
        }
        self.is_sending.set(false);
    }

    fn queue_again(
        &self,
        mut origins: Vec<QueuedOrigin>,
    ) {
        let now = Clock.now();
        origins.retain(|origin| now.since(origin.queued_at) < RETRY_TIMEOUT);
        let mut queue = self.queue.borrow_mut();
        origins.append(&mut queue);
        *queue = origins;
    }

    async fn send(
        &self,
        origins: &[QueuedOrigin],
    ) -> Result<(), LinkError> {
        self.link
            .call(Millis::ZERO, |client| async move {
                let mut req = client.note_origins_request();
                let mut list = req.get().init_origins(origins.len() as u32);
                for (at, origin) in origins.iter().enumerate() {
                    let mut to = list.reborrow().get(at as u32);
                    to.set_stream(origin.stream.0);
                    write_origin(to.init_origin(), &origin.origin);
                }
                req.send().promise.await?;
                Ok(())
            })
            .await
    }
}
