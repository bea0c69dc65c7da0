//! Starts the fleet's budgets where the settings ask for them: the datagram socket, the thread that exchanges leases, and
//! the lease allocator where this proxy is one.

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

/// The percentage of a budget that is handed out statically where there are no allocators to lease the rest: all of it.
const ALL_PERCENT: u64 = 100;

/// Binds the socket and starts the thread and the serving side.
pub fn start(
    settings: &BudgetSettings,
    clock: Clock,
    executor: &LocalExecutor<'static>,
) -> Result<Rc<Budgets>, StartError> {
    let (socket, bound) = bind(settings)?;
    let me: SocketAddrV4 = settings.advertise().unwrap_or(bound);
    let skew = settings.clock_skew_ms * 1000;
    let now = clock.now() + skew;

    let limits = budget_limits(settings);
    let terms = LeaseTerms::default();
    let allocators = settings.allocators();
    let static_percent = if allocators.is_empty() { ALL_PERCENT } else { settings.even_percent };
    let static_quotas = limits.static_quota(static_percent, settings.max_proxies);
    let own_allocator = own_allocator(settings, me, &limits, &static_quotas, now);
    let is_allocator = own_allocator.is_some();

    // The id of the process is unique: it is made of its address and of when it started.
    let process = hash_name(&format!("{me} {} {}", clock.now(), std::process::id()));
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
    log::budgets_started(bound, me, is_allocator);
    Ok(budgets)
}

/// The allocator that this proxy runs, where the settings name its address and do not list it as removed. The live
/// allocators divide what is not handed out statically.
fn own_allocator(
    settings: &BudgetSettings,
    me: SocketAddrV4,
    limits: &BudgetLimits,
    static_quotas: &BudgetLimits,
    now: Micros,
) -> Option<OwnAllocator> {
    let allocators = settings.allocators();
    let removed = settings.removed_allocators();
    let is_removed: Vec<bool> = allocators.iter().map(|allocator| removed.contains(allocator)).collect();
    let index = allocators.iter().position(|allocator| *allocator == me)?;
    if is_removed[index] {
        return None;
    }
    let live_count = |removed: &[bool]| removed.iter().filter(|is_removed| !**is_removed).count() as u64;
    let live_before = live_count(&is_removed[..index]);
    let part =
        limits.allocator_part(static_quotas, settings.max_proxies, live_before, live_count(&is_removed));
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
