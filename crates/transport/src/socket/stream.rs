//! Connections that repeat reads and writes whose errors are transient.

use super::transient::{Remedy, SystemCall, RESOURCE_RETRY_DELAY};
use async_io::{Async, IoSafe, Timer};
use futures_lite::{ready, AsyncRead, AsyncWrite, FutureExt};
use std::cell::RefCell;
use std::io::{self, Read, Write};
use std::net::TcpStream;
use std::os::fd::AsFd;
use std::pin::Pin;
use std::task::{Context, Poll};

/// The pause of one direction after a resource was exhausted, if there is one.
type Pause = RefCell<Option<Timer>>;

/// A connection whose reads and writes are repeated while their errors are transient.
#[derive(Debug)]
pub struct Connection<T> {
    inner: Async<T>,
    read_pause: Pause,
    write_pause: Pause,
}

/// A TCP connection.
pub type TcpConnection = Connection<TcpStream>;

impl<T> From<Async<T>> for Connection<T> {
    fn from(inner: Async<T>) -> Self {
        Connection { inner, read_pause: Pause::default(), write_pause: Pause::default() }
    }
}

impl<T: AsFd> Connection<T> {
    /// Registers a socket with the reactor.
    ///
    /// # Errors
    ///
    /// Returns the error of the operating system.
    pub fn new(socket: T) -> io::Result<Self>
    where
        T: IoSafe,
    {
        Async::new(socket).map(Self::from)
    }

    /// The socket itself.
    pub fn get_ref(&self) -> &T {
        self.inner.get_ref()
    }

    /// The socket as the reactor knows it.
    pub(crate) fn as_async(&self) -> &Async<T> {
        &self.inner
    }
}

impl TcpConnection {
    /// Reads what has already arrived; `None` if nothing has.
    ///
    /// # Errors
    ///
    /// Returns an error that is not transient.
    pub fn try_read(&self, buffer: &mut [u8]) -> io::Result<Option<usize>> {
        loop {
            let error = match self.get_ref().read(buffer) {
                Ok(count) => return Ok(Some(count)),
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return Ok(None),
                Err(error) => error,
            };
            match Remedy::of(SystemCall::Transfer, &error) {
                Remedy::RetryNow => {}
                Remedy::RetryLater => return Ok(None),
                Remedy::GiveUp => return Err(error),
            }
        }
    }
}

/// Polls a transfer until its result is not transient, with pauses while a resource is exhausted.
fn poll_transfer(
    pause: &Pause,
    cx: &mut Context<'_>,
    mut transfer: impl FnMut(&mut Context<'_>) -> Poll<io::Result<usize>>,
) -> Poll<io::Result<usize>> {
    let mut pause = pause.borrow_mut();
    loop {
        if let Some(timer) = pause.as_mut() {
            ready!(timer.poll(cx));
            *pause = None;
        }
        let error = match ready!(transfer(cx)) {
            Ok(count) => return Poll::Ready(Ok(count)),
            Err(error) => error,
        };
        match Remedy::of(SystemCall::Transfer, &error) {
            Remedy::RetryNow => {}
            Remedy::RetryLater => *pause = Some(Timer::after(RESOURCE_RETRY_DELAY)),
            Remedy::GiveUp => return Poll::Ready(Err(error)),
        }
    }
}

impl<T> AsyncRead for &Connection<T>
where
    for<'a> &'a T: Read,
{
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context<'_>, buffer: &mut [u8]) -> Poll<io::Result<usize>> {
        let mut inner = &self.inner;
        poll_transfer(&self.read_pause, cx, |cx| Pin::new(&mut inner).poll_read(cx, buffer))
    }
}

impl<T> AsyncWrite for &Connection<T>
where
    for<'a> &'a T: Write,
{
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        let mut inner = &self.inner;
        poll_transfer(&self.write_pause, cx, |cx| Pin::new(&mut inner).poll_write(cx, bytes))
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut &self.inner).poll_flush(cx)
    }

    fn poll_close(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut &self.inner).poll_close(cx)
    }
}

impl<T> AsyncRead for Connection<T>
where
    for<'a> &'a T: Read,
{
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context<'_>, buffer: &mut [u8]) -> Poll<io::Result<usize>> {
        Pin::new(&mut &*self).poll_read(cx, buffer)
    }
}

impl<T> AsyncWrite for Connection<T>
where
    for<'a> &'a T: Write,
{
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        Pin::new(&mut &*self).poll_write(cx, bytes)
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut &*self).poll_flush(cx)
    }

    fn poll_close(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut &*self).poll_close(cx)
    }
}
