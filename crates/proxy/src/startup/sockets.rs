//! The listening sockets for clients and operators. They are bound first, and listen only after everything
//! else has been started, so that no connection is accepted by a process that cannot start.

use crate::config::Config;
use crate::error::StartError;
use crate::log;
use async_io::Async;
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::rc::Rc;
use wharfplank_protocol::endpoint_list::{self, EndpointList};
use wharfplank_transport::handover::{self, Inherited, WaitStep};
use wharfplank_transport::socket::listener::{AddressUse, BoundSocket};

/// The socket for clients before the start is complete.
pub(super) struct ClientSocket {
    socket: PendingSocket,
    address: SocketAddr,
    /// The path at which a successor requests the socket; `None` if this process cannot be replaced.
    handover_path: Option<PathBuf>,
    /// The state handed over by the predecessor, if any.
    inherited: Option<Inherited>,
}

/// A socket that this process does not accept connections from yet.
enum PendingSocket {
    Bound(BoundSocket),
    /// The socket of the predecessor, which still accepts its connections.
    Inherited(Async<TcpListener>),
}

/// The socket for clients, which listens.
pub(super) struct ListeningSocket {
    pub(super) listener: Rc<Async<TcpListener>>,
    /// See [`ClientSocket`].
    pub(super) handover_path: Option<PathBuf>,
    /// See [`ClientSocket`].
    pub(super) inherited: Option<Inherited>,
}

impl ClientSocket {
    /// Takes the socket over from a predecessor, or binds it if there is none.
    pub(super) fn open(config: &Config) -> Result<Self, StartError> {
        let address = config.listen;
        let handover_path = can_be_replaced(config).then(|| handover::socket_path(address));
        let inherited = match handover_path.as_deref() {
            Some(path) => handover::request(path, log_wait).map_err(StartError::handover(address))?,
            None => None,
        };
        let address_use = if handover_path.is_some() { AddressUse::Shared } else { AddressUse::Exclusive };
        let socket = match inherited.as_ref() {
            Some(inherited) => inherited.listener().and_then(Async::new).map(PendingSocket::Inherited),
            None => BoundSocket::bind(address, address_use).map(PendingSocket::Bound),
        };
        let socket = socket.map_err(StartError::listen(address))?;
        Ok(ClientSocket { socket, address, handover_path, inherited })
    }

    /// Starts to listen. Everything that can fail at the start must have been started before.
    pub(super) fn listen(self) -> Result<ListeningSocket, StartError> {
        let listener = match self.socket {
            PendingSocket::Bound(socket) => socket.listen().map_err(StartError::listen(self.address))?,
            PendingSocket::Inherited(listener) => listener,
        };
        log::listening(listener.get_ref().local_addr().unwrap_or(self.address));
        Ok(ListeningSocket {
            listener: Rc::new(listener),
            handover_path: self.handover_path,
            inherited: self.inherited,
        })
    }

    /// Returns the endpoint list of the predecessor, which is newer than the one in the configuration file.
    pub(super) fn inherited_endpoints(&self) -> Option<EndpointList> {
        let state = &self.inherited.as_ref()?.state;
        endpoint_list::from_json(&state.endpoint_list).ok()
    }
}

/// Logs a wait for the predecessor.
fn log_wait(step: WaitStep) {
    let step = match step {
        WaitStep::SlowReply => "awaits the other",
        WaitStep::NoReply => "the other does not answer",
    };
    log::handover_step(step, 0);
}

/// Returns whether this process can be replaced while it serves. This requires admin access, since otherwise
/// nothing else may listen, and a fixed port, since a successor cannot know a port assigned by the system.
fn can_be_replaced(config: &Config) -> bool {
    config.admin.is_some() && config.listen.port() != 0
}

/// The socket for operators before the start is complete.
pub(super) struct AdminSocket {
    socket: BoundSocket,
    address: SocketAddr,
}

impl AdminSocket {
    /// Binds the socket if the configuration enables it.
    pub(super) fn open(config: &Config) -> Result<Option<Self>, StartError> {
        let Some(address) = config.admin else { return Ok(None) };
        let socket =
            BoundSocket::bind(address, AddressUse::Exclusive).map_err(StartError::listen(address))?;
        Ok(Some(AdminSocket { socket, address }))
    }

    /// Starts to listen.
    pub(super) fn listen(self) -> Result<Async<TcpListener>, StartError> {
        self.socket.listen().map_err(StartError::listen(self.address))
    }
}
