use {
    super::CheckedIo,
    actix_rt::net::TcpStream,
    actix_service::{Service, fn_service},
    actix_tls::connect::{ConnectError, ConnectInfo, Connection, ConnectorService},
    awc::{Connector, http::Uri},
};

/// A connection of an HTTP client made by [`checked_connector`].
pub type CheckedStream = Connection<Uri, CheckedIo<TcpStream>>;

/// A connector of `awc` whose connections return only acceptable responses, as [`CheckedIo`] does.
pub fn checked_connector()
-> Connector<impl Service<ConnectInfo<Uri>, Response = CheckedStream, Error = ConnectError> + Clone>
{
    Connector::new().connector(fn_service(connect))
}

async fn connect(info: ConnectInfo<Uri>) -> Result<CheckedStream, ConnectError> {
    let (io, uri) = ConnectorService::default().call(info).await?.into_parts();
    let peer = io.peer_addr().map_err(ConnectError::Io)?;
    Ok(Connection::new(uri, CheckedIo::new(io, peer)))
}
