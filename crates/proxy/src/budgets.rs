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
use wharfplank_settings::BudgetSettings as Settings;
use wharfplank_shared_state::hash_name;
use wharfplank_transport::budgets::{Budgets, Figure, Said, Setup, RING};
use wharfplank_transport::{worker, Now};

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
    let (terms, wholes, banks) = (LeaseTerms::default(), wholes(settings), settings.allocators());
    let gone: Vec<bool> = banks.iter().map(|bank| settings.removed_allocators().contains(bank)).collect();
    // Without banks there is nothing but even shares.
    let percent = if banks.is_empty() { 100 } else { settings.even_percent };
    let even = wholes.static_quota(percent, settings.max_proxies);
    let now = clock.now() + skew;
    let place = banks.iter().position(|bank| *bank == me).filter(|place| !gone[*place]);
    let bank = place.map(|place| {
        let before = gone[..place].iter().filter(|gone| !**gone).count() as u64;
        let live = gone.iter().filter(|gone| !**gone).count() as u64;
        let part = wholes.allocator_part(&even, settings.max_proxies, before, live);
        (
            place,
            LeaseAllocator::new(terms.clone(), part, now),
            TakeoverGuard::new(settings.allocator_set_version, place, &gone),
        )
    });
    // No other process had this number: its address, and when it started.
    let number = hash_name(&format!("{me} {} {}", clock.now(), std::process::id()));
    let holder =
        LeaseHolder::new(number, terms.clone(), banks.len(), Vec::new(), now).with_static_quotas(even);
    let figures = hash_name(&format!("{} {} {percent}", wholes.canonical_text(), settings.max_proxies));
    let setup = Setup { socket, banks, bank, terms, figures, now: move || clock.now() + skew };
    let rings = worker::start("budgets", RING, move |asks, told| setup.work(asks, told));
    let rings = rings.map_err(StartError::component_start(Component::Budgets))?;
    let now_of: Now = Rc::new(move || clock.now() + skew);
    let notes = tracing::enabled!(tracing::Level::DEBUG);
    tracing::info!(listen = %bound, advertise = %me, bank = place.is_some(), "budgets_started");
    Ok(Budgets::start(wholes, holder, rings, now_of, notes, move |said| tell(said, skew), executor))
}

/// The budgets that the settings name.
fn wholes(settings: &Settings) -> BudgetLimits {
    let one = |kind: BudgetKind, whole: u64| (whole > 0).then_some((kind.budget(0), whole));
    let alone = [
        one(BudgetKind::Requests, settings.requests),
        one(BudgetKind::Retries, settings.retries),
        one(BudgetKind::DiscoveryCalls, settings.discovery_polls),
    ];
    let tenants = settings
        .tenants()
        .into_iter()
        .map(|tenant| (BudgetKind::TenantRequests.budget(tenant.group), tenant.requests));
    let own: BTreeMap<BudgetId, u64> = alone.into_iter().flatten().chain(tenants).collect();
    let each = [
        (BudgetKind::HealthChecks, settings.health_checks),
        (BudgetKind::NewConnections, settings.new_connections),
        (BudgetKind::OpenConnections, settings.open_connections),
    ];
    BudgetLimits::new(own, each.into_iter().filter(|(_, whole)| *whole > 0).collect())
}

/// Times are told by the true clock, whatever the budgets' own is ahead.
fn tell(said: Said<'_>, skew: i64) {
    match said {
        Said::Reached { reached, done } => {
            let (leases, holders, ignored) = (done.leases, done.holders, done.ignored);
            let (unread, others) = (done.unread, done.others);
            tracing::info!(reached, leases, holders, ignored, unread, others, "budgets");
        }
        Said::Figure(kind, Figure { share, spent, denied }) => {
            tracing::info!(kind = kind.name(), share, spent, denied, "budget");
        }
        Said::Leased { at, bank, ends, what } => {
            let (at_us, ends_us) = (at - skew, ends - skew);
            tracing::debug!(at_us, bank, ends_us, what, "budget_leased");
        }
        Said::Spent(what) => tracing::debug!(ahead_us = skew, what, "budget_spent"),
        Said::Held(what) => tracing::debug!(ahead_us = skew, what, "budget_held"),
        Said::Ended => tracing::error!("budgets_ended"),
    }
}
