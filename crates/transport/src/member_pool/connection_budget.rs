//! The fleet's budget of connections to a member.

use super::MemberPool;

/// Connections beyond the share that the fleet's budget allows.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ConnectionExcess {
    /// Connections that are to be closed as soon as they are idle.
    pub over_quota: u64,
    /// Connections of these that must be closed now, even in use.
    pub overdue: u64,
}

impl MemberPool {
    /// Reserves one more connection in the fleet's budget. Returns false if the budget does not allow it.
    pub(super) fn reserve_connection(&self) -> bool {
        self.context.budgets.as_ref().is_none_or(|budgets| budgets.try_open_connection(&self.name))
    }

    /// Releases a connection that was closed or could not be opened, in the limit on all connections and in the
    /// fleet's budget.
    pub(super) fn release_reservation(&self) {
        let open = &self.context.open_connections;
        open.set(open.get() - 1);
        if let Some(budgets) = &self.context.budgets {
            budgets.release_connection(&self.name);
        }
    }

    /// The connections that the pool has beyond its share of the fleet's budget.
    pub fn excess(&self) -> ConnectionExcess {
        let Some(budgets) = &self.context.budgets else { return ConnectionExcess::default() };
        let excess = budgets.connection_excess(&self.name);
        ConnectionExcess { over_quota: excess.over_quota, overdue: excess.overdue }
    }
}

impl Drop for MemberPool {
    fn drop(&mut self) {
        if let Some(budgets) = &self.context.budgets {
            budgets.remove_member(&self.name);
        }
    }
}
