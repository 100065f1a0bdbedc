use {
    super::{api::Platform, messages::RangeReq},
    actix_web::web::Data,
    bytes::Bytes,
    serde_json::json,
    std::convert::Infallible,
    tokio::sync::watch::Receiver,
};

/// One watch that a client holds open; counted as waiting until it is dropped.
pub(super) struct Watcher {
    platform: Data<Platform>,
    req: RangeReq,
    next: u64,
    told: bool,
    rx: Receiver<()>,
}

enum Next {
    Line(Bytes),
    Over,
    Wait,
}

impl Watcher {
    pub(super) fn new(
        platform: Data<Platform>,
        req: RangeReq,
    ) -> Self {
        let rx = platform.changed.subscribe();
        let mut inner = platform.lock();
        inner.calls.watches_waiting += 1;
        let next = match req.start_revision.0 {
            0 => inner.store.revision() + 1,
            start => start,
        };
        drop(inner);
        Self {
            platform,
            req,
            next,
            told: false,
            rx,
        }
    }

    /// The next line of the watch; none when the service goes out.
    pub(super) async fn line(mut self) -> Option<(Result<Bytes, Infallible>, Self)> {
        loop {
            match self.ready() {
                Next::Line(line) => return Some((Ok(line), self)),
                Next::Over => return None,
                Next::Wait => self.rx.changed().await.ok()?,
            }
        }
    }

    fn ready(&mut self) -> Next {
        let inner = self.platform.lock();
        if inner.faults.outage {
            return Next::Over;
        }
        if inner.faults.stall_watches {
            return Next::Wait;
        }
        let events = inner.store.events_from(self.next, &self.req);
        let mut result = json!({"header": inner.store.header(), "watch_id": "0"});
        let first = !std::mem::replace(&mut self.told, true);
        self.next = self.next.max(inner.store.revision() + 1);
        match (first, events.is_empty()) {
            (false, true) => return Next::Wait,
            (true, _) => result["created"] = json!(true),
            (false, false) => {}
        }
        if !events.is_empty() {
            result["events"] = json!(events);
        }
        Next::Line(Bytes::from(format!("{}\n", json!({"result": result}))))
    }
}

impl Drop for Watcher {
    fn drop(&mut self) {
        self.platform.lock().calls.watches_waiting -= 1;
    }
}
