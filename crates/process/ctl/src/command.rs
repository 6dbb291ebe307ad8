//! The command line.
//!
//! Invariant: what is wrong with a command line is told before anything is sent.

use std::path::PathBuf;
use std::time::Duration;

use getopts::Matches;
use getopts::Options;

use crate::error::Error;
use conf::object::Key;
use conf::object::Kind;
use rpc::handler::Target;

/// The time that one call to one node may take unless `--timeout` says more.
const TIMEOUT_S: f64 = 10.0;
/// The longest `--timeout`.
const TIMEOUT_LIMIT_S: f64 = 3600.0;

/// How results are printed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Format {
    /// For people.
    Table,
    /// For programs.
    Json,
}

/// What is to be done.
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
    /// Write what files say.
    Write(Mode, Vec<PathBuf>),
    /// Print an object.
    Get(Key),
    /// Print the objects of a kind or of all.
    List(Option<Kind>),
    /// Delete an object.
    Delete(Key),
    /// Print the nodes of the deployment.
    Status,
    /// Drain an entry node or a server.
    Drain(Target),
    /// Print a node's whole state.
    Dump,
    /// Print what a node did for one request.
    Explain(String),
    /// Start, stop or conclude an experiment.
    Stage(Change, String),
    /// Print what an experiment has shown.
    Report(String),
}

/// How files are written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mode {
    /// Create what is missing, update what differs, leave the rest.
    Apply,
    /// Create; a conflict if it exists.
    Create,
    /// Update; not found if it does not exist.
    Update,
}

/// How an experiment's stage changes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// To running.
    Start,
    /// To stopped.
    Stop,
    /// To concluded, for this arm.
    Conclude(String),
}

/// A whole command line.
#[derive(Clone, Debug, PartialEq)]
pub struct Line {
    /// What is to be done.
    pub command: Command,
    /// The operators' addresses of nodes, in the order in which they are tried.
    pub nodes: Vec<String>,
    /// How results are printed.
    pub format: Format,
    /// The time that one call to one node may take.
    pub timeout: Duration,
    /// The revision that a change is made from, if the operator gave it.
    pub revision: Option<u64>,
}

fn options() -> Options {
    let mut options = Options::new();
    options.optmulti("n", "node", "operators' address of an entry node; may be repeated", "ADDR");
    options.optmulti("f", "file", "YAML file of objects; may be repeated", "FILE");
    options.optopt("o", "output", "table (default) or json", "FORMAT");
    options.optopt("r", "revision", "change the object only at this revision", "N");
    options.optopt("t", "timeout", "seconds that a call to a node may take (10)", "SECONDS");
    options.optopt("w", "winner", "the arm that an experiment is concluded for", "ARM");
    options.optflag("h", "help", "print this help");
    options.optflag("V", "version", "print the version");
    options
}

const BRIEF: &str = "Usage: hsctl --node ADDR [OPTIONS] COMMAND

Commands:
    apply -f FILE           create or update objects; unchanged ones are left
    create -f FILE          create objects
    update -f FILE          update objects
    get KIND NAME           print an object
    list [KIND]             print objects
    delete KIND NAME        delete an object
    status                  print the nodes and the revisions they have applied
    drain node NAME         begin the planned stop of an entry node
    drain server NAME       mark an upstream server as leaving
    dump                    print the whole state of a node
    explain REQUEST         print what a node did for one request
    experiment start|stop|report NAME
    experiment conclude NAME --winner ARM
    check FILE...           check files of objects or settings, without a node
    settings                print the settings reference, without a node

KIND is service, map, policy or experiment. With several --node, the next is
tried when one is unreachable, but not after a write whose outcome is unknown.

Exit codes: 0 done, 1 output failed, 2 usage, 3 invalid, 4 conflict,
5 unavailable, 6 outcome unknown, 7 not found.";

/// The help.
pub fn help() -> String {
    options().usage(BRIEF)
}

/// Reads a command line without the program's name.
pub fn parse(arguments: &[String]) -> Result<Line, Error> {
    let matches =
        options().parse(arguments).map_err(|fault| Error::Usage(fault.to_string() + "."))?;
    let command = command(&matches)?;
    let line = Line {
        command,
        nodes: matches.opt_strs("node"),
        format: format(&matches)?,
        timeout: timeout(&matches)?,
        revision: revision(&matches)?,
    };
    if line.nodes.is_empty() && line.command.needs_node() {
        return Err(usage("Name a node with --node ADDR."));
    }
    Ok(line)
}

impl Command {
    fn needs_node(&self) -> bool {
        !matches!(self, Self::Help | Self::Version | Self::Settings | Self::Check(_))
    }
}

fn usage(message: &str) -> Error {
    Error::Usage(message.to_string())
}

fn format(matches: &Matches) -> Result<Format, Error> {
    match matches.opt_str("output").as_deref() {
        None | Some("table") => Ok(Format::Table),
        Some("json") => Ok(Format::Json),
        Some(other) => Err(usage(&format!("`{other}` is no output format."))),
    }
}

fn timeout(matches: &Matches) -> Result<Duration, Error> {
    let text = matches.opt_str("timeout");
    let seconds = text.as_ref().map_or(Ok(TIMEOUT_S), |text| text.parse::<f64>());
    match seconds {
        Ok(seconds) if seconds > 0.0 && seconds <= TIMEOUT_LIMIT_S => {
            Ok(Duration::from_secs_f64(seconds))
        }
        _ => Err(usage("--timeout takes a number of seconds above 0, at most 3600.")),
    }
}

fn revision(matches: &Matches) -> Result<Option<u64>, Error> {
    let text = matches.opt_str("revision");
    let number = text.map(|text| text.parse().map_err(|_| usage("--revision takes a number.")));
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
        ["apply"] => Command::Write(Mode::Apply, files(matches)?),
        ["create"] => Command::Write(Mode::Create, files(matches)?),
        ["update"] => Command::Write(Mode::Update, files(matches)?),
        ["get", kind, name] => Command::Get(key(kind, name)?),
        ["list"] => Command::List(None),
        ["list", text] => Command::List(Some(kind(text)?)),
        ["delete", kind, name] => Command::Delete(key(kind, name)?),
        ["status"] => Command::Status,
        ["drain", "node", name] => Command::Drain(Target::Node(name.to_string())),
        ["drain", "server", name] => Command::Drain(Target::Server(name.to_string())),
        ["dump"] => Command::Dump,
        ["explain", request] => Command::Explain(request.to_string()),
        ["experiment", "start", name] => Command::Stage(Change::Start, name.to_string()),
        ["experiment", "stop", name] => Command::Stage(Change::Stop, name.to_string()),
        ["experiment", "conclude", name] => {
            let winner = matches.opt_str("winner");
            let winner = winner.ok_or_else(|| usage("Name the arm that won with --winner."))?;
            Command::Stage(Change::Conclude(winner), name.to_string())
        }
        ["experiment", "report", name] => Command::Report(name.to_string()),
        ["check", first, rest @ ..] => {
            Command::Check([*first].iter().chain(rest).map(PathBuf::from).collect())
        }
        ["settings"] => Command::Settings,
        [] => return Err(usage("Name a command.")),
        _ => return Err(usage(&format!("`{}` is no command.", words.join(" ")))),
    })
}

fn files(matches: &Matches) -> Result<Vec<PathBuf>, Error> {
    let files: Vec<_> = matches.opt_strs("file").into_iter().map(PathBuf::from).collect();
    if files.is_empty() { Err(usage("Name a file with -f FILE.")) } else { Ok(files) }
}

fn kind(text: &str) -> Result<Kind, Error> {
    Kind::parse(text).ok_or_else(|| usage(&format!("`{text}` is no kind of object.")))
}

fn key(text: &str, name: &str) -> Result<Key, Error> {
    Ok(Key { kind: kind(text)?, name: name.into() })
}
