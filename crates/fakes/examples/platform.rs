//! The stand-in platform as a process: prints its address as a JSON line and
//! runs until it is stopped.

use std::io;
use std::net::SocketAddr;

use getopts::Options;

use fakes::platform::Platform;

#[tokio::main]
async fn main() -> io::Result<()> {
    let mut options = Options::new();
    options.optopt("l", "listen", "address to listen on (127.0.0.1:0)", "IP:PORT");
    options.optflag("h", "help", "print this help");
    let given = options.parse(std::env::args().skip(1)).map_err(io::Error::other)?;
    if given.opt_present("help") {
        print!("{}", options.usage("platform [OPTIONS]"));
        return Ok(());
    }
    let listen: SocketAddr = given
        .opt_get_default("listen", SocketAddr::from(([127, 0, 0, 1], 0)))
        .map_err(io::Error::other)?;
    let platform = Platform::start(listen)?;
    println!("{}", serde_json::json!({ "address": platform.address() }));
    tokio::signal::ctrl_c().await
}
