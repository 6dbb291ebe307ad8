//! The decision log: JSON lines for a reader that may be slow or absent.
//!
//! Invariant: logging never blocks. Lines go through a bounded queue to a thread
//! that writes them, and the rate of each log target is limited. Dropped lines are
//! counted, and the next line reports the count. Only a flush blocks, for up to
//! `FLUSH_TIMEOUT`.

use std::collections::HashMap;
use std::io::ErrorKind;
use std::io::Write;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::sync::mpsc::Receiver;
use std::sync::mpsc::SyncSender;
use std::sync::mpsc::sync_channel;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use flexi_logger::DeferredNow;
use flexi_logger::FlexiLoggerError;
use flexi_logger::LogSpecification;
use flexi_logger::Logger;
use flexi_logger::LoggerHandle;
use flexi_logger::writers::LogWriter;
use log::LevelFilter;
use log::Record;
use log::kv::Key;
use log::kv::Value;
use log::kv::VisitSource;
use parking_lot::Mutex;
use serde_json::Map;

/// The number of lines that can wait to be written; about a megabyte.
const QUEUE_CAPACITY: usize = 4096;
/// The sustained rate of each log target.
const LINES_PER_SECOND: f64 = 50.0;
/// The number of lines that one log target may write at once.
const MAX_BURST_LINES: f64 = 400.0;

/// How long a flush waits for the writer, so that the process can exit if the reader
/// has stopped.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(100);

/// An entry of the writer's queue.
enum Entry {
    Line(String),
    /// Confirms on this channel once all lines before it are written.
    Flush(SyncSender<()>),
}

/// Starts logging records of at least `level`; logging continues until the handle is
/// dropped.
pub fn start(
    out: Box<dyn Write + Send>,
    level: LevelFilter,
) -> Result<LoggerHandle, FlexiLoggerError> {
    let (queue, lines) = sync_channel(QUEUE_CAPACITY);
    std::thread::Builder::new()
        .name("journal".to_owned())
        .spawn(move || write(lines, out))
        .map_err(FlexiLoggerError::OutputIo)?;
    let writer = Journal { queue, buckets: Mutex::default(), dropped: AtomicU64::new(0) };
    let mut spec = LogSpecification::builder();
    spec.default(level).module("hyper", LevelFilter::Off);
    spec.module("opentelemetry", LevelFilter::Warn.min(level));
    spec.module("opentelemetry_sdk", LevelFilter::Warn.min(level));
    Logger::with(spec.build()).log_to_writer(Box::new(writer)).start()
}

/// Writes lines until the queue is closed.
fn write(entries: Receiver<Entry>, mut out: Box<dyn Write + Send>) {
    while let Ok(entry) = entries.recv() {
        let mut text = String::new();
        let mut flush_requests = Vec::new();
        let more = std::iter::from_fn(|| entries.try_recv().ok());
        for entry in std::iter::once(entry).chain(more) {
            match entry {
                Entry::Line(line) => text.push_str(&line),
                Entry::Flush(confirm) => flush_requests.push(confirm),
            }
        }
        // The reader has closed the pipe, so there is nowhere to report it.
        if out.write_all(text.as_bytes()).and_then(|()| out.flush()).is_err() {
            return;
        }
        for confirm in flush_requests {
            // The flush may have timed out.
            let _ = confirm.try_send(());
        }
    }
}

/// The lines that a log target may still write.
#[derive(Clone, Copy)]
struct TokenBucket {
    tokens: f64,
    refilled_at: Instant,
}

struct Journal {
    queue: SyncSender<Entry>,
    buckets: Mutex<HashMap<String, TokenBucket>>,
    dropped: AtomicU64,
}

impl Journal {
    /// Takes a token from the bucket of a log target, if there is one.
    fn take_token(&self, target: &str) -> bool {
        let mut buckets = self.buckets.lock();
        let now = Instant::now();
        if !buckets.contains_key(target) {
            buckets.insert(
                target.to_owned(),
                TokenBucket { tokens: MAX_BURST_LINES, refilled_at: now },
            );
        }
        let Some(bucket) = buckets.get_mut(target) else { return true };
        let refill =
            now.saturating_duration_since(bucket.refilled_at).as_secs_f64() * LINES_PER_SECOND;
        bucket.tokens = (bucket.tokens + refill).min(MAX_BURST_LINES);
        bucket.refilled_at = now;
        let taken = bucket.tokens >= 1.0;
        if taken {
            bucket.tokens -= 1.0;
        }
        taken
    }

    fn send(&self, line: String) {
        if self.queue.try_send(Entry::Line(line)).is_err() {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }
}

impl LogWriter for Journal {
    fn write(&self, _now: &mut DeferredNow, record: &Record<'_>) -> std::io::Result<()> {
        if !self.take_token(record.target()) {
            self.dropped.fetch_add(1, Ordering::Relaxed);
            return Ok(());
        }
        let dropped = self.dropped.swap(0, Ordering::Relaxed);
        if dropped > 0 {
            self.send(format!(
                "{{\"ms\":{},\"part\":\"journal\",\"left_out\":{dropped}}}\n",
                unix_ms()
            ));
        }
        self.send(line(record));
        Ok(())
    }

    fn flush(&self) -> std::io::Result<()> {
        let (confirm, confirmed) = sync_channel(1);
        let failed = |reason: &str| Err(std::io::Error::new(ErrorKind::TimedOut, reason));
        if self.queue.try_send(Entry::Flush(confirm)).is_err() {
            return failed("the log queue is full or the log writer has stopped");
        }
        match confirmed.recv_timeout(FLUSH_TIMEOUT) {
            Ok(()) => Ok(()),
            Err(_) => failed("the log reader is too slow"),
        }
    }
}

fn unix_ms() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX)
}

/// Formats a record as a line of JSON: its time, level, target, message, and the
/// key-value pairs of the decision.
fn line(record: &Record<'_>) -> String {
    let mut fields = Fields(Map::new());
    fields.0.insert("ms".to_owned(), unix_ms().into());
    fields.0.insert("level".to_owned(), record.level().as_str().into());
    fields.0.insert("part".to_owned(), record.target().into());
    fields.0.insert("event".to_owned(), record.args().to_string().into());
    if record.key_values().visit(&mut fields).is_err() {
        fields.0.insert("fields".to_owned(), "unreadable".into());
    }
    let mut line = serde_json::Value::Object(fields.0).to_string();
    line.push('\n');
    line
}

struct Fields(Map<String, serde_json::Value>);

impl<'kvs> VisitSource<'kvs> for Fields {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), log::kv::Error> {
        let text = || serde_json::Value::from(value.to_string());
        let value = serde_json::to_value(&value).unwrap_or_else(|_| text());
        self.0.insert(key.to_string(), value);
        Ok(())
    }
}
