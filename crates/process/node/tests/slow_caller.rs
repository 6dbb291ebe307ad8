//! A caller that does not send what it announced.

use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

use crate::deployed::HOST;
use crate::deployed::World;
use fakes::wait::with_timeout;

mod deployed;

#[tokio::test(flavor = "multi_thread")]
async fn body_that_does_not_come_is_not_waited_for() {
    let world = World::start();
    let node = world.ready_node().await;
    let mut stream = TcpStream::connect(node.callers).await.expect("a connection");
    let head = format!(
        "POST /book/ HTTP/1.1\r\nhost: {HOST}\r\nheatherseam-request-id: s1\r\n\
         heatherseam-deadline-ms: 300\r\ncontent-length: 10\r\n\r\nhalf"
    );
    stream.write_all(head.as_bytes()).await.expect("it is sent");
    let mut answer = [0; 12];
    with_timeout("an answer", stream.read_exact(&mut answer)).await.expect("an answer");
    assert_eq!(&answer, b"HTTP/1.1 408");
    assert!(world.of("plain").all(|server| server.runs().is_empty()));
}
