//! The command line and its parser.
//!
//! Invariant: an invalid command line is rejected before anything is sent.

use std::path::PathBuf;
use std::time::Duration;

use getopts::Matches;
use getopts::Options;

use crate::error::Error;
use conf::object::Key;
use conf::object::Kind;
use rpc::handler::Target;

/// The timeout of one call to one node unless `--timeout` is given.
const DEFAULT_TIMEOUT_S: f64 = 10.0;
const MAX_TIMEOUT_S: f64 = 3600.0;

/// The output format.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Format {
    /// Tables for people.
    Table,
    /// JSON for programs, one value a line.
    Json,
}

/// A command and its arguments.
#[derive(Clone, Debug, PartialEq)]
pub enum Command {
    /// Print the help.
    Help,
    /// Print the version.
    Version,
    /// Print the settings reference.
    Settings,
    /// Check files of objects or settings without a node.
    Check(Vec<PathBuf>),
    /// Write the objects in files.
    Write(WriteMode, Vec<PathBuf>),
    /// Print an object.
    Get(Key),
    /// Print the objects of one kind, or of all kinds.
    List(Option<Kind>),
    /// Delete an object.
    Delete(Key),
    /// Print the status of the deployment's nodes.
    Status,
    /// Drain an entry node or a server.
    Drain(Target),
    /// Print the complete state of a node.
    Dump,
    /// Print the trace of one request.
    Explain(String),
    /// Start, stop or conclude an experiment.
    Stage(StageChange, String),
    /// Print the results of an experiment so far.
    Report(String),
}

/// How the objects in files are written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteMode {
    /// Create objects that don't exist, update those that differ, leave the others.
    Apply,
    /// Create objects; a conflict if one exists.
    Create,
    /// Update objects; not found if one does not exist.
    Update,
}

/// A change of an experiment's stage.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StageChange {
    /// Change the stage to running.
    Start,
    /// Change the stage to stopped.
    Stop,
    /// Change the stage to concluded, with this arm as the winner.
    Conclude(String),
}

/// A parsed command line.
#[derive(Clone, Debug, PartialEq)]
pub struct CommandLine {
    /// The command.
    pub command: Command,
    /// The operator addresses of the nodes, in the order in which they are tried.
    pub nodes: Vec<String>,
    /// The output format.
    pub format: Format,
    /// The timeout of one call to one node.
    pub timeout: Duration,
    /// The revision that the changed object must have, if `--revision` is given.
    pub revision: Option<u64>,
}

fn options() -> Options {
    let mut options = Options::new();
    options.optmulti("n", "node", "operator address of an entry node; may be repeated", "ADDR");
    options.optmulti("f", "file", "YAML file of objects; may be repeated", "FILE");
    options.optopt("o", "output", "table (default) or json", "FORMAT");
    options.optopt("r", "revision", "change the object only at this revision", "N");
    options.optopt("t", "timeout", "timeout of a call to a node in seconds (10)", "SECONDS");
    options.optopt("w", "winner", "the winning arm of a concluded experiment", "ARM");
    options.optflag("h", "help", "print this help");
    options.optflag("V", "version", "print the version");
    options
}

const USAGE: &str = "Usage: hsctl --node ADDR [OPTIONS] COMMAND

Commands:
    apply -f FILE           create objects or update those that differ
    create -f FILE          create objects
    update -f FILE          update objects
    get KIND NAME           print an object
    list [KIND]             print objects
    delete KIND NAME        delete an object
    status                  print the nodes and the revisions they have applied
    drain node NAME         shut down an entry node gracefully
    drain server NAME       mark an upstream server as leaving
    dump                    print the complete state of a node
    explain REQUEST         print the trace of a request
    experiment start|stop|report NAME
    experiment conclude NAME --winner ARM
    check FILE...           check files of objects or settings, without a node
    settings                print the settings reference, without a node

KIND is service, map, policy or experiment. With several --node, the next is
tried when one is unreachable, but not after a write whose outcome is unknown.

Exit codes: 0 done, 1 output failed, 2 usage, 3 invalid, 4 conflict,
5 unavailable, 6 outcome unknown, 7 not found.";

/// The text of `--help`.
pub fn help() -> String {
    options().usage(USAGE)
}

/// Parses the arguments of a command line, without the program's name.
pub fn parse(arguments: &[String]) -> Result<CommandLine, Error> {
    let matches =
        options().parse(arguments).map_err(|error| Error::Usage(error.to_string() + "."))?;
    let command = command(&matches)?;
    let line = CommandLine {
        command,
        nodes: matches.opt_strs("node"),
        format: format(&matches)?,
        timeout: timeout(&matches)?,
        revision: revision(&matches)?,
    };
    if line.nodes.is_empty() && line.command.needs_node() {
        return Err(usage_error("Specify a node with --node ADDR."));
    }
    Ok(line)
}

impl Command {
    fn needs_node(&self) -> bool {
        !matches!(self, Self::Help | Self::Version | Self::Settings | Self::Check(_))
    }
}

fn usage_error(message: &str) -> Error {
    Error::Usage(message.to_string())
}

fn format(matches: &Matches) -> Result<Format, Error> {
    match matches.opt_str("output").as_deref() {
        None | Some("table") => Ok(Format::Table),
        Some("json") => Ok(Format::Json),
        Some(other) => Err(usage_error(&format!("Unknown output format `{other}`."))),
    }
}

fn timeout(matches: &Matches) -> Result<Duration, Error> {
    let text = matches.opt_str("timeout");
    let seconds = text.as_ref().map_or(Ok(DEFAULT_TIMEOUT_S), |text| text.parse::<f64>());
    match seconds {
        Ok(seconds) if seconds > 0.0 && seconds <= MAX_TIMEOUT_S => {
            Ok(Duration::from_secs_f64(seconds))
        }
        _ => Err(usage_error("--timeout takes a number of seconds above 0, at most 3600.")),
    }
}

fn revision(matches: &Matches) -> Result<Option<u64>, Error> {
    let text = matches.opt_str("revision");
    let number =
        text.map(|text| text.parse().map_err(|_| usage_error("--revision takes a number.")));
    number.transpose()
}

fn command(matches: &Matches) -> Result<Command, Error> {
    if matches.opt_present("help") {
        return Ok(Command::Help);
    }
    if matches.opt_present("version") {
        return Ok(Command::Version);
    }
    let words: Vec<&str> = matches.free.iter().map(String::as_str).collect();
    Ok(match words.as_slice() {
        ["apply"] => Command::Write(WriteMode::Apply, files(matches)?),
        ["create"] => Command::Write(WriteMode::Create, files(matches)?),
        ["update"] => Command::Write(WriteMode::Update, files(matches)?),
        ["get", kind, name] => Command::Get(key(kind, name)?),
        ["list"] => Command::List(None),
        ["list", text] => Command::List(Some(kind(text)?)),
        ["delete", kind, name] => Command::Delete(key(kind, name)?),
        ["status"] => Command::Status,
        ["drain", "node", name] => Command::Drain(Target::Node(name.to_string())),
        ["drain", "server", name] => Command::Drain(Target::Server(name.to_string())),
        ["dump"] => Command::Dump,
        ["explain", request] => Command::Explain(request.to_string()),
        ["experiment", "start", name] => Command::Stage(StageChange::Start, name.to_string()),
        ["experiment", "stop", name] => Command::Stage(StageChange::Stop, name.to_string()),
        ["experiment", "conclude", name] => {
            let winner = matches.opt_str("winner");
            let winner =
                winner.ok_or_else(|| usage_error("Specify the winning arm with --winner."))?;
            Command::Stage(StageChange::Conclude(winner), name.to_string())
        }
        ["experiment", "report", name] => Command::Report(name.to_string()),
        ["check", first, rest @ ..] => {
            Command::Check([*first].iter().chain(rest).map(PathBuf::from).collect())
        }
        ["settings"] => Command::Settings,
        [] => return Err(usage_error("Specify a command.")),
        _ => return Err(usage_error(&format!("Unknown command `{}`.", words.join(" ")))),
    })
}

fn files(matches: &Matches) -> Result<Vec<PathBuf>, Error> {
    let files: Vec<_> = matches.opt_strs("file").into_iter().map(PathBuf::from).collect();
    if files.is_empty() { Err(usage_error("Specify a file with -f FILE.")) } else { Ok(files) }
}

fn kind(text: &str) -> Result<Kind, Error> {
    Kind::parse(text).ok_or_else(|| usage_error(&format!("Unknown kind of object `{text}`.")))
}

fn key(text: &str, name: &str) -> Result<Key, Error> {
    Ok(Key { kind: kind(text)?, name: name.into() })
}
