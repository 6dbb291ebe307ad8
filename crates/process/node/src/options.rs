//! The command line of `heatherseam`.

use std::path::PathBuf;

use getopts::Options;
use log::LevelFilter;

/// What the command line asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Command {
    /// Run an entry node with the settings of this file.
    Run(PathBuf),
    /// Run an entry node on the platform, which names the settings file; log what
    /// is at least as grave as this.
    Serve(LevelFilter),
    /// Check this settings file and exit.
    Check(PathBuf),
    /// Print this text and exit.
    Print(String),
}

/// A command line that can't be followed.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// An option is unknown or lacks its value.
    #[error("{0}")]
    Option(String),
    /// No settings file is named.
    #[error("name the settings file: heatherseam --settings FILE")]
    NoSettings,
    /// The log level is none.
    #[error("`{0}` is no log level: name off, error, warn, info, debug or trace")]
    Level(String),
    /// Something stands behind the options.
    #[error("`{0}` is not understood; see heatherseam --help")]
    Extra(String),
}

fn options() -> Options {
    let mut options = Options::new();
    options.optopt("s", "settings", "run with the settings of FILE", "FILE");
    options.optopt("c", "check", "check FILE, print every fault with its place, and exit", "FILE");
    options.optopt("l", "log-level", "with serve: off, error, warn, info, debug or trace", "LEVEL");
    options.optflag("h", "help", "print this text");
    options.optflag("V", "version", "print the version");
    options
}

/// Reads the command line, program name left out.
pub fn parse(arguments: &[String]) -> Result<Command, Error> {
    let options = options();
    let matches = options.parse(arguments).map_err(|error| Error::Option(error.to_string()))?;
    if matches.opt_present("help") {
        let brief = "Usage: heatherseam --settings FILE | --check FILE | serve [--log-level LEVEL]\n\n\
                     An entry node of the heatherseam query tier. `serve` runs it on the\n\
                     platform, whose settings file the environment names.";
        return Ok(Command::Print(options.usage(brief)));
    }
    if matches.opt_present("version") {
        return Ok(Command::Print(format!("heatherseam {}\n", env!("CARGO_PKG_VERSION"))));
    }
    if matches.free == ["serve"] {
        let level = matches.opt_str("log-level");
        let parsed = level.as_deref().map_or(Ok(LevelFilter::Info), str::parse);
        return parsed.map(Command::Serve).map_err(|_| Error::Level(level.unwrap_or_default()));
    }
    if let Some(extra) = matches.free.first() {
        return Err(Error::Extra(extra.clone()));
    }
    if let Some(file) = matches.opt_str("check") {
        return Ok(Command::Check(file.into()));
    }
    matches.opt_str("settings").map(|file| Command::Run(file.into())).ok_or(Error::NoSettings)
}
