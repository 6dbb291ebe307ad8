//! Logging while nobody reads the output.

use std::io;
use std::io::Write;
use std::sync::Arc;
use std::sync::mpsc::Receiver;
use std::sync::mpsc::channel;
use std::time::Duration;
use std::time::Instant;

use parking_lot::Mutex;

use node::journal;

/// A writer that blocks until it is released, and then stores what is written.
struct Blocked {
    release: Receiver<()>,
    released: bool,
    text: Arc<Mutex<String>>,
}

impl Write for Blocked {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        if !self.released {
            self.release.recv().map_err(io::Error::other)?;
            self.released = true;
        }
        self.text.lock().push_str(&String::from_utf8_lossy(bytes));
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// The time limit for 100,000 lines: 10 us each is a tenth of the CPU time of a request.
const MAX_LOGGING_TIME: Duration = Duration::from_secs(1);
/// More lines than the queue and the rate limit allow.
const LINE_COUNT: usize = 100_000;

#[test]
fn logging_never_blocks_and_reports_dropped_lines() {
    let (release, blocked) = channel();
    let text = Arc::new(Mutex::new(String::new()));
    let out = Blocked { release: blocked, released: false, text: Arc::clone(&text) };
    let _log = journal::start(Box::new(out), log::LevelFilter::Info).expect("the log starts");
    let started = Instant::now();
    for number in 0..LINE_COUNT {
        log::info!(target: "request", number; "an event");
    }
    assert!(started.elapsed() < MAX_LOGGING_TIME, "{:?}", started.elapsed());
    release.send(()).expect("the writer waits");
    // The rate limit recovers, and the next line reports how many were dropped.
    std::thread::sleep(Duration::from_millis(200));
    log::info!(target: "request", number = LINE_COUNT; "the last event");
    let deadline = Instant::now() + Duration::from_secs(10);
    while !text.lock().contains("the last event") {
        assert!(Instant::now() < deadline, "the last line was not written");
        std::thread::sleep(Duration::from_millis(10));
    }
    let text = text.lock();
    let lines: Vec<serde_json::Value> =
        text.lines().map(|line| serde_json::from_str(line).expect("a line of JSON")).collect();
    let written = lines.iter().filter(|line| line["event"] == "an event").count();
    let dropped: u64 = lines.iter().filter_map(|line| line["left_out"].as_u64()).sum();
    assert!(written < 1000, "{written} lines were written");
    assert_eq!(written as u64 + dropped, LINE_COUNT as u64);
}
