use {
    super::{BytesWritten, UpstreamIo},
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
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);
/// No connection is used for longer.
const MAX_CONNECTION_AGE: Duration = Duration::from_mins(5);

/// An upstream's answer as it begins.
pub type UpstreamResponse = ClientResponse;

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
            pooled: RefCell::new(client(&BytesWritten::default())),
        }
    }
}

impl Connections {
    /// Sends a request and waits for the head of its answer.
    ///
    /// A `force_new_connection` one gets a connection of its own that nobody has used before.
    ///
    /// # Errors
    ///
    /// [`SendFailure::NotSent`] only with proof that no byte left.
    pub async fn send(
        &self,
        force_new_connection: bool,
        address: SocketAddr,
        method: Method,
        target: &str,
        headers: HeaderMap,
        body: Bytes,
    ) -> Result<UpstreamResponse, SendFailure> {
        let written = BytesWritten::default();
        let client = if force_new_connection {
            client(&written)
        } else {
            self.pooled.borrow().clone()
        };
        let mut req = client
            .request(method, format!("http://{address}{target}"))
            .address(address);
        for (name, value) in headers {
            req = req.append_header((name, value));
        }
        if force_new_connection {
            req = req.force_close();
        }
        req.send_body(body).await.map_err(|e| match e {
            _ if force_new_connection && !written.any() => SendFailure::NotSent,
            SendRequestError::Connect(e) if !force_new_connection && is_before_sending(&e) => {
                SendFailure::NotSent
            }
            _ => SendFailure::Lost,
        })
    }

    /// Forgets all idle connections; those in use go on.
    ///
    /// When one connection has gone silent, others that went the same way are likely to be dead too,
    /// and each would cost a request the whole wait before that is noticed.
    pub fn discard_idle(&self) {
        self.pooled.replace(client(&BytesWritten::default()));
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

fn client(written: &BytesWritten) -> Client {
    let written = written.clone();
    let dial = fn_service(move |info: ConnectInfo<Uri>| dial(info, written.clone()));
    let connector = Connector::new()
        .connector(dial)
        .timeout(CONNECT_TIMEOUT)
        .conn_keep_alive(IDLE_TIMEOUT)
        .conn_lifetime(MAX_CONNECTION_AGE)
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
    written: BytesWritten,
) -> Result<Connection<Uri, UpstreamIo>, ConnectError> {
    let mut info = info;
    let address = info.take_addrs().next().ok_or(ConnectError::Unresolved)?;
    let stream = TcpStream::connect(address)
        .await
        .map_err(ConnectError::Io)?;
    stream.set_nodelay(true).map_err(ConnectError::Io)?;
    let io: io::Result<UpstreamIo> = Ok(UpstreamIo::new(stream, written));
    Ok(Connection::new(
        info.request().clone(),
        io.map_err(ConnectError::Io)?,
    ))
}
