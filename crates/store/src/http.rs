//! Classification of failed HTTP calls.

use {awc::error::ConnectError, std::io::ErrorKind};

/// Whether the error guarantees that nothing of the request was sent.
///
/// The HTTP client also reports a [`ConnectError`] when the server closes the connection without a
/// response. The server may have executed that request.
pub fn is_unsent(e: &ConnectError) -> bool {
    match e {
        ConnectError::Resolver(_)
        | ConnectError::NoRecords
        | ConnectError::Timeout
        | ConnectError::Unresolved => true,
        ConnectError::Io(e) => matches!(
            e.kind(),
            ErrorKind::ConnectionRefused
                | ErrorKind::HostUnreachable
                | ErrorKind::NetworkUnreachable
                | ErrorKind::AddrNotAvailable
        ),
        _ => false,
    }
}
