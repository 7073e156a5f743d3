//! Tells idle connections from those with a request that is being received or answered.

use std::{
    cell::{Cell, RefCell},
    io,
    pin::Pin,
    rc::Rc,
    task::{Context, Poll, Waker},
};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// What a connection is doing. Shared by its stream, by the handlers of its requests and by the listener.
#[derive(Default)]
pub(crate) struct Activity {
    /// Bytes were read that no response has followed yet.
    has_request: Cell<bool>,
    /// The stream reports its end once it is idle.
    ending: Cell<bool>,
    reader: RefCell<Option<Waker>>,
}

impl Activity {
    /// Records that the request of the connection has its response.
    pub(crate) fn finish_request(&self) {
        self.has_request.set(false);
        self.wake_reader();
    }

    /// Ends the connection as soon as it has no request and nothing to read.
    pub(crate) fn end_when_idle(&self) {
        self.ending.set(true);
        self.wake_reader();
    }

    fn wake_reader(&self) {
        if self.ending.get()
            && let Some(waker) = self.reader.take()
        {
            waker.wake();
        }
    }
}

/// A stream that records its reads, and reports its end when its [`Activity`] asks for it.
pub(crate) struct TrackedStream<S> {
    stream: S,
    activity: Rc<Activity>,
}

impl<S> TrackedStream<S> {
    pub(crate) fn new(stream: S) -> Self {
        TrackedStream { stream, activity: Rc::default() }
    }

    pub(crate) fn activity(&self) -> &Rc<Activity> {
        &self.activity
    }
}

impl<S> AsyncRead for TrackedStream<S>
where
    S: AsyncRead + Unpin,
{
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let poll = Pin::new(&mut self.stream).poll_read(cx, buffer);
        let activity = &self.activity;
        if poll.is_pending() {
            if activity.ending.get() && !activity.has_request.get() {
                return Poll::Ready(Ok(()));
            }
            *activity.reader.borrow_mut() = Some(cx.waker().clone());
        } else if buffer.filled().len() > before {
            activity.has_request.set(true);
        }
        poll
    }
}

impl<S> AsyncWrite for TrackedStream<S>
where
    S: AsyncWrite + Unpin,
{
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buffer)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffers: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, buffers)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
