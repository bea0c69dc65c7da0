//! The hand-over from an old process to a new one: the predecessor and its successor act as one proxy until the
//! predecessor has ended. [`Handover`] decides who accepts connections, how many each process may hold, and when a cordon
//! is in force in both. It does no I/O; times are microseconds on the caller's clock.

mod message;

pub use message::{
    HandoverMessage, HandoverState, MemberKnowledge, MemberTraits, MAX_CONCURRENCY_LIMIT, PROTOCOL_VERSION,
};

use serde::{Deserialize, Serialize};
use std::collections::VecDeque;
use wharfplank_routing::Micros;

/// How long an operator's command waits for the other process to apply it, in microseconds. Operators are promised an
/// answer within 1 s.
pub const CONFIRMATION_TIMEOUT: Micros = 500_000;
/// The most commands that may wait for the other process.
pub const MAX_UNCONFIRMED: usize = 64;
/// Connections of each kind that a process may always hold, however many the other holds: without any it serves nobody.
const MIN_CONNECTIONS: usize = 4;
/// Connections to members that the predecessor may open beyond those that it held: requests in flight need some.
const MEMBER_CONNECTION_SLACK: usize = 4;

/// Identifies an operator's command among those that one process sends to the other.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct CommandId(pub u64);

/// Numbers of connections: held, or allowed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConnectionCounts {
    /// Connections from clients.
    pub clients: usize,
    /// Connections to members.
    pub members: usize,
}

/// The role of this process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Role {
    /// There is no other process.
    #[default]
    Sole,
    /// Another process replaces this one, which held these connections when the hand-over began.
    Predecessor { held: ConnectionCounts, successor_serves: bool },
    /// This process replaces another, which holds these connections.
    Successor { predecessor: ConnectionCounts },
}

/// A command that the other process has not confirmed yet.
#[derive(Clone, Copy, Debug)]
struct UnconfirmedCommand {
    id: CommandId,
    deadline: Micros,
}

/// The hand-over as one of the two processes sees it.
#[derive(Debug, Default)]
pub struct Handover {
    role: Role,
    last_command: u64,
    /// In the order of their deadlines.
    unconfirmed: VecDeque<UnconfirmedCommand>,
}

impl Handover {
    /// The hand-over of a process that replaces another, which holds these connections.
    pub fn successor_of(predecessor: ConnectionCounts) -> Self {
        Handover { role: Role::Successor { predecessor }, ..Handover::default() }
    }

    /// Whether there is another process.
    pub fn has_peer(&self) -> bool {
        self.role != Role::Sole
    }

    /// Whether this process is being replaced; it then reports its connections to its successor.
    pub fn is_predecessor(&self) -> bool {
        matches!(self.role, Role::Predecessor { .. })
    }

    /// Begins the hand-over to another process that asked for it, while this one holds these connections. Returns
    /// `false`, and changes nothing, where this process takes part in a hand-over already.
    pub fn begin(&mut self, held: ConnectionCounts) -> bool {
        if self.has_peer() {
            return false;
        }
        self.role = Role::Predecessor { held, successor_serves: false };
        true
    }

    /// The successor accepts connections from now on.
    pub fn on_successor_serving(&mut self) {
        if let Role::Predecessor { successor_serves, .. } = &mut self.role {
            *successor_serves = true;
        }
    }

    /// The predecessor holds these connections now.
    pub fn on_predecessor_connections(&mut self, held: ConnectionCounts) {
        if let Role::Successor { predecessor } = &mut self.role {
            *predecessor = held;
        }
    }

    /// The other process has ended. Returns the commands that waited for its confirmation.
    pub fn on_peer_lost(&mut self) -> Vec<CommandId> {
        self.role = Role::Sole;
        self.unconfirmed.drain(..).map(|command| command.id).collect()
    }

    /// Whether this process accepts new connections; `is_ready` says whether it can serve them. A process without a
    /// predecessor accepts them before it is ready: their first requests wait.
    pub fn accepts_connections(&self, is_ready: bool) -> bool {
        match self.role {
            Role::Sole => true,
            Role::Predecessor { successor_serves, .. } => !successor_serves,
            Role::Successor { .. } => is_ready,
        }
    }

    /// How many connections this process may hold where both together may hold `total`.
    pub fn connection_limit(&self, total: ConnectionCounts) -> ConnectionCounts {
        match self.role {
            Role::Sole => total,
            Role::Predecessor { held, .. } => ConnectionCounts {
                clients: held.clients.max(MIN_CONNECTIONS).min(total.clients),
                members: (held.members + MEMBER_CONNECTION_SLACK).min(total.members),
            },
            Role::Successor { predecessor } => {
                let reserved_members = predecessor.members + MEMBER_CONNECTION_SLACK;
                ConnectionCounts {
                    clients: total.clients.saturating_sub(predecessor.clients).max(MIN_CONNECTIONS),
                    members: total.members.saturating_sub(reserved_members).max(MIN_CONNECTIONS),
                }
            }
        }
    }

    /// Registers an operator's command that the other process must confirm, and returns its id. `None` where the answer
    /// need not wait: there is no other process, or [`MAX_UNCONFIRMED`] commands wait already.
    pub fn register_command(&mut self, now: Micros) -> Option<CommandId> {
        if !self.has_peer() || self.unconfirmed.len() >= MAX_UNCONFIRMED {
            return None;
        }
        self.last_command += 1;
        let id = CommandId(self.last_command);
        self.unconfirmed.push_back(UnconfirmedCommand { id, deadline: now + CONFIRMATION_TIMEOUT });
        Some(id)
    }

    /// The other process applied a command. Returns whether the command was still waiting for that.
    pub fn confirm_command(&mut self, id: CommandId) -> bool {
        let waiting_before = self.unconfirmed.len();
        self.unconfirmed.retain(|command| command.id != id);
        self.unconfirmed.len() < waiting_before
    }

    /// Removes and returns the commands whose wait has timed out.
    pub fn expire_commands(&mut self, now: Micros) -> Vec<CommandId> {
        let expired = self.unconfirmed.iter().take_while(|command| command.deadline <= now).count();
        self.unconfirmed.drain(..expired).map(|command| command.id).collect()
    }

    /// The time from which [`Handover::expire_commands`] returns a command.
    pub fn next_deadline(&self) -> Option<Micros> {
        self.unconfirmed.front().map(|command| command.deadline)
    }
}
