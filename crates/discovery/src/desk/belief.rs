//! Which answer is believed, and until when a member may be sent something.

use super::{Desk, Pending, HURRIED};
use crate::{Doubt, News};
use wharfplank_protocol::endpoint_list::{EndpointHealth, EndpointList, EndpointRecord};
use wharfplank_routing::Micros;

/// A member's deadline is kept this much early: the check itself takes a moment.
const EARLY: Micros = 20_000;
/// A start further ahead of the clock than this is none: all machines read one clock.
const AHEAD_MOST: Micros = 50_000;

impl Desk {
    /// When [`Desk::lapse`] has something to do.
    pub fn due(&self) -> Option<Micros> {
        self.stops.values().map(|(until, _)| *until).min()
    }

    /// Takes an answer.
    pub fn heard(&mut self, now: Micros, list: EndpointList) -> News {
        let nothing = !list.complete && list.endpoints.is_empty() && self.seq == Some(list.version);
        let quick = self.called_at.is_some_and(|at| now - at < self.pace.wait / HURRIED);
        self.hurried = if nothing && quick && !self.whole { self.hurried.saturating_add(1) } else { 0 };
        (self.heard_at, self.failures, self.waiting) = (Some(now), 0, false);
        if list.complete {
            self.whole_at = None;
        }
        let doubt = self.doubt(&list);
        let Some(doubt) = doubt.filter(|doubt| !self.confirmed(*doubt, &list)) else {
            // A change that says nothing settles no doubt about the whole.
            if list.complete {
                self.pending = None;
            }
            self.whole = self.pending.is_some();
            return News { list: self.believe(now, list), ..News::default() };
        };
        self.whole = true;
        // A second story in doubt does not move the deadlines of the first.
        let until = now + (self.pace.stop_within - EARLY).max(0);
        for name in self.lacking(&list) {
            let stop = self.stops.entry(name).or_insert((until, doubt));
            stop.1 = if doubt == Doubt::Short { doubt } else { stop.1 };
        }
        // A newer version brings back what an earlier one in doubt left out; an older one does not.
        if doubt == Doubt::Short {
            let back = |name: &String| {
                list.endpoints.iter().any(|h| h.name == *name && h.health == EndpointHealth::Active)
            };
            self.stops.retain(|name, _| !back(name));
        }
        if list.complete {
            self.pending = Some(Pending { doubt, list });
        }
        let until = self.stops.iter().map(|(name, (until, _))| (name.clone(), *until));
        News { list: None, until: until.collect(), doubt: Some(doubt) }
    }

    /// What time alone decides: what an answer in doubt told, and nothing has confirmed or denied by the deadline,
    /// holds as far as it takes members out of use. Where that would leave none at all, those that only an older
    /// version spoke against stay, and if there is no such one, all: members that are gone turn work away
    /// themselves, and what nobody confirms is no ground to serve nobody.
    pub fn lapse(&mut self, now: Micros) -> News {
        let due: Vec<(String, Doubt)> = self
            .stops
            .iter()
            .filter(|(_, (at, _))| now >= *at)
            .map(|(n, (_, doubt))| (n.clone(), *doubt))
            .collect();
        if due.is_empty() {
            return News::default();
        }
        self.stops.retain(|_, (at, _)| now < *at);
        let all = due.len() >= self.active().count();
        let none_back = due.iter().all(|(_, doubt)| *doubt == Doubt::Short);
        let mut hosts = Vec::new();
        for (name, doubt) in due {
            if all && (none_back || doubt == Doubt::Back) {
                hosts.extend(self.held.get(&name).cloned());
            } else if let Some(host) = self.held.remove(&name) {
                hosts.push(EndpointRecord { health: EndpointHealth::Removed, ..host });
            }
        }
        let list = EndpointList { version: self.seq.unwrap_or(0), complete: false, endpoints: hosts };
        News { list: Some(list), ..News::default() }
    }

    fn active(&self) -> impl Iterator<Item = &EndpointRecord> {
        self.held.values().filter(|h| h.health == EndpointHealth::Active)
    }

    /// Members in use that an answer takes out of use; none where those are all there are.
    fn lacking(&self, list: &EndpointList) -> Vec<String> {
        let stays = |name: &str| match list.endpoints.iter().find(|h| h.name == name) {
            Some(host) => host.health == EndpointHealth::Active,
            None => !list.complete,
        };
        let gone: Vec<String> = self.active().map(|h| h.name.clone()).filter(|name| !stays(name)).collect();
        if gone.len() == self.active().count() {
            Vec::new()
        } else {
            gone
        }
    }

    fn doubt(&self, list: &EndpointList) -> Option<Doubt> {
        // Until the first answer, a change older than what was asked from leaves open what the whole list says.
        let newest = self.seq.or(self.known.filter(|_| !list.complete));
        if newest.is_some_and(|seq| list.version < seq) {
            return Some(Doubt::Back);
        }
        self.is_short(list).then_some(Doubt::Short)
    }

    /// Whether a whole list leaves out half of the members in use, or more. One that it calls leaving is there.
    fn is_short(&self, list: &EndpointList) -> bool {
        let named = |name: &str| list.endpoints.iter().any(|h| h.name == name);
        let (all, missing) =
            self.active().fold((0, 0), |(all, missing), h| (all + 1, missing + usize::from(!named(&h.name))));
        list.complete && missing > 0 && missing * 2 >= all
    }

    /// Whether an answer in doubt is the second that tells the same.
    fn confirmed(&self, doubt: Doubt, list: &EndpointList) -> bool {
        let Some(pending) = self.pending.as_ref().filter(|p| p.doubt == doubt && list.complete) else {
            return false;
        };
        let names = |list: &EndpointList| {
            let mut names: Vec<String> = list.endpoints.iter().map(|h| h.name.clone()).collect();
            names.sort_unstable();
            names
        };
        // An agent that began anew counts its versions from there, and may have more to tell by the second answer.
        let anew = doubt == Doubt::Back && !self.is_short(list);
        list.version >= pending.list.version && (anew || names(list) == names(&pending.list))
    }

    /// Makes a list the one that is believed; `None` where it says nothing.
    fn believe(&mut self, now: Micros, mut list: EndpointList) -> Option<EndpointList> {
        for host in &mut list.endpoints {
            // What is ahead of the clock cannot have been.
            if host.started_at_ms > (now + AHEAD_MOST) / 1000 {
                host.started_at_ms = now / 1000;
            }
            // A start does not come undone: an older one is an older word.
            if let Some(held) = self.held.get(&host.name) {
                host.started_at_ms = host.started_at_ms.max(held.started_at_ms);
            }
        }
        self.seq = Some(list.version);
        if list.complete {
            self.held.clear();
            self.stops.clear();
        }
        for host in &list.endpoints {
            self.stops.remove(&host.name);
            match host.health {
                EndpointHealth::Removed => drop(self.held.remove(&host.name)),
                _ => drop(self.held.insert(host.name.clone(), host.clone())),
            }
        }
        (list.complete || !list.endpoints.is_empty()).then_some(list)
    }
}
