//! Why the proxy cannot start.

use std::fmt;
use std::io;
use std::net::SocketAddr;
use thiserror::Error;
use wharfplank_transport::handover::HandoverError;

/// Why the proxy cannot start. Nothing serves after it.
#[derive(Debug, Error)]
pub enum StartError {
    /// The handlers of the termination and reload signals cannot be installed.
    #[error("signals: {0}")]
    Signals(#[source] io::Error),
    /// The socket for clients or for operators cannot be opened.
    #[error("listen on {address}: {source}")]
    Listen {
        /// The address of the socket.
        address: SocketAddr,
        /// What the system reported.
        source: io::Error,
    },
    /// The running process cannot hand its listening socket over.
    #[error("listen on {address}: {source}")]
    Handover {
        /// The address of the socket.
        address: SocketAddr,
        /// Why there was no handover.
        source: HandoverError,
    },
    /// The datagram socket of a component cannot be opened.
    #[error("{component}: listen on {address}: {source}")]
    ComponentListen {
        /// The component.
        component: Component,
        /// The address as the settings give it.
        address: String,
        /// What the system reported.
        source: io::Error,
    },
    /// A component's thread, task or store cannot be started.
    #[error("{component}: {source}")]
    ComponentStart {
        /// The component.
        component: Component,
        /// What the system reported.
        source: io::Error,
    },
    /// The budgets' socket is bound to another address family.
    #[error("budgets: {0} is no IPv4 address")]
    BudgetsNotIpv4(String),
    /// The gossip socket is bound to another address family.
    #[error("peers: bound to {0}, which is no IPv4 address")]
    PeersNotIpv4(SocketAddr),
}

impl StartError {
    /// Wraps why the socket at `address` cannot be opened.
    pub(crate) fn listen(address: SocketAddr) -> impl Fn(io::Error) -> Self {
        move |source| StartError::Listen { address, source }
    }

    /// Wraps why the socket at `address` cannot be handed over.
    pub(crate) fn handover(address: SocketAddr) -> impl Fn(HandoverError) -> Self {
        move |source| StartError::Handover { address, source }
    }

    /// Wraps why the socket of a component cannot be opened.
    pub(crate) fn component_listen(
        component: Component,
        address: impl fmt::Display,
    ) -> impl Fn(io::Error) -> Self {
        let address = address.to_string();
        move |source| StartError::ComponentListen { component, address: address.clone(), source }
    }

    /// Wraps why a component cannot be started.
    pub(crate) fn component_start(component: Component) -> impl Fn(io::Error) -> Self {
        move |source| StartError::ComponentStart { component, source }
    }
}

/// A part of the proxy that runs only where the settings ask for it. Displayed by the name of its settings.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Component {
    /// The fleet's budgets.
    Budgets,
    /// Gossip between proxies.
    Peers,
    /// The snapshot of the state that proxies share.
    Replica,
    /// The cache of keys that are known to be missing.
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
            Component::Peers => "peers",
            Component::Replica => "replica",
            Component::NegativeCache => "missing",
            Component::Rollout => "release",
            Component::Records => "records",
        })
    }
}
