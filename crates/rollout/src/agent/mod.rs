//! The agents on the members' machines: the protocol, and the poller that observes members through it.

mod poller;
mod protocol;

pub use poller::AgentPoller;
pub use protocol::{AgentCommand, AgentRequest, AgentStatus, InvalidDatagram};
