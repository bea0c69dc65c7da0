//! The fleet's budgets where the settings ask for them: the socket, the thread, the bank where this proxy is one, and
//! the log of what they do.

use super::clock::Clock;
use super::error::{Component, StartError};
use async_executor::LocalExecutor;
use std::collections::BTreeMap;
use std::net::{SocketAddr, SocketAddrV4, UdpSocket};
use std::rc::Rc;
use wharfplank_budget::{
    BudgetId, BudgetKind, BudgetLimits, LeaseAllocator, LeaseHolder, LeaseTerms, TakeoverGuard,
};
use wharfplank_settings::Budgets as Settings;
use wharfplank_shared_state::hash_name;
use wharfplank_transport::budgets::{
    self, BudgetLogEvent, BudgetUsage, Budgets, BudgetsConfig, LeaseWorker, OwnAllocator,
};
use wharfplank_transport::Now;

/// Binds the socket and starts the thread and the serving side.
pub fn start(
    settings: &Settings,
    clock: Clock,
    executor: &LocalExecutor<'static>,
) -> Result<Rc<Budgets>, StartError> {
    let listen_error = StartError::component_listen(Component::Budgets, &settings.listen);
    let socket = UdpSocket::bind(settings.listen()).map_err(&listen_error)?;
    let SocketAddr::V4(bound) = socket.local_addr().map_err(&listen_error)? else {
        return Err(StartError::BudgetsNotIpv4(settings.listen.to_string()));
    };
    let me: SocketAddrV4 = settings.advertise().unwrap_or(bound);
    let skew = settings.clock_skew_ms * 1000;
    let (terms, wholes, banks) = (LeaseTerms::default(), wholes(settings), settings.banks());
    let gone: Vec<bool> = banks.iter().map(|bank| settings.gone().contains(bank)).collect();
    // Without banks there is nothing but even shares.
    let percent = if banks.is_empty() { 100 } else { settings.even };
    let even = wholes.static_quota(percent, settings.proxies);
    let now = clock.now() + skew;
    let place = banks.iter().position(|bank| *bank == me).filter(|place| !gone[*place]);
    let own_allocator = place.map(|place| {
        let before = gone[..place].iter().filter(|gone| !**gone).count() as u64;
        let live = gone.iter().filter(|gone| !**gone).count() as u64;
        let part = wholes.allocator_part(&even, settings.proxies, before, live);
        let allocator = LeaseAllocator::new(terms.clone(), part, now);
        let guard = TakeoverGuard::new(settings.set, place, &gone);
        OwnAllocator { index: place, allocator, guard }
    });
    // No other process had this number: its address, and when it started.
    let number = hash_name(&format!("{me} {} {}", clock.now(), std::process::id()));
    let holder =
        LeaseHolder::new(number, terms.clone(), banks.len(), Vec::new(), now).with_static_quotas(even);
    let settings_hash = hash_name(&format!("{} {} {percent}", wholes.canonical_text(), settings.proxies));
    let worker = LeaseWorker {
        socket,
        allocators: banks,
        own_allocator,
        terms,
        settings_hash,
        now: move || clock.now() + skew,
    };
    let now: Now = Rc::new(move || clock.now() + skew);
    let traces_usage = tracing::enabled!(tracing::Level::DEBUG);
    let config = BudgetsConfig {
        limits: wholes,
        holder,
        now,
        traces_usage,
        log: move |event: BudgetLogEvent<'_>| log_event(event, skew),
    };
    let budgets =
        budgets::start(worker, config, executor).map_err(StartError::component_start(Component::Budgets))?;
    tracing::info!(listen = %bound, advertise = %me, bank = place.is_some(), "budgets_started");
    Ok(budgets)
}

/// The budgets that the settings name.
fn wholes(settings: &Settings) -> BudgetLimits {
    let one = |kind: BudgetKind, whole: u64| (whole > 0).then_some((kind.budget(0), whole));
    let alone = [
        one(BudgetKind::Requests, settings.requests),
        one(BudgetKind::Retries, settings.retries),
        one(BudgetKind::DiscoveryCalls, settings.discovery),
    ];
    let tenants = settings
        .tenants()
        .into_iter()
        .map(|(group, whole)| (BudgetKind::TenantRequests.budget(group), whole));
    let own: BTreeMap<BudgetId, u64> = alone.into_iter().flatten().chain(tenants).collect();
    let each = [
        (BudgetKind::HealthChecks, settings.probes),
        (BudgetKind::NewConnections, settings.connects),
        (BudgetKind::OpenConnections, settings.held),
    ];
    BudgetLimits::new(own, each.into_iter().filter(|(_, whole)| *whole > 0).collect())
}

/// Times are told by the true clock, whatever the budgets' own is ahead.
fn log_event(event: BudgetLogEvent<'_>, skew: i64) {
    match event {
        BudgetLogEvent::Status { reachable_allocators, worker } => {
            tracing::info!(
                reached = reachable_allocators,
                leases = worker.is_allocating,
                holders = worker.holders,
                ignored = worker.ignored_requests,
                unread = worker.undecodable_datagrams,
                others = worker.foreign_datagrams,
                "budgets"
            );
        }
        BudgetLogEvent::Usage(kind, BudgetUsage { quota, spent, denied }) => {
            tracing::info!(kind = kind.name(), share = quota, spent, denied, "budget");
        }
        BudgetLogEvent::Leased { at, allocator, expires_at, amounts } => {
            let (at_us, ends_us) = (at - skew, expires_at - skew);
            tracing::debug!(at_us, bank = allocator, ends_us, what = amounts, "budget_leased");
        }
        BudgetLogEvent::Spent(what) => tracing::debug!(ahead_us = skew, what, "budget_spent"),
        BudgetLogEvent::InUse(what) => tracing::debug!(ahead_us = skew, what, "budget_held"),
        BudgetLogEvent::WorkerEnded => tracing::error!("budgets_ended"),
    }
}
