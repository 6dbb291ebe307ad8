//! The log: one line an event, with the part that wrote it as a fixed prefix.

use std::io::Write;

use flexi_logger::DeferredNow;
use flexi_logger::FlexiLoggerError;
use flexi_logger::Logger;
use flexi_logger::LoggerHandle;
use log::Record;

/// What libraries log unless the specification says otherwise. The peer calls of
/// tarpc that fail are ordinary, and told by our own parts.
const LIBRARIES: &str = "tarpc=off, h2=warn, hyper=warn, tower=warn";

fn format(
    out: &mut dyn Write,
    now: &mut DeferredNow,
    record: &Record<'_>,
) -> Result<(), std::io::Error> {
    let time = now.format_rfc3339();
    let part = record.target().split("::").next().unwrap_or("node");
    write!(out, "{time} {} {part}: {}", record.level(), record.args())
}

/// Starts the log on standard error with a level specification such as
/// `info, pool=debug`; it goes on while the handle lives.
pub fn start(spec: &str) -> Result<LoggerHandle, FlexiLoggerError> {
    Logger::try_with_str(format!("{LIBRARIES}, {spec}"))?.format(format).start()
}
