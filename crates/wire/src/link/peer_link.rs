use {
    super::{Backoff, LinkError, LinkOptions, Ping, vat_network},
    capnp::capability::FromClientHook,
    capnp_rpc::{RpcSystem, rpc_twoparty_capnp::Side},
    jasmine_core::clock::Millis,
    std::{
        cell::{Cell, RefCell},
        net::SocketAddr,
        rc::Rc,
    },
    tokio::{
        net::TcpStream,
        sync::Notify,
        task::{AbortHandle, spawn_local},
        time::{Instant, sleep, timeout},
    },
};

/// An RPC client of another daemon that connects on first use and reconnects after a failure.
///
/// An open connection can silently stop working while new ones work. Each call therefore has a timeout,
/// heartbeats run during long-polling calls, and a timeout of either closes the connection. The other calls
/// on it fail then, and a newer connection stays open: otherwise repeated calls could close each other's
/// connections for ever.
pub struct Link<C> {
    address: SocketAddr,
    options: LinkOptions,
    open: RefCell<Option<Rc<OpenConnection<C>>>>,
    backoff: RefCell<Backoff>,
    retry_at: Cell<Option<Instant>>,
}

struct OpenConnection<C> {
    client: C,
    /// Set when the connection has ended or a call has closed it.
    is_closed: Rc<Cell<bool>>,
    /// Notified when a call closes the connection, as the RPC system then drops its calls unanswered.
    closed: Notify,
    task: AbortHandle,
}

impl<C> OpenConnection<C> {
    /// Closes the connection and fails all calls on it.
    fn close(&self) {
        self.is_closed.set(true);
        self.task.abort();
        self.closed.notify_waiters();
    }
}

impl<C> std::fmt::Debug for Link<C> {
    fn fmt(
        &self,
        f: &mut std::fmt::Formatter<'_>,
    ) -> std::fmt::Result {
        f.debug_struct("Link")
            .field("address", &self.address)
            .field("is_open", &self.open.borrow().is_some())
            .finish_non_exhaustive()
    }
}

impl<C> Drop for OpenConnection<C> {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl<C> Link<C> {
    /// Creates a link to the daemon that listens at `address`.
    pub const fn new(
        address: SocketAddr,
        options: LinkOptions,
    ) -> Self {
        Self {
            address,
            options,
            open: RefCell::new(None),
            backoff: RefCell::new(Backoff::new(options.backoff_initial, options.backoff_max)),
            retry_at: Cell::new(None),
        }
    }

    /// The address of the other daemon.
    pub const fn address(&self) -> SocketAddr {
        self.address
    }
}

impl<C> Link<C>
where
    C: FromClientHook + Ping + 'static,
{
    /// Calls the other daemon; `wait` is how long a long-polling call asks the server to wait.
    ///
    /// # Errors
    ///
    /// [`LinkError`]; unless [`LinkError::is_not_sent`], the other daemon may have executed the call.
    pub async fn call<T, F, Fut>(
        &self,
        wait: Millis,
        f: F,
    ) -> Result<T, LinkError>
    where
        F: FnOnce(C) -> Fut,
        Fut: Future<Output = Result<T, capnp::Error>>,
    {
        let connection = self.connection().await?;
        let client = connection.client.clone();
        let limit = wait + self.options.call_timeout;
        let call = timeout(limit.to_std(), f(client.clone()));
        let heartbeat_failure = self.wait_for_heartbeat_failure(client);
        let result = tokio::select! {
            // An answer that has arrived counts, whatever else has happened.
            biased;
            answered = call => match answered {
                Ok(answer) => answer.map_err(|e| from_capnp_error(&e)),
                Err(_) => Err(LinkError::TimedOut),
            },
            () = connection.closed.notified() => {
                Err(LinkError::Lost("closed after another call failed".to_owned()))
            }
            () = heartbeat_failure => Err(LinkError::TimedOut),
        };
        if matches!(result, Err(LinkError::TimedOut | LinkError::Lost(_))) {
            connection.close();
        }
        result
    }

    /// Completes when a heartbeat fails.
    async fn wait_for_heartbeat_failure(
        &self,
        client: C,
    ) {
        loop {
            sleep(self.options.heartbeat_interval.to_std()).await;
            let answer = timeout(self.options.call_timeout.to_std(), client.ping()).await;
            if !matches!(answer, Ok(Ok(()))) {
                return;
            }
        }
    }

    async fn connection(&self) -> Result<Rc<OpenConnection<C>>, LinkError> {
        if let Some(open) = self.open_connection() {
            return Ok(open);
        }
        match self.retry_at.get() {
            Some(time) if Instant::now() < time => return Err(LinkError::BackingOff),
            _ => {}
        }
        let connect = TcpStream::connect(self.address);
        let stream = timeout(self.options.connect_timeout.to_std(), connect)
            .await
            .map_err(|e| self.connect_failed(&e.to_string()))?
            .and_then(|stream| stream.set_nodelay(true).map(|()| stream))
            .map_err(|e| self.connect_failed(&e.to_string()))?;
        // Another call may have connected in the meantime; use its connection.
        if let Some(open) = self.open_connection() {
            return Ok(open);
        }
        self.retry_at.set(None);
        self.backoff.borrow_mut().reset();
        Ok(self.start_rpc(stream))
    }

    fn open_connection(&self) -> Option<Rc<OpenConnection<C>>> {
        let open = self.open.borrow();
        open.as_ref().filter(|open| !open.is_closed.get()).cloned()
    }

    fn start_rpc(
        &self,
        stream: TcpStream,
    ) -> Rc<OpenConnection<C>> {
        let (reader, writer) = stream.into_split();
        let network = vat_network(reader, writer, Side::Client);
        let mut system = RpcSystem::new(Box::new(network), None);
        let client = system.bootstrap::<C>(Side::Server);
        let is_closed = Rc::new(Cell::new(false));
        let task_closed = Rc::clone(&is_closed);
        let task = spawn_local(async move {
            system.await.unwrap_or_default();
            task_closed.set(true);
        })
        .abort_handle();
        let open = Rc::new(OpenConnection {
            client,
            is_closed,
            closed: Notify::new(),
            task,
        });
        self.open.replace(Some(Rc::clone(&open)));
        open
    }

    fn connect_failed(
        &self,
        reason: &str,
    ) -> LinkError {
        let delay = self.backoff.borrow_mut().next_delay();
        self.retry_at.set(Some(Instant::now() + delay.to_std()));
        LinkError::Unreachable(reason.to_owned())
    }
}

fn from_capnp_error(e: &capnp::Error) -> LinkError {
    match e.kind {
        capnp::ErrorKind::Disconnected => LinkError::Lost(e.to_string()),
        _ => LinkError::Failed(e.to_string()),
    }
}
