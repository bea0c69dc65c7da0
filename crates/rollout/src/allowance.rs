//! How many may be out at once, where, and which bank watches over which group.

use crate::Id;
use std::collections::BTreeMap;
use twox_hash::XxHash3_64;

/// What may be out at once, by any cause.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Allowance {
    /// Of each group.
    pub group: u32,
    /// Of each zone.
    pub zone: u32,
    /// Of the fleet.
    pub fleet: u32,
    /// Banks that there are; see [`Roster::banks`] for those used.
    pub banks: u32,
}

/// What it is that goes out.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Kind {
    /// A member of a replicated group: it keeps a replica for reads, and a primary until that is handed over.
    Member,
    /// A proxy: those of a zone are a group, without roles.
    Proxy,
}

/// One that may go out, and where it counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Place {
    /// Who.
    pub id: Id,
    /// Its group.
    pub group: u32,
    /// Its zone.
    pub zone: u32,
    /// What it is.
    pub kind: Kind,
}

/// All that may go out. Every proxy has the same.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Roster {
    places: BTreeMap<Id, Place>,
    allowance: Allowance,
    banks: u32,
    digest: u64,
}

impl Roster {
    /// The roster under an allowance. No more banks are used than leave each an even part of the zones' and the fleet's
    /// allowance: a bank without a part could never let any of its groups out.
    pub fn new(places: Vec<Place>, allowance: Allowance) -> Roster {
        let even =
            |banks: &u32| allowance.zone.is_multiple_of(*banks) && allowance.fleet.is_multiple_of(*banks);
        let most = allowance.banks.min(allowance.zone).min(allowance.fleet);
        let banks = (1..=most).rev().find(even).unwrap_or(1);
        let places: BTreeMap<Id, Place> = places.into_iter().map(|place| (place.id, place)).collect();
        let Allowance { group, zone, fleet, .. } = allowance;
        let mut told: Vec<u64> = [group, zone, fleet, banks].map(u64::from).to_vec();
        for place in places.values() {
            let kind = u64::from(place.kind == Kind::Proxy);
            told.extend([place.id, u64::from(place.group), u64::from(place.zone), kind]);
        }
        let bytes: Vec<u8> = told.iter().flat_map(|number| number.to_le_bytes()).collect();
        Roster { places, allowance, banks, digest: XxHash3_64::oneshot(&bytes) }
    }

    /// Banks in use.
    pub fn banks(&self) -> u32 {
        self.banks
    }

    /// A number for all of it: a bank gives nothing to a driver that has another roster or allowance.
    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// The allowance of the whole.
    pub fn allowance(&self) -> Allowance {
        self.allowance
    }

    /// The bank that watches over a group: by the group's number alone, so that it stays as members come and go.
    pub fn bank_of(&self, group: u32) -> u32 {
        group % self.banks
    }

    /// A bank's part of each zone's allowance.
    pub fn zone_part(&self) -> u32 {
        self.allowance.zone / self.banks
    }

    /// A bank's part of the fleet's allowance.
    pub fn fleet_part(&self) -> u32 {
        self.allowance.fleet / self.banks
    }

    /// Where one is.
    pub fn place(&self, id: Id) -> Option<Place> {
        self.places.get(&id).copied()
    }

    /// All of them in the order in which a release takes them: primaries last, since their groups are handed over to
    /// released ones then, and one of each group after the other, so that a wave is spread over groups, zones and banks.
    pub fn order(&self, primary: impl Fn(Id) -> bool) -> Vec<Id> {
        let mut places = BTreeMap::<u32, u32>::new();
        let mut ids: Vec<(bool, u32, u32, Id)> = Vec::new();
        for place in self.places.values() {
            let nth = places.entry(place.group).or_default();
            *nth += 1;
            ids.push((primary(place.id), *nth, place.group, place.id));
        }
        ids.sort_unstable();
        ids.into_iter().map(|(.., id)| id).collect()
    }

    /// All of them.
    pub fn places(&self) -> impl Iterator<Item = &Place> {
        self.places.values()
    }
}
