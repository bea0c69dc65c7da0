//! The list of members, as discovery tells it, on its way to the router and to the pools of connections.

use super::*;

impl Broker {
    pub(super) fn heard(&mut self, event: WatchEvent, staleness: Option<Staleness>) {
        // An answer that there is nothing new tells that the list as known stands.
        self.told |= event.update.is_some() || staleness == Some(Staleness::Fresh);
        if event.suspect.is_some() || staleness.is_some() {
            log::list(staleness.map(Staleness::as_str), event.suspect, event.deadlines.len());
            self.journal.list(staleness.map(Staleness::as_str), event.suspect.map(SuspectReason::as_str));
        }
        for SendDeadline { endpoint, until } in event.deadlines {
            let member = self.names.get(&endpoint).and_then(|host| self.members.get(host));
            member.into_iter().for_each(|m| m.until(self.clock.instant(until)));
        }
        if let Some(list) = event.update {
            self.list(list);
        }
    }

    /// Takes the list or its changes as discovery tells them.
    pub(super) fn list(&mut self, catalog: EndpointList) {
        self.seq = catalog.version;
        if catalog.complete {
            self.listed.clear();
        }
        for host in &catalog.endpoints {
            match host.health {
                EndpointHealth::Removed => drop(self.listed.remove(&host.name)),
                _ => drop(self.listed.insert(host.name.clone(), host.clone())),
            }
        }
        if catalog.complete {
            self.cordons.retain(|name| self.listed.contains_key(name));
        }
        let hosts = catalog.endpoints.iter().map(|host| self.cordons.apply(host)).collect();
        self.enlist(EndpointList { endpoints: hosts, ..catalog });
    }

    /// Takes entries as they hold together with what operators say.
    pub(super) fn enlist(&mut self, catalog: EndpointList) {
        if catalog.complete {
            let named = |m: &Member| catalog.endpoints.iter().any(|h| h.name == m.name());
            self.members.values().filter(|m| !named(m)).for_each(|m| m.want(false, None));
        }
        let seq = catalog.version;
        let entries: Vec<Entry> = catalog.endpoints.iter().map(|host| self.entry(seq, host)).collect();
        let event = if catalog.complete { routing::Event::List } else { routing::Event::ListChange };
        self.tell(event(entries));
        // What waits for a connection to a member that takes nothing new must not go out.
        let stopped = |host: &HostId| self.members.get(host).is_none_or(|m| !m.wanted());
        let waiting = |(key, f): (&(RequestId, u32), &Flight)| {
            (f.stage.get() == Stage::Waiting && stopped(&f.host)).then_some(*key)
        };
        let mut moot: Vec<_> = self.flights.iter().filter_map(waiting).collect();
        moot.sort_unstable();
        for (id, attempt) in moot {
            self.end(id, attempt, Ending::Moot);
        }
        self.settle();
        self.members.retain(|_, m| m.wanted() || !m.unused());
        if self.names.len() > NAMES_MOST {
            self.names.retain(|_, host| self.members.contains_key(host));
            let names = &self.names;
            self.talk.retain(|host| names.values().any(|h| h == host));
            self.lookups.retain(|host| names.values().any(|h| h == host));
        }
    }

    pub(super) fn entry(&mut self, seq: u64, listed: &EndpointRecord) -> Entry {
        let known = self.names.contains_key(&listed.name);
        let host = self.host(&listed.name);
        if !known {
            self.journal.named(host, listed);
        }
        self.journal.listed(seq, host, listed);
        self.talk.listed(host, listed);
        self.lookups.listed(host, listed);
        let wanted = listed.health == EndpointHealth::Active;
        match (self.members.get(&host), listed.address) {
            (Some(member), dial) => member.want(wanted, dial),
            (None, Some(dial)) if wanted => {
                let member = Member::new(Rc::clone(&self.shared), &listed.name, dial);
                member.want(true, None);
                self.members.insert(host, member);
            }
            _ => {}
        }
        Entry {
            host,
            group: GroupId(listed.group),
            listed: match listed.health {
                EndpointHealth::Active => Listed::Up,
                EndpointHealth::Draining => Listed::Draining,
                EndpointHealth::Removed => Listed::Removed,
            },
            primary: listed.primary,
            launched: (listed.started_at_ms > 0).then(|| listed.started_at_ms.saturating_mul(1000)),
            local: listed.zone == self.terms.zone,
            zone: zone_number(&listed.zone),
        }
    }

    /// The names of members by their numbers.
    pub(super) fn by_host(&self) -> HashMap<HostId, &str> {
        self.names.iter().map(|(name, host)| (*host, name.as_str())).collect()
    }

    /// The module's number of a member: a hash of its name, moved on where two names share one.
    pub(super) fn host(&mut self, name: &str) -> HostId {
        if let Some(host) = self.names.get(name) {
            return *host;
        }
        let mut number = hash(name.as_bytes()) as u32;
        while self.names.values().any(|host| host.0 == number) {
            number = number.wrapping_add(1);
        }
        self.names.insert(name.to_string(), HostId(number));
        HostId(number)
    }
}

/// The members that the router suspects.
pub(super) fn suspects(router: &Router) -> impl Iterator<Item = HostId> + '_ {
    router.view().filter(|view| view.suspected.is_some()).map(|view| view.host)
}

/// The module's number of a zone: all members of the zone share it.
pub(super) fn zone_number(site: &str) -> u32 {
    hash(site.as_bytes()) as u32
}

/// FNV-1a.
pub(super) fn hash(bytes: &[u8]) -> u64 {
    bytes.iter().fold(0xcbf2_9ce4_8422_2325, |h, b| (h ^ u64::from(*b)).wrapping_mul(0x100_0000_01b3))
}
