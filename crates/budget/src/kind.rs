//! Budget kinds and budget identifiers.

use crate::BudgetId;

/// The low bits of a [`BudgetId`] identify the budget within its kind; the bits above them hold the kind.
const INSTANCE_BITS: u32 = 27;
const INSTANCE_MASK: u32 = (1 << INSTANCE_BITS) - 1;

/// The resource that a budget limits, in the order of the settings.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[repr(u8)]
pub enum BudgetKind {
    /// All requests, per second.
    Requests = 1,
    /// Requests of one tenant, per second.
    TenantRequests = 2,
    /// Attempts after the first one of a request, per second.
    Retries = 3,
    /// Health checks of one member, per second.
    HealthChecks = 4,
    /// New connections to one member, per second.
    NewConnections = 5,
    /// Open connections to one member.
    OpenConnections = 6,
    /// Calls to service discovery, per second.
    DiscoveryCalls = 7,
}

impl BudgetKind {
    /// All kinds, in the order of the settings.
    pub const ALL: [BudgetKind; 7] = [
        BudgetKind::Requests,
        BudgetKind::TenantRequests,
        BudgetKind::Retries,
        BudgetKind::HealthChecks,
        BudgetKind::NewConnections,
        BudgetKind::OpenConnections,
        BudgetKind::DiscoveryCalls,
    ];

    /// Returns the identifier of the budget of this kind for one member or tenant, which is given by the
    /// hash of its name or by its number. Two instances with the same low bits share one budget, which
    /// permits less than two budgets would, never more.
    pub fn budget(self, instance: u64) -> BudgetId {
        (self as u32) << INSTANCE_BITS | (instance as u32 & INSTANCE_MASK)
    }

    /// Returns the kind of a budget whose identifier [`BudgetKind::budget`] made.
    pub fn of(budget: BudgetId) -> Option<BudgetKind> {
        BudgetKind::ALL.into_iter().find(|kind| *kind as u32 == budget >> INSTANCE_BITS)
    }

    /// Returns whether a budget limits units held open at the same time, as opposed to units spent per
    /// second.
    pub fn is_concurrency(budget: BudgetId) -> bool {
        BudgetKind::of(budget) == Some(BudgetKind::OpenConnections)
    }

    /// Returns the name of the kind in the settings and the log.
    pub fn name(self) -> &'static str {
        match self {
            BudgetKind::Requests => "requests",
            BudgetKind::TenantRequests => "tenant",
            BudgetKind::Retries => "retries",
            BudgetKind::HealthChecks => "probes",
            BudgetKind::NewConnections => "connects",
            BudgetKind::OpenConnections => "held",
            BudgetKind::DiscoveryCalls => "discovery",
        }
    }

    /// Returns the name of the kind in
    /// [`BudgetLimits::canonical_text`](crate::BudgetLimits::canonical_text).
    pub(crate) fn canonical_name(self) -> &'static str {
        match self {
            BudgetKind::Requests => "Requests",
            BudgetKind::TenantRequests => "Tenant",
            BudgetKind::Retries => "Retries",
            BudgetKind::HealthChecks => "Probes",
            BudgetKind::NewConnections => "Connects",
            BudgetKind::OpenConnections => "Held",
            BudgetKind::DiscoveryCalls => "Discovery",
        }
    }
}
