//! One connection in the hands of one request.
//!
//! Invariant: a connection on which a request was sent goes back to the pool
//! only after its whole reply was read; dropped before that, it is closed.

use std::sync::Arc;

use crate::server::ConnectionId;
use crate::state::Link;
use crate::state::Shared;
use base::entity::Server;

pub(crate) struct Lease {
    shared: Arc<Shared>,
    pub(crate) server: Server,
    pub(crate) id: ConnectionId,
    link: Option<Link>,
    unread: bool,
}

impl Lease {
    pub(crate) fn new(shared: Arc<Shared>, server: Server, id: ConnectionId, link: Link) -> Self {
        Self { shared, server, id, link: Some(link), unread: false }
    }

    pub(crate) fn shared(&self) -> &Arc<Shared> {
        &self.shared
    }

    pub(crate) fn link(&mut self) -> Option<&mut Link> {
        self.link.as_mut()
    }

    /// Takes the connection out, so that dropping the lease does nothing.
    pub(crate) fn take(&mut self) -> Option<Link> {
        self.link.take()
    }

    /// Marks that a reply is due: from here on dropping closes the connection.
    pub(crate) fn due(&mut self) {
        self.unread = true;
    }

    /// Marks that the whole reply was read.
    pub(crate) fn read(&mut self) {
        self.unread = false;
    }
}

impl Drop for Lease {
    fn drop(&mut self) {
        let Some(link) = self.link.take() else { return };
        if self.unread || link.sender.is_closed() {
            link.stop.cancel();
            self.shared.close(self.server, self.id);
        } else {
            self.shared.release(self.server, self.id, link);
        }
    }
}
