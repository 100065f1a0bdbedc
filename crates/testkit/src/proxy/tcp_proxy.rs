use {
    super::{
        link::{Direction, Fault, Link, State},
        passed::{Count, Passed},
    },
    std::{
        io,
        net::{SocketAddr, TcpListener as StdListener},
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

/// Bytes that pass at a time.
const PIECE: usize = 16 << 10;

/// One link through the proxy; dropping it closes all that runs over it.
#[derive(Debug)]
pub struct Proxy {
    address: SocketAddr,
    state: watch::Sender<State>,
    target: watch::Sender<SocketAddr>,
    count: Arc<Count>,
    stop: Option<oneshot::Sender<()>>,
    thread: Option<JoinHandle<()>>,
}

impl Proxy {
    /// Listens at `address` and passes connections on to `target`.
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
        let (stop, stopped) = oneshot::channel();
        let runtime = Builder::new_current_thread().enable_all().build()?;
        let count = Arc::new(Count::default());
        let counted = Arc::clone(&count);
        let thread = thread::spawn(move || {
            let accept = async move {
                tokio::select! {
                    _ = accept(listener, target_rx, rx, counted) => {}
                    _ = stopped => {}
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

    /// Where it listens.
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// How much has passed each way so far, over all connections.
    pub fn passed(&self) -> Passed {
        self.count.passed()
    }

    /// Passes new connections on to another target, such as a process that was started anew.
    pub fn retarget(
        &self,
        target: SocketAddr,
    ) {
        self.target.send_replace(target);
    }

    /// Puts the link into another state.
    pub fn set(
        &self,
        link: Link,
    ) {
        self.state.send_modify(|state| {
            state.silences += u64::from(link.mode == Fault::Silent);
            state.link = link;
        });
    }

    /// Puts the link into this mode, without delay.
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
    count: Arc<Count>,
) -> io::Result<()> {
    let listener = TcpListener::from_std(listener)?;
    loop {
        let (client, _) = listener.accept().await?;
        tokio::task::spawn_local(connection(
            client,
            target.clone(),
            rx.clone(),
            Arc::clone(&count),
        ));
    }
}

async fn connection(
    client: TcpStream,
    target: watch::Receiver<SocketAddr>,
    mut rx: watch::Receiver<State>,
    count: Arc<Count>,
) {
    let born = rx.borrow().silences;
    let mut refused = rx.clone();
    let both = async {
        rx.wait_for(|state| state.passes(Direction::ToTarget, born))
            .await
            .map_err(io::Error::other)?;
        let target = *target.borrow();
        let server = TcpStream::connect(target).await?;
        client.set_nodelay(true)?;
        server.set_nodelay(true)?;
        let (client_rx, client_tx) = client.into_split();
        let (server_rx, server_tx) = server.into_split();
        tokio::try_join!(
            pump(
                client_rx,
                server_tx,
                Direction::ToTarget,
                born,
                rx.clone(),
                &count
            ),
            pump(server_rx, client_tx, Direction::ToClient, born, rx, &count),
        )
    };
    tokio::select! {
        _ = both => {}
        _ = refused.wait_for(|state| state.link.mode == Fault::Refuse) => {}
    }
}

async fn pump(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    direction: Direction,
    born: u64,
    mut rx: watch::Receiver<State>,
    count: &Count,
) -> io::Result<()> {
    let mut buf = vec![0; PIECE];
    let mut passed = 0;
    loop {
        let n = from.read(&mut buf).await?;
        let link = rx
            .wait_for(|state| state.passes(direction, born))
            .await
            .map_err(io::Error::other)?
            .link;
        if n == 0 {
            return to.shutdown().await;
        }
        if link.delay_ms > 0 {
            time::sleep(Duration::from_millis(link.delay_ms)).await;
        }
        let room = match (link.close_after, direction) {
            (Some(most), Direction::ToClient) => most.saturating_sub(passed) as usize,
            _ => usize::MAX,
        };
        to.write_all(&buf[..n.min(room)]).await?;
        count.add(direction, n.min(room) as u64);
        passed += n as u64;
        if n >= room {
            return Err(io::ErrorKind::ConnectionAborted.into());
        }
    }
}
