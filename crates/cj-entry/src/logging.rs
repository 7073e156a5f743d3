//! Non-blocking logging to standard output.
//!
//! Lines pass through a bounded queue to a thread that writes them, so that logging never blocks the event loop. Lines
//! that don't fit into the queue are dropped and counted, those about callers' requests before all others.

use std::{
    io::{self, Write},
    sync::{
        Arc, OnceLock,
        atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering},
        mpsc::{Receiver, SyncSender, sync_channel},
    },
    thread::{self, Thread},
    time::{Duration, Instant},
};

use cj_types::{Clock, Error, ErrorKind, NodeId, Result, SystemClock};
use log::LevelFilter;

/// Maximum number of queued lines.
const BUFFER_LINES: usize = 4_096;

/// Lines about callers' requests are dropped while more than this many quarters of the queue are taken. The rest is for
/// lines that tell what starts and ends runs: those of requests are many, and one tells little.
const REQUEST_QUARTERS: usize = 3;

/// Marks a line about a request of a caller.
const REQUEST_FIELD: &[u8] = b" request=";

/// Marks a line about a run.
const TASK_FIELD: &[u8] = b" task=";

/// How long lines are gathered before they are written together.
const BATCH_INTERVAL: Duration = Duration::from_millis(60);

/// How long lines are gathered once one of them is about a run: a process that is killed loses them.
const RUN_BATCH_INTERVAL: Duration = Duration::from_millis(5);

/// Time limit for writing the last lines when the process ends.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(200);

/// Maximum number of bytes in one write, unless a single line is longer. Writes of this size to a pipe are atomic, so a
/// collector that reads from several processes never gets parts of lines.
const MAX_WRITE_BYTES: usize = 4_096;

static QUEUED: OnceLock<Arc<Queued>> = OnceLock::new();

/// What is queued.
#[derive(Debug, Default)]
struct Queued {
    /// Number of lines that aren't written yet.
    lines: AtomicUsize,
    /// A line about a run was queued since the last batch.
    has_run: AtomicBool,
    /// The thread that writes the lines, once it runs.
    writer: OnceLock<Thread>,
}

impl Queued {
    fn take_has_run(&self) -> bool {
        self.has_run.swap(false, Ordering::Relaxed)
    }

    /// Records that a line about a run was queued, and wakes the writing thread for the first one of a batch.
    fn add_run(&self) {
        if !self.has_run.swap(true, Ordering::Relaxed)
            && let Some(writer) = self.writer.get()
        {
            writer.unpark();
        }
    }

    /// Waits while lines gather.
    fn gather(&self) {
        let end = Instant::now() + BATCH_INTERVAL;
        while !self.take_has_run() {
            let left = end.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return;
            }
            thread::park_timeout(left);
        }
        thread::sleep(RUN_BATCH_INTERVAL);
        // The lines that were queued meanwhile are part of the batch.
        self.take_has_run();
    }
}

/// Counter of dropped lines.
#[derive(Clone, Debug, Default)]
pub struct DroppedLines(Arc<AtomicU64>);

impl DroppedLines {
    /// Number of lines dropped so far.
    pub fn count(&self) -> u64 {
        self.0.load(Ordering::Relaxed)
    }
}

/// Passes whole lines to the writing thread, and drops them when the queue is full. The logger writes a line in several
/// parts; dropping only one of them would break the line.
pub struct LineQueue {
    line: Vec<u8>,
    capacity: usize,
    lines: SyncSender<Vec<u8>>,
    dropped: DroppedLines,
    queued: Arc<Queued>,
}

impl LineQueue {
    /// A queue for up to `capacity` lines, and its receiver.
    pub fn new(capacity: usize, dropped: DroppedLines) -> (Self, Receiver<Vec<u8>>) {
        let (lines, received) = sync_channel(capacity);
        let queued = Arc::new(Queued::default());
        (LineQueue { line: Vec::new(), capacity, lines, dropped, queued }, received)
    }

    /// True when a line about a run was queued since the last call, so that the queued lines are written soon.
    pub fn take_has_run(&self) -> bool {
        self.queued.take_has_run()
    }
}

impl Write for LineQueue {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.line.extend_from_slice(bytes);
        if !self.line.ends_with(b"\n") {
            return Ok(bytes.len());
        }
        let line = std::mem::take(&mut self.line);
        let taken = self.queued.lines.fetch_add(1, Ordering::Relaxed);
        let has_field = |field: &[u8]| line.windows(field.len()).any(|part| part == field);
        let (is_request, is_run) = (has_field(REQUEST_FIELD), has_field(TASK_FIELD));
        let has_room = !is_request || taken < self.capacity * REQUEST_QUARTERS / 4;
        if !has_room || self.lines.try_send(line).is_err() {
            self.queued.lines.fetch_sub(1, Ordering::Relaxed);
            self.dropped.0.fetch_add(1, Ordering::Relaxed);
        } else if is_run {
            self.queued.add_run();
        }
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Installs the logger of the process.
///
/// # Errors
///
/// If a logger is already installed or the writing thread can't be started.
pub fn install(node: NodeId) -> Result<DroppedLines> {
    let dropped = DroppedLines::default();
    let (queue, received) = LineQueue::new(BUFFER_LINES, dropped.clone());
    let queued = queue.queued.clone();
    let failed = |cause: String| {
        let kind = ErrorKind::Failed(format!("cannot start logging: {cause}").into());
        Error::new(kind, "install the logger once, and check the limits of the process")
    };
    let counted = (dropped.clone(), queued.clone(), node.clone());
    let writer = thread::Builder::new().name("log".to_owned());
    let writer = writer
        .spawn(move || write_lines(&received, &counted.0, &counted.1, &counted.2))
        .map_err(|e| failed(e.to_string()))?;
    // This can't fail: the queue is new.
    let _ = queued.writer.set(writer.thread().clone());
    let boxed: Box<dyn Write + Send> = Box::new(queue);
    fern::Dispatch::new()
        .level(LevelFilter::Info)
        .format(move |out, message, record| {
            let at = SystemClock.wall().since(Default::default()).as_millis();
            let (level, target) = (record.level(), record.target());
            out.finish(format_args!("at={at} level={level} node={node} kind={target} {message}"));
        })
        .chain(boxed)
        .apply()
        .map_err(|e| failed(e.to_string()))?;
    // This can't fail: only one logger can be installed in a process.
    let _ = QUEUED.set(queued);
    Ok(dropped)
}

/// The line that tells how many lines were dropped so far.
pub fn dropped_line(node: &NodeId, total: u64) -> String {
    let at = SystemClock.wall().since(Default::default()).as_millis();
    format!("at={at} level=WARN node={node} kind=process choice=drop_lines total={total}\n")
}

fn write_lines(
    received: &Receiver<Vec<u8>>,
    dropped: &DroppedLines,
    queued: &Queued,
    node: &NodeId,
) {
    let mut reported = 0;
    let mut batch = Vec::new();
    while let Ok(first) = received.recv() {
        queued.gather();
        batch.clear();
        batch.extend_from_slice(&first);
        let mut count = 1;
        while let Ok(line) = received.try_recv() {
            if batch.len() + line.len() > MAX_WRITE_BYTES {
                write_batch(&mut batch);
            }
            batch.extend_from_slice(&line);
            count += 1;
        }
        let lost = dropped.count();
        if lost > reported {
            batch.extend_from_slice(dropped_line(node, lost).as_bytes());
            reported = lost;
        }
        write_batch(&mut batch);
        queued.lines.fetch_sub(count, Ordering::Relaxed);
    }
}

fn write_batch(batch: &mut Vec<u8>) {
    let mut output = io::stdout().lock();
    // There is nowhere to report a failure of the output.
    let _ = output.write_all(batch).and_then(|()| output.flush());
    batch.clear();
}

/// Waits up to `FLUSH_TIMEOUT` until all queued lines are written.
pub fn flush() {
    let Some(queued) = QUEUED.get() else { return };
    let poll_interval = BATCH_INTERVAL / 4;
    let mut waited = Duration::ZERO;
    while queued.lines.load(Ordering::Relaxed) > 0 && waited < FLUSH_TIMEOUT {
        thread::sleep(poll_interval);
        waited += poll_interval;
    }
}
