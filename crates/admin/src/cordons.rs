//! Members that operators took out of service manually.
//!
//! A cordon stops new requests to a member independently of discovery: a cordoned member receives no requests
//! whatever the endpoint list says, even after it was removed from the list and added again. Operators
//! usually restart a member while it is cordoned, so an uncordoned member counts as started when it was
//! uncordoned, even if discovery reports the restart late.

use std::collections::{BTreeMap, BTreeSet};
use thiserror::Error;
use wharfplank_protocol::endpoint_list::{EndpointHealth, EndpointRecord};
use wharfplank_routing::Micros;

/// The maximum number of cordoned members, and of remembered uncordon times. A fleet has a few hundred
/// members.
pub const MAX_ENTRIES: usize = 4096;

/// The reason why a command on a member fails. The displayed text is part of the operator protocol.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum CordonError {
    /// The id is neither in the endpoint list nor cordoned.
    #[error("no member has this id")]
    UnknownMember,
    /// [`MAX_ENTRIES`] members are cordoned already.
    #[error("too many members are out")]
    TooManyCordons,
}

/// The cordoned members, and the times at which other members were uncordoned.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Cordons {
    cordoned: BTreeSet<String>,
    uncordoned_at: BTreeMap<String, Micros>,
}

impl Cordons {
    /// Restores the cordons of the process that this one replaces, limited to [`MAX_ENTRIES`].
    pub fn restore(
        cordoned: impl IntoIterator<Item = String>,
        uncordoned_at: impl IntoIterator<Item = (String, Micros)>,
    ) -> Self {
        let cordoned: BTreeSet<String> = cordoned.into_iter().take(MAX_ENTRIES).collect();
        let uncordoned_at =
            uncordoned_at.into_iter().filter(|(id, _)| !cordoned.contains(id)).take(MAX_ENTRIES).collect();
        Cordons { cordoned, uncordoned_at }
    }

    /// Cordons a member; a second call changes nothing. `is_listed` tells whether the member is in the
    /// endpoint list: an unknown id is reported to the operator as an error.
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

    /// Uncordons a member, however often it was cordoned. A member that is not cordoned stays unchanged.
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

    /// Removes the oldest uncordon time: that member has completed its slow start by now.
    fn forget_oldest_uncordon(&mut self) {
        let oldest = self.uncordoned_at.iter().min_by_key(|(_, at)| **at);
        if let Some(id) = oldest.map(|(id, _)| id.clone()) {
            self.uncordoned_at.remove(&id);
        }
    }

    /// Returns whether a member is cordoned.
    pub fn is_cordoned(&self, id: &str) -> bool {
        self.cordoned.contains(id)
    }

    /// Returns the endpoint record with cordons applied: a cordoned member is draining, and the start time of
    /// an uncordoned member is no earlier than its uncordon time.
    pub fn apply(&self, record: &EndpointRecord) -> EndpointRecord {
        let mut endpoint = record.clone();
        if endpoint.health == EndpointHealth::Active && self.is_cordoned(&endpoint.name) {
            endpoint.health = EndpointHealth::Draining;
        }
        if let Some(uncordoned_at) = self.uncordoned_at.get(&endpoint.name) {
            endpoint.started_at_ms = endpoint.started_at_ms.max(uncordoned_at / 1000);
        }
        endpoint
    }

    /// Removes the uncordon times of members that are no longer listed. Cordons are kept, because a cordoned
    /// member may be restarting.
    pub fn retain_uncordoned(&mut self, is_listed: impl Fn(&str) -> bool) {
        self.uncordoned_at.retain(|id, _| is_listed(id));
    }

    /// Returns the ids of the cordoned members.
    pub fn cordoned(&self) -> impl Iterator<Item = &str> {
        self.cordoned.iter().map(String::as_str)
    }

    /// Returns the ids of uncordoned members, each with its uncordon time.
    pub fn uncordoned_at(&self) -> impl Iterator<Item = (&str, Micros)> {
        self.uncordoned_at.iter().map(|(id, at)| (id.as_str(), *at))
    }
}
