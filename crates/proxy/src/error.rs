//! Startup errors.

use std::fmt;
use std::io;
use std::net::SocketAddr;
use thiserror::Error;
use wharfplank_transport::handover::HandoverError;

/// An error that prevents the proxy from starting.
#[derive(Debug, Error)]
pub enum StartError {
    /// The handlers of the termination and reload signals cannot be installed.
    #[error("cannot install signal handlers: {0}")]
    Signals(#[source] io::Error),
    /// The socket for clients or for operators cannot be opened.
    #[error("cannot listen on {address}: {source}")]
    Listen {
        /// The address of the socket.
        address: SocketAddr,
        /// The error reported by the system.
        source: io::Error,
    },
    /// The listening socket cannot be taken over from the running process.
    #[error("cannot take over the socket on {address}: {source}")]
    Handover {
        /// The address of the socket.
        address: SocketAddr,
        /// The error of the handover.
        source: HandoverError,
    },
    /// The datagram socket of a component cannot be opened.
    #[error("{component}: cannot listen on {address}: {source}")]
    ComponentListen {
        /// The component.
        component: Component,
        /// The address as given in the settings.
        address: String,
        /// The error reported by the system.
        source: io::Error,
    },
    /// A component's thread, task or store cannot be started.
    #[error("{component}: cannot start: {source}")]
    ComponentStart {
        /// The component.
        component: Component,
        /// The error reported by the system.
        source: io::Error,
    },
    /// The budgets' socket is not bound to an IPv4 address.
    #[error("budgets: {0} is not an IPv4 address")]
    BudgetsNotIpv4(String),
    /// The gossip socket is not bound to an IPv4 address.
    #[error("peers: bound to {0}, which is not an IPv4 address")]
    GossipNotIpv4(SocketAddr),
}

impl StartError {
    /// Wraps an error on opening the socket at `address`.
    pub(crate) fn listen(address: SocketAddr) -> impl Fn(io::Error) -> Self {
        move |source| StartError::Listen { address, source }
    }

    /// Wraps an error on taking over the socket at `address`.
    pub(crate) fn handover(address: SocketAddr) -> impl Fn(HandoverError) -> Self {
        move |source| StartError::Handover { address, source }
    }

    /// Wraps an error on opening the socket of a component.
    pub(crate) fn component_listen(
        component: Component,
        address: impl fmt::Display,
    ) -> impl Fn(io::Error) -> Self {
        let address = address.to_string();
        move |source| StartError::ComponentListen { component, address: address.clone(), source }
    }

    /// Wraps an error on starting a component.
    pub(crate) fn component_start(component: Component) -> impl Fn(io::Error) -> Self {
        move |source| StartError::ComponentStart { component, source }
    }
}

/// An optional component of the proxy, displayed under the name of its settings.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Component {
    /// The fleet's budgets.
    Budgets,
    /// Gossip between proxies.
    Gossip,
    /// The snapshot of the state shared by proxies.
    Snapshot,
    /// The negative cache: keys that are known to be missing.
    NegativeCache,
    /// Rollouts of member releases.
    Rollout,
    /// The recorder.
    Records,
}

impl fmt::Display for Component {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Component::Budgets => "budgets",
            Component::Gossip => "peers",
            Component::Snapshot => "replica",
            Component::NegativeCache => "missing",
            Component::Rollout => "release",
            Component::Records => "records",
        })
    }
}
