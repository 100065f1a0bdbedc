use {
    super::{
        CallCounts, EtcdOptions, JsonLines, StoreCallKind, StoreConnectivity,
        call_counts::OpenWatch,
        call_rate_limiter::CallRateLimiter,
        json::{
            LeaseResponse, RangeResponse, StreamResponse, TxnResponse, decode_range, decode_txn,
            decode_watch, encode_range, encode_txn, encode_watch, parse,
        },
    },
    crate::{
        http::is_unsent,
        store::{
            Lease, LeaseId, Range, RangeReply, Store, StoreError, StoreFuture, Txn, TxnReply,
            WatchStream,
        },
    },
    actix_web::web::Bytes,
    awc::{
        Client,
        error::{PayloadError, SendRequestError},
    },
    futures::{StreamExt, TryStreamExt, stream},
    jasmine_core::clock::Millis,
    jasmine_http1::checked_connector,
    serde_json::{Value, json},
    std::{
        cell::{Cell, RefCell},
        time::Duration,
    },
    tokio::time::timeout,
};

/// Maximum size of a response body.
const MAX_RESPONSE_BYTES: usize = 32 * 1024 * 1024;

/// Maximum length of one line of a watch stream.
const MAX_WATCH_LINE_BYTES: usize = 16 * 1024 * 1024;

/// Closes idle connections early, so that few pooled connections are silently dead.
const IDLE_CONNECTION_TIMEOUT: Duration = Duration::from_secs(8);

/// Maximum number of connections of this VM to the service.
const MAX_CONNECTIONS: usize = 32;

/// Maximum length of a response body that is copied into an error message.
const MAX_ERROR_MESSAGE_BYTES: usize = 200;

/// A client of the key-value service over HTTP.
pub struct EtcdStore {
    options: EtcdOptions,
    client: RefCell<Client>,
    endpoint: Cell<usize>,
    rate_limiter: CallRateLimiter,
    counts: CallCounts,
    connectivity: StoreConnectivity,
}

impl EtcdStore {
    /// Creates a client that connects on first use.
    pub fn new(options: EtcdOptions) -> Self {
        Self {
            client: RefCell::new(new_client(&options)),
            endpoint: Cell::new(0),
            rate_limiter: CallRateLimiter::new(options.calls_per_second),
            counts: CallCounts::default(),
            connectivity: StoreConnectivity::default(),
            options,
        }
    }

    /// Returns the counters of this client's calls.
    pub fn counts(&self) -> CallCounts {
        self.counts.clone()
    }

    /// Returns the shared connectivity state of this client.
    pub fn connectivity(&self) -> StoreConnectivity {
        self.connectivity.clone()
    }

    async fn call(
        &self,
        kind: StoreCallKind,
        body: Value,
    ) -> Result<Vec<u8>, StoreError> {
        let wait = self.rate_limiter.reserve();
        if wait > Millis::ZERO {
            tokio::time::sleep(wait.to_std()).await;
        }
        self.counts.count_made(kind);
        let result = timeout(self.options.timeout.to_std(), self.send(kind, body))
            .await
            .unwrap_or_else(|_| Err(StoreError::OutcomeUnknown("timeout".into())));
        self.connectivity.record_result(!matches!(
            result,
            Err(StoreError::Unreachable(_) | StoreError::OutcomeUnknown(_))
        ));
        if let Err(e) = &result {
            self.counts.count_failed(kind);
            self.handle_failure(e);
        }
        result
    }

    async fn send(
        &self,
        kind: StoreCallKind,
        body: Value,
    ) -> Result<Vec<u8>, StoreError> {
        let mut res = self.open(kind, body).await?;
        let status = res.status();
        let body = res
            .body()
            .limit(MAX_RESPONSE_BYTES)
            .await
            .map_err(|e| StoreError::OutcomeUnknown(e.to_string()))?;
        match status.as_u16() {
            200 => Ok(body.to_vec()),
            status @ 400..=499 => Err(StoreError::Refused {
                status,
                message: truncated(&body),
            }),
            // The service may have forwarded the write internally before it failed.
            status => Err(StoreError::OutcomeUnknown(format!(
                "status {status}: {}",
                truncated(&body)
            ))),
        }
    }

    async fn open(
        &self,
        kind: StoreCallKind,
        body: Value,
    ) -> Result<
        awc::ClientResponse<impl futures::Stream<Item = Result<Bytes, PayloadError>> + use<>>,
        StoreError,
    > {
        let endpoint = &self.options.endpoints[self.endpoint.get() % self.options.endpoints.len()];
        let url = format!("{}{}", endpoint.trim_end_matches('/'), kind.path());
        let client = self.client.borrow().clone();
        client
            .post(url)
            .send_json(&body)
            .await
            .map_err(|e| match e {
                SendRequestError::Connect(e) if is_unsent(&e) => {
                    StoreError::Unreachable(e.to_string())
                }
                SendRequestError::Url(e) => StoreError::Unreachable(e.to_string()),
                e => StoreError::OutcomeUnknown(e.to_string()),
            })
    }

    /// Drops all pooled connections and switches to the next endpoint.
    ///
    /// A middlebox may have lost the state of all open connections, while new ones work. Without this,
    /// every later call on such a pooled connection would time out as well.
    fn handle_failure(
        &self,
        e: &StoreError,
    ) {
        if !matches!(e, StoreError::Refused { .. }) {
            self.client.replace(new_client(&self.options));
            self.endpoint.set(self.endpoint.get().wrapping_add(1));
        }
    }

    async fn open_watch(
        &self,
        range: Range,
        from_revision: u64,
    ) -> Result<WatchStream, StoreError> {
        self.counts.count_made(StoreCallKind::Watch);
        let body = encode_watch(&range, from_revision);
        let opened = timeout(
            self.options.timeout.to_std(),
            self.open(StoreCallKind::Watch, body),
        )
        .await
        .unwrap_or_else(|_| Err(StoreError::OutcomeUnknown("timeout".into())))
        .inspect_err(|e| {
            self.counts.count_failed(StoreCallKind::Watch);
            self.handle_failure(e);
        })?;
        match opened.status().as_u16() {
            200 => Ok(watch_stream(opened, self.counts.open_watch())),
            status => Err(StoreError::Refused {
                status,
                message: "watch".into(),
            }),
        }
    }
}

impl std::fmt::Debug for EtcdStore {
    fn fmt(
        &self,
        f: &mut std::fmt::Formatter<'_>,
    ) -> std::fmt::Result {
        f.debug_struct("EtcdStore")
            .field("options", &self.options)
            .finish_non_exhaustive()
    }
}

impl Store for EtcdStore {
    fn range(
        &self,
        range: Range,
    ) -> StoreFuture<'_, RangeReply> {
        Box::pin(async move {
            let body = self
                .call(StoreCallKind::Range, encode_range(&range))
                .await?;
            decode_range(&parse::<RangeResponse>(&body)?)
        })
    }

    fn txn(
        &self,
        txn: Txn,
    ) -> StoreFuture<'_, TxnReply> {
        Box::pin(async move {
            let body = self.call(StoreCallKind::Txn, encode_txn(&txn)).await?;
            decode_txn(&parse::<TxnResponse>(&body)?)
        })
    }

    fn grant(
        &self,
        ttl: Millis,
    ) -> StoreFuture<'_, Lease> {
        Box::pin(async move {
            let secs = ttl.0.div_ceil(1000).to_string();
            let body = self
                .call(StoreCallKind::Grant, json!({ "TTL": secs }))
                .await?;
            let response = parse::<LeaseResponse>(&body)?;
            match response.id.0 {
                0 => Err(StoreError::OutcomeUnknown(
                    "lease response has no lease id".into(),
                )),
                id => Ok(Lease {
                    id: LeaseId(id),
                    ttl: Millis::from_secs(response.ttl.0),
                }),
            }
        })
    }

    fn keep_alive(
        &self,
        id: LeaseId,
    ) -> StoreFuture<'_, Option<Lease>> {
        Box::pin(async move {
            let body = json!({ "ID": (id.0 as i64).to_string() });
            let body = self.call(StoreCallKind::KeepAlive, body).await?;
            let response = parse::<StreamResponse<LeaseResponse>>(&body)?.result;
            Ok((response.ttl.0 > 0).then_some(Lease {
                id,
                ttl: Millis::from_secs(response.ttl.0),
            }))
        })
    }

    fn revoke(
        &self,
        id: LeaseId,
    ) -> StoreFuture<'_, ()> {
        Box::pin(async move {
            let body = json!({ "ID": (id.0 as i64).to_string() });
            self.call(StoreCallKind::Revoke, body).await.map(drop)
        })
    }

    fn watch(
        &self,
        range: Range,
        from_revision: u64,
    ) -> StoreFuture<'_, WatchStream> {
        Box::pin(self.open_watch(range, from_revision))
    }
}

fn new_client(options: &EtcdOptions) -> Client {
    let connector = checked_connector()
        .timeout(options.timeout.to_std())
        .conn_keep_alive(IDLE_CONNECTION_TIMEOUT)
        .limit(MAX_CONNECTIONS);
    // `call` has its own timeout; the client's timeout would also end watches.
    Client::builder()
        .connector(connector)
        .disable_timeout()
        .finish()
}

fn watch_stream<S>(
    res: awc::ClientResponse<S>,
    open: OpenWatch,
) -> WatchStream
where
    S: futures::Stream<Item = Result<Bytes, PayloadError>> + Unpin + 'static,
{
    let state = (res, JsonLines::new(MAX_WATCH_LINE_BYTES), open);
    stream::try_unfold(state, |(mut res, mut buf, open)| async move {
        loop {
            if let Some(line) = buf.next_line() {
                return Ok(Some((decode_watch(&line)?, (res, buf, open))));
            }
            match res.next().await {
                None => return Ok(None),
                Some(Err(e)) => return Err(StoreError::OutcomeUnknown(e.to_string())),
                Some(Ok(chunk)) if buf.push(&chunk) => {}
                Some(Ok(_)) => {
                    return Err(StoreError::OutcomeUnknown(
                        "watch line exceeds the maximum length".into(),
                    ));
                }
            }
        }
    })
    .into_stream()
    .boxed_local()
}

fn truncated(body: &[u8]) -> String {
    String::from_utf8_lossy(&body[..body.len().min(MAX_ERROR_MESSAGE_BYTES)])
        .replace(['\n', '\r'], " ")
}
