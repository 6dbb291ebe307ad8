//! A loopback proxy whose connections are delayed, silenced, cut one way or reset.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::net::tcp::OwnedReadHalf;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::sync::watch;
use tokio::task::AbortHandle;

/// What a link does with bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mode {
    /// Passes them on.
    Open,
    /// Passes them on after this time.
    Delayed(Duration),
    /// Holds them in both directions.
    Silent,
    /// Holds those of the answers.
    OneWay,
    /// Resets connections.
    Reset,
    /// Passes on so many bytes of an answer and closes its connection.
    Cut(usize),
}

/// A proxy in front of one address.
#[derive(Debug)]
pub struct Link {
    /// The address that it listens on.
    pub address: SocketAddr,
    mode: watch::Sender<Mode>,
    /// How often the open connections were silenced.
    silenced: watch::Sender<u64>,
    accepting: AbortHandle,
}

/// Refuses new connections from then on; open ones end only if they are reset before.
impl Drop for Link {
    fn drop(&mut self) {
        self.accepting.abort();
    }
}

impl Link {
    /// Starts a proxy in front of `target`.
    pub async fn start(target: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind(("127.0.0.1", 0)).await?;
        let address = listener.local_addr()?;
        let (mode, changes) = watch::channel(Mode::Open);
        let (silenced, silences) = watch::channel(0);
        let accepting = tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let (changes, silences) = (changes.clone(), silences.clone());
                tokio::spawn(carry(stream, target, changes, silences));
            }
        });
        Ok(Self { address, mode, silenced, accepting: accepting.abort_handle() })
    }

    /// Silences the open connections for good; new ones work.
    pub fn silence_open(&self) {
        self.silenced.send_modify(|times| *times += 1);
    }

    /// Changes what it does, also with the open connections.
    pub fn set(&self, mode: Mode) {
        self.mode.send_replace(mode);
    }
}

/// Carries one connection until it ends or is reset.
async fn carry(
    client: TcpStream,
    target: SocketAddr,
    mode: watch::Receiver<Mode>,
    mut silences: watch::Receiver<u64>,
) {
    silences.mark_unchanged();
    if *mode.borrow() == Mode::Reset {
        return;
    }
    let Ok(server) = TcpStream::connect(target).await else { return };
    let _ = (client.set_nodelay(true), server.set_nodelay(true));
    let (client_read, client_write) = client.into_split();
    let (server_read, server_write) = server.into_split();
    let reset = async {
        let mut mode = mode.clone();
        let _ = mode.wait_for(|mode| *mode == Mode::Reset).await;
    };
    let silence = async {
        if silences.changed().await.is_err() {
            std::future::pending::<()>().await;
        }
    };
    // They own the sockets, which stay open while the connection is silent.
    let mut requests = std::pin::pin!(pass(client_read, server_write, mode.clone(), false));
    let mut answers = std::pin::pin!(pass(server_read, client_write, mode.clone(), true));
    tokio::select! {
        () = reset => {}
        () = silence => std::future::pending().await,
        () = requests.as_mut() => {}
        () = answers.as_mut() => {}
    }
}

async fn pass(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mut mode: watch::Receiver<Mode>,
    is_answer: bool,
) {
    let mut buffer = vec![0; 64 << 10];
    loop {
        let Ok(length) = from.read(&mut buffer).await else { return };
        if length == 0 {
            return;
        }
        let passes = |mode: &Mode| match mode {
            Mode::Silent => false,
            Mode::OneWay => !is_answer,
            Mode::Open | Mode::Delayed(_) | Mode::Reset | Mode::Cut(_) => true,
        };
        let Ok(now) = mode.wait_for(passes).await.map(|mode| *mode) else { return };
        if let Mode::Delayed(time) = now {
            tokio::time::sleep(time).await;
        }
        if let (Mode::Cut(bytes), true) = (now, is_answer) {
            // The connection ends whether or not these arrive.
            let _ = to.write_all(&buffer[..length.min(bytes)]).await;
            return;
        }
        if to.write_all(&buffer[..length]).await.is_err() {
            return;
        }
    }
}
