//! The state that an old process hands over to the new one.

use crate::broker::Broker;
use wharfplank_admin::{ConnectionCounts, HandoverState, MemberKnowledge, MemberTraits};
use wharfplank_protocol::endpoint_list::{self, EndpointList};
use wharfplank_routing::{self as routing, MemberView, Micros, PeerObservation};

impl Broker {
    /// Tells the router what the process before this one had learned of members.
    pub(in crate::broker) fn restore_inherited_observations(&mut self) {
        let Some(handover) = &mut self.handover else { return };
        let inherited = std::mem::take(&mut handover.inherited_observations);
        let now = self.clock.now();
        let observations = inherited.into_iter().filter_map(|member| {
            Some(PeerObservation {
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

    /// Tells the router that sessions may have written at the other process of a handover until now, if there is one.
    /// The two are one proxy, and what a session wrote at one it reads at the other.
    pub(in crate::broker) fn note_sessions_of_peer(&mut self, now: Micros) {
        if self.handover.as_ref().is_some_and(|handover| handover.state.has_peer()) {
            self.route(now, routing::Event::SessionsCommittedElsewhere(now));
        }
    }

    /// What the new process starts from: the endpoint list, the cordons, what is known of members, and the connections
    /// that this process holds.
    pub(super) fn handover_state(&self, holds: ConnectionCounts) -> HandoverState {
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
            members: self.learned_of_members(),
            connections: holds,
        }
    }

    fn learned_of_members(&self) -> Vec<MemberKnowledge> {
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
