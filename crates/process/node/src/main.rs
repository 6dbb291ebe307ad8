//! The `heatherseam` binary: an entry node.

use std::path::Path;
use std::path::PathBuf;
use std::process::ExitCode;

use log::LevelFilter;
use miette::Report;

use conf::settings;
use conf::settings::Settings;
use node::journal;
use node::logging;
use node::options;
use node::options::Command;
use node::process::run;
use platform::headers::Headers;
use platform::store::Store;

/// The exit code for an invalid command line.
const EXIT_USAGE: u8 = 2;
/// The exit code for a settings file with errors.
const EXIT_INVALID_SETTINGS: u8 = 3;
/// The exit code for a node that did not start.
const EXIT_FAILURE: u8 = 1;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    match options::parse(&arguments) {
        Ok(Command::Print(text)) => {
            print!("{text}");
            ExitCode::SUCCESS
        }
        Ok(Command::Check(file)) => check(&file),
        Ok(Command::Run(file)) => start(&file),
        Ok(Command::Serve(level)) => serve(level),
        Err(error) => {
            eprintln!("heatherseam: {error}");
            ExitCode::from(EXIT_USAGE)
        }
    }
}

fn load(file: &Path) -> Result<Settings, ExitCode> {
    settings::load(file).map_err(|report| {
        eprintln!("{:?}", Report::new(report));
        ExitCode::from(EXIT_INVALID_SETTINGS)
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
            return ExitCode::from(EXIT_INVALID_SETTINGS);
        }
    };
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(settings.threads as usize)
        .enable_all()
        .build();
    let result = match runtime {
        Ok(runtime) => runtime.block_on(run::run(settings)).map_err(|error| error.to_string()),
        Err(error) => Err(error.to_string()),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("heatherseam: {error}");
            ExitCode::from(EXIT_FAILURE)
        }
    }
}

/// Runs a node on the platform, on one thread and with JSON log lines.
fn serve(level: LevelFilter) -> ExitCode {
    let Some(path) = std::env::var_os(platform::settings::PATH_VARIABLE) else {
        eprintln!(
            "heatherseam: {} does not name a settings file",
            platform::settings::PATH_VARIABLE
        );
        return ExitCode::from(EXIT_USAGE);
    };
    let settings = match platform::settings::load(Path::new(&path)) {
        Ok(settings) => settings,
        Err(report) => {
            eprintln!("{:?}", Report::new(report));
            return ExitCode::from(EXIT_INVALID_SETTINGS);
        }
    };
    let log = match journal::start(Box::new(std::io::stdout()), level) {
        Ok(log) => log,
        Err(error) => {
            eprintln!("heatherseam: cannot start the log: {error}");
            return ExitCode::from(EXIT_FAILURE);
        }
    };
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = match runtime {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("heatherseam: {error}");
            return ExitCode::from(EXIT_FAILURE);
        }
    };
    let registry = Box::new(Store::new(settings.registry_address, settings.memory));
    let settings_file = PathBuf::from(path);
    let reload =
        move || platform::settings::load(&settings_file).map_err(|report| report.to_string());
    let node = entry::run::run(settings, Box::new(Headers), registry, Box::new(reload));
    let result = tokio::task::LocalSet::new().block_on(&runtime, node);
    log.flush();
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("heatherseam: {error}");
            ExitCode::from(EXIT_FAILURE)
        }
    }
}
