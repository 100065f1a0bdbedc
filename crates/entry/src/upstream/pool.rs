use {
    super::{Connection, ReadBudget, RequestTag},
    crate::{clock::Clock, http1::ResponseHead},
    jasmine_core::clock::Millis,
    std::{
        cell::RefCell,
        collections::HashMap,
        io,
        net::{Ipv4Addr, SocketAddr},
        time::Duration,
    },
    tokio::time::{sleep, timeout},
};

/// Timeout of connecting; allows for one retransmission.
///
/// A lost packet is sent again after a fifth of a second.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(450);
/// How long an upstream may take to accept a connection that shows that it goes on.
const LIVENESS_TIMEOUT: Duration = Duration::from_millis(30);
/// Within which a connection is closed again that only something before the upstream has accepted.
const LIVENESS_CLOSE_TIME: Duration = Duration::from_millis(5);
/// Pause before the second try to connect.
const LIVENESS_RETRY_DELAY: Duration = Duration::from_millis(15);
/// Idle timeout of connections whose upstream sends no `Keep-Alive` timeout.
const DEFAULT_IDLE_TIMEOUT: Millis = Millis(4_000);
/// Idle timeout in percent of the upstream's `Keep-Alive` timeout.
///
/// The margin avoids requests that cross the upstream's close, whose outcome would be unknown.
const KEEP_ALIVE_PERCENT: u64 = 60;
/// Most idle connections per address.
const MAX_IDLE_PER_ADDRESS: usize = 16;

/// Whether an upstream goes on, as a new connection to it shows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Liveness {
    /// It accepts connections.
    Accepting,
    /// Its machine refuses connections to its port.
    Refusing,
    /// It isn't reached, or something on the way closes its connections.
    Unreached,
}

/// A pool of idle connections by address.
#[derive(Debug, Default)]
pub struct Pool {
    clock: Clock,
    /// The local address of its connections, unless the system chooses it.
    source: Option<Ipv4Addr>,
    /// What is buffered of the answers on all of its connections.
    budget: ReadBudget,
    idle: RefCell<HashMap<SocketAddr, Vec<Connection>>>,
}

impl Pool {
    /// Creates a pool whose connections have this local address.
    pub fn with_source(source: Option<Ipv4Addr>) -> Self {
        Self {
            source,
            ..Self::default()
        }
    }

    /// Creates a pool for other calls to the same peers, which share no connection with those of this one.
    pub fn separate(&self) -> Self {
        Self {
            source: self.source,
            ..self.share_budget()
        }
    }

    /// Creates a pool that shares its budget for answers with this one.
    pub fn share_budget(&self) -> Self {
        Self {
            budget: self.budget.clone(),
            ..Self::default()
        }
    }

    /// Takes a usable connection that has been idle for at most `max_idle`, if there is one that may carry the request.
    pub fn reuse(
        &self,
        address: SocketAddr,
        max_idle: Millis,
        tag: Option<RequestTag<'_>>,
    ) -> Option<Connection> {
        self.take(address, max_idle, |connection| connection.can_carry(tag))
    }

    /// Takes a usable connection on which nothing was sent, if there is one.
    pub fn take_unused(
        &self,
        address: SocketAddr,
    ) -> Option<Connection> {
        self.take(address, DEFAULT_IDLE_TIMEOUT, Connection::is_unused)
    }

    /// Takes the connection that became idle last of those that are fit; drops the unusable ones that are found.
    fn take<F>(
        &self,
        address: SocketAddr,
        max_idle: Millis,
        is_fit: F,
    ) -> Option<Connection>
    where
        F: Fn(&Connection) -> bool,
    {
        let now = self.clock.now();
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(&address)?;
        while let Some(at) = connections.iter().rposition(&is_fit) {
            let connection = connections.remove(at);
            let age = now.since(connection.idle_since);
            if age <= connection.idle_timeout.min(max_idle) && connection.is_reusable() {
                return Some(connection);
            }
        }
        None
    }

    /// Opens a new connection.
    ///
    /// # Errors
    ///
    /// Any I/O error or a timeout; nothing was sent.
    pub async fn open(
        &self,
        address: SocketAddr,
    ) -> io::Result<Connection> {
        let connection = Connection::open(address, self.source, self.budget.clone());
        timeout(CONNECT_TIMEOUT, connection)
            .await
            .unwrap_or_else(|_elapsed| Err(io::ErrorKind::TimedOut.into()))
    }

    /// Whether an upstream's machine refuses connections; one that is accepted is kept for the next request.
    ///
    /// Where something on the way closes or loses the connection, it is tried once more: a process that ends may close
    /// its port last, and a VM without links must not take others for ended.
    pub async fn is_refused(
        &self,
        address: SocketAddr,
    ) -> bool {
        self.liveness(address).await == Liveness::Refusing
    }

    /// What becomes of a new connection to an upstream; one that is accepted is kept for the next request.
    pub async fn liveness(
        &self,
        address: SocketAddr,
    ) -> Liveness {
        match self.check_liveness(address).await {
            Liveness::Unreached => {
                sleep(LIVENESS_RETRY_DELAY).await;
                self.check_liveness(address).await
            }
            known => known,
        }
    }

    async fn check_liveness(
        &self,
        address: SocketAddr,
    ) -> Liveness {
        let connection = Connection::open(address, self.source, self.budget.clone());
        let connection = match timeout(LIVENESS_TIMEOUT, connection).await {
            Ok(Ok(connection)) => connection,
            Ok(Err(e)) if e.kind() == io::ErrorKind::ConnectionRefused => {
                return Liveness::Refusing;
            }
            Ok(Err(_)) | Err(_) => return Liveness::Unreached,
        };
        sleep(LIVENESS_CLOSE_TIME).await;
        if !connection.is_reusable() {
            return Liveness::Unreached;
        }
        self.keep(address, connection);
        Liveness::Accepting
    }

    /// Returns a connection to the pool after a complete exchange, unless the upstream closes it.
    pub fn release(
        &self,
        address: SocketAddr,
        mut connection: Connection,
        head: &ResponseHead,
    ) {
        if !head.keeps_connection || !connection.is_reusable() {
            return;
        }
        connection.idle_since = self.clock.now();
        connection.idle_timeout = keep_alive_timeout(head).unwrap_or(DEFAULT_IDLE_TIMEOUT);
        let mut idle = self.idle.borrow_mut();
        let connections = idle.entry(address).or_default();
        if connections.len() < MAX_IDLE_PER_ADDRESS {
            connections.push(connection);
        }
    }

    /// Keeps a new connection for the next request.
    pub fn keep(
        &self,
        address: SocketAddr,
        mut connection: Connection,
    ) {
        connection.idle_since = self.clock.now();
        connection.idle_timeout = DEFAULT_IDLE_TIMEOUT;
        self.idle
            .borrow_mut()
            .entry(address)
            .or_default()
            .push(connection);
    }

    /// Closes connections that have exceeded their idle timeout.
    pub fn close_expired(&self) {
        let now = self.clock.now();
        let mut idle = self.idle.borrow_mut();
        idle.retain(|_, connections| {
            connections
                .retain(|connection| now.since(connection.idle_since) <= connection.idle_timeout);
            !connections.is_empty()
        });
    }

    /// Closes all idle connections.
    pub fn close_all_idle(&self) {
        self.idle.borrow_mut().clear();
    }

    /// Closes all idle connections to an address: if one is dead, the others are likely to be too.
    pub fn close_idle(
        &self,
        address: SocketAddr,
    ) {
        self.idle.borrow_mut().remove(&address);
    }
}

/// The idle timeout derived from the upstream's `Keep-Alive` header.
fn keep_alive_timeout(head: &ResponseHead) -> Option<Millis> {
    let secs: u64 = head
        .headers
        .elements("keep-alive")
        .find_map(|element| element.strip_prefix("timeout="))?
        .parse()
        .ok()?;
    Some(Millis(secs * 1000 * KEEP_ALIVE_PERCENT / 100))
}
