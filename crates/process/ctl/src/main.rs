//! Entry point of `hsctl`.

use std::io;
use std::process::ExitCode;

use ctl::run;

#[tokio::main(flavor = "current_thread")]
async fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    run::run(&arguments, &mut io::stdout(), &mut io::stderr()).await.into()
}
