//! The first byte of the reply to a handover request, which carries the listening socket as ancillary data.

use async_io::Async;
use rustix::io::retry_on_intr;
use rustix::net::{
    recvmsg, sendmsg, RecvAncillaryBuffer, RecvAncillaryMessage, RecvFlags, SendAncillaryBuffer,
    SendAncillaryMessage, SendFlags,
};
use std::io::{self, IoSlice, IoSliceMut};
use std::mem::MaybeUninit;
use std::net::TcpListener;
use std::os::fd::{AsFd, OwnedFd};
use std::os::unix::net::UnixStream;

/// The first byte of a reply that carries the listening socket.
const ACCEPTED: u8 = b'L';
/// The first byte of a reply that rejects the request because another process is already taking over.
pub(super) const BUSY: u8 = b'B';

/// The beginning of a reply.
pub(super) enum Reply {
    /// The request is accepted, with the listening socket if the reply carries one.
    Accepted(Option<OwnedFd>),
    /// Another process is already taking over.
    Busy,
}

/// Sends the listening socket.
pub(super) fn send_listener(stream: &UnixStream, listener: &Async<TcpListener>) -> io::Result<()> {
    let descriptors = [listener.as_fd()];
    let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(1))];
    let mut control = SendAncillaryBuffer::new(&mut space);
    control.push(SendAncillaryMessage::ScmRights(&descriptors));
    retry_on_intr(|| sendmsg(stream, &[IoSlice::new(&[ACCEPTED])], &mut control, SendFlags::NOSIGNAL))?;
    Ok(())
}

/// Receives the first byte of the reply and the listening socket.
pub(super) fn receive_reply(stream: &UnixStream) -> io::Result<Reply> {
    let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(1))];
    let mut control = RecvAncillaryBuffer::new(&mut space);
    let mut byte = [0];
    retry_on_intr(|| {
        recvmsg(stream, &mut [IoSliceMut::new(&mut byte)], &mut control, RecvFlags::CMSG_CLOEXEC)
    })?;
    if byte[0] == BUSY {
        return Ok(Reply::Busy);
    }
    let descriptor = control.drain().find_map(|message| match message {
        RecvAncillaryMessage::ScmRights(mut descriptors) => descriptors.next(),
        _ => None,
    });
    Ok(Reply::Accepted(descriptor))
}
