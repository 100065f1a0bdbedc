use {
    super::{OriginDirectory, stored_page::decode_page},
    crate::{clock::Clock, store::KvStore},
    jasmine_core::clock::Millis,
    jasmine_telemetry::log::Line,
    tokio::{sync::Mutex, time::timeout},
};

/// Prefix of the keys with the origins of streams; behind all that VMs follow, so that a full read ends with them.
pub(crate) const PREFIX: &str = "stream-builds/";

/// Time from one read of the stored origins to the next.
const READ_INTERVAL: Millis = Millis(1_000);
/// Timeout of a read.
const READ_TIMEOUT: Millis = Millis(250);

/// The origins that VMs have stored, read when no VM knows where a stream began.
#[derive(Debug)]
pub(super) struct StoredOrigins {
    store: KvStore,
    read_at: Mutex<Option<Millis>>,
}

impl StoredOrigins {
    pub(super) fn new(store: KvStore) -> Self {
        Self {
            store,
            read_at: Mutex::default(),
        }
    }

    /// Records the stored origins in the directory, unless that was done just before; callers wait for one read.
    pub(super) async fn read_into(
        &self,
        directory: &OriginDirectory,
    ) {
        let mut read_at = self.read_at.lock().await;
        let now = Clock.now();
        if read_at.is_some_and(|at| now.since(at) < READ_INTERVAL) {
            return;
        }
        *read_at = Some(now);
        let read = self.store.read_pages(PREFIX, |_| false);
        match timeout(READ_TIMEOUT.to_std(), read).await {
            Ok(Ok(reply)) => {
                for kv in reply.kvs {
                    match decode_page(&kv.value) {
                        Ok(streams) => {
                            for (stream, origin) in streams {
                                directory.record(stream, &origin);
                            }
                        }
                        Err(e) => Line::new("stored_origins_unreadable")
                            .with("key", &kv.key)
                            .with("reason", e)
                            .warn(),
                    }
                }
            }
            Ok(Err(e)) => log_unread(&e),
            Err(e) => log_unread(&e),
        }
    }
}

fn log_unread<E>(reason: &E)
where
    E: std::fmt::Display,
{
    Line::new("stored_origins_not_read")
        .with("reason", reason)
        .warn();
}
