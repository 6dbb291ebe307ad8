//! The `heatherseam` binary: an entry node.

use std::path::Path;
use std::process::ExitCode;

use miette::Report;

use conf::settings;
use conf::settings::Node;
use node::logging;
use node::options;
use node::options::Command;
use node::process::run;

/// The exit code of a command line that can't be followed.
const USAGE: u8 = 2;
/// The exit code of a settings file with faults.
const FAULTS: u8 = 3;
/// The exit code of a node that did not start.
const FAILED: u8 = 1;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    match options::parse(&arguments) {
        Ok(Command::Print(text)) => {
            print!("{text}");
            ExitCode::SUCCESS
        }
        Ok(Command::Check(file)) => check(&file),
        Ok(Command::Run(file)) => start(&file),
        Err(error) => {
            eprintln!("heatherseam: {error}");
            ExitCode::from(USAGE)
        }
    }
}

fn load(file: &Path) -> Result<Node, ExitCode> {
    settings::load(file).map_err(|report| {
        eprintln!("{:?}", Report::new(report));
        ExitCode::from(FAULTS)
    })
}

fn check(file: &Path) -> ExitCode {
    match load(file) {
        Ok(_) => {
            println!("{}: no faults", file.display());
            ExitCode::SUCCESS
        }
        Err(code) => code,
    }
}

fn start(file: &Path) -> ExitCode {
    let settings = match load(file) {
        Ok(settings) => settings,
        Err(code) => return code,
    };
    let _log = match logging::start(&settings.log) {
        Ok(log) => log,
        Err(error) => {
            eprintln!("heatherseam: {}: `log`: {error}", file.display());
            return ExitCode::from(FAULTS);
        }
    };
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(settings.threads as usize)
        .enable_all()
        .build();
    let ended = match runtime {
        Ok(runtime) => runtime.block_on(run::run(settings)).map_err(|error| error.to_string()),
        Err(error) => Err(error.to_string()),
    };
    match ended {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("heatherseam: {error}");
            ExitCode::from(FAILED)
        }
    }
}
