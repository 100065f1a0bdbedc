use {
    super::{BytesLeft, UpstreamIo},
    actix_rt::net::TcpStream,
    actix_service::fn_service,
    actix_tls::connect::{ConnectError, ConnectInfo, Connection},
    actix_web::http::{Method, Uri, header::HeaderMap},
    awc::{Client, ClientResponse, Connector, error::SendRequestError},
    bytes::Bytes,
    std::{cell::RefCell, io, net::SocketAddr, time::Duration},
};

/// How long connecting may take; upstreams stand a few milliseconds away.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// An idle connection older than this is not used again: long idle ones die unnoticed most often.
const IDLE_LIMIT: Duration = Duration::from_secs(10);
/// No connection is used for longer.
const LIFETIME: Duration = Duration::from_mins(5);

/// An upstream's answer as it begins.
pub type Sent = ClientResponse;

/// Why a request has no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(derive_more::Display, derive_more::Error)]
pub enum SendFailure {
    /// No connection came about: no byte of the request left.
    #[display("not connected, nothing was sent")]
    NotSent,
    /// Bytes may have left.
    #[display("lost after the request had been sent")]
    Lost,
}

/// The connections of one worker thread.
pub struct Connections {
    pooled: RefCell<Client>,
}

impl std::fmt::Debug for Connections {
    fn fmt(
        &self,
        f: &mut std::fmt::Formatter<'_>,
    ) -> std::fmt::Result {
        f.debug_struct("Connections").finish_non_exhaustive()
    }
}

impl Default for Connections {
    fn default() -> Self {
        Self {
            pooled: RefCell::new(client(&BytesLeft::default())),
        }
    }
}

impl Connections {
    /// Sends a request and waits for the head of its answer.
    ///
    /// A `fresh` one gets a connection of its own that nobody has used before.
    ///
    /// # Errors
    ///
    /// [`SendFailure::NotSent`] only with proof that no byte left.
    pub async fn send(
        &self,
        fresh: bool,
        address: SocketAddr,
        method: Method,
        target: &str,
        headers: HeaderMap,
        body: Bytes,
    ) -> Result<Sent, SendFailure> {
        let left = BytesLeft::default();
        let client = if fresh {
            client(&left)
        } else {
            self.pooled.borrow().clone()
        };
        let mut req = client
            .request(method, format!("http://{address}{target}"))
            .address(address);
        for (name, value) in headers {
            req = req.append_header((name, value));
        }
        if fresh {
            req = req.force_close();
        }
        req.send_body(body).await.map_err(|e| match e {
            _ if fresh && !left.any() => SendFailure::NotSent,
            SendRequestError::Connect(e) if !fresh && is_before_sending(&e) => SendFailure::NotSent,
            _ => SendFailure::Lost,
        })
    }

    /// Forgets all idle connections; those in use go on.
    ///
    /// When one connection has gone silent, others that went the same way are likely to be dead too,
    /// and each would cost a request the whole wait before that is noticed.
    pub fn renew(&self) {
        self.pooled.replace(client(&BytesLeft::default()));
    }
}

/// The connect errors that come before a pooled connection is written to.
///
/// `Disconnected` is not among them: awc also reports it when a sent request gets no answer.
fn is_before_sending(e: &awc::error::ConnectError) -> bool {
    use awc::error::ConnectError as E;
    matches!(
        e,
        E::Timeout | E::Io(_) | E::Resolver(_) | E::NoRecords | E::Unresolved
    )
}

fn client(left: &BytesLeft) -> Client {
    let left = left.clone();
    let dial = fn_service(move |info: ConnectInfo<Uri>| dial(info, left.clone()));
    let connector = Connector::new()
        .connector(dial)
        .timeout(CONNECT_TIMEOUT)
        .conn_keep_alive(IDLE_LIMIT)
        .conn_lifetime(LIFETIME)
        .limit(0);
    Client::builder()
        .connector(connector)
        // A redirect would run a call a second time at another address.
        .disable_redirects()
        // The driver of the request has its own, finer limits.
        .disable_timeout()
        .no_default_headers()
        .finish()
}

async fn dial(
    info: ConnectInfo<Uri>,
    left: BytesLeft,
) -> Result<Connection<Uri, UpstreamIo>, ConnectError> {
    let mut info = info;
    let address = info.take_addrs().next().ok_or(ConnectError::Unresolved)?;
    let stream = TcpStream::connect(address)
        .await
        .map_err(ConnectError::Io)?;
    stream.set_nodelay(true).map_err(ConnectError::Io)?;
    let io: io::Result<UpstreamIo> = Ok(UpstreamIo::new(stream, left));
    Ok(Connection::new(
        info.request().clone(),
        io.map_err(ConnectError::Io)?,
    ))
}
