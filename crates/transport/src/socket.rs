//! Sockets whose calls may fail for a moment.
//!
//! - [`transient`]: which errors say nothing about the socket, and what to do about them. Every read, write, accept,
//!   connect and bind of the program asks there.
//! - [`stream`]: connections that repeat interrupted reads and writes.
//! - [`open`]: connecting, accepting and binding.
//! - [`peek`]: what can be seen of a socket without reading from it.

pub mod open;
pub(crate) mod peek;
pub mod stream;
pub mod transient;
