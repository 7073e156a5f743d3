//! Adds a body to the error responses that the HTTP library sends on its own, before a handler sees the request.

use std::{
    io,
    pin::Pin,
    task::{Context, Poll, ready},
};

use actix_http::StatusCode;
use bytes::{Buf, Bytes};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

use super::Answer;

/// Position in the written byte stream.
enum Position {
    /// At the start of a response.
    Start,
    /// Within a response of which this many bytes are still to be passed on unchanged.
    InResponse(usize),
    /// Within an error response that replaces the original head of `head_length` bytes.
    InErrorBody { left: Bytes, head_length: usize },
    /// A response head could not be parsed; everything is passed on unchanged from here.
    PassThrough,
}

/// A connection whose empty error responses get a JSON body and the `x-outcome` header. The HTTP library answers
/// malformed, oversized and late request heads without calling a handler, so those responses can only be changed as
/// they are written.
pub(crate) struct ErrorBodyStream<S> {
    stream: S,
    position: Position,
}

/// Parsed head of a response; lengths in bytes.
struct Head {
    head_length: usize,
    status: u16,
    body_length: usize,
    /// True when the response is not an error or states its outcome already.
    keep: bool,
}

impl<S> ErrorBodyStream<S> {
    pub(crate) fn new(stream: S) -> Self {
        ErrorBodyStream { stream, position: Position::Start }
    }
}

impl Head {
    /// Parses the head at the start of `bytes`; `None` when it is incomplete or states no body length.
    fn read(bytes: &[u8]) -> Option<Head> {
        let length = bytes.windows(4).position(|w| w == b"\r\n\r\n")? + 4;
        let text = std::str::from_utf8(&bytes[..length]).ok()?;
        let mut lines = text.lines();
        let status = lines.next()?.strip_prefix("HTTP/1.")?.split(' ').nth(1)?.parse().ok()?;
        let mut head = Head {
            head_length: length,
            status,
            body_length: 0,
            keep: status < StatusCode::BAD_REQUEST.as_u16(),
        };
        let mut has_length = status < StatusCode::OK.as_u16();
        for (name, value) in lines.filter_map(|line| line.split_once(':')) {
            if name.eq_ignore_ascii_case("content-length") {
                head.body_length = value.trim().parse().ok()?;
                has_length = true;
            }
            head.keep |= name.eq_ignore_ascii_case("x-outcome");
        }
        has_length.then_some(head)
    }

    fn position(&self) -> Position {
        if self.keep || self.body_length > 0 {
            return Position::InResponse(self.head_length + self.body_length);
        }
        Position::InErrorBody { left: error_response(self.status), head_length: self.head_length }
    }
}

/// The complete response that replaces an error response of the HTTP library. It closes the connection.
fn error_response(status: u16) -> Bytes {
    let status = StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_REQUEST);
    let reason = match status {
        StatusCode::REQUEST_TIMEOUT => {
            "the request head did not arrive within 5 s; send it at once"
        }
        StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE => {
            "the request head is too large; send fewer or shorter headers"
        }
        _ => "the request is not well-formed HTTP/1.1; correct it",
    };
    let answer = Answer::bad_input(status, reason);
    let head = format!(
        "HTTP/1.1 {status}\r\nconnection: close\r\ncontent-type: application/json\r\ncontent-length: {}\r\nx-outcome: {}\r\n\r\n",
        answer.body.len(),
        answer.outcome
    );
    [head.as_bytes(), &answer.body].concat().into()
}

impl<S> AsyncRead for ErrorBodyStream<S>
where
    S: AsyncRead + Unpin,
{
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(cx, buf)
    }
}

impl<S> AsyncWrite for ErrorBodyStream<S>
where
    S: AsyncWrite + Unpin,
{
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let ErrorBodyStream { stream, position } = self.get_mut();
        let stream = Pin::new(stream);
        if matches!(position, Position::Start) {
            *position = Head::read(buf).map_or(Position::PassThrough, |head| head.position());
        }
        match position {
            Position::Start | Position::PassThrough => stream.poll_write(cx, buf),
            Position::InResponse(left) => {
                let written = ready!(stream.poll_write(cx, &buf[..buf.len().min(*left)]))?;
                *left -= written;
                if *left == 0 {
                    *position = Position::Start;
                }
                Poll::Ready(Ok(written))
            }
            Position::InErrorBody { left, head_length } => {
                let (mut stream, head_length) = (stream, *head_length);
                while !left.is_empty() {
                    let written = ready!(stream.as_mut().poll_write(cx, left))?;
                    if written == 0 {
                        return Poll::Ready(Err(io::ErrorKind::WriteZero.into()));
                    }
                    left.advance(written);
                }
                *position = Position::Start;
                Poll::Ready(Ok(head_length))
            }
        }
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
