//! Classifies errors of the HTTP client.

use awc::error::{ConnectError, SendRequestError};

/// True when no part of the request can have reached the server. `Disconnected` doesn't qualify: it is also reported when
/// the server closes the connection after receiving the request.
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
