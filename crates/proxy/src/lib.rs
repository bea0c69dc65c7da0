//! The program: configuration, clock, broker and log.

mod broker;
mod budgets;
pub mod clock;
pub mod config;
mod counts;
mod fleet;
mod journal;
pub mod log;
mod missing;
mod release;
mod talk;

pub use broker::shutdown_timing;

use async_executor::LocalExecutor;
use async_io::Async;
use clock::Clock;
use config::Config;
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use wharfplank_admin::{ConnectionCounts, Metrics};
use wharfplank_discovery::{EndpointTracker, PollSchedule, SharedDiscovery};
use wharfplank_protocol::endpoint_list;
use wharfplank_settings::Settings;
use wharfplank_transport::admin::{Admin, PLACES};
use wharfplank_transport::client_listener::{self, ClientListener};
use wharfplank_transport::discovery::Watch;
use wharfplank_transport::{handover, member_pool, signals, ConnectionEndObserver, MemoryBudget, Now};

/// Events that may wait for the broker; past that connections wait.
const EVENTS: usize = 1024;
/// Descriptors kept for what there is but once: three standard streams, three of the reactor, two for signals, the
/// listener and a connection just accepted, three of discovery while one takes another's place, and a file that is read;
/// some clients beyond their places, and what the settings' own parts hold.
const RESERVED: usize = 24;
/// Descriptors kept for operators' calls, where they may call: their places and door, the next process's door, and
/// two of the link with it.
const RESERVED_ADMIN: usize = PLACES + 4;
/// Calls of operators that may wait for the broker.
const CALLS: usize = 2 * PLACES;
/// The part of the memory that large messages of clients may fill, and as much for those of members: a buffer
/// may double while it grows, and what is passed on is copied beside it.
const LARGE_PART: usize = 8;

/// What the fleet's thread may take to say farewell.
const FAREWELL: Duration = Duration::from_millis(300);

/// Serves until the process is asked to end.
pub fn run(mut config: Config, settings: &Settings) -> Result<(), String> {
    let signals = signals::register().map_err(|e| format!("signals: {e}"))?;
    // Only where operators call is a process replaced while it serves; elsewhere nothing else listens. One that takes
    // any free port replaces none, since nobody can tell whose port that was.
    let replaces = config.admin.is_some() && config.listen.port() != 0;
    let post = replaces.then(|| handover::path(config.listen));
    let mut inherited = post.as_deref().map_or(Ok(None), handover::ask).map_err(listens(config.listen))?;
    let listener = match inherited.as_ref() {
        Some(inherited) => inherited.socket().and_then(Async::new),
        None => handover::bind(config.listen, post.is_some()),
    };
    let listener = Rc::new(listener.map_err(listens(config.listen))?);
    let executor = Rc::new(LocalExecutor::new());
    let (events, received) = async_channel::bounded(EVENTS);
    log::started(listener.get_ref().local_addr().unwrap_or(config.listen));
    let ends: ConnectionEndObserver = Rc::new(log::ended);

    let clock = Clock::start();
    let now: Now = Rc::new(move || clock.now());
    let admin =
        config.admin.map(|at| handover::bind(at, false).map(|l| (at, l)).map_err(listens(at))).transpose()?;
    let reserved = RESERVED + if admin.is_some() { RESERVED_ADMIN } else { 0 };
    let sockets = config.sockets.saturating_sub(reserved).max(8);
    let to_clients = sockets * 6 / 10;
    let to_members = sockets - to_clients - client_listener::overflow_connections(to_clients);
    let budgets = settings.budgets.as_ref().map(|b| budgets::start(b, clock, &executor)).transpose()?;
    let shared = Rc::new(member_pool::PoolContext {
        executor: Rc::clone(&executor),
        on_connection_end: Rc::clone(&ends),
        connect_timeout: Duration::from_micros(config.terms.connect_timeout.max(1) as u64),
        idle_timeout: Duration::from_micros(config.terms.keepalive.max(1) as u64 * 6 / 10),
        max_connections: Cell::new(to_members),
        max_connections_per_member: (to_members / 4).max(1),
        open_connections: Cell::new(0),
        memory_budget: MemoryBudget::new(config.memory / LARGE_PART),
        allow_empty_result: settings.missing.is_some(),
        liveness_check_after: Cell::new(member_pool::CHECK_AFTER),
        now: Rc::clone(&now),
        metrics: Metrics::new(&config.terms.class_names),
        budgets: budgets.clone(),
    });
    let clients = ClientListener::new(
        Rc::clone(&executor),
        events.clone(),
        Rc::clone(&ends),
        to_clients,
        MemoryBudget::new(config.memory / LARGE_PART),
    );
    let schedule = PollSchedule::new(config.terms.drain_within);
    let shared_discovery =
        config.terms.poll_interval.filter(|_| config.settings.must_subscribe).map(|poll_interval| {
            SharedDiscovery { seed: config.settings.seed, poll_interval, proxies: config.settings.routers }
        });
    let schedule = shared_discovery.map_or(schedule, |shared| schedule.with_shared(shared));
    // What the process that is replaced believes is newer than what the file knows.
    let list = inherited
        .as_ref()
        .and_then(|inherited| endpoint_list::from_json(&inherited.state.endpoint_list).ok());
    config.known = list.unwrap_or(config.known);
    let tracker = EndpointTracker::new(schedule, &config.known, clock.now());
    let watch =
        Watch::start(Rc::clone(&executor), events.clone(), ends, now, tracker, config.discovery, budgets);
    let journal = journal::Journal::start(settings.records.as_ref(), &config, clock)?;
    let mut broker =
        broker::Broker::new(&config, clock, shared, Rc::clone(&clients), events.clone(), watch, journal);
    // Talk between proxies only where our settings ask for it: the platform's days forbid it.
    let mut farewell = None;
    if let Some(peers) = &settings.peers {
        let (replica, health) = (settings.replica.as_ref(), settings.health.is_some());
        let (witness, ended) =
            fleet::start(peers, replica, health, &config, clock, events.clone(), &executor)?;
        broker.enable_gossip(witness);
        farewell = Some(ended);
    }
    if let Some(missing) = &settings.missing {
        broker.enable_negative_cache(missing::Lookups::start(missing, &config, clock, &executor)?);
    }
    if let Some(release) = &settings.release {
        broker.enable_releases(release::Releases::start(release, &config, clock)?);
    }

    let (calls, operators) = async_channel::bounded(CALLS);
    if let Some((at, listener)) = admin {
        log::admin(listener.get_ref().local_addr().unwrap_or(at));
        executor.spawn(Admin::new(Rc::clone(&executor), calls).listen(listener)).detach();
    }
    if let Some(post) = post {
        let all = ConnectionCounts { clients: to_clients, members: to_members };
        broker.enable_handover(post, Rc::clone(&listener), all, inherited.take());
    }
    executor.spawn(Rc::clone(&clients).listen(listener)).detach();
    async_io::block_on(executor.run(async {
        let signals = executor.spawn(signals::forward(signals, events));
        broker.run(config.known, received, operators).await;
        signals.cancel().await;
        // The other proxies hear at once that this one is gone, and need not find out.
        if let Some(ended) = farewell {
            let late = async {
                async_io::Timer::after(FAREWELL).await;
            };
            futures_lite::future::or(ended, late).await;
        }
    }));
    Ok(())
}

fn listens(at: SocketAddr) -> impl Fn(std::io::Error) -> String {
    move |e| format!("listen on {at}: {e}")
}
