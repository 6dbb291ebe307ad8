//! The command line of `heatherseam`.

use std::path::PathBuf;

use getopts::Options;
use log::LevelFilter;

/// The command that the command line selects.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Command {
    /// Run an entry node with the settings of this file.
    Run(PathBuf),
    /// Run an entry node on the platform, with the settings file that the environment
    /// names; log records of at least this level.
    Serve(LevelFilter),
    /// Check this settings file and exit.
    Check(PathBuf),
    /// Print this text and exit.
    Print(String),
}

/// An invalid command line.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// An option is unknown or lacks its value.
    #[error("{0}")]
    Option(String),
    /// The settings file is missing.
    #[error("the settings file is missing: heatherseam --settings FILE")]
    NoSettings,
    /// The log level is unknown.
    #[error("`{0}` is not a log level: expected off, error, warn, info, debug or trace")]
    Level(String),
    /// There is an unexpected argument.
    #[error("unexpected argument `{0}`; see heatherseam --help")]
    UnexpectedArgument(String),
}

fn options() -> Options {
    let mut options = Options::new();
    options.optopt("s", "settings", "run with the settings of FILE", "FILE");
    options.optopt(
        "c",
        "check",
        "check FILE, print every error with its location, and exit",
        "FILE",
    );
    options.optopt("l", "log-level", "with serve: off, error, warn, info, debug or trace", "LEVEL");
    options.optflag("h", "help", "print this text");
    options.optflag("V", "version", "print the version");
    options
}

/// Parses the command line without the program name.
pub fn parse(arguments: &[String]) -> Result<Command, Error> {
    let options = options();
    let matches = options.parse(arguments).map_err(|error| Error::Option(error.to_string()))?;
    if matches.opt_present("help") {
        let usage = "Usage: heatherseam --settings FILE | --check FILE | serve [--log-level LEVEL]\n\n\
                     An entry node of the heatherseam query tier. `serve` runs it on the\n\
                     platform, whose settings file the environment names.";
        return Ok(Command::Print(options.usage(usage)));
    }
    if matches.opt_present("version") {
        return Ok(Command::Print(format!("heatherseam {}\n", env!("CARGO_PKG_VERSION"))));
    }
    if matches.free == ["serve"] {
        let level = matches.opt_str("log-level");
        let parsed = level.as_deref().map_or(Ok(LevelFilter::Info), str::parse);
        return parsed.map(Command::Serve).map_err(|_| Error::Level(level.unwrap_or_default()));
    }
    if let Some(argument) = matches.free.first() {
        return Err(Error::UnexpectedArgument(argument.clone()));
    }
    if let Some(file) = matches.opt_str("check") {
        return Ok(Command::Check(file.into()));
    }
    matches.opt_str("settings").map(|file| Command::Run(file.into())).ok_or(Error::NoSettings)
}
