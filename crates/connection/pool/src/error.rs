//! How an attempt ends without a reply, told by what is known of its effect.
//!
//! Invariant: [`Error::NotSent`] is only given if no byte of the request can
//! have reached the server: it was never handed to the HTTP library, or the
//! library handed it back whole. [`Error::Refused`] is only given if the server
//! certified it. All else is [`Error::Unknown`].

use std::time::Duration;

use wire::upstream::Report;

/// An attempt without a reply.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// Nothing of the request was sent.
    #[error("not sent: {0}")]
    NotSent(Unsent),
    /// The server certified that it did not run the request.
    #[error("refused by the server")]
    Refused {
        /// When to come back.
        retry_after: Option<Duration>,
        /// What the server said about itself.
        report: Report,
    },
    /// The server may have run the request.
    #[error("outcome unknown: {0}")]
    Unknown(Lost),
}

impl Error {
    /// Whether the end speaks against the server: it could not be connected to,
    /// or it left a request without a usable reply. A refusal does not, nor does
    /// what kept the request here.
    pub fn is_fault(&self) -> bool {
        match self {
            Self::NotSent(unsent) => *unsent == Unsent::ConnectFailed,
            Self::Refused { .. } => false,
            Self::Unknown(_) => true,
        }
    }
}

/// Why nothing was sent.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Unsent {
    /// The gate said no at the moment of sending: the server is leaving, or the
    /// sender has lost its right to send.
    #[error("the gate is closed")]
    Denied,
    /// The server's cap leaves this node no connection.
    #[error("no share of the server's connections")]
    NoShare,
    /// Too many requests wait for a connection of the server.
    #[error("too many requests wait for a connection")]
    QueueFull,
    /// No connection was free before the deadline.
    #[error("no connection before the deadline")]
    Deadline,
    /// No connection could be opened.
    #[error("cannot connect")]
    ConnectFailed,
    /// The server was taken out of use while the request waited.
    #[error("the server was retired")]
    Retired,
    /// The connection closed and the HTTP library handed the request back.
    #[error("handed back by the closed connection")]
    ConnectionClosed,
    /// The request can't be put into headers.
    #[error("the request is malformed")]
    Malformed,
}

/// How a reply was lost.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Lost {
    /// No reply before the deadline.
    #[error("no reply before the deadline")]
    Deadline,
    /// The connection broke after the send.
    #[error("the connection broke")]
    Broken,
    /// The connection was found silent and closed.
    #[error("the connection went silent")]
    Silent,
    /// The server answered with a status that certifies nothing.
    #[error("the server answered {status}")]
    Status {
        /// The HTTP status.
        status: u16,
        /// What the server said about itself.
        report: Report,
    },
}
