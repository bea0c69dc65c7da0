//! Members that operators took out by hand.
//!
//! A cordon is a second source of 'nothing new to this member' beside discovery, and stands apart from it: whatever the
//! list says, also that the member is gone and back, a cordoned one takes no work. Operators restart the member
//! meanwhile, so one that is called back counts as started then, however late discovery tells of the restart.

use std::collections::{BTreeMap, BTreeSet};
use wharfplank_protocol::endpoint_list::{EndpointHealth, EndpointRecord};
use wharfplank_routing::Micros;

/// Members that may be out, or may have been called back, at one time; a fleet has some hundred.
pub const MOST: usize = 4096;

/// Why a call on a member is answered no.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// Nobody has this id.
    Unknown,
    /// Too many are out.
    TooMany,
}

impl Refusal {
    /// In words.
    pub fn name(self) -> &'static str {
        match self {
            Refusal::Unknown => "no member has this id",
            Refusal::TooMany => "too many members are out",
        }
    }
}

/// The members that are out by hand, and when others were called back.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Cordons {
    out: BTreeSet<String>,
    back: BTreeMap<String, Micros>,
}

impl Cordons {
    /// Those of another process that this one goes on for.
    pub fn new(
        out: impl IntoIterator<Item = String>,
        back: impl IntoIterator<Item = (String, Micros)>,
    ) -> Self {
        let out: BTreeSet<String> = out.into_iter().take(MOST).collect();
        let back = back.into_iter().filter(|(id, _)| !out.contains(id)).take(MOST).collect();
        Cordons { out, back }
    }

    /// Takes a member out; a second call changes nothing. `listed` says whether the list has it: operators' calls on
    /// ids that nobody has are a mistake that they are to hear of.
    pub fn cordon(&mut self, id: &str, listed: bool) -> Result<(), Refusal> {
        if self.out.contains(id) {
            return Ok(());
        }
        match (listed, self.out.len() < MOST) {
            (false, _) => Err(Refusal::Unknown),
            (_, false) => Err(Refusal::TooMany),
            _ => {
                self.back.remove(id);
                self.out.insert(id.to_string());
                Ok(())
            }
        }
    }

    /// Calls a member back, however often it was taken out; one that was not out is left as it is.
    pub fn uncordon(&mut self, id: &str, listed: bool, now: Micros) -> Result<(), Refusal> {
        if !self.out.remove(id) {
            return if listed { Ok(()) } else { Err(Refusal::Unknown) };
        }
        if self.back.len() >= MOST {
            // The one called back longest ago is warm by now.
            let oldest = self.back.iter().min_by_key(|(_, at)| **at).map(|(id, _)| id.clone());
            oldest.and_then(|id| self.back.remove(&id));
        }
        self.back.insert(id.to_string(), now);
        Ok(())
    }

    /// Whether a member is out.
    pub fn is_out(&self, id: &str) -> bool {
        self.out.contains(id)
    }

    /// What the list's entry comes to: a member that is out drains, and one that was called back started then at the
    /// earliest.
    pub fn apply(&self, listed: &EndpointRecord) -> EndpointRecord {
        let mut host = listed.clone();
        if host.health == EndpointHealth::Active && self.is_out(&host.name) {
            host.health = EndpointHealth::Draining;
        }
        if let Some(back) = self.back.get(&host.name) {
            host.started_at_ms = host.started_at_ms.max(back / 1000);
        }
        host
    }

    /// Forgets when members were called back that the list no longer has. One that is out stays out: it may be
    /// starting again.
    pub fn retain(&mut self, listed: impl Fn(&str) -> bool) {
        self.back.retain(|id, _| listed(id));
    }

    /// The members that are out.
    pub fn out(&self) -> impl Iterator<Item = &str> {
        self.out.iter().map(String::as_str)
    }

    /// When which members were called back.
    pub fn back(&self) -> impl Iterator<Item = (&str, Micros)> {
        self.back.iter().map(|(id, at)| (id.as_str(), *at))
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn host(health: EndpointHealth, born_ms: i64) -> EndpointRecord {
        let (name, site) = ("m1".to_string(), "a".to_string());
        EndpointRecord {
            name,
            address: None,
            zone: site,
            group: 1,
            health,
            started_at_ms: born_ms,
            primary: false,
        }
    }

    /// Guards against discovery, which knows nothing of cordons, giving a member back, and against two calls out that
    /// want two back.
    #[test]
    fn a_cordon_stands_whatever_the_list_says() {
        let mut cordons = Cordons::default();
        assert_eq!(cordons.cordon("m1", true), Ok(()));
        assert_eq!(cordons.cordon("m1", false), Ok(()), "the list may lack it by now");
        assert_eq!(cordons.apply(&host(EndpointHealth::Active, 7)).health, EndpointHealth::Draining);
        assert_eq!(cordons.apply(&host(EndpointHealth::Removed, 7)).health, EndpointHealth::Removed);
        cordons.retain(|_| false);
        assert!(cordons.is_out("m1"));
        assert_eq!(cordons.uncordon("m1", false, 5_000_000), Ok(()));
        assert!(!cordons.is_out("m1"));
        assert_eq!(cordons.apply(&host(EndpointHealth::Active, 7)).health, EndpointHealth::Active);
    }

    /// Guards against full load on a member that was restarted while it was out, of which discovery tells late.
    #[test]
    fn one_called_back_counts_as_started_then() {
        let mut cordons = Cordons::default();
        assert_eq!(cordons.uncordon("m1", true, 4_000_000), Ok(()));
        assert_eq!(cordons.apply(&host(EndpointHealth::Active, 7)).started_at_ms, 7, "it was not out");
        assert_eq!(cordons.cordon("m1", true), Ok(()));
        assert_eq!(cordons.uncordon("m1", true, 5_000_000), Ok(()));
        assert_eq!(cordons.apply(&host(EndpointHealth::Active, 7)).started_at_ms, 5_000);
        assert_eq!(cordons.apply(&host(EndpointHealth::Active, 6_000)).started_at_ms, 6_000);
        let again = Cordons::new(cordons.out().map(str::to_string), [("m1".to_string(), 5_000_000)]);
        assert_eq!(again, cordons);
        cordons.retain(|_| false);
        assert_eq!(cordons.apply(&host(EndpointHealth::Active, 7)).started_at_ms, 7);
    }

    #[test]
    fn ids_that_nobody_has_are_a_no_and_tables_end() {
        let mut cordons = Cordons::default();
        assert_eq!(cordons.cordon("m9", false), Err(Refusal::Unknown));
        assert_eq!(cordons.uncordon("m9", false, 1), Err(Refusal::Unknown));
        for n in 0..MOST {
            assert_eq!(cordons.cordon(&n.to_string(), true), Ok(()));
        }
        assert_eq!(cordons.cordon("one more", true), Err(Refusal::TooMany));
        for n in 0..MOST {
            assert_eq!(cordons.uncordon(&n.to_string(), true, n as Micros), Ok(()));
        }
        assert_eq!(cordons.cordon("one more", true), Ok(()));
        assert_eq!(cordons.uncordon("one more", true, 9_999), Ok(()));
        assert_eq!(cordons.back().count(), MOST);
        assert!(cordons.back().all(|(id, _)| id != "0"));
    }
}
