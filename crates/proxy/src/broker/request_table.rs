//! The table of open requests, indexed by the router's request id, the client listener's request number and
//! the client's id.

use std::collections::{HashMap, HashSet};
use std::rc::Rc;
use wharfplank_protocol::pipeline::RequestNumber;
use wharfplank_routing::{AttemptOutcome, ClassId, GroupId, HostId, Micros, RequestId, SessionKey};
use wharfplank_transport::client_connection::ResponseWriter;
use wharfplank_transport::Statement;

/// A request without a final response.
pub(super) struct OpenRequest {
    pub(super) number: RequestNumber,
    /// The id that the client assigned to the request.
    pub(super) client_id: String,
    pub(super) statement: Rc<Statement>,
    /// Writes the final response.
    pub(super) responses: Rc<ResponseWriter>,
    /// The number of attempts that the router has ordered.
    pub(super) attempts: u32,
    pub(super) class: ClassId,
    pub(super) group: GroupId,
    pub(super) session: Option<SessionKey>,
    /// The key that the request reads or writes, if the negative cache needs it.
    pub(super) touched_key: Option<wharfplank_negative_cache::Lookup>,
    pub(super) arrived_at: Micros,
    pub(super) deadline: Micros,
    /// Whether the write was claimed from the other proxies.
    pub(super) is_claimed: bool,
    /// The outcomes of the attempts if the log counts requests; at most `max_attempts` entries.
    pub(super) attempt_outcomes: Vec<AttemptOutcomeAt>,
}

/// The outcome of an attempt and its member.
#[derive(Clone, Copy)]
pub(super) struct AttemptOutcomeAt {
    pub(super) host: HostId,
    pub(super) outcome: AttemptOutcome,
}

/// All open requests.
#[derive(Default)]
pub(super) struct RequestTable {
    requests: HashMap<RequestId, OpenRequest>,
    ids_by_number: HashMap<RequestNumber, RequestId>,
    client_ids: HashSet<String>,
}

impl RequestTable {
    /// Reserves the id that a client assigned to a request; returns false if another open request has it.
    pub(super) fn reserve_client_id(&mut self, client_id: &str) -> bool {
        self.client_ids.insert(client_id.to_string())
    }

    /// Adds a request whose client id has been reserved.
    pub(super) fn insert(&mut self, id: RequestId, request: OpenRequest) {
        self.ids_by_number.insert(request.number, id);
        self.requests.insert(id, request);
    }

    /// Removes a request from all indexes.
    pub(super) fn remove(&mut self, id: RequestId) -> Option<OpenRequest> {
        let request = self.requests.remove(&id)?;
        self.ids_by_number.remove(&request.number);
        self.client_ids.remove(&request.client_id);
        Some(request)
    }

    pub(super) fn get(&self, id: RequestId) -> Option<&OpenRequest> {
        self.requests.get(&id)
    }

    pub(super) fn get_mut(&mut self, id: RequestId) -> Option<&mut OpenRequest> {
        self.requests.get_mut(&id)
    }

    pub(super) fn contains(&self, id: RequestId) -> bool {
        self.requests.contains_key(&id)
    }

    pub(super) fn id_of(&self, number: RequestNumber) -> Option<RequestId> {
        self.ids_by_number.get(&number).copied()
    }

    pub(super) fn len(&self) -> usize {
        self.requests.len()
    }

    pub(super) fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }
}
