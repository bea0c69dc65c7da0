//! Converts the settings to the limit of each budget.

use std::collections::BTreeMap;
use wharfplank_budget::{BudgetId, BudgetKind, BudgetLimits};
use wharfplank_settings::BudgetSettings;

/// Returns the limits of the fleet. A limit of 0 disables the budget.
pub(super) fn budget_limits(settings: &BudgetSettings) -> BudgetLimits {
    let fleet_wide = [
        (BudgetKind::Requests, settings.requests),
        (BudgetKind::Retries, settings.retries),
        (BudgetKind::DiscoveryCalls, settings.discovery_polls),
    ];
    let fleet_wide =
        fleet_wide.into_iter().filter(|(_, limit)| *limit > 0).map(|(kind, limit)| (kind.budget(0), limit));
    let tenants = settings
        .tenants()
        .into_iter()
        .map(|tenant| (BudgetKind::TenantRequests.budget(tenant.group), tenant.requests));
    let limits: BTreeMap<BudgetId, u64> = fleet_wide.chain(tenants).collect();
    let per_member = [
        (BudgetKind::HealthChecks, settings.health_checks),
        (BudgetKind::NewConnections, settings.new_connections),
        (BudgetKind::OpenConnections, settings.open_connections),
    ];
    BudgetLimits::new(limits, per_member.into_iter().filter(|(_, limit)| *limit > 0).collect())
}
