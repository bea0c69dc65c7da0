//! The broker's side of what is known to be missing: which reads it may answer, which writes it notes, and the
//! positions that members told. Where the settings do not ask for it every call does nothing.

use super::clock::Clock;
use super::config::Config;
use super::error::{Component, StartError};
use super::log;
use async_executor::LocalExecutor;
use std::cell::RefCell;
use std::collections::HashMap;
use std::net::UdpSocket;
use std::rc::Rc;
use wharfplank_negative_cache::{Freshness, KeyHasher, Lookup, NegativeCacheConfig, Node, WriteId};
use wharfplank_protocol::endpoint_list::EndpointRecord;
use wharfplank_protocol::member_response::{MemberResponse, ResponseKind};
use wharfplank_routing::{AttemptOutcome, ClassId, Consistency, GroupId, HostId, Micros, RequestId};
use wharfplank_settings::NegativeCacheSettings as MissingSettings;
use wharfplank_shared_state::hash_name;
use wharfplank_transport::negative_cache;
use wharfplank_transport::{Now, Statement};

/// What a class's requests are to this.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Kind {
    Other,
    /// A read of one key, as new as this.
    Read(Consistency),
    /// A write, of one key or of who knows which.
    Write {
        keyed: bool,
    },
}

/// A member as it was last heard: positions are of one launch.
struct Site {
    born_ms: i64,
    position: Micros,
}

struct On {
    node: Rc<RefCell<Node>>,
    hasher: KeyHasher,
    kinds: Vec<Kind>,
}

/// The broker's side.
#[derive(Default)]
pub struct Lookups {
    on: Option<On>,
    /// Each group's primary as the list has it, by a hash of the member and its launch.
    primaries: HashMap<GroupId, u32>,
    /// Bounded as the broker's names are.
    sites: HashMap<HostId, Site>,
    /// Attempts of writes that are out; bounded as attempts are.
    writes: HashMap<(RequestId, u32), WriteId>,
}

impl Lookups {
    /// Binds the socket and starts the driver.
    pub fn start(
        settings: &MissingSettings,
        config: &Config,
        clock: Clock,
        executor: &LocalExecutor<'static>,
    ) -> Result<Lookups, StartError> {
        let at = settings.listen();
        let socket =
            UdpSocket::bind(at).map_err(StartError::component_listen(Component::NegativeCache, at))?;
        let fleet_config = NegativeCacheConfig {
            max_clock_skew: settings.max_clock_skew_ms * 1000,
            max_commit_delay: settings.max_commit_delay_ms * 1000,
            max_frequent_entries: settings.max_entries,
            ..NegativeCacheConfig::default()
        };
        let (now, hasher) = (clock.now(), KeyHasher::from_passphrase(&settings.secret));
        // No other process had this number: its address, and when it started.
        let holder = hash_name(&format!("{at} {now} {}", std::process::id()));
        let node = Node::new(fleet_config, hasher.clone(), at, settings.lease_servers(), holder, now);
        let node = Rc::new(RefCell::new(node));
        let now_of: Now = Rc::new(move || clock.now());
        let start =
            negative_cache::start(Rc::clone(&node), socket, now_of, log::negative_cache_stats, executor);
        start.map_err(StartError::component_start(Component::NegativeCache))?;
        let is = |names: &str, name: &str| names.split(' ').any(|n| n == name);
        let kinds = config.terms.class_names.iter().zip(&config.settings.classes).map(|(name, class)| {
            match class.consistency {
                Consistency::Write => Kind::Write { keyed: is(&settings.write_classes, name) },
                need if is(&settings.read_classes, name) => Kind::Read(need),
                _ => Kind::Other,
            }
        });
        let kinds = kinds.collect();
        Ok(Lookups { on: Some(On { node, hasher, kinds }), ..Lookups::default() })
    }

    fn kind(&self, class: ClassId) -> Kind {
        self.on.as_ref().and_then(|on| on.kinds.get(class.0)).copied().unwrap_or(Kind::Other)
    }

    /// What a request asks for or touches, where that matters.
    pub fn asked(
        &self,
        class: ClassId,
        group: GroupId,
        key: Option<&str>,
        statement: &Statement,
    ) -> Option<Lookup> {
        let on = self.on.as_ref()?;
        let body = statement.body();
        let primary = self.primaries.get(&group).copied();
        match (self.kind(class), key) {
            (Kind::Read(_), Some(key)) => {
                Some(Lookup::new(&on.hasher, group.0, body, key.as_bytes(), primary?))
            }
            (Kind::Write { keyed: true }, Some(key)) => {
                Some(Lookup::new(&on.hasher, group.0, body, key.as_bytes(), primary.unwrap_or(0)))
            }
            (Kind::Write { .. }, _) => {
                let all = Lookup::new(&on.hasher, group.0, body, b"", primary.unwrap_or(0));
                Some(Lookup { key: all.whole_group, ..all })
            }
            _ => None,
        }
    }

    /// What a member answered to a read whose key is known to be missing, as new as the read needs it. `after_ms` is
    /// its session's position, in Unix milliseconds.
    pub fn answer(
        &self,
        now: Micros,
        class: ClassId,
        asked: &Lookup,
        after_ms: Option<i64>,
    ) -> Option<Vec<u8>> {
        let Kind::Read(consistency) = self.kind(class) else { return None };
        let freshness = match consistency {
            Consistency::Any => Freshness::Any,
            Consistency::BoundedStaleness(age) => Freshness::MaxStaleness(age),
            Consistency::Session => Freshness::Session(after_ms.map(|ms| ms.saturating_mul(1000))),
            Consistency::Strong | Consistency::Write => Freshness::Latest,
        };
        let answer = self.on.as_ref()?.node.borrow_mut().lookup(now, asked, freshness)?;
        Some(answer.to_vec())
    }

    /// Whether a request of this class may be sent now: writes need a lease.
    pub fn may_send(&self, now: Micros, class: ClassId) -> bool {
        let Some(on) = &self.on else { return true };
        !matches!(self.kind(class), Kind::Write { .. }) || on.node.borrow().write_leases.can_write(now)
    }

    /// An attempt is about to be sent: until when its last byte must be out, if that is bound. `Err`: it must not be.
    pub fn begin(
        &mut self,
        now: Micros,
        attempt: (RequestId, u32),
        class: ClassId,
        asked: Option<&Lookup>,
    ) -> Result<Option<Micros>, ()> {
        let (Some(on), Kind::Write { .. }, Some(asked)) = (&self.on, self.kind(class), asked) else {
            return Ok(None);
        };
        let mut node = on.node.borrow_mut();
        let ends = node.write_leases.expires_at().filter(|ends| now < *ends).ok_or(())?;
        let ticket = node.writes.begin(now, vec![asked.key]).ok_or(())?;
        self.writes.insert(attempt, ticket);
        Ok(Some(ends))
    }

    /// An attempt ended.
    pub fn ended(&mut self, now: Micros, attempt: (RequestId, u32), ending: AttemptOutcome) {
        let (Some(on), Some(ticket)) = (&self.on, self.writes.remove(&attempt)) else { return };
        let writes = &mut on.node.borrow_mut().writes;
        match ending {
            AttemptOutcome::Ok | AttemptOutcome::Overloaded | AttemptOutcome::Misrouted => {
                writes.on_answered(now, ticket)
            }
            AttemptOutcome::ConnectFailed | AttemptOutcome::NotSent => writes.on_not_executed(ticket),
            // An error may be an answer that could not be read, from a member that still works on it.
            AttemptOutcome::Error
            | AttemptOutcome::Timeout
            | AttemptOutcome::Reset
            | AttemptOutcome::Cancelled => writes.on_in_doubt(now, ticket),
        }
    }

    /// A read was answered by a member that had told `position` before the read was sent.
    pub fn heard(
        &self,
        now: Micros,
        class: ClassId,
        asked: &Lookup,
        position: Option<Micros>,
        answer: &MemberResponse,
    ) {
        let (Some(on), Kind::Read(_)) = (&self.on, self.kind(class)) else { return };
        match (answer.kind, position) {
            (ResponseKind::NoRow, Some(position)) if self.primaries.values().any(|p| *p == asked.primary) => {
                on.node.borrow_mut().record_missing(now, asked, position, &answer.messages)
            }
            (ResponseKind::Row, _) => on.node.borrow_mut().record_present(asked),
            _ => {}
        }
    }

    /// A member told its position.
    pub fn learned(&mut self, host: HostId, position: Option<Micros>) {
        if let (Some(site), Some(position)) = (self.sites.get_mut(&host), position) {
            site.position = site.position.max(position);
        }
    }

    /// The newest position that a member told since its launch.
    pub fn position(&self, host: HostId) -> Option<Micros> {
        self.sites.get(&host).map(|site| site.position).filter(|position| *position > 0)
    }

    /// A member as the list has it.
    pub fn listed(&mut self, host: HostId, listed: &EndpointRecord) {
        if self.on.is_none() {
            return;
        }
        let site = self.sites.entry(host).or_insert(Site { born_ms: listed.started_at_ms, position: 0 });
        if site.born_ms != listed.started_at_ms {
            *site = Site { born_ms: listed.started_at_ms, position: 0 };
        }
        if listed.primary {
            let primary = hash_name(&format!("{} {}", listed.name, listed.started_at_ms)) as u32;
            self.primaries.insert(GroupId(listed.group), primary);
        }
    }

    /// Forgets members that the broker has forgotten.
    pub fn retain(&mut self, known: impl Fn(&HostId) -> bool) {
        self.sites.retain(|host, _| known(host));
    }

    /// No write begins any more: the lease servers are told not to wait for this process.
    pub fn end(&self) {
        self.on.iter().for_each(|on| on.node.borrow_mut().write_leases.shut_down());
    }
}
