//! Divides the file descriptors of the process between clients and members.

use wharfplank_admin::ConnectionCounts;
use wharfplank_transport::admin::MAX_CONNECTIONS;
use wharfplank_transport::client_listener;

/// Descriptors reserved for fixed uses: three standard streams, three of the reactor, two for signals, the
/// listening socket and a connection just accepted, three of discovery while one connection replaces another,
/// the socket diagnostics, and a file being read; also some client connections beyond their limit, and the
/// sockets of optional components.
const RESERVED: usize = 24;
/// Descriptors reserved for admin connections if they are enabled: the connections and their listening
/// socket, the handover socket, and two of the link to the other process.
const RESERVED_ADMIN: usize = MAX_CONNECTIONS + 4;
/// The minimum number of connections to clients and members, however low the descriptor limit is.
const MIN_CONNECTIONS: usize = 8;

/// Returns the numbers of connections that the process may hold within the descriptor limit.
pub(super) fn connection_limits(max_descriptors: usize, has_admin: bool) -> ConnectionCounts {
    let reserved = RESERVED + if has_admin { RESERVED_ADMIN } else { 0 };
    let available = max_descriptors.saturating_sub(reserved).max(MIN_CONNECTIONS);
    let clients = available * 6 / 10;
    let members = available - clients - client_listener::overflow_connections(clients);
    ConnectionCounts { clients, members }
}
