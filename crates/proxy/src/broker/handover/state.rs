//! The state that an old process hands over to the new one.

use super::*;
use wharfplank_admin::{State, Ways};
use wharfplank_protocol::endpoint_list;
use wharfplank_routing::{Told, View};

impl Broker {
    /// Tells the router what the process before this one had learned of members.
    pub(in crate::broker) fn restore_inherited_observations(&mut self) {
        let Some(handover) = &mut self.handover else { return };
        let inherited = std::mem::take(&mut handover.inherited_observations);
        let now = self.clock.now();
        let observations = inherited.into_iter().filter_map(|member| {
            Some(Told {
                host: *self.endpoints.ids.get(&member.id)?,
                position: member.position,
                suspected_at: member.suspected_at,
                traits: member.ways.map(|ways| ways.traits(now)),
            })
        });
        let observations: Vec<Told> = observations.collect();
        if !observations.is_empty() {
            self.notify_router(routing::Event::Told(observations));
        }
    }

    /// What the new process starts from: the endpoint list, the cordons, what is known of members, and the connections
    /// that this process holds.
    pub(super) fn handover_state(&self, holds: Holds) -> State {
        let cordons = &self.endpoints.cordons;
        State {
            version: wharfplank_admin::succession::VERSION,
            list: endpoint_list::to_json(&EndpointList {
                version: self.endpoints.version,
                complete: true,
                endpoints: self.endpoints.records.values().cloned().collect(),
            }),
            out: cordons.out().map(str::to_string).collect(),
            back: cordons.back().map(|(id, at)| (id.to_string(), at)).collect(),
            learned: self.learned_of_members(),
            holds,
        }
    }

    fn learned_of_members(&self) -> Vec<Learned> {
        let names = self.endpoints.names_by_id();
        let learned = |view: View| {
            Some(Learned {
                id: names.get(&view.host)?.to_string(),
                position: view.position,
                suspected_at: view.suspected.unwrap_or(0),
                ways: Some(Ways::of(view.traits)),
            })
        };
        self.router.view().filter_map(learned).collect()
    }
}
