//! Executes one command line.
//!
//! Invariant: a failure is always printed to the error output, and if the format is
//! JSON also to the output; the exit code states its cause.

use std::io::Write;

use crate::apply;
use crate::client::Client;
use crate::command;
use crate::command::Command;
use crate::command::CommandLine;
use crate::command::Format;
use crate::error::Code;
use crate::error::Error;
use crate::local;
use crate::output::Printer;
use crate::remote::Remote;
use conf::settings;

/// Executes the command line `arguments`, given without the program's name.
pub async fn run(arguments: &[String], out: &mut dyn Write, err: &mut dyn Write) -> Code {
    let (format, result) = match command::parse(arguments) {
        Ok(line) => (line.format, execute(line, out).await),
        Err(error) => (Format::Table, Err(error)),
    };
    let Err(error) = result else { return Code::Done };
    // If the error output is closed, the exit code still states the cause.
    let _ = writeln!(err, "hsctl: {error}");
    if format == Format::Json {
        let _ = writeln!(out, "{}", error.to_json());
    }
    error.code()
}

async fn execute(line: CommandLine, out: &mut dyn Write) -> Result<(), Error> {
    let mut printer = Printer::new(line.format, out);
    let remote = Remote::new(Client::new(line.nodes, line.timeout), line.revision);
    match line.command {
        Command::Help => printer.text(&command::help()),
        Command::Version => printer.text(concat!("hsctl ", env!("CARGO_PKG_VERSION"))),
        Command::Settings => printer.text(settings::reference().trim_end()),
        Command::Check(files) => printer.message(&local::check(&files)?),
        Command::Write(mode, files) => apply::run(&remote, mode, &files, &mut printer).await,
        Command::Get(key) => printer.object(&remote.get(&key).await?),
        Command::List(kind) => printer.objects(&remote.list(kind).await?),
        Command::Delete(key) => printer.write_result("deleted", &remote.delete(key).await?),
        Command::Status => printer.status(&remote.status().await?),
        Command::Drain(target) => printer.message(&remote.drain(&target).await?),
        Command::Dump => printer.dump(&remote.dump().await?),
        Command::Explain(request) => printer.trace(&remote.explain(request).await?),
        Command::Stage(change, experiment) => {
            printer.write_result("updated", &remote.set_stage(&change, experiment).await?)
        }
        Command::Report(experiment) => printer.report(&remote.report(experiment).await?),
    }
}
