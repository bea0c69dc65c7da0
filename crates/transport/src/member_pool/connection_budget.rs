//! What the fleet's budgets have to say of connections to a member.

use super::MemberPool;

/// Connections beyond the share that the fleet's budget allows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionExcess {
    /// Connections that are to be closed as soon as they are idle.
    pub held: u64,
    /// Connections of these that must be closed now, even in use.
    pub overdue: u64,
}

impl MemberPool {
    /// Whether the fleet's budgets allow one more connection, which is then held.
    pub(super) fn may_open(&self) -> bool {
        self.shared.budgets.as_ref().is_none_or(|budgets| budgets.connect(&self.name))
    }

    /// The connections that the pool has beyond its share of the fleet's budget.
    pub fn excess(&self) -> ConnectionExcess {
        let budgets = self.shared.budgets.as_ref();
        let (held, overdue) = budgets.map_or((0, 0), |budgets| budgets.excess(&self.name));
        ConnectionExcess { held, overdue }
    }

    /// A connection is closed, or never came up.
    pub(super) fn closed(&self) {
        self.shared.open_connections.set(self.shared.open_connections.get() - 1);
        self.shared.budgets.iter().for_each(|budgets| budgets.let_go(&self.name));
    }
}

impl Drop for MemberPool {
    fn drop(&mut self) {
        self.shared.budgets.iter().for_each(|budgets| budgets.forget(&self.name));
    }
}
