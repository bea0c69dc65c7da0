//! The state of the model: the real permit server, controllers that follow its rules, members, and the
//! messages in flight.

use std::collections::{BTreeMap, BTreeSet};
use wharfplank_rollout::{
    DisruptionBudget, Incarnation, Inventory, Micros, Node, NodeId, NodeKind, NodeObservation, Permit,
    PermitLedger, PermitRequest, PermitResponse, PermitReturn, PermitServer, RestartOrder, RolloutConfig,
    RolloutId,
};

pub const MEMBERS: usize = 2;
pub const CONTROLLERS: usize = 2;
pub const ROLLOUT: RolloutId = RolloutId { started_ms: 1, started_by: 1 };

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Message {
    Request(PermitRequest),
    Response(PermitResponse),
    Order(RestartOrder),
    Return(PermitReturn),
    Observation(NodeId, NodeObservation),
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Member {
    pub incarnation: Incarnation,
    pub up: bool,
    /// Whether the member served when an order ended its incarnation.
    pub out_by_order: bool,
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Controller {
    pub last_request: u64,
    pub last_response: u64,
    pub permits: BTreeMap<NodeId, Permit>,
    pub ordered: BTreeSet<u64>,
    pub returned: BTreeMap<NodeId, u64>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct State {
    pub server: PermitServer,
    pub controllers: Vec<Controller>,
    pub members: Vec<Member>,
    pub in_flight: Vec<Message>,
    pub requests: u32,
    pub observations: Micros,
    pub network_faults: u32,
    pub crashes: u32,
    pub server_restarts: u32,
    pub returns: u32,
}

pub fn inventory() -> Inventory {
    let node = |id| Node { id, group: id as u32, zone: 0, kind: NodeKind::Proxy };
    let budget = DisruptionBudget { per_group: 1, per_zone: 1, fleet: 1, permit_servers: 1 };
    Inventory::new((0..MEMBERS as NodeId).map(node).collect(), budget)
}

pub fn server(ledger: Option<PermitLedger>) -> PermitServer {
    PermitServer::new(0, inventory(), RolloutConfig::default(), ledger)
}

impl Controller {
    fn on_response(&mut self, response: &PermitResponse) {
        if response.request <= self.last_response {
            return;
        }
        self.last_response = response.request;
        let returned = &self.returned;
        let is_valid = |permit: &&Permit| {
            permit.shared || returned.get(&permit.id).is_none_or(|sequence| permit.sequence > *sequence)
        };
        self.permits = response.held.iter().filter(is_valid).map(|permit| (permit.id, *permit)).collect();
    }
}

impl Member {
    fn on_order(&mut self, order: &RestartOrder) {
        if self.incarnation == order.incarnation && !(order.only_if_down && self.up) {
            self.incarnation = order.incarnation + 1;
            self.out_by_order |= self.up;
            self.up = false;
        }
    }
}

impl State {
    pub fn deliver(&mut self, message: &Message) {
        match message {
            Message::Request(request) => {
                let response = self.server.on_request(self.observations, request);
                self.in_flight.extend(response.map(Message::Response));
            }
            Message::Response(response) => {
                self.controllers[response.holder as usize].on_response(response);
            }
            Message::Order(order) => self.members[order.id as usize].on_order(order),
            Message::Return(returned) => self.server.on_return(returned),
            Message::Observation(id, observation) => {
                self.server.on_observation(self.observations, *id, *observation);
            }
        }
    }

    pub fn out_by_order(&self) -> usize {
        self.members.iter().filter(|member| !member.up && member.out_by_order).count()
    }
}
