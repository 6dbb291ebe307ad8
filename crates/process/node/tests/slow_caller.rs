//! A caller that does not send the whole body that it announced.

use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

use crate::deployed::Cluster;
use crate::deployed::HOST;
use fakes::wait::with_timeout;

mod deployed;

#[tokio::test(flavor = "multi_thread")]
async fn incomplete_body_times_out() {
    let cluster = Cluster::start();
    let node = cluster.start_ready_node().await;
    let mut stream = TcpStream::connect(node.caller_address).await.expect("a connection");
    let head = format!(
        "POST /book/ HTTP/1.1\r\nhost: {HOST}\r\nheatherseam-request-id: s1\r\n\
         heatherseam-deadline-ms: 300\r\ncontent-length: 10\r\n\r\nhalf"
    );
    stream.write_all(head.as_bytes()).await.expect("the request is sent");
    let mut answer = [0; 12];
    with_timeout("an answer", stream.read_exact(&mut answer)).await.expect("an answer");
    assert_eq!(&answer, b"HTTP/1.1 408");
    assert!(cluster.servers_of("plain").all(|server| server.runs().is_empty()));
}
