use {
    super::{BytesWritten, UpstreamIo},
    actix_rt::net::TcpStream,
    actix_service::fn_service,
    actix_tls::connect::{ConnectError, ConnectInfo, Connection},
    actix_web::http::{Method, Uri, header::HeaderMap},
    awc::{Client, ClientResponse, Connector, error::SendRequestError},
    bytes::Bytes,
    jasmine_http1::CheckedIo,
    std::{cell::RefCell, net::SocketAddr, time::Duration},
};

/// Timeout for establishing a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Idle time after which a pooled connection is not reused, since it may have been dropped silently.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);
/// Maximum age of a pooled connection.
const MAX_CONNECTION_AGE: Duration = Duration::from_mins(5);

/// A response of an upstream whose body is not read yet.
pub type UpstreamResponse = ClientResponse;

/// Why no response head was received.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(derive_more::Display, derive_more::Error)]
pub enum SendFailure {
    /// No connection was established, so no byte of the request was sent.
    #[display("connection failed before the request was sent")]
    NotSent,
    /// The request may have been sent in part or completely.
    #[display("connection lost after the request may have been sent")]
    Lost,
}

/// Upstream connections of one worker thread.
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
    /// Sends a request and waits for the response head.
    ///
    /// With `force_new_connection` the request uses a new connection outside the pool.
    ///
    /// # Errors
    ///
    /// [`SendFailure::NotSent`] only if certainly no byte was sent, otherwise [`SendFailure::Lost`].
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

    /// Discards all idle connections; those in use are not affected.
    ///
    /// Called after a connection timed out, since other idle connections may have been dropped silently
    /// too.
    pub fn discard_idle(&self) {
        self.pooled.replace(client(&BytesWritten::default()));
    }
}

/// Whether a connect error occurs before anything is written to a pooled connection.
///
/// `Disconnected` does not: `awc` also returns it if a sent request gets no response.
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
        // Following a redirect could run a call a second time.
        .disable_redirects()
        // The driver of the request enforces its own timeouts.
        .disable_timeout()
        .no_default_headers()
        .finish()
}

async fn dial(
    info: ConnectInfo<Uri>,
    written: BytesWritten,
) -> Result<Connection<Uri, CheckedIo<UpstreamIo>>, ConnectError> {
    let mut info = info;
    let address = info.take_addrs().next().ok_or(ConnectError::Unresolved)?;
    let stream = TcpStream::connect(address)
        .await
        .map_err(ConnectError::Io)?;
    stream.set_nodelay(true).map_err(ConnectError::Io)?;
    let io = CheckedIo::new(UpstreamIo::new(stream, written), address);
    Ok(Connection::new(info.request().clone(), io))
}
