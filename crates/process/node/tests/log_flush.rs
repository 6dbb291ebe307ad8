//! The last lines before the process exits are written even if the writer is slow.

use std::io;
use std::io::Write;
use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;

use node::journal;

/// A writer that takes 20 ms for each write.
struct Slow {
    text: Arc<Mutex<String>>,
}

impl Write for Slow {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        std::thread::sleep(Duration::from_millis(20));
        self.text.lock().push_str(&String::from_utf8_lossy(bytes));
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

#[test]
fn flush_waits_for_a_slow_writer() {
    let text = Arc::new(Mutex::new(String::new()));
    let out = Slow { text: Arc::clone(&text) };
    let log = journal::start(Box::new(out), log::LevelFilter::Info).expect("the log starts");
    log::info!(target: "node", "Stopping.");
    log::info!(target: "node", "Stopped.");
    log.flush();
    assert!(text.lock().contains("Stopped."), "{}", text.lock());
}
