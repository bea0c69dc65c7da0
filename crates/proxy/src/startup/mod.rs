//! Starts the components of the proxy, and runs it until shutdown.

mod descriptors;
mod sockets;

use crate::broker::Broker;
use crate::clock::Clock;
use crate::config::Config;
use crate::error::StartError;
use crate::log::ShutdownStep;
use crate::negative_cache_client::NegativeCacheClient;
use crate::recording::DecisionRecorder;
use crate::rollout::RolloutReporter;
use crate::{budgets, gossip, log};
use async_channel::{Receiver, Sender};
use async_executor::{LocalExecutor, Task};
use async_io::Async;
use descriptors::connection_limits;
use sockets::{AdminSocket, ClientSocket, ListeningSocket};
use std::cell::Cell;
use std::net::TcpListener;
use std::rc::Rc;
use std::time::Duration;
use wharfplank_admin::{ConnectionCounts, Metrics};
use wharfplank_discovery::{EndpointTracker, PollSchedule, SharedDiscovery};
use wharfplank_settings::Settings;
use wharfplank_transport::admin::{AdminCall, AdminListener, MAX_CONNECTIONS};
use wharfplank_transport::budgets::Budgets;
use wharfplank_transport::client_listener::ClientListener;
use wharfplank_transport::discovery::{DiscoveryWatch, WatchContext};
use wharfplank_transport::member_pool::{self, PoolContext};
use wharfplank_transport::{signals, ConnectionEndObserver, MemoryBudget, Now, ProxyEvent};

/// The capacity of the broker's event queue. Senders wait if it is full.
const EVENT_QUEUE: usize = 1024;
/// The capacity of the broker's queue of admin calls.
const ADMIN_QUEUE: usize = 2 * MAX_CONNECTIONS;
/// The divisor of the memory limit that gives the budget for large client messages; large member messages get
/// the same amount. The rest is needed because a buffer may double while it grows, and forwarded data is
/// copied.
const LARGE_MESSAGE_DIVISOR: usize = 8;
/// The maximum time for the gossip thread to announce that this process leaves.
const GOSSIP_LEAVE_TIMEOUT: Duration = Duration::from_millis(300);

/// Serves until a shutdown is requested.
///
/// # Errors
/// Returns an error if a socket, a thread or the recorder cannot be started. Nothing is served in that case.
pub fn run(config: Config, settings: &Settings) -> Result<(), StartError> {
    start_and_serve(config, settings)?;
    log::shutdown_completion(ShutdownStep::Finished);
    Ok(())
}

fn start_and_serve(mut config: Config, settings: &Settings) -> Result<(), StartError> {
    let signals = signals::register().map_err(StartError::Signals)?;
    let admin_socket = AdminSocket::open(&config)?;
    let client_socket = ClientSocket::open(&config)?;
    let (events, event_queue) = async_channel::bounded(EVENT_QUEUE);
    let context = Context::new(settings, events);
    config.initial_endpoints = client_socket.inherited_endpoints().unwrap_or(config.initial_endpoints);

    let limits = connection_limits(config.max_descriptors, admin_socket.is_some());
    let budgets = context.start_budgets()?;
    let pool_context = context.member_pool_context(&config, limits, budgets.clone());
    let clients = context.client_listener(&config, limits);
    let watch = context.watch_discovery(&config, budgets);
    let recorder = DecisionRecorder::start(settings.records.as_ref(), &config, context.clock)?;
    let mut broker = Broker::new(
        &config,
        context.clock,
        pool_context,
        Rc::clone(&clients),
        context.events.clone(),
        watch,
        recorder,
    );
    let gossip_end = context.start_gossip(&config, &mut broker)?;
    context.start_negative_cache(&config, &mut broker)?;
    context.start_rollout(&config, &mut broker)?;

    let admin_listener = admin_socket.map(AdminSocket::listen).transpose()?;
    // The operating system accepts clients from here on, so nothing after this may fail.
    let ListeningSocket { listener, handover_path, inherited } = client_socket.listen()?;
    let admin_calls = context.serve_admin(admin_listener);
    if !clients.measures_delivery() {
        log::delivery_unmeasured();
    }
    if let Some(path) = handover_path {
        broker.enable_handover(path, Rc::clone(&listener), limits, inherited);
    }
    context.executor.spawn(clients.listen(listener)).detach();

    let Context { executor, events, .. } = context;
    async_io::block_on(executor.run(async {
        let signals = executor.spawn(signals::forward(signals, events));
        broker.run(config.initial_endpoints, event_queue, admin_calls).await;
        signals.cancel().await;
        if let Some(gossip_end) = gossip_end {
            finish_gossip(gossip_end).await;
            log::shutdown_completion(ShutdownStep::GossipEnded);
        }
    }));
    Ok(())
}

/// Waits, for at most [`GOSSIP_LEAVE_TIMEOUT`], until this process has announced that it leaves, so that
/// other proxies need not detect it.
async fn finish_gossip(gossip_end: Task<()>) {
    let timeout = async {
        async_io::Timer::after(GOSSIP_LEAVE_TIMEOUT).await;
    };
    futures_lite::future::or(gossip_end, timeout).await;
}

/// The state shared by the startup steps.
struct Context<'a> {
    settings: &'a Settings,
    executor: Rc<LocalExecutor<'static>>,
    clock: Clock,
    now: Now,
    /// The broker's queue.
    events: Sender<ProxyEvent>,
    on_connection_end: ConnectionEndObserver,
}

impl<'a> Context<'a> {
    fn new(settings: &'a Settings, events: Sender<ProxyEvent>) -> Self {
        let clock = Clock::start();
        Context {
            settings,
            executor: Rc::new(LocalExecutor::new()),
            clock,
            now: Rc::new(move || clock.now()),
            events,
            on_connection_end: Rc::new(log::connection_ended),
        }
    }

    fn start_budgets(&self) -> Result<Option<Rc<Budgets>>, StartError> {
        let Some(settings) = &self.settings.budgets else { return Ok(None) };
        budgets::start(settings, self.clock, &self.executor).map(Some)
    }

    fn member_pool_context(
        &self,
        config: &Config,
        limits: ConnectionCounts,
        budgets: Option<Rc<Budgets>>,
    ) -> Rc<PoolContext> {
        Rc::new(PoolContext {
            executor: Rc::clone(&self.executor),
            on_connection_end: Rc::clone(&self.on_connection_end),
            connect_timeout: Duration::from_micros(config.parameters.connect_timeout.max(1) as u64),
            idle_timeout: Duration::from_micros(config.parameters.keepalive.max(1) as u64 * 6 / 10),
            max_connections: Cell::new(limits.members),
            max_connections_per_member: (limits.members / 4).max(1),
            open_connections: Cell::new(0),
            memory_budget: MemoryBudget::new(config.max_memory_bytes / LARGE_MESSAGE_DIVISOR),
            allow_empty_result: self.settings.negative_cache.is_some(),
            liveness_check_after: Cell::new(member_pool::MAX_LIVENESS_CHECK_AFTER),
            now: Rc::clone(&self.now),
            metrics: Metrics::new(&config.parameters.class_names),
            budgets,
        })
    }

    fn client_listener(&self, config: &Config, limits: ConnectionCounts) -> Rc<ClientListener> {
        ClientListener::new(
            Rc::clone(&self.executor),
            self.events.clone(),
            Rc::clone(&self.on_connection_end),
            limits.clients,
            MemoryBudget::new(config.max_memory_bytes / LARGE_MESSAGE_DIVISOR),
        )
    }

    fn watch_discovery(&self, config: &Config, budgets: Option<Rc<Budgets>>) -> DiscoveryWatch {
        let schedule = poll_schedule(config);
        let tracker = EndpointTracker::new(schedule, &config.initial_endpoints, self.clock.now());
        let watch_context = WatchContext {
            executor: Rc::clone(&self.executor),
            events: self.events.clone(),
            connection_end_observer: Rc::clone(&self.on_connection_end),
            now: Rc::clone(&self.now),
            budgets,
        };
        DiscoveryWatch::start(watch_context, tracker, config.discovery)
    }

    /// Starts gossip between proxies if the settings enable it. It is off by default, because the platform's
    /// scored runs forbid it. The returned task ends once this process has announced that it leaves.
    fn start_gossip(&self, config: &Config, broker: &mut Broker) -> Result<Option<Task<()>>, StartError> {
        let Some(gossip_settings) = &self.settings.gossip else { return Ok(None) };
        let (handle, ended) = gossip::start(
            gossip_settings,
            self.settings,
            config,
            self.clock,
            self.events.clone(),
            &self.executor,
        )?;
        broker.enable_gossip(handle);
        Ok(Some(ended))
    }

    fn start_negative_cache(&self, config: &Config, broker: &mut Broker) -> Result<(), StartError> {
        if let Some(settings) = &self.settings.negative_cache {
            broker.enable_negative_cache(NegativeCacheClient::start(
                settings,
                config,
                self.clock,
                &self.executor,
            )?);
        }
        Ok(())
    }

    fn start_rollout(&self, config: &Config, broker: &mut Broker) -> Result<(), StartError> {
        if let Some(settings) = &self.settings.rollout {
            broker.enable_rollout(RolloutReporter::start(settings, config, self.clock)?);
        }
        Ok(())
    }

    /// Serves operators if there is a socket for them, and returns the queue of their calls.
    fn serve_admin(&self, listener: Option<Async<TcpListener>>) -> Receiver<AdminCall> {
        let (calls, queue) = async_channel::bounded(ADMIN_QUEUE);
        if let Some(listener) = listener {
            if let Ok(address) = listener.get_ref().local_addr() {
                log::admin_listening(address);
            }
            let admin = AdminListener::new(Rc::clone(&self.executor), calls);
            self.executor.spawn(admin.accept_connections(listener)).detach();
        }
        queue
    }
}

/// Returns the schedule of discovery polls, at a shared pace if the settings limit the polls of all proxies
/// together.
fn poll_schedule(config: &Config) -> PollSchedule {
    let schedule = PollSchedule::new(config.parameters.drain_within);
    match config.parameters.poll_interval {
        Some(poll_interval) if config.settings.must_subscribe => schedule.with_shared(SharedDiscovery {
            seed: config.settings.seed,
            poll_interval,
            proxies: config.settings.routers,
        }),
        _ => schedule,
    }
}
