//! The broker's side of releases: what it makes of members goes to the release's thread once a second, without waiting,
//! and what was done in releases comes back for the records. Where the settings do not ask for it every call does
//! nothing.

use super::clock::Clock;
use super::config::Config;
use super::error::{Component, StartError};
use super::log;
use std::collections::{BTreeMap, HashMap};
use std::net::UdpSocket;
use std::path::PathBuf;
use wharfplank_admin::Cordons;
use wharfplank_protocol::endpoint_list::{EndpointHealth, EndpointRecord};
use wharfplank_rollout::{
    AttemptCounts, DisruptionBudget, FleetView, Inventory, MemberView, Node, NodeKind, PeerIdentity,
    RolloutConfig, RolloutService, ServiceEvent, ServiceSetup,
};
use wharfplank_routing::{self as routing, AttemptOutcome, ClassId, HostId, Micros};
use wharfplank_settings::{Release as ReleaseSettings, Undo};
use wharfplank_shared_state::hash_name;
use wharfplank_transport::release::{self, Parts};
use wharfplank_transport::worker::{RingReceiver, RingSender};

/// Members whose sums are kept at most; past that those that are not in the roster go.
const TRIALS_MOST: usize = 4096;

struct On {
    views: RingSender<FleetView>,
    notes: RingReceiver<ServiceEvent>,
    /// The roster's members by name.
    ids: BTreeMap<String, u64>,
    names: BTreeMap<u64, String>,
}

/// The broker's side.
#[derive(Default)]
pub struct Releases {
    on: Option<On>,
    aims: Vec<Micros>,
    trials: HashMap<HostId, AttemptCounts>,
}

impl Releases {
    /// Binds the socket and starts the thread.
    pub fn start(settings: &ReleaseSettings, config: &Config, clock: Clock) -> Result<Releases, StartError> {
        let at = settings.listen();
        let socket = UdpSocket::bind(at).map_err(StartError::component_listen(Component::Rollout, at))?;
        log::release_bound(socket.local_addr().unwrap_or(at.into()));
        let ids: BTreeMap<String, u64> =
            settings.members.iter().map(|member| (member.name.clone(), hash_name(&member.name))).collect();
        let names: BTreeMap<u64, String> = ids.iter().map(|(name, id)| (*id, name.clone())).collect();
        let identity = identity(settings, clock);
        let agent =
            |m: &wharfplank_settings::ReleaseMember| Some((*ids.get(&m.name)?, m.agent.parse().ok()?));
        let setup = ServiceSetup {
            identity,
            inventory: inventory(settings),
            config: rollout_config(settings),
            proxies: settings.proxies(),
            agents: settings.members.iter().filter_map(agent).collect(),
        };
        let path = |text: &str| (text != "no").then(|| PathBuf::from(text));
        let shown = names.clone();
        let parts = Parts {
            socket,
            ledger: identity.permit_server.and_then(|_| path(&settings.ledger)),
            signal: path(&settings.signal),
            now: move || clock.now(),
            say: move |told: release::Told<'_>| log::release(&shown, &told),
        };
        let service = move |ledger| RolloutService::new(setup, ledger, clock.now());
        let (views, notes) =
            release::start(parts, service).map_err(StartError::component_start(Component::Rollout))?;
        let aims = config.settings.classes.iter().map(|class| class.latency_objective).collect();
        Ok(Releases { on: Some(On { views, notes, ids, names }), aims, trials: HashMap::new() })
    }

    /// An attempt ended so long after it was sent.
    pub fn ended(&mut self, host: HostId, class: ClassId, took: Micros, ending: AttemptOutcome) {
        if self.on.is_none() {
            return;
        }
        let late = self.aims.get(class.0).is_some_and(|aim| took > *aim);
        let Some(trial) = trial(ending, late) else { return };
        let sum = self.trials.entry(host).or_default();
        *sum = sum.plus(&trial);
    }

    /// Tells the thread what the broker makes of members now, and hands over what was done in releases since.
    pub fn tell(
        &mut self,
        now: Micros,
        listed: &BTreeMap<String, EndpointRecord>,
        cordons: &Cordons,
        hosts: &HashMap<String, HostId>,
        views: impl Iterator<Item = routing::MemberView>,
        mut note: impl FnMut(&ServiceEvent, &BTreeMap<u64, String>),
    ) {
        let Some(on) = &mut self.on else { return };
        let views: HashMap<HostId, routing::MemberView> = views.map(|view| (view.host, view)).collect();
        let look = |(name, id): (&String, &u64)| {
            let (host, number) = (listed.get(name)?, hosts.get(name)?);
            let trial = self.trials.get(number).copied().unwrap_or_default();
            Some((*id, look(host, views.get(number), cordons.is_cordoned(name), trial)))
        };
        let members = on.ids.iter().filter_map(look).collect();
        on.views.send(FleetView { at: now, members });
        while let Some(event) = on.notes.try_recv() {
            note(&event, &on.names);
        }
        if self.trials.len() > TRIALS_MOST {
            let known: Vec<HostId> = on.ids.keys().filter_map(|name| hosts.get(name).copied()).collect();
            self.trials.retain(|host, _| known.contains(host));
        }
    }
}

/// What an attempt's end tells of its member; one that this proxy ended tells nothing.
fn trial(ending: AttemptOutcome, late: bool) -> Option<AttemptCounts> {
    let (refused, late) = match ending {
        AttemptOutcome::Ok => (false, late),
        AttemptOutcome::Misrouted => (false, false),
        AttemptOutcome::Overloaded
        | AttemptOutcome::Error
        | AttemptOutcome::Timeout
        | AttemptOutcome::Reset
        | AttemptOutcome::ConnectFailed => (true, false),
        AttemptOutcome::Cancelled | AttemptOutcome::NotSent => return None,
    };
    Some(AttemptCounts { answered: 1, failed: refused.into(), late: late.into() })
}

/// A listed member, as the list has it, the router sees it and operators say. The list's launch is taken, not the
/// one that a cordon's end gives it.
fn look(
    listed: &EndpointRecord,
    view: Option<&routing::MemberView>,
    cordoned: bool,
    trial: AttemptCounts,
) -> MemberView {
    MemberView {
        incarnation: listed.started_at_ms.max(0) as u64,
        healthy: listed.health != EndpointHealth::Removed
            && view.is_some_and(|view| view.suspected_since.is_none()),
        primary: view.is_some_and(|view| view.primary),
        draining: listed.health == EndpointHealth::Draining,
        cordoned,
        attempts: trial,
    }
}

fn identity(settings: &ReleaseSettings, clock: Clock) -> PeerIdentity {
    // No other process had this number: its address, its rank, and when it started.
    let number =
        hash_name(&format!("{} {} {} {}", settings.listen, settings.rank, clock.now(), std::process::id()));
    PeerIdentity { rank: settings.rank.into(), process: number, permit_server: settings.bank() }
}

fn rollout_config(settings: &ReleaseSettings) -> RolloutConfig {
    RolloutConfig {
        ready_timeout: settings.ready_within_s * 1_000_000,
        soak_time: settings.watch_s * 1_000_000,
        automatic_rollback: settings.undo == Undo::Yes,
        max_attempts: settings.tries,
        ..RolloutConfig::default()
    }
}

fn inventory(settings: &ReleaseSettings) -> Inventory {
    let node = |member: &wharfplank_settings::ReleaseMember| Node {
        id: hash_name(&member.name),
        group: member.group,
        zone: hash_name(&member.zone) as u32,
        kind: NodeKind::Member,
    };
    let ReleaseSettings { group, zone, fleet, banks, .. } = *settings;
    let budget = DisruptionBudget { per_group: group, per_zone: zone, fleet, permit_servers: banks };
    Inventory::new(settings.members.iter().map(node).collect(), budget)
}

#[cfg(test)]
mod tests {
    use super::*;
    use wharfplank_routing::GroupId;

    fn host(health: EndpointHealth) -> EndpointRecord {
        let (name, site) = ("m1".to_string(), "a".to_string());
        EndpointRecord { name, address: None, zone: site, group: 1, health, started_at_ms: 7, primary: false }
    }

    fn view(suspected: Option<Micros>) -> routing::MemberView {
        let (host, group) = (HostId(1), GroupId(1));
        let (primary, active) = (true, true);
        routing::MemberView {
            host,
            group,
            primary,
            active,
            position: 0,
            position_seen_at: 0,
            suspected_since: suspected,
            in_flight: 0,
            traits: routing::LearnedTraits::default(),
        }
    }

    /// Guards against a member that counts as well though the list lacks it or the router suspects it, and against a
    /// drain that counts as a failure: it is a cause of its own.
    #[test]
    fn a_member_is_well_where_it_is_listed_and_not_suspected() {
        let of = |health, view: Option<&routing::MemberView>| {
            look(&host(health), view, false, AttemptCounts::default())
        };
        assert!(of(EndpointHealth::Active, Some(&view(None))).healthy);
        assert!(!of(EndpointHealth::Active, Some(&view(Some(5)))).healthy);
        assert!(!of(EndpointHealth::Removed, Some(&view(None))).healthy);
        assert!(!of(EndpointHealth::Active, None).healthy);
        let drained = of(EndpointHealth::Draining, Some(&view(None)));
        assert!(drained.healthy && drained.draining && drained.primary && drained.incarnation == 7);
    }

    #[test]
    fn attempts_that_this_proxy_ended_tell_nothing_of_their_member() {
        let of = |ending, late| trial(ending, late).map(|t| (t.answered, t.failed, t.late));
        assert_eq!(of(AttemptOutcome::Ok, false), Some((1, 0, 0)));
        assert_eq!(of(AttemptOutcome::Ok, true), Some((1, 0, 1)));
        assert_eq!(of(AttemptOutcome::Timeout, true), Some((1, 1, 0)));
        assert_eq!(of(AttemptOutcome::Overloaded, false), Some((1, 1, 0)));
        assert_eq!(of(AttemptOutcome::Misrouted, true), Some((1, 0, 0)));
        assert_eq!(of(AttemptOutcome::Cancelled, true), None);
        assert_eq!(of(AttemptOutcome::NotSent, true), None);
    }
}
