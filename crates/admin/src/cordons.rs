//! Members that operators took out of service by hand.
//!
//! A cordon stops new requests to a member independently of discovery: a cordoned member takes no work whatever the
//! endpoint list says, even after it was removed from the list and added again. Operators restart the member meanwhile,
//! so one that was uncordoned counts as launched at that time, however late discovery reports the restart.

use std::collections::{BTreeMap, BTreeSet};
use thiserror::Error;
use wharfplank_protocol::endpoint_list::{EndpointHealth, EndpointRecord};
use wharfplank_routing::Micros;

/// The most members that may be cordoned, or remembered as uncordoned, at one time; a fleet has some hundred.
pub const MAX_ENTRIES: usize = 4096;

/// Why a command on a member fails. The displayed text is part of the operators' protocol.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum CordonError {
    /// The id is neither listed nor cordoned.
    #[error("no member has this id")]
    UnknownMember,
    /// [`MAX_ENTRIES`] members are cordoned already.
    #[error("too many members are out")]
    TooManyCordons,
}

/// The cordoned members, and the times at which others were uncordoned.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Cordons {
    cordoned: BTreeSet<String>,
    uncordoned_at: BTreeMap<String, Micros>,
}

impl Cordons {
    /// The cordons of a process that this one replaces, bounded to [`MAX_ENTRIES`].
    pub fn restore(
        cordoned: impl IntoIterator<Item = String>,
        uncordoned_at: impl IntoIterator<Item = (String, Micros)>,
    ) -> Self {
        let cordoned: BTreeSet<String> = cordoned.into_iter().take(MAX_ENTRIES).collect();
        let uncordoned_at =
            uncordoned_at.into_iter().filter(|(id, _)| !cordoned.contains(id)).take(MAX_ENTRIES).collect();
        Cordons { cordoned, uncordoned_at }
    }

    /// Cordons a member; a second call changes nothing. `is_listed` says whether the endpoint list has the member:
    /// a command on an unknown id is a mistake that the operator is told of.
    pub fn cordon(&mut self, id: &str, is_listed: bool) -> Result<(), CordonError> {
        if self.cordoned.contains(id) {
            return Ok(());
        }
        if !is_listed {
            return Err(CordonError::UnknownMember);
        }
        if self.cordoned.len() >= MAX_ENTRIES {
            return Err(CordonError::TooManyCordons);
        }
        self.uncordoned_at.remove(id);
        self.cordoned.insert(id.to_string());
        Ok(())
    }

    /// Uncordons a member, however often it was cordoned; one that was not cordoned is left as it is.
    pub fn uncordon(&mut self, id: &str, is_listed: bool, now: Micros) -> Result<(), CordonError> {
        if !self.cordoned.remove(id) {
            return if is_listed { Ok(()) } else { Err(CordonError::UnknownMember) };
        }
        if self.uncordoned_at.len() >= MAX_ENTRIES {
            self.forget_oldest_uncordon();
        }
        self.uncordoned_at.insert(id.to_string(), now);
        Ok(())
    }

    /// The member that was uncordoned longest ago has warmed up by now.
    fn forget_oldest_uncordon(&mut self) {
        let oldest = self.uncordoned_at.iter().min_by_key(|(_, at)| **at);
        if let Some(id) = oldest.map(|(id, _)| id.clone()) {
            self.uncordoned_at.remove(&id);
        }
    }

    /// Whether a member is cordoned.
    pub fn is_cordoned(&self, id: &str) -> bool {
        self.cordoned.contains(id)
    }

    /// The endpoint list's entry with cordons applied: a cordoned member is draining, and an uncordoned one was
    /// launched at the earliest when it was uncordoned.
    pub fn apply(&self, listed: &EndpointRecord) -> EndpointRecord {
        let mut host = listed.clone();
        if host.health == EndpointHealth::Active && self.is_cordoned(&host.name) {
            host.health = EndpointHealth::Draining;
        }
        if let Some(uncordoned_at) = self.uncordoned_at.get(&host.name) {
            host.started_at_ms = host.started_at_ms.max(uncordoned_at / 1000);
        }
        host
    }

    /// Forgets when members that are no longer listed were uncordoned. A cordoned member stays cordoned: it may be
    /// restarting.
    pub fn retain_uncordoned(&mut self, is_listed: impl Fn(&str) -> bool) {
        self.uncordoned_at.retain(|id, _| is_listed(id));
    }

    /// The ids of the cordoned members.
    pub fn cordoned(&self) -> impl Iterator<Item = &str> {
        self.cordoned.iter().map(String::as_str)
    }

    /// The ids of uncordoned members and the times of their uncordoning.
    pub fn uncordoned_at(&self) -> impl Iterator<Item = (&str, Micros)> {
        self.uncordoned_at.iter().map(|(id, at)| (id.as_str(), *at))
    }
}
