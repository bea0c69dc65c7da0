//! Thin drivers between sockets and the state machines of `protocol`. They decide nothing about
//! requests: what clients request and how attempts end goes to the broker as a [`ProxyEvent`].

pub mod admin;
pub mod budgets;
pub mod client_connection;
pub mod client_listener;
mod connection_end;
mod deadline;
pub mod discovery;
mod event;
pub mod gossip;
pub mod handover;
pub mod member_pool;
mod memory;
pub mod negative_cache;
mod request;
pub mod response_stream;
pub mod rollout;
pub mod signals;
pub mod socket;
pub mod worker;

pub use connection_end::{ConnectionEnd, ConnectionEndObserver, Remote};
pub use event::ProxyEvent;
pub use memory::MemoryBudget;
pub use request::{ClientRequest, Statement};

use deadline::with_deadline;
use memory::MemoryReservation;
use std::rc::Rc;
use wharfplank_routing::Micros;

/// The caller's clock, in microseconds.
pub type Now = Rc<dyn Fn() -> Micros>;
