use {
    super::{
        link::{Direction, Fault, Link, State},
        rewrite::Rewrite,
        transferred_bytes::{TransferCounters, TransferredBytes},
    },
    std::{
        io,
        net::{IpAddr, SocketAddr, TcpListener as StdListener},
        pin::pin,
        sync::Arc,
        thread::{self, JoinHandle},
        time::Duration,
    },
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::{
            TcpListener, TcpStream,
            tcp::{OwnedReadHalf, OwnedWriteHalf},
        },
        runtime::Builder,
        sync::{oneshot, watch},
        task::LocalSet,
        time,
    },
};

/// Size of the copy buffer, in bytes.
const BUFFER_BYTES: usize = 16 << 10;
/// Time between two pieces.
const PIECE_INTERVAL: Duration = Duration::from_millis(1);

/// A proxied link; dropping it closes all its connections.
#[derive(Debug)]
pub struct Proxy {
    address: SocketAddr,
    state: watch::Sender<State>,
    target: watch::Sender<SocketAddr>,
    count: Arc<TransferCounters>,
    stop: Option<oneshot::Sender<()>>,
    thread: Option<JoinHandle<()>>,
}

impl Proxy {
    /// Listens on `address` and forwards connections to `target`.
    ///
    /// # Errors
    ///
    /// When the address can't be bound.
    pub fn start(
        address: SocketAddr,
        target: SocketAddr,
    ) -> io::Result<Self> {
        let listener = StdListener::bind(address)?;
        listener.set_nonblocking(true)?;
        let address = listener.local_addr()?;
        let (state, rx) = watch::channel(State::default());
        let (target, target_rx) = watch::channel(target);
        let (stop, stop_rx) = oneshot::channel();
        let runtime = Builder::new_current_thread().enable_all().build()?;
        let count = Arc::new(TransferCounters::default());
        let thread_count = Arc::clone(&count);
        let thread = thread::spawn(move || {
            let accept = async move {
                tokio::select! {
                    _ = accept(listener, target_rx, rx, thread_count) => {}
                    _ = stop_rx => {}
                }
            };
            LocalSet::new().block_on(&runtime, accept);
        });
        Ok(Self {
            address,
            state,
            target,
            count,
            stop: Some(stop),
            thread: Some(thread),
        })
    }

    /// Listen address.
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Bytes transferred in each direction, over all connections.
    pub fn transferred_bytes(&self) -> TransferredBytes {
        self.count.transferred_bytes()
    }

    /// Forwards new connections to another target, such as a restarted process.
    pub fn retarget(
        &self,
        target: SocketAddr,
    ) {
        self.target.send_replace(target);
    }

    /// Sets the state of the link.
    pub fn set(
        &self,
        link: Link,
    ) {
        self.state.send_modify(|state| {
            state.silence_generation += u64::from(link.mode == Fault::Silent);
            state.link = link;
        });
    }

    /// Sets what is replaced in the bytes of the target, on all connections.
    pub fn set_rewrite(
        &self,
        rewrite: Option<Rewrite>,
    ) {
        self.state.send_modify(|state| state.rewrite = rewrite);
    }

    /// Sets how the connections of one client are treated; `None` treats them like those of others.
    pub fn set_mode_for(
        &self,
        client: IpAddr,
        mode: Option<Fault>,
    ) {
        self.state.send_modify(|state| {
            match mode {
                Some(mode) => state.modes.insert(client, mode),
                None => state.modes.remove(&client),
            };
        });
    }

    /// Sets the mode of the link and clears the delay and the close limit.
    pub fn set_mode(
        &self,
        mode: Fault,
    ) {
        self.set(Link {
            mode,
            ..Link::default()
        });
    }
}

impl Drop for Proxy {
    fn drop(&mut self) {
        drop(self.stop.take());
        if let Some(thread) = self.thread.take() {
            drop(thread.join());
        }
    }
}

async fn accept(
    listener: StdListener,
    target: watch::Receiver<SocketAddr>,
    rx: watch::Receiver<State>,
    count: Arc<TransferCounters>,
) -> io::Result<()> {
    let listener = TcpListener::from_std(listener)?;
    loop {
        let (client, address) = listener.accept().await?;
        tokio::task::spawn_local(handle_connection(
            client,
            address.ip(),
            target.clone(),
            rx.clone(),
            Arc::clone(&count),
        ));
    }
}

async fn handle_connection(
    client: TcpStream,
    address: IpAddr,
    target: watch::Receiver<SocketAddr>,
    mut rx: watch::Receiver<State>,
    count: Arc<TransferCounters>,
) {
    let generation = rx.borrow().silence_generation;
    let mut refused = rx.clone();
    let refused =
        refused.wait_for(|state| matches!(state.mode(address), Fault::Refuse | Fault::Reset));
    let mut refused = pin!(refused);
    let connected = async {
        rx.wait_for(|state| state.allows(address, Direction::ToTarget, generation))
            .await
            .map_err(io::Error::other)?;
        let target = *target.borrow();
        let server = TcpStream::connect(target).await?;
        client.set_nodelay(true)?;
        server.set_nodelay(true)?;
        io::Result::Ok(server)
    };
    let server = tokio::select! {
        connected = connected => connected,
        refused = &mut refused => {
            if is_reset(&refused, address) {
                reset(&client);
            }
            return;
        }
    };
    let Ok(server) = server else {
        return;
    };
    let (mut client_rx, mut client_tx) = client.into_split();
    let (mut server_rx, mut server_tx) = server.into_split();
    let transfer = async {
        let to_target = forward(
            &mut client_rx,
            &mut server_tx,
            address,
            Direction::ToTarget,
            generation,
            rx.clone(),
            &count,
        );
        let to_client = forward(
            &mut server_rx,
            &mut client_tx,
            address,
            Direction::ToClient,
            generation,
            rx.clone(),
            &count,
        );
        tokio::try_join!(to_target, to_client)
    };
    let is_reset = tokio::select! {
        ended = transfer => ended.is_err_and(|e| e.kind() == io::ErrorKind::ConnectionReset),
        refused = &mut refused => is_reset(&refused, address),
    };
    if is_reset {
        reset(client_tx.as_ref());
        reset(server_tx.as_ref());
        // Dropped, they would be shut down before.
        client_tx.forget();
        server_tx.forget();
    }
}

/// Whether a link that refuses the connections of a client resets them.
fn is_reset(
    refused: &Result<watch::Ref<'_, State>, watch::error::RecvError>,
    client: IpAddr,
) -> bool {
    let state = refused.as_ref();
    state.is_ok_and(|state| state.mode(client) == Fault::Reset)
}

/// Makes the close of a connection a reset; one that has ended already stays as it is.
fn reset(stream: &TcpStream) {
    drop(stream.set_zero_linger());
}

async fn forward(
    from: &mut OwnedReadHalf,
    to: &mut OwnedWriteHalf,
    address: IpAddr,
    direction: Direction,
    generation: u64,
    mut rx: watch::Receiver<State>,
    count: &TransferCounters,
) -> io::Result<()> {
    let mut buf = vec![0; BUFFER_BYTES];
    let mut transferred_bytes = 0;
    loop {
        let n = from.read(&mut buf).await?;
        let (link, rewrite) = {
            let state = rx
                .wait_for(|state| state.allows(address, direction, generation))
                .await
                .map_err(io::Error::other)?;
            let rewrite = state.rewrite.clone();
            (
                state.link,
                rewrite.filter(|_| direction == Direction::ToClient),
            )
        };
        if n == 0 {
            return to.shutdown().await;
        }
        if link.delay_ms > 0 {
            time::sleep(Duration::from_millis(link.delay_ms)).await;
        }
        let allowance = match (link.close_after, direction) {
            (Some(limit), Direction::ToClient) => limit.saturating_sub(transferred_bytes) as usize,
            _ => usize::MAX,
        };
        let rewritten = rewrite.and_then(|rewrite| rewrite.apply(&buf[..n]));
        let data = rewritten.as_deref().unwrap_or(&buf[..n]);
        let n = data.len();
        let data = &data[..n.min(allowance)];
        match (link.piece_bytes, direction) {
            (Some(size), Direction::ToClient) => write_pieces(to, data, size).await?,
            _ => to.write_all(data).await?,
        }
        count.add(direction, n.min(allowance) as u64);
        transferred_bytes += n as u64;
        if n >= allowance {
            return Err(io::ErrorKind::ConnectionAborted.into());
        }
    }
}

/// Writes pieces of `size` bytes that the peer reads one by one.
async fn write_pieces(
    to: &mut OwnedWriteHalf,
    data: &[u8],
    size: usize,
) -> io::Result<()> {
    for piece in data.chunks(size) {
        to.write_all(piece).await?;
        time::sleep(PIECE_INTERVAL).await;
    }
    Ok(())
}
