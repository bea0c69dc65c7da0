//! What a proxy's broker makes of members: discovery's list, its own suspicion and the ends of its own attempts.

use crate::{Id, Launch, Micros, Trial};
use std::collections::BTreeMap;

/// One member, as the broker has it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Look {
    /// The launch that discovery tells.
    pub launch: Launch,
    /// Whether the list has it, and the router does not suspect it.
    pub well: bool,
    /// Whether it is taken for its group's primary.
    pub primary: bool,
    /// Whether discovery drains it.
    pub drained: bool,
    /// Whether an operator cordoned it at this proxy.
    pub cordoned: bool,
    /// Ends of this proxy's attempts there; the sums only grow while the process runs.
    pub trial: Trial,
}

/// All members of the roster that the list has.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct View {
    /// When the broker looked.
    pub at: Micros,
    /// The members.
    pub members: BTreeMap<Id, Look>,
}

impl View {
    /// Those of whom something holds.
    pub fn those(&self, which: impl Fn(&Look) -> bool) -> Vec<Id> {
        self.members.iter().filter(|(_, look)| which(look)).map(|(id, _)| *id).collect()
    }
}
