//! What errors of the HTTP client say about a call.

use awc::error::{ConnectError, SendRequestError};

/// True when nothing of the request can have reached the server. `Disconnected` isn't such a case: it is also reported
/// when the server closes the connection after it took the request.
pub fn is_unsent(error: &SendRequestError) -> bool {
    match error {
        SendRequestError::Url(_) => true,
        SendRequestError::Connect(ConnectError::Io(error)) => {
            error.kind() == std::io::ErrorKind::ConnectionRefused
        }
        SendRequestError::Connect(error) => matches!(
            error,
            ConnectError::Resolver(_)
                | ConnectError::NoRecords
                | ConnectError::Unresolved
                | ConnectError::Timeout
        ),
        _ => false,
    }
}
