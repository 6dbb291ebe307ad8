//! Sets a fault of a stand-in: `fault CONTROL JSON` sends `PUT /fault` to the
//! address CONTROL.

use std::io;
use std::net::SocketAddr;

use bytes::Bytes;
use http_body_util::Full;
use hyper::Method;
use hyper::Request;

use fakes::http;

#[tokio::main]
async fn main() -> io::Result<()> {
    let mut arguments = std::env::args().skip(1);
    let (Some(control), Some(fault)) = (arguments.next(), arguments.next()) else {
        return Err(io::Error::other("usage: fault CONTROL JSON"));
    };
    let control: SocketAddr = control.parse().map_err(io::Error::other)?;
    let request = Request::builder()
        .method(Method::PUT)
        .uri("/fault")
        .header("host", control.to_string())
        .body(Full::new(Bytes::from(fault)))
        .map_err(io::Error::other)?;
    let reply = http::send(control, request).await?;
    if !reply.status().is_success() {
        return Err(io::Error::other(String::from_utf8_lossy(reply.body()).into_owned()));
    }
    Ok(())
}
