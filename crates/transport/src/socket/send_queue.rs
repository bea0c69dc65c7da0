//! The send queues of TCP connections: the bytes that were written but that the peer's system has not
//! acknowledged yet.
//!
//! The operating system discards a connection's send queue when it resets the connection, and it resets a
//! closed connection as soon as the peer sends anything more. The queue is read through the system's socket
//! diagnostics, see `sock_diag(7)`.

use super::open::retry_at_start;
use super::transient::{RetryDecision, SystemCall};
use netlink_packet_core::{NetlinkHeader, NetlinkMessage, NetlinkPayload, NLM_F_REQUEST};
use netlink_packet_sock_diag::constants::{
    AF_INET, AF_INET6, IPPROTO_TCP, TCP_CLOSING, TCP_FIN_WAIT1, TCP_LAST_ACK, TCP_LISTEN,
};
use netlink_packet_sock_diag::inet::{ExtensionFlags, InetRequest, InetResponseHeader, SocketId, StateFlags};
use netlink_packet_sock_diag::SockDiagMessage;
use rustix::io::Errno;
use rustix::net::netlink::{SocketAddrNetlink, SOCK_DIAG};
use rustix::net::{recv, sendto, socket_with, AddressFamily, RecvFlags, SendFlags, SocketFlags, SocketType};
use std::cell::Cell;
use std::io;
use std::net::TcpStream;
use std::os::fd::OwnedFd;

/// The address of the operating system on a netlink socket.
const KERNEL: SocketAddrNetlink = SocketAddrNetlink::new(0, 0);
/// The cookie of a request that does not name the socket by its cookie.
const NO_COOKIE: [u8; 8] = [0xff; 8];
/// The maximum size of a reply in bytes. It holds the state of one socket, without extensions.
const MAX_REPLY_BYTES: usize = 4096;
/// The maximum number of tries of a call that signals interrupt.
const MAX_TRIES: usize = 8;

/// Reads the send queues of this process's connections.
#[derive(Debug)]
pub struct SendQueues {
    /// The netlink socket; `None` if the system offers no socket diagnostics.
    socket: Option<OwnedFd>,
    /// The sequence number of the last request. Replies to other requests are skipped.
    sequence: Cell<u32>,
}

impl SendQueues {
    /// Opens the socket diagnostics at process startup, retrying transient errors. Without them, every byte
    /// counts as acknowledged once it is written.
    pub fn open() -> Self {
        let open = || {
            let flags = SocketFlags::CLOEXEC | SocketFlags::NONBLOCK;
            let socket = socket_with(AddressFamily::NETLINK, SocketType::DGRAM, flags, Some(SOCK_DIAG));
            socket.map_err(io::Error::from)
        };
        SendQueues { socket: retry_at_start(open).ok(), sequence: Cell::new(0) }
    }

    /// Returns whether the system offers socket diagnostics.
    pub fn is_available(&self) -> bool {
        self.socket.is_some()
    }

    /// Returns the number of bytes that the peer's system has not acknowledged.
    ///
    /// # Errors
    ///
    /// Returns the error of a system call, which says nothing about the connection.
    pub fn unacknowledged_bytes(&self, stream: &TcpStream) -> io::Result<usize> {
        let Some(socket) = &self.socket else { return Ok(0) };
        // A connection without a peer has been reset.
        let Some(socket_id) = socket_id(stream) else { return Ok(0) };
        let sequence = self.sequence.get().wrapping_add(1);
        self.sequence.set(sequence);
        let request = encode_request(socket_id, sequence);
        retry_interrupted(|| sendto(socket, &request, SendFlags::empty(), &KERNEL))?;
        // The system has queued its reply before the call to send returns.
        loop {
            let mut buffer = [0; MAX_REPLY_BYTES];
            let (_, length) = retry_interrupted(|| recv(socket, &mut buffer, RecvFlags::DONTWAIT))?;
            if let Some(reply) = parse_reply(&buffer[..length], sequence) {
                return reply;
            }
        }
    }
}

/// Returns the addresses of a connection; `None` if it has no peer any more.
fn socket_id(stream: &TcpStream) -> Option<SocketId> {
    let (local, peer) = (stream.local_addr().ok()?, stream.peer_addr().ok()?);
    Some(SocketId {
        source_port: local.port(),
        destination_port: peer.port(),
        source_address: local.ip(),
        destination_address: peer.ip(),
        interface_id: 0,
        cookie: NO_COOKIE,
    })
}

fn encode_request(socket_id: SocketId, sequence: u32) -> Vec<u8> {
    let request = InetRequest {
        family: if socket_id.source_address.is_ipv4() { AF_INET } else { AF_INET6 },
        protocol: IPPROTO_TCP,
        extensions: ExtensionFlags::empty(),
        states: StateFlags::all(),
        socket_id,
    };
    let mut header = NetlinkHeader::default();
    header.flags = NLM_F_REQUEST;
    header.sequence_number = sequence;
    let payload = NetlinkPayload::from(SockDiagMessage::InetRequest(request));
    let mut message = NetlinkMessage::new(header, payload);
    message.finalize();
    let mut bytes = vec![0; message.buffer_len()];
    message.serialize(&mut bytes);
    bytes
}

/// Returns the length of the send queue that a reply states; `None` if it is the reply to another request.
fn parse_reply(bytes: &[u8], sequence: u32) -> Option<io::Result<usize>> {
    let Ok(reply) = NetlinkMessage::<SockDiagMessage>::deserialize(bytes) else {
        return Some(Err(io::ErrorKind::InvalidData.into()));
    };
    if reply.header.sequence_number != sequence {
        return None;
    }
    Some(match reply.payload {
        NetlinkPayload::InnerMessage(SockDiagMessage::InetResponse(socket)) => {
            Ok(unacknowledged_output(&socket.header))
        }
        NetlinkPayload::Error(error) => match error.to_io() {
            // The connection does not exist any more.
            error if error.raw_os_error() == Some(Errno::NOENT.raw_os_error()) => Ok(0),
            error => Err(error),
        },
        _ => Err(io::ErrorKind::InvalidData.into()),
    })
}

/// Returns the length of a send queue without the end of the stream, which counts as one byte. If the
/// connection does not exist any more, the system describes the socket that listens on its address.
fn unacknowledged_output(socket: &InetResponseHeader) -> usize {
    let queued = socket.send_queue as usize;
    match socket.state {
        TCP_LISTEN => 0,
        TCP_FIN_WAIT1 | TCP_CLOSING | TCP_LAST_ACK => queued.saturating_sub(1),
        _ => queued,
    }
}

/// Runs a call that does not wait, and repeats it if a signal interrupts it.
fn retry_interrupted<T>(mut call: impl FnMut() -> Result<T, Errno>) -> io::Result<T> {
    for _ in 1..MAX_TRIES {
        match call().map_err(io::Error::from) {
            Err(error) if RetryDecision::of(SystemCall::Transfer, &error) == RetryDecision::RetryNow => {}
            result => return result,
        }
    }
    call().map_err(io::Error::from)
}
