//! The broker's interface to the rollout service, which runs on its own thread. Once a second the broker
//! reports its observations of members without blocking, and receives the events of rollouts for the records.
//! Does nothing if the settings enable no rollouts.

pub mod observation;
mod setup;

use crate::clock::Clock;
use crate::config::Config;
use crate::error::{Component, StartError};
use crate::log;
use observation::{attempt_counts, member_view};
use std::collections::{BTreeMap, HashMap};
use std::path::PathBuf;
use wharfplank_admin::Cordons;
use wharfplank_protocol::endpoint_list::EndpointRecord;
use wharfplank_rollout::{AttemptCounts, FleetView, NodeId, RolloutService, ServiceEvent};
use wharfplank_routing::{self as routing, AttemptOutcome, ClassId, HostId, Micros};
use wharfplank_settings::RolloutSettings;
use wharfplank_transport::rollout::{self, RolloutContext, RolloutLogEvent};
use wharfplank_transport::socket::open;
use wharfplank_transport::worker::{RingReceiver, RingSender};

/// The maximum number of members whose attempts are counted. Above it members outside the inventory are
/// removed.
const MAX_COUNTED_MEMBERS: usize = 4096;

/// The channels to and from the service.
struct ServiceLink {
    views: RingSender<FleetView>,
    events: RingReceiver<ServiceEvent>,
    /// The ids of the inventory's members by name, and the names by id.
    node_ids: BTreeMap<String, NodeId>,
    node_names: BTreeMap<NodeId, String>,
}

/// The broker's interface to the rollout service.
#[derive(Default)]
pub struct RolloutReporter {
    service: Option<ServiceLink>,
    /// The latency objective of each class.
    latency_objectives: Vec<Micros>,
    attempts: HashMap<HostId, AttemptCounts>,
}

/// The broker's observations of members.
pub struct MemberObservations<'a, Views> {
    /// The endpoint list, by name.
    pub endpoints: &'a BTreeMap<String, EndpointRecord>,
    /// The operators' cordons.
    pub cordons: &'a Cordons,
    /// The router's ids of members, by name.
    pub host_ids: &'a HashMap<String, HostId>,
    /// The router's views of members.
    pub views: Views,
}

impl RolloutReporter {
    /// Binds the datagram socket and starts the thread of the service.
    pub fn start(settings: &RolloutSettings, config: &Config, clock: Clock) -> Result<Self, StartError> {
        let address = settings.listen();
        let socket =
            open::bind_udp(address).map_err(StartError::component_listen(Component::Rollout, address))?;
        log::rollout_started(socket.local_addr().unwrap_or(address.into()));
        let node_ids = setup::node_ids(settings);
        let node_names: BTreeMap<NodeId, String> =
            node_ids.iter().map(|(name, id)| (*id, name.clone())).collect();
        let setup = setup::service_setup(settings, &node_ids, clock);
        let logged_names = node_names.clone();
        let context = RolloutContext {
            socket,
            ledger_path: setup.identity.permit_server.and_then(|_| optional_path(&settings.ledger)),
            signal_path: optional_path(&settings.signal),
            now: move || clock.now(),
            log: move |event: RolloutLogEvent<'_>| log::rollout_event(&logged_names, &event),
        };
        let service = move |ledger| RolloutService::new(setup, ledger, clock.now());
        let (views, events) =
            rollout::start(context, service).map_err(StartError::component_start(Component::Rollout))?;
        Ok(RolloutReporter {
            service: Some(ServiceLink { views, events, node_ids, node_names }),
            latency_objectives: config.settings.classes.iter().map(|class| class.latency_objective).collect(),
            attempts: HashMap::new(),
        })
    }

    /// Handles an attempt of a class to a member, which ended `took` after it was sent.
    pub fn on_attempt_finished(
        &mut self,
        host: HostId,
        class: ClassId,
        took: Micros,
        outcome: AttemptOutcome,
    ) {
        if self.service.is_none() {
            return;
        }
        let objective = self.latency_objectives.get(class.0);
        let is_late = objective.is_some_and(|objective| took > *objective);
        let Some(counts) = attempt_counts(outcome, is_late) else { return };
        let sum = self.attempts.entry(host).or_default();
        *sum = sum.plus(&counts);
    }

    /// Reports the members to the service, and passes the events since the last call to `on_event`, with the
    /// names of the inventory's members.
    pub fn exchange<Views: Iterator<Item = routing::MemberView>>(
        &mut self,
        now: Micros,
        members: MemberObservations<'_, Views>,
        mut on_event: impl FnMut(&ServiceEvent, &BTreeMap<NodeId, String>),
    ) {
        let Some(service) = &mut self.service else { return };
        let views: HashMap<HostId, routing::MemberView> =
            members.views.map(|view| (view.host, view)).collect();
        let node_view = |(name, node_id): (&String, &NodeId)| {
            let endpoint = members.endpoints.get(name)?;
            let host = members.host_ids.get(name)?;
            let attempts = self.attempts.get(host).copied().unwrap_or_default();
            let is_cordoned = members.cordons.is_cordoned(name);
            Some((*node_id, member_view(endpoint, views.get(host), is_cordoned, attempts)))
        };
        let node_views = service.node_ids.iter().filter_map(node_view).collect();
        service.views.send(FleetView { at: now, members: node_views });
        while let Some(event) = service.events.try_recv() {
            on_event(&event, &service.node_names);
        }
        if self.attempts.len() > MAX_COUNTED_MEMBERS {
            let inventory: Vec<HostId> =
                service.node_ids.keys().filter_map(|name| members.host_ids.get(name).copied()).collect();
            self.attempts.retain(|host, _| inventory.contains(host));
        }
    }
}

/// Returns the path from the settings, or `None` for the value `no`.
fn optional_path(text: &str) -> Option<PathBuf> {
    (text != "no").then(|| PathBuf::from(text))
}
