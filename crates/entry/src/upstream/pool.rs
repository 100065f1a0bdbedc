use {
    super::Connection,
    crate::{clock::Clock, http1::AnswerHead},
    jasmine_core::clock::Millis,
    std::{cell::RefCell, collections::HashMap, io, net::SocketAddr, time::Duration},
    tokio::time::timeout,
};

/// How long connecting may take: upstreams stand a few milliseconds away, and one lost packet is sent again
/// after a fifth of a second.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(450);
/// How long an idle connection is kept whose upstream names no time.
const IDLE_LIMIT: Millis = Millis(4_000);
/// The part of the time that an upstream names for which a connection is kept, in percent: a request that
/// crosses its close may or may not have run.
const KEPT_PERCENT: u64 = 60;
/// Idle connections kept to one address.
const MAX_IDLE: usize = 16;

/// Idle connections, by address.
#[derive(Debug, Default)]
pub struct Pool {
    clock: Clock,
    idle: RefCell<HashMap<SocketAddr, Vec<Connection>>>,
}

impl Pool {
    /// A connection that was used before and is still good, if there is one that has been idle for at most
    /// `longest`.
    pub fn reuse(
        &self,
        address: SocketAddr,
        longest: Millis,
    ) -> Option<Connection> {
        let now = self.clock.now();
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(&address)?;
        while let Some(connection) = connections.pop() {
            let age = now.since(connection.idle_since);
            if age <= connection.idle_limit.min(longest) && connection.is_quiet() {
                return Some(connection);
            }
        }
        None
    }

    /// Connects anew.
    ///
    /// # Errors
    ///
    /// Whatever the system says, or that it took too long; nothing was sent.
    pub async fn open(
        &self,
        address: SocketAddr,
    ) -> io::Result<Connection> {
        timeout(CONNECT_TIMEOUT, Connection::open(address))
            .await
            .unwrap_or_else(|_elapsed| Err(io::ErrorKind::TimedOut.into()))
    }

    /// Keeps a connection after a whole exchange, if its upstream does.
    pub fn keep(
        &self,
        address: SocketAddr,
        mut connection: Connection,
        head: &AnswerHead,
    ) {
        if !head.keeps_connection || !connection.is_quiet() {
            return;
        }
        connection.idle_since = self.clock.now();
        connection.idle_limit = named_limit(head).unwrap_or(IDLE_LIMIT);
        let mut idle = self.idle.borrow_mut();
        let connections = idle.entry(address).or_default();
        if connections.len() < MAX_IDLE {
            connections.push(connection);
        }
    }

    /// Closes what has been idle for too long.
    pub fn sweep(&self) {
        let now = self.clock.now();
        let mut idle = self.idle.borrow_mut();
        idle.retain(|_, connections| {
            connections
                .retain(|connection| now.since(connection.idle_since) <= connection.idle_limit);
            !connections.is_empty()
        });
    }

    /// Closes all idle connections to an address: when one has gone silent, others are likely to have too.
    pub fn forget(
        &self,
        address: SocketAddr,
    ) {
        self.idle.borrow_mut().remove(&address);
    }
}

/// How long the upstream says that it keeps an idle connection, less what a request takes on its way.
fn named_limit(head: &AnswerHead) -> Option<Millis> {
    let secs: u64 = head
        .headers
        .words("keep-alive")
        .find_map(|word| word.strip_prefix("timeout="))?
        .parse()
        .ok()?;
    Some(Millis(secs * 1000 * KEPT_PERCENT / 100))
}
