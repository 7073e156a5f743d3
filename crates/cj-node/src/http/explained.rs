//! Adds an explanation to the errors that the HTTP library answers on its own, before a handler sees the request.

use std::{
    io,
    pin::Pin,
    task::{Context, Poll, ready},
};

use actix_http::StatusCode;
use bytes::{Buf, Bytes};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

use super::Answer;

/// What the next bytes written belong to.
enum Position {
    /// The start of a response.
    Start,
    /// A response of which this many bytes are still to be passed on.
    Within(usize),
    /// An explanation that replaces a response head of `head` bytes.
    Replacing { left: Bytes, head: usize },
    /// Not understood; everything is passed on.
    Opaque,
}

/// A connection whose empty error responses get a JSON body and `x-outcome`. The library answers malformed, oversized
/// and late request heads without asking a handler, so those responses can only be changed on their way out.
pub(crate) struct Explained<S> {
    stream: S,
    position: Position,
}

/// Length and meaning of a response head.
struct Head {
    length: usize,
    status: u16,
    body: usize,
    explained: bool,
}

impl<S> Explained<S> {
    pub(crate) fn new(stream: S) -> Self {
        Explained { stream, position: Position::Start }
    }
}

impl Head {
    /// Reads the head at the start of `bytes`; `None` when it isn't whole or has no known length.
    fn read(bytes: &[u8]) -> Option<Head> {
        let length = bytes.windows(4).position(|w| w == b"\r\n\r\n")? + 4;
        let text = std::str::from_utf8(&bytes[..length]).ok()?;
        let mut lines = text.lines();
        let status = lines.next()?.strip_prefix("HTTP/1.")?.split(' ').nth(1)?.parse().ok()?;
        let mut head =
            Head { length, status, body: 0, explained: status < StatusCode::BAD_REQUEST.as_u16() };
        let mut sized = status < StatusCode::OK.as_u16();
        for (name, value) in lines.filter_map(|line| line.split_once(':')) {
            if name.eq_ignore_ascii_case("content-length") {
                head.body = value.trim().parse().ok()?;
                sized = true;
            }
            head.explained |= name.eq_ignore_ascii_case("x-outcome");
        }
        sized.then_some(head)
    }

    fn position(&self) -> Position {
        if self.explained || self.body > 0 {
            return Position::Within(self.length + self.body);
        }
        Position::Replacing { left: explanation(self.status), head: self.length }
    }
}

/// A whole response for an error of the HTTP library. The connection closes after it.
fn explanation(status: u16) -> Bytes {
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

impl<S> AsyncRead for Explained<S>
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

impl<S> AsyncWrite for Explained<S>
where
    S: AsyncWrite + Unpin,
{
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let Explained { stream, position } = self.get_mut();
        let stream = Pin::new(stream);
        if matches!(position, Position::Start) {
            *position = Head::read(buf).map_or(Position::Opaque, |head| head.position());
        }
        match position {
            Position::Start | Position::Opaque => stream.poll_write(cx, buf),
            Position::Within(left) => {
                let written = ready!(stream.poll_write(cx, &buf[..buf.len().min(*left)]))?;
                *left -= written;
                if *left == 0 {
                    *position = Position::Start;
                }
                Poll::Ready(Ok(written))
            }
            Position::Replacing { left, head } => {
                let (mut stream, head) = (stream, *head);
                while !left.is_empty() {
                    let written = ready!(stream.as_mut().poll_write(cx, left))?;
                    if written == 0 {
                        return Poll::Ready(Err(io::ErrorKind::WriteZero.into()));
                    }
                    left.advance(written);
                }
                *position = Position::Start;
                Poll::Ready(Ok(head))
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
