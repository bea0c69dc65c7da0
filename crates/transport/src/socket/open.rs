//! Connecting, accepting and binding, repeated while the errors are transient.

use super::stream::TcpConnection;
use super::transient::{retry_blocking, Remedy, SystemCall, RESOURCE_RETRY_DELAY};
use async_io::{Async, Timer};
use std::future::Future;
use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::time::Duration;

/// How often an attempt to connect is repeated; past that another member is the better choice.
pub const MAX_CONNECT_RETRIES: usize = 3;

/// For how long a socket that cannot be opened is tried again while the process starts.
const START_PATIENCE: Duration = Duration::from_secs(1);

/// Repeats the opening of a socket while its errors are transient. It blocks the thread, and is meant for the start of
/// the process.
///
/// # Errors
///
/// Returns an error that is not transient, or one that lasts.
pub fn retry_at_start<T>(open: impl FnMut() -> io::Result<T>) -> io::Result<T> {
    retry_blocking(SystemCall::Open, START_PATIENCE, open)
}

/// Binds a UDP socket while the process starts.
///
/// # Errors
///
/// Returns an error that is not transient, or one that lasts.
pub fn bind_udp(address: impl Into<SocketAddr>) -> io::Result<UdpSocket> {
    let address = address.into();
    retry_at_start(|| UdpSocket::bind(address))
}

/// Registers a socket with the reactor of a worker thread that starts.
pub(crate) fn register(socket: &UdpSocket) -> io::Result<Async<UdpSocket>> {
    retry_at_start(|| socket.try_clone().and_then(Async::new))
}

/// Connects to an address.
///
/// # Errors
///
/// Returns an error that is not transient, or the last one of several.
pub(crate) async fn connect(address: SocketAddr) -> io::Result<TcpConnection> {
    retry_connect(|| Async::<TcpStream>::connect(address)).await.map(TcpConnection::from)
}

/// Repeats an attempt to connect while its errors are transient, a few times.
///
/// # Errors
///
/// Returns an error that is not transient, or the last one of several.
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
        let remedy = Remedy::of(SystemCall::Open, &error);
        if remedy == Remedy::GiveUp || retries == MAX_CONNECT_RETRIES {
            return Err(error);
        }
        retries += 1;
        if remedy == Remedy::RetryLater {
            Timer::after(RESOURCE_RETRY_DELAY).await;
        }
    }
}

/// Accepts the next connection.
///
/// # Errors
///
/// Fails if a resource is exhausted, or the listener is broken.
pub(crate) async fn accept(listener: &Async<TcpListener>) -> io::Result<(TcpConnection, SocketAddr)> {
    loop {
        match listener.accept().await {
            Ok((stream, address)) => return Ok((stream.into(), address)),
            Err(error) if Remedy::of(SystemCall::Accept, &error) == Remedy::RetryNow => {}
            Err(error) => return Err(error),
        }
    }
}
