//! The protocol of the agents on the members' machines, and the poller that observes the members through
//! them.

mod poller;
mod protocol;

pub use poller::AgentPoller;
pub use protocol::{AgentCommand, AgentRequest, AgentStatus, InvalidDatagram};
