//! What a failed HTTP call says about the work.

use {awc::error::ConnectError, std::io::ErrorKind};

/// Whether nothing of the request has left this process.
///
/// The client also reports as a failure to connect that the other side closed the connection without
/// an answer. Its work may be done by then: a lost reply, not a call that never came.
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
