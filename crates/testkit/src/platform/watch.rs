use {
    super::{api::Platform, messages::RangeReq},
    actix_web::web::Data,
    bytes::Bytes,
    serde_json::json,
    std::convert::Infallible,
    tokio::sync::watch::Receiver,
};

/// An open watch of a client, counted in `watches_waiting` until it is dropped.
pub(super) struct Watcher {
    platform: Data<Platform>,
    req: RangeReq,
    next_revision: u64,
    is_created_sent: bool,
    rx: Receiver<()>,
}

enum WatchState {
    Line(Bytes),
    Closed,
    Wait,
}

impl Watcher {
    pub(super) fn new(
        platform: Data<Platform>,
        req: RangeReq,
    ) -> Self {
        let rx = platform.changed.subscribe();
        let mut state = platform.lock();
        state.calls.watches_waiting += 1;
        let next_revision = match req.start_revision.0 {
            0 => state.store.revision() + 1,
            start => start,
        };
        drop(state);
        Self {
            platform,
            req,
            next_revision,
            is_created_sent: false,
            rx,
        }
    }

    /// Returns the next line of the watch, `None` during an outage.
    pub(super) async fn next_line(mut self) -> Option<(Result<Bytes, Infallible>, Self)> {
        loop {
            match self.poll_state() {
                WatchState::Line(line) => return Some((Ok(line), self)),
                WatchState::Closed => return None,
                WatchState::Wait => self.rx.changed().await.ok()?,
            }
        }
    }

    fn poll_state(&mut self) -> WatchState {
        let state = self.platform.lock();
        if state.faults.outage {
            return WatchState::Closed;
        }
        if state.faults.stall_watches {
            return WatchState::Wait;
        }
        let events = state.store.events_from(self.next_revision, &self.req);
        let mut result = json!({"header": state.store.header(), "watch_id": "0"});
        let first = !std::mem::replace(&mut self.is_created_sent, true);
        self.next_revision = self.next_revision.max(state.store.revision() + 1);
        match (first, events.is_empty()) {
            (false, true) => return WatchState::Wait,
            (true, _) => result["created"] = json!(true),
            (false, false) => {}
        }
        if !events.is_empty() {
            result["events"] = json!(events);
        }
        WatchState::Line(Bytes::from(format!("{}\n", json!({"result": result}))))
    }
}

impl Drop for Watcher {
    fn drop(&mut self) {
        self.platform.lock().calls.watches_waiting -= 1;
    }
}
