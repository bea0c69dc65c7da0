//! The fleet-wide budget of connections to a member.

use super::MemberPool;

/// The number of connections beyond this proxy's share of the fleet-wide budget.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ConnectionExcess {
    /// Connections to close as soon as they are idle.
    pub over_quota: u64,
    /// The part of `over_quota` that must be closed immediately, even if in use.
    pub overdue: u64,
}

impl MemberPool {
    /// Reserves a connection in the fleet-wide budget. Returns false if the budget is exhausted.
    pub(super) fn reserve_connection(&self) -> bool {
        self.context.budgets.as_ref().is_none_or(|budgets| budgets.try_open_connection(&self.name))
    }

    /// Releases the reservation of a connection that was closed or could not be opened, in the limit on all
    /// connections and in the fleet-wide budget.
    pub(super) fn release_reservation(&self) {
        let open = &self.context.open_connections;
        open.set(open.get() - 1);
        if let Some(budgets) = &self.context.budgets {
            budgets.release_connection(&self.name);
        }
    }

    /// Returns the number of connections beyond the pool's share of the fleet-wide budget.
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
