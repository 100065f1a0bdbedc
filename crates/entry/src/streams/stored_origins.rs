use {
    super::{OriginDirectory, stored_page::decode_page},
    crate::{
        clock::Clock,
        store::{KvStore, NO_LEASE},
    },
    jasmine_core::{clock::Millis, ids::StreamId, streams::ServiceBuild},
    jasmine_store::store::KeyValue,
    jasmine_telemetry::log::Line,
    std::{collections::BTreeSet, fmt::Display},
    tokio::{sync::Mutex, time::timeout},
};

/// Prefix of the keys with the origins of streams; behind all that VMs follow, so that a full read ends with them.
pub(crate) const PREFIX: &str = "stream-builds/";

/// Time from one read of the stored origins to the next.
const READ_INTERVAL: Millis = Millis(1_000);
/// Timeout of a read.
const READ_TIMEOUT: Millis = Millis(250);

/// A read of the stored origins.
#[derive(Debug)]
struct StoreRead {
    at: Millis,
    /// The services whose streams are stored; `None` if the read has failed.
    services: Option<BTreeSet<String>>,
}

/// The origins that VMs have stored, read when no VM knows where a stream began.
#[derive(Debug)]
pub(super) struct StoredOrigins {
    store: KvStore,
    last_read: Mutex<Option<StoreRead>>,
}

impl StoredOrigins {
    pub(super) fn new(store: KvStore) -> Self {
        Self {
            store,
            last_read: Mutex::default(),
        }
    }

    /// Records the stored origins in the directory, unless that was done just before; callers wait for one read.
    ///
    /// Returns whether the store was read and holds no stream of this service.
    pub(super) async fn read_into(
        &self,
        directory: &OriginDirectory,
        service: &str,
    ) -> bool {
        let mut last_read = self.last_read.lock().await;
        let now = Clock.now();
        let is_fresh = |read: &StoreRead| now.since(read.at) < READ_INTERVAL;
        if !last_read.as_ref().is_some_and(is_fresh) {
            *last_read = Some(StoreRead {
                at: now,
                services: self.read_all(directory).await,
            });
        }
        let services = last_read.as_ref().and_then(|read| read.services.as_ref());
        services.is_some_and(|services| !services.contains(service))
    }

    /// Records the stored origins in the directory; returns their services, or `None` if not all of them could be read.
    async fn read_all(
        &self,
        directory: &OriginDirectory,
    ) -> Option<BTreeSet<String>> {
        let read = self.store.read_pages(PREFIX, |_| false);
        let reply = match timeout(READ_TIMEOUT.to_std(), read).await {
            Ok(Ok(reply)) => reply,
            Ok(Err(e)) => return log_unread(&e),
            Err(e) => return log_unread(&e),
        };
        let mut services = BTreeSet::new();
        let mut is_readable = true;
        // VMs store pages under leases; what others leave here stays for ever.
        for kv in reply.kvs.iter().filter(|kv| kv.lease != NO_LEASE) {
            let page = decode(kv);
            is_readable &= page.is_some();
            for (stream, origin) in page.into_iter().flatten() {
                directory.record(stream, &origin);
                services.insert(origin.service);
            }
        }
        is_readable.then_some(services)
    }
}

fn decode(kv: &KeyValue) -> Option<Vec<(StreamId, ServiceBuild)>> {
    let page = decode_page(&kv.value);
    page.inspect_err(|e| {
        Line::new("stored_origins_unreadable")
            .with("key", &kv.key)
            .with("reason", e)
            .warn();
    })
    .ok()
}

fn log_unread<E, T>(reason: &E) -> Option<T>
where
    E: Display,
{
    Line::new("stored_origins_not_read")
        .with("reason", reason)
        .warn();
    None
}
