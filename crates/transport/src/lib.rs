//! Socket I/O of the proxy: drives the protocol state machines of the `protocol` crate. Routing decisions are
//! made by the broker, which receives client requests and attempt results as [`ProxyEvent`]s.

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

/// A clock that returns the current time in microseconds.
pub type Now = Rc<dyn Fn() -> Micros>;
