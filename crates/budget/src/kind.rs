//! The kinds of budgets, and the numbers of single budgets.

use crate::BudgetId;

/// The low bits of a budget's number tell which one of its kind it is; the kind is above them.
const INSTANCE_BITS: u32 = 27;
const INSTANCE_MASK: u32 = (1 << INSTANCE_BITS) - 1;

/// What is limited, in the order of the settings.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[repr(u8)]
pub enum BudgetKind {
    /// Requests a second, in all.
    Requests = 1,
    /// Requests a second of one tenant.
    TenantRequests = 2,
    /// Attempts a second beyond the first of their requests.
    Retries = 3,
    /// Health checks a second of one member.
    HealthChecks = 4,
    /// New connections a second to one member.
    NewConnections = 5,
    /// Connections held open to one member.
    OpenConnections = 6,
    /// Calls to service discovery a second.
    DiscoveryCalls = 7,
}

impl BudgetKind {
    /// All kinds.
    pub const ALL: [BudgetKind; 7] = [
        BudgetKind::Requests,
        BudgetKind::TenantRequests,
        BudgetKind::Retries,
        BudgetKind::HealthChecks,
        BudgetKind::NewConnections,
        BudgetKind::OpenConnections,
        BudgetKind::DiscoveryCalls,
    ];

    /// The number of the budget of this kind for one member or tenant, which is given by the hash of its name or by its
    /// number. Two instances with the same low bits share one budget, which allows less and never more.
    pub fn budget(self, instance: u64) -> BudgetId {
        (self as u32) << INSTANCE_BITS | (instance as u32 & INSTANCE_MASK)
    }

    /// The kind of a budget that [`BudgetKind::budget`] numbered.
    pub fn of(budget: BudgetId) -> Option<BudgetKind> {
        BudgetKind::ALL.into_iter().find(|kind| *kind as u32 == budget >> INSTANCE_BITS)
    }

    /// Whether a budget limits what is held open at a time, not what is done in a second.
    pub fn is_concurrency(budget: BudgetId) -> bool {
        BudgetKind::of(budget) == Some(BudgetKind::OpenConnections)
    }

    /// The kind's name in the settings and the log.
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

    /// The kind's name in [`BudgetLimits::canonical_text`](crate::BudgetLimits::canonical_text).
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
