//! Errors of attempts without a reply, classified by whether the server may have run
//! the request.
//!
//! Invariant: [`Error::NotSent`] is only returned if no byte of the request can
//! have reached the server: it was never passed to the HTTP library, or the
//! library returned it unsent. [`Error::Refused`] is only returned if the server
//! stated that it did not run the request. All other errors are
//! [`Error::Unknown`].

use std::time::Duration;

use wire::upstream::Report;

/// Why an attempt has no reply.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// No part of the request was sent.
    #[error("not sent: {0}")]
    NotSent(Unsent),
    /// The server stated that it did not run the request.
    #[error("refused by the server")]
    Refused {
        /// The time to wait before a retry.
        retry_after: Option<Duration>,
        /// The state that the server reported.
        report: Report,
    },
    /// The server may have run the request.
    #[error("outcome unknown: {0}")]
    Unknown(Lost),
}

impl Error {
    /// Whether the error counts as a failure of the server: no connection could be
    /// opened, or a sent request got no usable reply. A refusal does not count, nor
    /// does any other reason for which the request was not sent.
    pub fn is_server_failure(&self) -> bool {
        match self {
            Self::NotSent(unsent) => *unsent == Unsent::ConnectFailed,
            Self::Refused { .. } => false,
            Self::Unknown(_) => true,
        }
    }
}

/// Why a request was not sent.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Unsent {
    /// The final check before sending failed: the server is shutting down, or the
    /// sender's permit was withdrawn.
    #[error("sending is not permitted")]
    Denied,
    /// This node's share of the server's connection cap is zero.
    #[error("the share of the server's connections is zero")]
    NoShare,
    /// Too many requests are queued for a connection to the server.
    #[error("the queue for a connection is full")]
    QueueFull,
    /// No connection became free before the deadline.
    #[error("no free connection before the deadline")]
    Deadline,
    /// No connection could be opened.
    #[error("cannot connect")]
    ConnectFailed,
    /// The server was taken out of use while the request was queued.
    #[error("the server was taken out of use")]
    Retired,
    /// The connection closed before the request was sent on it.
    #[error("the connection closed before the request was sent")]
    ConnectionClosed,
    /// A field of the request is not a valid header value.
    #[error("a field of the request is not a valid header value")]
    Malformed,
}

/// Why a sent request has no usable reply.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Lost {
    /// No reply arrived before the deadline.
    #[error("no reply before the deadline")]
    Deadline,
    /// The connection closed after the request was sent.
    #[error("the connection closed before the reply")]
    Broken,
    /// The connection was closed because it no longer responded.
    #[error("the connection no longer responded")]
    Silent,
    /// The server returned an error without stating that it did not run the request.
    #[error("the server returned status {status}")]
    Status {
        /// The HTTP status.
        status: u16,
        /// The state that the server reported.
        report: Report,
    },
}
