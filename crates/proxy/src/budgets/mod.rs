//! Starts the fleet's budgets if the settings enable them: the datagram socket, the thread that exchanges
//! leases, and the lease allocator if this proxy runs one.

mod limits;

use crate::clock::Clock;
use crate::error::{Component, StartError};
use crate::log;
use async_executor::LocalExecutor;
use limits::budget_limits;
use std::net::{SocketAddr, SocketAddrV4, UdpSocket};
use std::rc::Rc;
use wharfplank_budget::{BudgetLimits, LeaseAllocator, LeaseHolder, LeaseTerms, TakeoverGuard};
use wharfplank_routing::Micros;
use wharfplank_settings::BudgetSettings;
use wharfplank_shared_state::hash_name;
use wharfplank_transport::budgets::{
    self as lease_worker, BudgetLogEvent, Budgets, BudgetsConfig, LeaseWorker, OwnAllocator,
};
use wharfplank_transport::socket::open;

/// The percentage of a budget that is divided statically if there are no allocators: all of it.
const FULL_PERCENT: u64 = 100;

/// Binds the socket, and starts the lease thread and the budgets of the serving thread.
pub fn start(
    settings: &BudgetSettings,
    clock: Clock,
    executor: &LocalExecutor<'static>,
) -> Result<Rc<Budgets>, StartError> {
    let (socket, bound) = bind(settings)?;
    let local_address: SocketAddrV4 = settings.advertise().unwrap_or(bound);
    let skew = settings.clock_skew_ms * 1000;
    let now = clock.now() + skew;

    let limits = budget_limits(settings);
    let terms = LeaseTerms::default();
    let allocators = settings.allocators();
    let static_percent = if allocators.is_empty() { FULL_PERCENT } else { settings.even_percent };
    let static_quotas = limits.static_quota(static_percent, settings.max_proxies);
    let own_allocator = own_allocator(settings, local_address, &limits, &static_quotas, now);
    let is_allocator = own_allocator.is_some();

    // The holder id must be unique, so it is derived from the address, the start time and the process id.
    let process = hash_name(&format!("{local_address} {} {}", clock.now(), std::process::id()));
    let holder = LeaseHolder::new(process, terms.clone(), allocators.len(), Vec::new(), now)
        .with_static_quotas(static_quotas);
    let settings_hash =
        hash_name(&format!("{} {} {static_percent}", limits.canonical_text(), settings.max_proxies));
    let worker = LeaseWorker {
        socket,
        allocators,
        own_allocator,
        terms,
        settings_hash,
        now: move || clock.now() + skew,
    };
    let budgets_config = BudgetsConfig {
        limits,
        holder,
        now: Rc::new(move || clock.now() + skew),
        traces_usage: tracing::enabled!(tracing::Level::DEBUG),
        log: move |event: BudgetLogEvent<'_>| log::budget_event(event, skew),
    };
    let budgets = lease_worker::start(worker, budgets_config, executor)
        .map_err(StartError::component_start(Component::Budgets))?;
    log::budgets_started(bound, local_address, is_allocator);
    Ok(budgets)
}

/// Returns the allocator that this proxy runs, if the settings contain its address and do not list it as
/// removed. The active allocators divide the part of the budgets that is not assigned statically.
fn own_allocator(
    settings: &BudgetSettings,
    local_address: SocketAddrV4,
    limits: &BudgetLimits,
    static_quotas: &BudgetLimits,
    now: Micros,
) -> Option<OwnAllocator> {
    let allocators = settings.allocators();
    let removed = settings.removed_allocators();
    let is_removed: Vec<bool> = allocators.iter().map(|allocator| removed.contains(allocator)).collect();
    let index = allocators.iter().position(|allocator| *allocator == local_address)?;
    if is_removed[index] {
        return None;
    }
    let active_count = |removed: &[bool]| removed.iter().filter(|is_removed| !**is_removed).count() as u64;
    let active_before = active_count(&is_removed[..index]);
    let part =
        limits.allocator_part(static_quotas, settings.max_proxies, active_before, active_count(&is_removed));
    let allocator = LeaseAllocator::new(LeaseTerms::default(), part, now);
    let guard = TakeoverGuard::new(settings.allocator_set_version, index, &is_removed);
    Some(OwnAllocator { index, allocator, guard })
}

fn bind(settings: &BudgetSettings) -> Result<(UdpSocket, SocketAddrV4), StartError> {
    let listen_error = StartError::component_listen(Component::Budgets, &settings.listen);
    let socket = open::bind_udp(settings.listen()).map_err(&listen_error)?;
    match socket.local_addr().map_err(&listen_error)? {
        SocketAddr::V4(bound) => Ok((socket, bound)),
        SocketAddr::V6(_) => Err(StartError::BudgetsNotIpv4(settings.listen.clone())),
    }
}
