//! Administration of a running proxy, without I/O: the caller supplies the received bytes, the time and the
//! endpoint list.
//!
//! - [`command`]: parses the command line of an admin connection.
//! - [`cordons`]: members that operators took out of service, whatever discovery reports about them.
//! - [`exclusion`]: the reasons why a listed member receives no new requests.
//! - [`metrics`]: counters since the start of this process, and their JSON format.
//! - [`handover`]: the state machine of two processes that act as one proxy while the newer replaces the
//!   older.

pub mod command;
pub mod cordons;
pub mod exclusion;
pub mod handover;
pub mod metrics;

pub use command::{Command, CommandError, CommandReader};
pub use cordons::{CordonError, Cordons};
pub use exclusion::Exclusion;
pub use handover::{
    CommandId, ConnectionCounts, Handover, HandoverMessage, HandoverState, MemberKnowledge, MemberTraits,
};
pub use metrics::{Gauges, Metrics, ReloadResult, ReplyStatus};
