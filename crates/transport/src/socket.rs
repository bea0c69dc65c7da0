//! Sockets, with retries of system calls that fail with transient errors.
//!
//! - [`transient`]: classifies errors as transient or final. Every read, write, accept, connect and bind of
//!   the program uses it.
//! - [`stream`]: connections that retry reads and writes.
//! - [`open`]: connects and accepts connections, and binds datagram sockets.
//! - [`listener`]: binds listening sockets.
//! - [`peek`]: inspects a socket without consuming input.
//! - [`send_queue`]: tells what of a connection's output has not reached the peer.

pub mod listener;
pub mod open;
pub(crate) mod peek;
pub mod send_queue;
pub mod stream;
pub mod transient;
