//! What goes between a proxy and the agent on a member's machine: one JSON object a datagram, since the agents are
//! programs of others. Every call is answered by a [`Status`] with the call's number.

use crate::{Launch, Version};
use serde::{Deserialize, Serialize};

/// The largest datagram that is read of an agent.
const STATUS_BYTES: usize = 1024;

/// A call to an agent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Call {
    /// The status that answers it has the same.
    pub number: u64,
    /// What is asked.
    #[serde(flatten)]
    pub what: What,
}

/// What an agent is asked.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "ask", rename_all = "kebab-case")]
pub enum What {
    /// Nothing but its status.
    Status,
    /// To end this launch and start that version: at any other launch nothing is done.
    Leave {
        /// The launch.
        launch: Launch,
        /// The version.
        version: Version,
        /// Only where the member doesn't serve.
        down: bool,
    },
    /// To hand the group of this primary, at this launch of it, over to a sound replica.
    HandOver {
        /// The launch.
        launch: Launch,
    },
}

/// An agent's answer: what its member is now.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// The call's number.
    pub number: u64,
    /// The member's launch, as discovery tells it (`born_ms`).
    pub launch: Launch,
    /// What it runs.
    pub version: Version,
    /// Whether it serves.
    pub ready: bool,
}

impl Call {
    /// As it goes out.
    pub fn to_bytes(&self) -> Vec<u8> {
        serde_json::to_vec(self).unwrap_or_default()
    }

    /// As an agent reads it.
    pub fn read(bytes: &[u8]) -> Option<Call> {
        serde_json::from_slice(bytes).ok()
    }
}

impl Status {
    /// As an agent writes it.
    pub fn to_bytes(&self) -> Vec<u8> {
        serde_json::to_vec(self).unwrap_or_default()
    }

    /// As it is read, with care: it comes from outside.
    pub fn read(bytes: &[u8]) -> Option<Status> {
        let short = bytes.len() <= STATUS_BYTES;
        short.then(|| serde_json::from_slice(bytes).ok()).flatten()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards the form that agents are written against.
    #[test]
    fn calls_and_answers_have_the_form_that_operators_were_told() {
        let call = Call { number: 4, what: What::Leave { launch: 17, version: 7, down: false } };
        let text = br#"{"number":4,"ask":"leave","launch":17,"version":7,"down":false}"#;
        assert_eq!(call.to_bytes(), text);
        assert_eq!(Call::read(text), Some(call));
        assert_eq!(Call { number: 5, what: What::Status }.to_bytes(), br#"{"number":5,"ask":"status"}"#);
        let hand_over = br#"{"number":6,"ask":"hand-over","launch":17}"#;
        assert_eq!(Call::read(hand_over).map(|call| call.what), Some(What::HandOver { launch: 17 }));
        let status = br#"{"number":4,"launch":17,"version":6,"ready":true}"#;
        assert_eq!(Status::read(status), Some(Status { number: 4, launch: 17, version: 6, ready: true }));
        for bad in [&b"{}"[..], b"", b"[1]", &[b' '; 2000]] {
            assert_eq!(Status::read(bad), None);
        }
    }
}
