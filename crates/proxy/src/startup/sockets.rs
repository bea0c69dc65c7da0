//! The listening sockets for clients and operators.

use crate::config::Config;
use crate::error::StartError;
use crate::log;
use async_io::Async;
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::rc::Rc;
use wharfplank_protocol::endpoint_list::{self, EndpointList};
use wharfplank_transport::handover::{self, Inherited};

/// The listening socket for clients.
pub(super) struct ClientSocket {
    pub(super) listener: Rc<Async<TcpListener>>,
    /// The path at which a successor requests the socket; `None` if this process cannot be replaced.
    pub(super) handover_path: Option<PathBuf>,
    /// The state handed over by the predecessor, if any.
    pub(super) inherited: Option<Inherited>,
}

impl ClientSocket {
    /// Takes the socket over from a predecessor, or opens it if there is none.
    pub(super) fn open(config: &Config) -> Result<Self, StartError> {
        let listen_error = StartError::listen(config.listen);
        let handover_path = can_be_replaced(config).then(|| handover::socket_path(config.listen));
        let inherited = match handover_path.as_deref() {
            Some(path) => handover::request(path).map_err(StartError::handover(config.listen))?,
            None => None,
        };
        let listener = match inherited.as_ref() {
            Some(inherited) => inherited.listener().and_then(Async::new),
            None if handover_path.is_some() => handover::listen_shared(config.listen),
            None => handover::listen(config.listen),
        };
        let listener = Rc::new(listener.map_err(&listen_error)?);
        log::listening(listener.get_ref().local_addr().unwrap_or(config.listen));
        Ok(ClientSocket { listener, handover_path, inherited })
    }

    /// Returns the endpoint list of the predecessor, which is newer than the one in the configuration file.
    pub(super) fn inherited_endpoints(&self) -> Option<EndpointList> {
        let state = &self.inherited.as_ref()?.state;
        endpoint_list::from_json(&state.endpoint_list).ok()
    }
}

/// Returns whether this process can be replaced while it serves. This requires admin access, since otherwise
/// nothing else may listen, and a fixed port, since a successor cannot know a port assigned by the system.
fn can_be_replaced(config: &Config) -> bool {
    config.admin.is_some() && config.listen.port() != 0
}

/// The listening socket for operators.
pub(super) struct AdminSocket {
    pub(super) listener: Async<TcpListener>,
    /// The configured address.
    address: SocketAddr,
}

impl AdminSocket {
    /// Opens the socket if the configuration enables it.
    pub(super) fn open(config: &Config) -> Result<Option<Self>, StartError> {
        let Some(address) = config.admin else { return Ok(None) };
        let listener = handover::listen(address).map_err(StartError::listen(address))?;
        Ok(Some(AdminSocket { listener, address }))
    }

    /// Returns the address at which operators connect.
    pub(super) fn local_address(&self) -> SocketAddr {
        self.listener.get_ref().local_addr().unwrap_or(self.address)
    }
}
