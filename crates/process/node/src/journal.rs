//! The log of decisions: JSON lines for a reader that may be slow or absent.
//!
//! Invariant: logging never waits. Lines go through a bounded queue to a thread
//! that writes them; each part of the program has a bounded rate. What is left
//! out is counted, and the count is told. Only a flush waits, and not for long.

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

/// Lines that wait to be written; about a megabyte.
const QUEUE: usize = 4096;
/// Lines a second of one part of the program, over time.
const RATE: f64 = 50.0;
/// Lines of one part at once.
const BURST: f64 = 400.0;

/// How long a flush waits for the writer: an exit is not held up by a reader
/// that has gone.
const FLUSH_LIMIT: Duration = Duration::from_millis(100);

/// What the writer is handed.
enum Entry {
    Line(String),
    /// All lines before it are to be written; then this is answered.
    Flush(SyncSender<()>),
}

/// Starts the log of what is at least as grave as `level`; it goes on while the
/// handle lives.
pub fn start(
    out: Box<dyn Write + Send>,
    level: LevelFilter,
) -> Result<LoggerHandle, FlexiLoggerError> {
    let (queue, lines) = sync_channel(QUEUE);
    std::thread::Builder::new()
        .name("journal".to_owned())
        .spawn(move || write(lines, out))
        .map_err(FlexiLoggerError::OutputIo)?;
    let writer = Journal { queue, parts: Mutex::default(), left_out: AtomicU64::new(0) };
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
        let mut flushed = Vec::new();
        let more = std::iter::from_fn(|| entries.try_recv().ok());
        for entry in std::iter::once(entry).chain(more) {
            match entry {
                Entry::Line(line) => text.push_str(&line),
                Entry::Flush(answer) => flushed.push(answer),
            }
        }
        // Without a reader there is nobody to tell.
        if out.write_all(text.as_bytes()).and_then(|()| out.flush()).is_err() {
            return;
        }
        for answer in flushed {
            // Whoever waited may have given up.
            let _ = answer.try_send(());
        }
    }
}

/// The lines that a part may still write.
#[derive(Clone, Copy)]
struct Allowance {
    lines: f64,
    at: Instant,
}

struct Journal {
    queue: SyncSender<Entry>,
    parts: Mutex<HashMap<String, Allowance>>,
    left_out: AtomicU64,
}

impl Journal {
    /// Takes a line from a part's allowance.
    fn admit(&self, part: &str) -> bool {
        let mut parts = self.parts.lock();
        let now = Instant::now();
        if !parts.contains_key(part) {
            parts.insert(part.to_owned(), Allowance { lines: BURST, at: now });
        }
        let Some(allowance) = parts.get_mut(part) else { return true };
        let earned = now.saturating_duration_since(allowance.at).as_secs_f64() * RATE;
        allowance.lines = (allowance.lines + earned).min(BURST);
        allowance.at = now;
        let admitted = allowance.lines >= 1.0;
        if admitted {
            allowance.lines -= 1.0;
        }
        admitted
    }

    fn send(&self, line: String) {
        if self.queue.try_send(Entry::Line(line)).is_err() {
            self.left_out.fetch_add(1, Ordering::Relaxed);
        }
    }
}

impl LogWriter for Journal {
    fn write(&self, _now: &mut DeferredNow, record: &Record<'_>) -> std::io::Result<()> {
        if !self.admit(record.target()) {
            self.left_out.fetch_add(1, Ordering::Relaxed);
            return Ok(());
        }
        let left_out = self.left_out.swap(0, Ordering::Relaxed);
        if left_out > 0 {
            self.send(format!(
                "{{\"ms\":{},\"part\":\"journal\",\"left_out\":{left_out}}}\n",
                unix_ms()
            ));
        }
        self.send(line(record));
        Ok(())
    }

    fn flush(&self) -> std::io::Result<()> {
        let (answer, flushed) = sync_channel(1);
        let failed = |why: &str| Err(std::io::Error::new(ErrorKind::TimedOut, why));
        if self.queue.try_send(Entry::Flush(answer)).is_err() {
            return failed("the log's queue is full or its writer has ended");
        }
        match flushed.recv_timeout(FLUSH_LIMIT) {
            Ok(()) => Ok(()),
            Err(_) => failed("the log's reader is slow"),
        }
    }
}

fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}

/// One record as a line of JSON: when, how grave, which part, what, and the
/// inputs that decided it.
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
