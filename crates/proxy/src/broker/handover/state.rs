//! The state that an old process hands over to its successor.

use crate::broker::Broker;
use wharfplank_admin::{ConnectionCounts, HandoverState, MemberKnowledge, MemberTraits};
use wharfplank_protocol::endpoint_list::{self, EndpointList};
use wharfplank_routing::{self as routing, MemberView, Micros, ObservationSource, PeerObservation};

impl Broker {
    /// Reports to the router the observations of members inherited from the predecessor.
    pub(in crate::broker) fn restore_inherited_observations(&mut self) {
        let Some(handover) = &mut self.handover else { return };
        let inherited = std::mem::take(&mut handover.inherited_observations);
        let now = self.clock.now();
        let observations = inherited.into_iter().filter_map(|member| {
            Some(PeerObservation {
                source: ObservationSource::Predecessor,
                host: *self.endpoints.ids.get(&member.id)?,
                position: member.position,
                suspected_at: member.suspected_at,
                traits: member.traits.map(|traits| traits.to_learned(now)),
            })
        });
        let observations: Vec<PeerObservation> = observations.collect();
        if !observations.is_empty() {
            self.notify_router(routing::Event::PeerObservations(observations));
        }
    }

    /// Notifies the router that sessions may have committed writes at the other process of a handover up to
    /// `now`. The two processes act as one proxy: a session must read at one what it wrote at the other.
    pub(in crate::broker) fn report_peer_sessions(&mut self, now: Micros) {
        if self.handover.as_ref().is_some_and(|handover| handover.state.has_peer()) {
            self.route(now, routing::Event::SessionsCommittedElsewhere(now));
        }
    }

    /// Returns the initial state of the new process: the endpoint list, the cordons, the knowledge of
    /// members, and the connections that this process holds.
    pub(super) fn handover_state(&self, open_connections: ConnectionCounts) -> HandoverState {
        let cordons = &self.endpoints.cordons;
        HandoverState {
            version: wharfplank_admin::handover::PROTOCOL_VERSION,
            endpoint_list: endpoint_list::to_json(&EndpointList {
                version: self.endpoints.version,
                complete: true,
                endpoints: self.endpoints.records.values().cloned().collect(),
            }),
            cordoned: cordons.cordoned().map(str::to_string).collect(),
            uncordoned_at: cordons.uncordoned_at().map(|(id, at)| (id.to_string(), at)).collect(),
            members: self.member_knowledge(),
            connections: open_connections,
        }
    }

    fn member_knowledge(&self) -> Vec<MemberKnowledge> {
        let names = self.endpoints.names_by_id();
        let learned = |view: MemberView| {
            Some(MemberKnowledge {
                id: names.get(&view.host)?.to_string(),
                position: view.position,
                suspected_at: view.suspected_since.unwrap_or(0),
                traits: Some(MemberTraits::from(view.traits)),
            })
        };
        self.router.member_views().filter_map(learned).collect()
    }
}
