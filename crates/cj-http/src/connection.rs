//! Tells idle connections from those with a request that is being received or answered, and limits what a connection reads
//! ahead of the handler.

use std::{
    cell::{Cell, RefCell},
    future::poll_fn,
    io,
    pin::Pin,
    rc::Rc,
    task::{Context, Poll, Waker},
    time::Duration,
};

use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    sync::Notify,
    time::Instant,
};

use crate::body_budget::{BodyBudget, ChargedBody};

/// Maximum size of a request head.
const MAX_HEAD_BYTES: usize = 16 << 10;

/// Answer to a head beyond [`MAX_HEAD_BYTES`]. The library has an answer of its own only for heads of 128 KiB.
const HEAD_TOO_LARGE: &[u8] = b"HTTP/1.1 431 Request Header Fields Too Large\r\n\
    content-length: 0\r\nconnection: close\r\n\r\n";

/// Bytes that the HTTP library is given at a time while the length of what arrives isn't known, so in heads and in chunked
/// bodies. It keeps 32 bytes for each chunk, which can be a single byte long.
const UNSIZED_READ_BYTES: usize = 1 << 10;

/// Bytes that are read from the socket at a time while a head arrives.
const READ_AHEAD_BYTES: usize = 2 << 10;

/// Maximum number of bytes of a body with a known length that are read at a time.
const BODY_READ_BYTES: usize = 8 << 10;

/// A connection with a part of a request, or with an answer that its client doesn't read, can be closed in favour of a new
/// one after this time without progress.
const STALL_TIME: Duration = Duration::from_secs(1);

/// What a connection does with its current request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Phase {
    /// Waits for a request or reads its head.
    #[default]
    Head,
    /// The handler reads the body.
    Body,
    /// The handler is at work.
    Handling,
    /// The response has been sent without reading the rest of the body.
    Closing,
}

/// What a connection is doing. Shared by its stream, by the handlers of its requests and by the listener.
pub(crate) struct Activity {
    /// Bytes were read that no response has followed yet.
    has_request: Cell<bool>,
    /// The stream reports its end once it is idle.
    ending: Cell<bool>,
    phase: Cell<Phase>,
    /// Number of bytes that may be read before the HTTP library or the handler takes its turn.
    allowance: Cell<usize>,
    /// Number of bytes read since the last response.
    head_bytes: Cell<usize>,
    /// The last line of the head is empty so far.
    line_empty: Cell<bool>,
    /// The stream holds bytes that it has read ahead.
    has_ahead: Cell<bool>,
    /// The client doesn't read its answers.
    write_blocked: Cell<bool>,
    /// Time of the last byte read or written.
    progress_at: Cell<Instant>,
    reader: RefCell<Option<Waker>>,
    handler: RefCell<Option<Waker>>,
    body: RefCell<Option<Rc<ChargedBody>>>,
    /// The body of the current request has been read to its end.
    body_read: Cell<bool>,
    closing: Notify,
    closed: Notify,
}

impl Default for Activity {
    fn default() -> Self {
        Activity {
            has_request: Cell::default(),
            ending: Cell::default(),
            phase: Cell::default(),
            allowance: Cell::new(UNSIZED_READ_BYTES),
            head_bytes: Cell::default(),
            line_empty: Cell::default(),
            has_ahead: Cell::default(),
            write_blocked: Cell::default(),
            progress_at: Cell::new(Instant::now()),
            reader: RefCell::default(),
            handler: RefCell::default(),
            body: RefCell::default(),
            body_read: Cell::default(),
            closing: Notify::new(),
            closed: Notify::new(),
        }
    }
}

impl Activity {
    /// Waits until the client has read the earlier answers, then begins with a request.
    pub(crate) async fn begin_request(&self) {
        let flushed = |cx: &mut Context<'_>| {
            if !self.write_blocked.get() {
                return Poll::Ready(());
            }
            *self.handler.borrow_mut() = Some(cx.waker().clone());
            Poll::Pending
        };
        poll_fn(flushed).await;
        self.has_request.set(true);
        self.body_read.set(false);
        self.set_phase(Phase::Handling, 0);
    }

    /// Records that the request of the connection has its response, and frees its body. Returns true when a part of the
    /// body hasn't been read, so that the connection has to be closed.
    pub(crate) fn finish_request(&self, has_body: bool) -> bool {
        let unread = has_body && !self.body_read.get();
        self.body.take();
        self.has_request.set(self.has_ahead.get());
        self.head_bytes.set(0);
        self.line_empty.set(false);
        if unread {
            self.start_closing();
        } else {
            self.set_phase(Phase::Head, UNSIZED_READ_BYTES);
        }
        self.wake_reader();
        unread
    }

    /// Reads nothing more, and closes the connection once its client has had time to read the response.
    fn start_closing(&self) {
        self.set_phase(Phase::Closing, 0);
        self.closing.notify_one();
    }

    /// True when a head has reached its maximum size without an end.
    fn is_head_too_large(&self) -> bool {
        self.phase.get() == Phase::Head
            && !self.write_blocked.get()
            && self.head_bytes.get() >= MAX_HEAD_BYTES
    }

    /// Starts to receive the body of the current request.
    pub(crate) fn start_body(&self, budget: &BodyBudget) -> Rc<ChargedBody> {
        let body = Rc::new(budget.start_body());
        *self.body.borrow_mut() = Some(body.clone());
        self.set_phase(Phase::Body, 0);
        body
    }

    /// The body of the current request.
    pub(crate) fn body(&self) -> Option<Rc<ChargedBody>> {
        self.body.borrow().clone()
    }

    /// Lets the connection read the next bytes of a body, of which `remaining` are missing if its length is known.
    pub(crate) fn read_body_bytes(&self, remaining: Option<usize>) {
        let allowance =
            remaining.map_or(UNSIZED_READ_BYTES, |count| count.clamp(1, BODY_READ_BYTES));
        let was_exhausted = self.allowance.replace(allowance) == 0;
        if was_exhausted {
            self.wake_reader();
        }
    }

    pub(crate) fn end_body(&self, complete: bool) {
        self.body_read.set(complete);
        self.set_phase(Phase::Handling, 0);
    }

    fn set_phase(&self, phase: Phase, allowance: usize) {
        self.phase.set(phase);
        self.allowance.set(allowance);
        self.progress_at.set(Instant::now());
    }

    /// Ends the connection as soon as it has no request and nothing to read.
    pub(crate) fn end_when_idle(&self) {
        self.ending.set(true);
        self.wake_reader();
    }

    /// Closes the connection at once.
    pub(crate) fn close(&self) {
        self.closed.notify_one();
    }

    /// Resolves when the connection is to be closed at once.
    pub(crate) async fn wait_closed(&self) {
        self.closed.notified().await;
    }

    /// Resolves when a response to a request with unread bytes has been written and the client has had `time` to read it.
    pub(crate) async fn wait_lingered(&self, time: Duration) {
        self.closing.notified().await;
        loop {
            tokio::time::sleep(time).await;
            if !self.write_blocked.get() {
                return;
            }
        }
    }

    /// Time of the last progress, if the connection can be closed in favour of a new one.
    pub(crate) fn idle_since(&self, now: Instant) -> Option<Instant> {
        let since = self.progress_at.get();
        let may_close = match self.phase.get() {
            Phase::Handling => false,
            Phase::Head if !self.has_request.get() && !self.write_blocked.get() => true,
            Phase::Head | Phase::Body | Phase::Closing => now - since >= STALL_TIME,
        };
        may_close.then_some(since)
    }

    fn wake_reader(&self) {
        if let Some(waker) = self.reader.take() {
            waker.wake();
        }
    }

    /// Number of bytes that may be read now; `None` until the reader is woken.
    fn readable_bytes(&self, cx: &Context<'_>) -> Option<usize> {
        let in_head = self.phase.get() == Phase::Head && !self.write_blocked.get();
        let allowance = self.allowance.get();
        if allowance > 0 && !self.write_blocked.get() {
            return Some(allowance);
        }
        if in_head {
            // The library parses what it has before it reads the next part.
            self.allowance.set(UNSIZED_READ_BYTES);
            cx.waker().wake_by_ref();
        }
        None
    }

    /// Records that bytes were passed on to the HTTP library.
    fn record_read(&self, count: usize) {
        self.has_request.set(true);
        self.head_bytes.set(self.head_bytes.get() + count);
        self.allowance.set(self.allowance.get().saturating_sub(count));
        self.progress_at.set(Instant::now());
    }

    /// Number of bytes to pass on of those that were read, at most `limit`: none beyond the end of a head, so that the
    /// library doesn't parse later requests before their turn.
    fn passed_bytes(&self, bytes: &[u8], limit: usize) -> usize {
        let bytes = &bytes[..limit.min(bytes.len())];
        if self.phase.get() != Phase::Head {
            return bytes.len();
        }
        let mut line_empty = self.line_empty.get();
        let end = bytes.iter().position(|byte| match byte {
            b'\n' if line_empty => true,
            b'\n' => {
                line_empty = true;
                false
            }
            b'\r' => false,
            _ => {
                line_empty = false;
                false
            }
        });
        self.line_empty.set(line_empty && end.is_none());
        if end.is_some() {
            self.allowance.set(0);
        }
        end.map_or(bytes.len(), |at| at + 1)
    }

    fn record_write(&self, blocked: bool) {
        let was_blocked = self.write_blocked.replace(blocked);
        if blocked {
            return;
        }
        self.progress_at.set(Instant::now());
        if was_blocked {
            self.wake_reader();
            if let Some(waker) = self.handler.take() {
                waker.wake();
            }
        }
    }
}

/// A stream that records its reads, limits them, and reports its end when its [`Activity`] asks for it.
pub(crate) struct TrackedStream<S> {
    stream: S,
    activity: Rc<Activity>,
    /// Bytes that were read and not yet passed on, from `ahead_start` on.
    ahead: Vec<u8>,
    ahead_start: usize,
}

impl<S> TrackedStream<S> {
    pub(crate) fn new(stream: S) -> Self {
        TrackedStream { stream, activity: Rc::default(), ahead: Vec::new(), ahead_start: 0 }
    }

    pub(crate) fn activity(&self) -> &Rc<Activity> {
        &self.activity
    }

    /// Passes on bytes that were read ahead.
    fn pass_ahead(&mut self, buffer: &mut ReadBuf<'_>, limit: usize) {
        let rest = &self.ahead[self.ahead_start..];
        let count = self.activity.passed_bytes(rest, limit);
        buffer.put_slice(&rest[..count]);
        self.ahead_start += count;
        if self.ahead_start == self.ahead.len() {
            (self.ahead, self.ahead_start) = (Vec::new(), 0);
        }
        self.activity.has_ahead.set(!self.ahead.is_empty());
        self.activity.record_read(count);
    }
}

impl<S> TrackedStream<S>
where
    S: AsyncRead + Unpin,
{
    /// Reads a part of a head, and keeps what follows its end.
    fn poll_read_head(
        &mut self,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
        limit: usize,
    ) -> Poll<io::Result<()>> {
        let mut bytes = [0; READ_AHEAD_BYTES];
        let mut part = ReadBuf::new(&mut bytes);
        let poll = Pin::new(&mut self.stream).poll_read(cx, &mut part);
        let filled = part.filled();
        if !filled.is_empty() {
            self.ahead = filled.to_vec();
            self.pass_ahead(buffer, limit);
        }
        poll
    }

    /// Reads a part of a body.
    fn poll_read_body(
        &mut self,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
        limit: usize,
    ) -> Poll<io::Result<()>> {
        let mut part = ReadBuf::new(buffer.initialize_unfilled_to(limit));
        let poll = Pin::new(&mut self.stream).poll_read(cx, &mut part);
        let count = part.filled().len();
        buffer.advance(count);
        if count > 0 {
            self.activity.record_read(count);
        }
        poll
    }
}

impl<S> AsyncRead for TrackedStream<S>
where
    S: AsyncRead + AsyncWrite + Unpin,
{
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let activity = self.activity.clone();
        if activity.is_head_too_large() {
            // Nothing else is being written. If the socket takes none of it, the connection is closed without an answer.
            let _ = Pin::new(&mut self.stream).poll_write(cx, HEAD_TOO_LARGE);
            activity.start_closing();
        }
        let Some(limit) = activity.readable_bytes(cx) else {
            *activity.reader.borrow_mut() = Some(cx.waker().clone());
            return Poll::Pending;
        };
        let limit = limit.min(buffer.remaining());
        if !self.ahead.is_empty() {
            self.pass_ahead(buffer, limit);
            return Poll::Ready(Ok(()));
        }
        let poll = match activity.phase.get() {
            Phase::Head => self.poll_read_head(cx, buffer, limit),
            _ => self.poll_read_body(cx, buffer, limit),
        };
        if poll.is_pending() {
            if activity.ending.get() && !activity.has_request.get() {
                return Poll::Ready(Ok(()));
            }
            *activity.reader.borrow_mut() = Some(cx.waker().clone());
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
        let poll = Pin::new(&mut self.stream).poll_write(cx, buffer);
        self.activity.record_write(poll.is_pending());
        poll
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
        let poll = Pin::new(&mut self.stream).poll_write_vectored(cx, buffers);
        self.activity.record_write(poll.is_pending());
        poll
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
