//! The hand-over from an old process to a new one: the predecessor and its successor act as one proxy until
//! the predecessor has exited. [`Handover`] decides which process accepts connections, how many connections
//! each may hold, and when a cordon has been applied in both. It does no I/O; times are microseconds on the
//! caller's clock.

mod message;

pub use message::{
    HandoverMessage, HandoverState, MemberKnowledge, MemberTraits, MAX_CONCURRENCY_LIMIT, PROTOCOL_VERSION,
};

use serde::{Deserialize, Serialize};
use std::collections::VecDeque;
use wharfplank_routing::Micros;

/// How long an operator command waits for the other process to apply it, in microseconds. Operators are
/// promised an answer within 1 s.
pub const CONFIRMATION_TIMEOUT: Micros = 500_000;
/// The maximum number of commands that wait for the other process.
pub const MAX_UNCONFIRMED: usize = 64;
/// Connections of each kind that a process may always hold, whatever the other holds: without any it cannot
/// serve.
const MIN_CONNECTIONS: usize = 4;
/// Member connections that the predecessor may open beyond those that it held, for requests that are in
/// flight.
const MEMBER_CONNECTION_SLACK: usize = 4;

/// The id of an operator command that one process sends to the other.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct CommandId(pub u64);

/// Numbers of connections, either open or allowed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConnectionCounts {
    /// Connections from clients.
    pub clients: usize,
    /// Connections to members.
    pub members: usize,
}

/// The role of this process in a hand-over.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Role {
    /// No hand-over is in progress.
    #[default]
    Sole,
    /// Another process replaces this one. `held` counts the connections at the start of the hand-over.
    Predecessor { held: ConnectionCounts, successor_serves: bool },
    /// This process replaces another one. `predecessor` counts the connections that the other holds.
    Successor { predecessor: ConnectionCounts },
}

/// A command that the other process has not confirmed yet.
#[derive(Clone, Copy, Debug)]
struct UnconfirmedCommand {
    id: CommandId,
    deadline: Micros,
}

/// The hand-over state of one of the two processes.
#[derive(Debug, Default)]
pub struct Handover {
    role: Role,
    last_command: u64,
    /// Sorted by deadline.
    unconfirmed: VecDeque<UnconfirmedCommand>,
}

impl Handover {
    /// Creates the state of a process that replaces another one, which holds these connections.
    pub fn successor_of(predecessor: ConnectionCounts) -> Self {
        Handover { role: Role::Successor { predecessor }, ..Handover::default() }
    }

    /// Returns whether a hand-over with another process is in progress.
    pub fn has_peer(&self) -> bool {
        self.role != Role::Sole
    }

    /// Returns whether this process is being replaced. If so, it reports its connections to its successor.
    pub fn is_predecessor(&self) -> bool {
        matches!(self.role, Role::Predecessor { .. })
    }

    /// Begins the hand-over to another process that requested it, while this one holds these connections.
    /// Returns `false` and changes nothing if this process already takes part in a hand-over.
    pub fn begin(&mut self, held: ConnectionCounts) -> bool {
        if self.has_peer() {
            return false;
        }
        self.role = Role::Predecessor { held, successor_serves: false };
        true
    }

    /// Notes that the successor accepts connections from now on.
    pub fn on_successor_serving(&mut self) {
        if let Role::Predecessor { successor_serves, .. } = &mut self.role {
            *successor_serves = true;
        }
    }

    /// Updates the number of connections that the predecessor holds.
    pub fn on_predecessor_connections(&mut self, held: ConnectionCounts) {
        if let Role::Successor { predecessor } = &mut self.role {
            *predecessor = held;
        }
    }

    /// Ends the hand-over after the other process has exited. Returns the commands that waited for its
    /// confirmation.
    pub fn on_peer_lost(&mut self) -> Vec<CommandId> {
        self.role = Role::Sole;
        self.unconfirmed.drain(..).map(|command| command.id).collect()
    }

    /// Returns whether this process accepts new connections; `is_ready` tells whether it can serve them. A
    /// process without a predecessor accepts connections before it is ready: their first requests wait.
    pub fn accepts_connections(&self, is_ready: bool) -> bool {
        match self.role {
            Role::Sole => true,
            Role::Predecessor { successor_serves, .. } => !successor_serves,
            Role::Successor { .. } => is_ready,
        }
    }

    /// Returns how many connections this process may hold if both together may hold `total`.
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

    /// Registers an operator command that the other process must confirm, and returns its id. Returns `None`
    /// if the answer need not wait: there is no other process, or [`MAX_UNCONFIRMED`] commands already wait.
    pub fn register_command(&mut self, now: Micros) -> Option<CommandId> {
        if !self.has_peer() || self.unconfirmed.len() >= MAX_UNCONFIRMED {
            return None;
        }
        self.last_command += 1;
        let id = CommandId(self.last_command);
        self.unconfirmed.push_back(UnconfirmedCommand { id, deadline: now + CONFIRMATION_TIMEOUT });
        Some(id)
    }

    /// Handles the other process's confirmation of a command. Returns whether the command was still waiting
    /// for it.
    pub fn confirm_command(&mut self, id: CommandId) -> bool {
        let waiting_before = self.unconfirmed.len();
        self.unconfirmed.retain(|command| command.id != id);
        self.unconfirmed.len() < waiting_before
    }

    /// Removes and returns the commands whose confirmation has timed out.
    pub fn expire_commands(&mut self, now: Micros) -> Vec<CommandId> {
        let expired = self.unconfirmed.iter().take_while(|command| command.deadline <= now).count();
        self.unconfirmed.drain(..expired).map(|command| command.id).collect()
    }

    /// Returns the earliest time at which [`Handover::expire_commands`] returns a command.
    pub fn next_deadline(&self) -> Option<Micros> {
        self.unconfirmed.front().map(|command| command.deadline)
    }
}
