//! The broker's interface to the negative cache. Determines which reads it may answer and which writes it
//! tracks, and stores the positions that members have reported. Does nothing if the settings enable no
//! negative cache.

mod member_positions;
mod request_kind;

use crate::clock::Clock;
use crate::config::Config;
use crate::error::{Component, StartError};
use crate::log;
use async_executor::LocalExecutor;
use member_positions::MemberPositions;
use request_kind::{RequestKind, RequestKinds};
use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use wharfplank_negative_cache::{Freshness, KeyHasher, Lookup, NegativeCacheConfig, Node, WriteId};
use wharfplank_protocol::endpoint_list::EndpointRecord;
use wharfplank_protocol::member_response::{MemberResponse, ResponseKind};
use wharfplank_routing::{AttemptOutcome, ClassId, Consistency, GroupId, HostId, Micros, RequestId};
use wharfplank_settings::NegativeCacheSettings;
use wharfplank_shared_state::hash_name;
use wharfplank_transport::negative_cache;
use wharfplank_transport::socket::open;
use wharfplank_transport::{Now, Statement};

/// The reason for which an attempt of a write must not be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum WriteDenied {
    /// This process holds no write lease.
    #[error("no write lease is held")]
    NoLease,
    /// The table of writes in flight is full.
    #[error("too many writes are in flight")]
    TooManyWrites,
}

/// The state of an enabled cache.
struct ActiveCache {
    node: Rc<RefCell<Node>>,
    hasher: KeyHasher,
    request_kinds: RequestKinds,
}

/// The broker's interface to the negative cache.
#[derive(Default)]
pub struct NegativeCacheClient {
    cache: Option<ActiveCache>,
    members: MemberPositions,
    /// Attempts of writes in flight; bounded by the number of attempts.
    writes: HashMap<(RequestId, u32), WriteId>,
}

impl NegativeCacheClient {
    /// Binds the datagram socket and starts the cache's task.
    pub fn start(
        settings: &NegativeCacheSettings,
        config: &Config,
        clock: Clock,
        executor: &LocalExecutor<'static>,
    ) -> Result<Self, StartError> {
        let address = settings.listen();
        let socket = open::bind_udp(address)
            .map_err(StartError::component_listen(Component::NegativeCache, address))?;
        let cache_config = NegativeCacheConfig {
            max_clock_skew: settings.max_clock_skew_ms * 1000,
            max_commit_delay: settings.max_commit_delay_ms * 1000,
            max_frequent_entries: settings.max_entries,
            ..NegativeCacheConfig::default()
        };
        let now = clock.now();
        let hasher = KeyHasher::from_passphrase(&settings.secret);
        // The holder id must be unique, so it is derived from the address, the start time and the process id.
        let holder = hash_name(&format!("{address} {now} {}", std::process::id()));
        let node = Node::new(cache_config, hasher.clone(), address, settings.lease_servers(), holder, now);
        let node = Rc::new(RefCell::new(node));
        let cache_now: Now = Rc::new(move || clock.now());
        negative_cache::start(Rc::clone(&node), socket, cache_now, log::negative_cache_stats, executor)
            .map_err(StartError::component_start(Component::NegativeCache))?;
        let request_kinds = RequestKinds::new(settings, config);
        let cache = Some(ActiveCache { node, hasher, request_kinds });
        Ok(NegativeCacheClient { cache, ..NegativeCacheClient::default() })
    }

    fn request_kind(&self, class: ClassId) -> RequestKind {
        self.cache.as_ref().map_or(RequestKind::Other, |cache| cache.request_kinds.of(class))
    }

    /// Returns the key that a request reads or writes, if it is relevant to the cache.
    pub fn lookup_for(
        &self,
        class: ClassId,
        group: GroupId,
        key: Option<&str>,
        statement: &Statement,
    ) -> Option<Lookup> {
        let hasher = &self.cache.as_ref()?.hasher;
        let primary = self.members.primary(group);
        let lookup = |key: &[u8], primary: u32| Lookup::new(hasher, group.0, statement.body(), key, primary);
        match (self.request_kind(class), key) {
            (RequestKind::Read(_), Some(key)) => Some(lookup(key.as_bytes(), primary?)),
            (RequestKind::Write { is_keyed: true }, Some(key)) => {
                Some(lookup(key.as_bytes(), primary.unwrap_or(0)))
            }
            (RequestKind::Write { .. }, _) => {
                let group_lookup = lookup(b"", primary.unwrap_or(0));
                Some(Lookup { key: group_lookup.whole_group, ..group_lookup })
            }
            _ => None,
        }
    }

    /// Returns the cached response to a read of a key that is known to be missing, if it is as fresh as the
    /// read requires. `min_position_ms` is the position of its session, in Unix milliseconds.
    pub fn answer(
        &self,
        now: Micros,
        class: ClassId,
        lookup: &Lookup,
        min_position_ms: Option<i64>,
    ) -> Option<Vec<u8>> {
        let RequestKind::Read(consistency) = self.request_kind(class) else { return None };
        let min_position = min_position_ms.map(|position_ms| position_ms.saturating_mul(1000));
        let freshness = match consistency {
            Consistency::Any => Freshness::Any,
            Consistency::BoundedStaleness(bound) => Freshness::MaxStaleness(bound),
            Consistency::Session => Freshness::Session(min_position),
            Consistency::Strong | Consistency::Write => Freshness::Latest,
        };
        let answer = self.cache.as_ref()?.node.borrow_mut().lookup(now, lookup, freshness)?;
        Some(answer.to_vec())
    }

    /// Returns whether a request of this class may be sent now: writes need a lease.
    pub fn may_send(&self, now: Micros, class: ClassId) -> bool {
        let Some(cache) = &self.cache else { return true };
        let is_write = matches!(self.request_kind(class), RequestKind::Write { .. });
        !is_write || cache.node.borrow().write_leases.can_write(now)
    }

    /// Registers an attempt that is about to be sent. Returns the time by which its last byte must be
    /// written, if there is such a limit.
    pub fn begin_attempt(
        &mut self,
        now: Micros,
        attempt: (RequestId, u32),
        class: ClassId,
        lookup: Option<&Lookup>,
    ) -> Result<Option<Micros>, WriteDenied> {
        let (Some(cache), RequestKind::Write { .. }, Some(lookup)) =
            (&self.cache, self.request_kind(class), lookup)
        else {
            return Ok(None);
        };
        let mut node = cache.node.borrow_mut();
        let lease_end = node.write_leases.expires_at().filter(|end| now < *end);
        let lease_end = lease_end.ok_or(WriteDenied::NoLease)?;
        let write = node.writes.begin(now, vec![lookup.key]).ok_or(WriteDenied::TooManyWrites)?;
        self.writes.insert(attempt, write);
        Ok(Some(lease_end))
    }

    /// Handles the end of an attempt.
    pub fn on_attempt_finished(&mut self, now: Micros, attempt: (RequestId, u32), outcome: AttemptOutcome) {
        let (Some(cache), Some(write)) = (&self.cache, self.writes.remove(&attempt)) else { return };
        let writes = &mut cache.node.borrow_mut().writes;
        match outcome {
            AttemptOutcome::Ok | AttemptOutcome::Overloaded | AttemptOutcome::Misrouted => {
                writes.on_answered(now, write);
            }
            AttemptOutcome::ConnectFailed | AttemptOutcome::NotSent => writes.on_not_executed(write),
            // An error may be an unreadable response from a member that is still executing the write.
            AttemptOutcome::Error
            | AttemptOutcome::Timeout
            | AttemptOutcome::Reset
            | AttemptOutcome::Cancelled => writes.on_in_doubt(now, write),
        }
    }

    /// Handles the response to a read from a member that had reported `position` before the read was sent.
    pub fn on_read_answered(
        &self,
        now: Micros,
        class: ClassId,
        lookup: &Lookup,
        position: Option<Micros>,
        response: &MemberResponse,
    ) {
        let (Some(cache), RequestKind::Read(_)) = (&self.cache, self.request_kind(class)) else { return };
        match (response.kind, position) {
            (ResponseKind::NoRow, Some(position)) if self.members.is_primary(lookup.primary) => {
                cache.node.borrow_mut().record_missing(now, lookup, position, &response.messages);
            }
            (ResponseKind::Row, _) => cache.node.borrow_mut().record_present(lookup),
            _ => {}
        }
    }

    /// Handles a response from a member with its position, or without one.
    pub fn on_position(&mut self, host: HostId, position: Option<Micros>) {
        if let Some(position) = position {
            self.members.on_position(host, position);
        }
    }

    /// Returns the newest position that a member has reported since its start.
    pub fn position(&self, host: HostId) -> Option<Micros> {
        self.members.position(host)
    }

    /// Adds or updates a member from its record in the endpoint list.
    pub fn on_endpoint(&mut self, host: HostId, endpoint: &EndpointRecord) {
        if self.cache.is_some() {
            self.members.on_endpoint(host, endpoint);
        }
    }

    /// Removes the members for which `is_known` returns false.
    pub fn retain(&mut self, is_known: impl Fn(&HostId) -> bool) {
        self.members.retain(is_known);
    }

    /// Ends the use of write leases: notifies the lease servers that they need not wait for this process.
    pub fn shut_down(&self) {
        if let Some(cache) = &self.cache {
            cache.node.borrow_mut().write_leases.shut_down();
        }
    }
}
