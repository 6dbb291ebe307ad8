//! The text log: one line for each record, prefixed with its time, level and target.

use std::io::Write;

use flexi_logger::DeferredNow;
use flexi_logger::FlexiLoggerError;
use flexi_logger::Logger;
use flexi_logger::LoggerHandle;
use log::Record;

/// The log levels of libraries unless the specification sets others. tarpc is off
/// because failed calls to peers are usual and the `peer` crate logs them itself.
const LIBRARIES: &str = "tarpc=off, h2=warn, hyper=warn, tower=warn";

fn format(
    out: &mut dyn Write,
    now: &mut DeferredNow,
    record: &Record<'_>,
) -> Result<(), std::io::Error> {
    let time = now.format_rfc3339();
    let target = record.target().split("::").next().unwrap_or("node");
    write!(out, "{time} {} {target}: {}", record.level(), record.args())
}

/// Starts logging to standard error with a level specification such as
/// `info, pool=debug`; logging continues until the handle is dropped.
pub fn start(spec: &str) -> Result<LoggerHandle, FlexiLoggerError> {
    Logger::try_with_str(format!("{LIBRARIES}, {spec}"))?.format(format).start()
}
