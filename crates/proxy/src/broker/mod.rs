//! The broker: the single owner of the router and of the tables of requests, attempts and endpoints.
//!
//! It feeds the events of the I/O drivers to the router and carries out the router's actions. All of it runs
//! on one thread, in one event loop ([`Broker::run`]); each submodule implements one concern of that loop.

mod admin_calls;
mod attempt_table;
mod attempts;
mod budgets;
mod claims;
mod endpoint_table;
mod endpoints;
mod handover;
mod health_checks;
mod lifecycle;
mod maintenance;
mod negative_cache;
mod request_log;
mod request_table;
mod requests;
mod router_actions;
mod sent_writes;
mod shutdown;
pub mod shutdown_timing;
mod slow_start_log;
mod streaming;

use attempt_table::{AttemptKey, AttemptPolicy, AttemptTable};
use budgets::BudgetDenials;
use endpoint_table::{zone_id, EndpointTable};
use handover::HandoverController;
use lifecycle::Lifecycle;
use maintenance::MaintenanceTimers;
use request_table::RequestTable;
use sent_writes::SentWrites;
use slow_start_log::SlowStartLog;
use streaming::StreamingAttempts;

use super::activity_counts::ActivityCounts;
use super::clock::Clock;
use super::config::Config;
use super::gossip_client::GossipClient;
use super::negative_cache_client::NegativeCacheClient;
use super::recording::DecisionRecorder;
use super::rollout::RolloutReporter;
use async_channel::{Receiver, Sender};
use async_io::Timer;
use futures_lite::future;
use std::rc::Rc;
use std::time::Duration;
use wharfplank_protocol::endpoint_list::EndpointList;
use wharfplank_routing::settings::ProxyParameters;
use wharfplank_routing::{self as routing, Micros, Router};
use wharfplank_transport::admin::AdminCall;
use wharfplank_transport::client_listener::ClientListener;
use wharfplank_transport::discovery::DiscoveryWatch;
use wharfplank_transport::gossip::GossipHandle;
use wharfplank_transport::member_pool::PoolContext;
use wharfplank_transport::ProxyEvent;

/// The maximum time by which a log position may be ahead of this process's clock. Positions further ahead are
/// discarded as invalid, because all machines share one clock.
const MAX_POSITION_AHEAD: Micros = 50_000;

/// The reason for which the event loop woke up.
enum Wakeup {
    AdminCall(AdminCall),
    Event(ProxyEvent),
    EventsClosed,
    TimerExpired,
}

/// The event loop's state: the router, the tables and the handles of the I/O drivers.
pub struct Broker {
    clock: Clock,
    router: Router,
    parameters: ProxyParameters,
    attempt_policy: AttemptPolicy,
    /// The state shared by the connection pools of all members.
    pools: Rc<PoolContext>,
    clients: Rc<ClientListener>,
    /// The queue in which spawned tasks put their results; the event loop receives from it.
    events: Sender<ProxyEvent>,
    discovery: DiscoveryWatch,
    recorder: DecisionRecorder,
    counts: ActivityCounts,
    requests: RequestTable,
    sent_writes: SentWrites,
    attempts: AttemptTable,
    streaming: StreamingAttempts,
    endpoints: EndpointTable,
    lifecycle: Lifecycle,
    timers: MaintenanceTimers,
    budget_denials: BudgetDenials,
    /// Present if another process can take over from this one while it serves.
    handover: Option<HandoverController>,
    gossip: GossipClient,
    negative_cache: NegativeCacheClient,
    rollout: RolloutReporter,
    slow_start_log: SlowStartLog,
}

impl Broker {
    /// Creates a broker with empty tables. Gossip, the negative cache, rollouts and handover are disabled
    /// until the corresponding `enable_` method is called.
    pub fn new(
        config: &Config,
        clock: Clock,
        pools: Rc<PoolContext>,
        clients: Rc<ClientListener>,
        events: Sender<ProxyEvent>,
        discovery: DiscoveryWatch,
        recorder: DecisionRecorder,
    ) -> Self {
        let now = clock.now();
        Broker {
            clock,
            router: Router::new(config.settings.clone()),
            parameters: config.parameters.clone(),
            attempt_policy: AttemptPolicy::new(&config.settings),
            pools,
            clients,
            events,
            discovery,
            recorder,
            counts: ActivityCounts::new(),
            requests: RequestTable::default(),
            sent_writes: SentWrites::new(&config.settings.classes),
            attempts: AttemptTable::default(),
            streaming: StreamingAttempts::default(),
            endpoints: EndpointTable::default(),
            lifecycle: Lifecycle::new(now, config.settings.seed, config.parameters.connect_timeout),
            timers: MaintenanceTimers::new(now),
            budget_denials: BudgetDenials::default(),
            handover: None,
            gossip: GossipClient::new(&config.settings.classes),
            negative_cache: NegativeCacheClient::default(),
            rollout: RolloutReporter::default(),
            slow_start_log: SlowStartLog::default(),
        }
    }

    /// Enables reports of observed member behavior to the gossip thread.
    pub fn enable_gossip(&mut self, handle: GossipHandle) {
        self.gossip.connect(handle);
    }

    /// Enables reports of member states to the rollout service.
    pub fn enable_rollout(&mut self, rollout: RolloutReporter) {
        self.rollout = rollout;
    }

    /// Enables the negative cache: reads of missing keys are answered from it, and writes require a lease.
    pub fn enable_negative_cache(&mut self, negative_cache: NegativeCacheClient) {
        self.negative_cache = negative_cache;
    }

    /// Runs the event loop until the process is to exit, starting from the endpoint list `initial_endpoints`.
    pub async fn run(
        mut self,
        initial_endpoints: EndpointList,
        events: Receiver<ProxyEvent>,
        admin_calls: Receiver<AdminCall>,
    ) {
        self.start(initial_endpoints);
        loop {
            let wakeup = self.wait_for_wakeup(&events, &admin_calls).await;
            self.gossip.on_event_loop_turn(self.clock.now());
            match wakeup {
                Wakeup::AdminCall(call) => self.on_admin_call(call),
                Wakeup::Event(event) => self.on_event(event),
                Wakeup::EventsClosed => return,
                Wakeup::TimerExpired => {}
            }
            self.run_due_work();
            self.run_handover_timers();
            if self.can_exit() {
                return self.log_event_loop_end();
            }
        }
    }

    fn start(&mut self, initial_endpoints: EndpointList) {
        let mut actions = Vec::new();
        self.router.start(&mut actions);
        self.perform(self.clock.now(), actions);
        // The stored list may be outdated, but nothing newer is available yet, so it is treated as complete.
        self.apply_endpoint_list(EndpointList { complete: true, ..initial_endpoints });
        self.restore_inherited_observations();
    }

    /// Waits for the next admin call, event or timer. Admin calls take precedence, so that they are answered
    /// promptly even if many events are queued.
    async fn wait_for_wakeup(
        &self,
        events: &Receiver<ProxyEvent>,
        admin_calls: &Receiver<AdminCall>,
    ) -> Wakeup {
        let wait = Duration::from_micros((self.next_wakeup_at() - self.clock.now()).max(0) as u64);
        let timer = async {
            Timer::after(wait).await;
            Wakeup::TimerExpired
        };
        let event = async { events.recv().await.map_or(Wakeup::EventsClosed, Wakeup::Event) };
        let admin_call = async {
            match admin_calls.recv().await {
                Ok(call) => Wakeup::AdminCall(call),
                Err(_) => future::pending().await,
            }
        };
        future::or(admin_call, future::or(event, timer)).await
    }

    fn on_event(&mut self, event: ProxyEvent) {
        match event {
            ProxyEvent::RequestReceived(request) => self.on_client_request(*request),
            ProxyEvent::ClientDisconnected(number) => self.on_client_disconnected(number),
            ProxyEvent::RequestCancelled(number) => self.on_request_cancelled(number),
            ProxyEvent::AttemptFinished { id, attempt, report } => {
                self.on_attempt_report(AttemptKey::new(id, attempt), report);
            }
            ProxyEvent::ClaimRefused { id, attempt, decision } => {
                self.on_claim_refused(AttemptKey::new(id, attempt), decision);
            }
            ProxyEvent::StreamFinished { id, attempt, report } => {
                self.on_stream_finished(AttemptKey::new(id, attempt), report);
            }
            ProxyEvent::ProbeFinished { host, report } => self.on_health_check_result(host, report),
            ProxyEvent::StateUpdates(updates) => {
                let observations =
                    self.gossip.peer_observations(&updates, self.clock.now() + MAX_POSITION_AHEAD);
                self.notify_router(routing::Event::PeerObservations(observations));
            }
            ProxyEvent::EndpointsChanged { event, staleness } => self.on_watch_event(event, staleness),
            ProxyEvent::ZoneShares(shares) => {
                let shares = shares.iter().map(|(zone, share)| (zone_id(zone), *share)).collect();
                self.notify_router(routing::Event::ZoneReadShares(shares));
            }
            ProxyEvent::MemberFactors(factors) => {
                let factors = self.gossip.latency_factors(&factors);
                self.notify_router(routing::Event::LatencyFactors(factors));
            }
            ProxyEvent::Handover(event) => self.on_handover_event(event),
            ProxyEvent::ReloadRequested => self.reload_configuration(),
            ProxyEvent::ShutdownRequested => self.begin_shutdown(),
        }
    }
}
