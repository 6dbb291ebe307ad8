//! A connection that is leased to one request.
//!
//! Invariant: a connection on which a request was sent returns to the pool only
//! after the whole reply was read. If the lease is dropped earlier, the connection
//! is closed.

use std::sync::Arc;

use crate::server::ConnectionId;
use crate::state::Connection;
use crate::state::Shared;
use base::entity::Server;

pub(crate) struct Lease {
    shared: Arc<Shared>,
    pub(crate) server: Server,
    pub(crate) id: ConnectionId,
    connection: Option<Connection>,
    reply_pending: bool,
}

impl Lease {
    pub(crate) fn new(
        shared: Arc<Shared>,
        server: Server,
        id: ConnectionId,
        connection: Connection,
    ) -> Self {
        Self { shared, server, id, connection: Some(connection), reply_pending: false }
    }

    pub(crate) fn shared(&self) -> &Arc<Shared> {
        &self.shared
    }

    pub(crate) fn connection(&mut self) -> Option<&mut Connection> {
        self.connection.as_mut()
    }

    /// Takes the connection, so that dropping the lease has no effect.
    pub(crate) fn take(&mut self) -> Option<Connection> {
        self.connection.take()
    }

    /// Records that a request is sent: from now on, dropping the lease closes the
    /// connection.
    pub(crate) fn mark_sent(&mut self) {
        self.reply_pending = true;
    }

    /// Records that the whole reply was read.
    pub(crate) fn mark_read(&mut self) {
        self.reply_pending = false;
    }
}

impl Drop for Lease {
    fn drop(&mut self) {
        let Some(connection) = self.connection.take() else { return };
        if self.reply_pending || connection.sender.is_closed() {
            connection.cancel.cancel();
            self.shared.close(self.server, self.id);
        } else {
            self.shared.release(self.server, self.id, connection);
        }
    }
}
