//! Connections that retry reads and writes on transient errors.

use super::transient::{RetryDecision, SystemCall, RESOURCE_RETRY_DELAY};
use async_io::{Async, IoSafe, Timer};
use futures_lite::{ready, AsyncRead, AsyncWrite, FutureExt};
use std::cell::RefCell;
use std::io::{self, Read, Write};
use std::net::TcpStream;
use std::os::fd::AsFd;
use std::pin::Pin;
use std::task::{Context, Poll};

/// The timer until the next retry in one direction, if a resource was exhausted.
type RetryTimer = RefCell<Option<Timer>>;

/// A connection that retries reads and writes on transient errors.
#[derive(Debug)]
pub struct Connection<T> {
    inner: Async<T>,
    read_retry_timer: RetryTimer,
    write_retry_timer: RetryTimer,
}

/// A TCP connection.
pub type TcpConnection = Connection<TcpStream>;

impl<T> From<Async<T>> for Connection<T> {
    fn from(inner: Async<T>) -> Self {
        Connection {
            inner,
            read_retry_timer: RetryTimer::default(),
            write_retry_timer: RetryTimer::default(),
        }
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

    /// Returns the underlying socket.
    pub fn get_ref(&self) -> &T {
        self.inner.get_ref()
    }

    /// Returns the socket as registered with the reactor.
    pub(crate) fn as_async(&self) -> &Async<T> {
        &self.inner
    }
}

impl TcpConnection {
    /// Reads input that has already arrived; returns `None` if there is none.
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
            match RetryDecision::of(SystemCall::Transfer, &error) {
                RetryDecision::RetryNow => {}
                RetryDecision::RetryLater => return Ok(None),
                RetryDecision::GiveUp => return Err(error),
            }
        }
    }
}

/// Polls a read or write and retries it on transient errors, with a delay while a resource is exhausted.
fn poll_transfer(
    retry_timer: &RetryTimer,
    cx: &mut Context<'_>,
    mut transfer: impl FnMut(&mut Context<'_>) -> Poll<io::Result<usize>>,
) -> Poll<io::Result<usize>> {
    let mut retry_timer = retry_timer.borrow_mut();
    loop {
        if let Some(timer) = retry_timer.as_mut() {
            ready!(timer.poll(cx));
            *retry_timer = None;
        }
        let error = match ready!(transfer(cx)) {
            Ok(count) => return Poll::Ready(Ok(count)),
            Err(error) => error,
        };
        match RetryDecision::of(SystemCall::Transfer, &error) {
            RetryDecision::RetryNow => {}
            RetryDecision::RetryLater => *retry_timer = Some(Timer::after(RESOURCE_RETRY_DELAY)),
            RetryDecision::GiveUp => return Poll::Ready(Err(error)),
        }
    }
}

impl<T> AsyncRead for &Connection<T>
where
    for<'a> &'a T: Read,
{
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context<'_>, buffer: &mut [u8]) -> Poll<io::Result<usize>> {
        let mut inner = &self.inner;
        poll_transfer(&self.read_retry_timer, cx, |cx| Pin::new(&mut inner).poll_read(cx, buffer))
    }
}

impl<T> AsyncWrite for &Connection<T>
where
    for<'a> &'a T: Write,
{
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        let mut inner = &self.inner;
        poll_transfer(&self.write_retry_timer, cx, |cx| Pin::new(&mut inner).poll_write(cx, bytes))
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
