use {
    jasmine_platform_stand_in::{EngineStandIn, KvStandIn, UpstreamStandIn},
    serde_json::Value,
    std::{
        sync::{
            Arc,
            atomic::{AtomicBool, Ordering},
        },
        thread::{self, JoinHandle},
        time::Duration,
    },
};

const CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// A stand-in that registers itself anew each time it starts.
pub trait Registered: Send + Sync + 'static {
    fn key(&self) -> String;
    fn entry(&self) -> Value;
    /// How often it has ended, and whether it is back.
    fn lives(&self) -> (usize, bool);
}

impl Registered for UpstreamStandIn {
    fn key(&self) -> String {
        Self::key(self)
    }

    fn entry(&self) -> Value {
        Self::entry(self, "app", "one", "ready")
    }

    fn lives(&self) -> (usize, bool) {
        (self.ends().len(), !self.is_down())
    }
}

impl Registered for EngineStandIn {
    fn key(&self) -> String {
        Self::key(self)
    }

    fn entry(&self) -> Value {
        Self::entry(self, "llm", "one")
    }

    fn lives(&self) -> (usize, bool) {
        (self.ends().len(), !self.is_down())
    }
}

/// Registers stand-ins that end in the store, once they are back; those that are gone keep their entries.
pub struct Registrar {
    is_stopped: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

impl Registrar {
    pub fn start<R>(
        store: &Arc<KvStandIn>,
        upstreams: &Arc<Vec<R>>,
    ) -> Self
    where
        R: Registered,
    {
        let is_stopped = Arc::<AtomicBool>::default();
        let (store, upstreams) = (Arc::clone(store), Arc::clone(upstreams));
        let stopped = Arc::clone(&is_stopped);
        let thread = thread::spawn(move || {
            let mut known = vec![0; upstreams.len()];
            while !stopped.load(Ordering::Relaxed) {
                for (upstream, known) in upstreams.iter().zip(&mut known) {
                    let (ends, is_back) = upstream.lives();
                    if is_back && ends > *known {
                        store.put(&upstream.key(), &upstream.entry());
                        *known = ends;
                    }
                }
                thread::sleep(CHECK_INTERVAL);
            }
        });
        Self {
            is_stopped,
            thread: Some(thread),
        }
    }
}

impl Drop for Registrar {
    fn drop(&mut self) {
        self.is_stopped.store(true, Ordering::Relaxed);
        if let Some(thread) = self.thread.take() {
            drop(thread.join());
        }
    }
}
