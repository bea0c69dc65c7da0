//! Connecting, accepting and binding sockets, with retries of transient errors.

use super::stream::TcpConnection;
use super::transient::{retry_blocking, RetryDecision, SystemCall, RESOURCE_RETRY_DELAY};
use async_io::{Async, Timer};
use std::future::Future;
use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::time::Duration;

/// The maximum number of connect retries. After that, another member is the better choice.
pub const MAX_CONNECT_RETRIES: usize = 3;

/// The time for which opening a socket is retried while the process starts.
const STARTUP_RETRY_TIMEOUT: Duration = Duration::from_secs(1);

/// Opens a socket, retrying transient errors. Blocks the thread, and is intended for process startup only.
///
/// # Errors
///
/// Returns the first error that is not transient, or the last error when the time limit passes.
pub fn retry_at_start<T>(open: impl FnMut() -> io::Result<T>) -> io::Result<T> {
    retry_blocking(SystemCall::Open, STARTUP_RETRY_TIMEOUT, open)
}

/// Binds a UDP socket at process startup, retrying transient errors.
///
/// # Errors
///
/// Returns the first error that is not transient, or the last error when the time limit passes.
pub fn bind_udp(address: impl Into<SocketAddr>) -> io::Result<UdpSocket> {
    let address = address.into();
    retry_at_start(|| UdpSocket::bind(address))
}

/// Registers a socket with the reactor of a starting worker thread.
pub(crate) fn register(socket: &UdpSocket) -> io::Result<Async<UdpSocket>> {
    retry_at_start(|| socket.try_clone().and_then(Async::new))
}

/// Connects to an address, retrying transient errors.
///
/// # Errors
///
/// Returns the first error that is not transient, or the last error after all retries.
pub(crate) async fn connect(address: SocketAddr) -> io::Result<TcpConnection> {
    retry_connect(|| Async::<TcpStream>::connect(address)).await.map(TcpConnection::from)
}

/// Runs `connect`, retrying transient errors up to [`MAX_CONNECT_RETRIES`] times.
///
/// # Errors
///
/// Returns the first error that is not transient, or the last error after all retries.
pub async fn retry_connect<T, Connecting>(mut connect: impl FnMut() -> Connecting) -> io::Result<T>
where
    Connecting: Future<Output = io::Result<T>>,
{
    let mut retries = 0;
    loop {
        let error = match connect().await {
            Ok(connection) => return Ok(connection),
            Err(error) => error,
        };
        let decision = RetryDecision::of(SystemCall::Open, &error);
        if decision == RetryDecision::GiveUp || retries == MAX_CONNECT_RETRIES {
            return Err(error);
        }
        retries += 1;
        if decision == RetryDecision::RetryLater {
            Timer::after(RESOURCE_RETRY_DELAY).await;
        }
    }
}

/// Accepts the next connection, retrying errors that only concern the connection to accept.
///
/// # Errors
///
/// Returns an error if a resource is exhausted or the listener has failed.
pub(crate) async fn accept(listener: &Async<TcpListener>) -> io::Result<(TcpConnection, SocketAddr)> {
    loop {
        match listener.accept().await {
            Ok((stream, address)) => return Ok((stream.into(), address)),
            Err(error) if RetryDecision::of(SystemCall::Accept, &error) == RetryDecision::RetryNow => {}
            Err(error) => return Err(error),
        }
    }
}
