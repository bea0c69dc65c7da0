//! Detection and confirmation of suspect answers.

use super::list::AcceptedList;
use crate::SuspectReason;
use wharfplank_protocol::endpoint_list::{EndpointHealth, EndpointList, EndpointRecord};

impl AcceptedList {
    /// Returns the reason why an answer is suspect, if it is.
    pub(super) fn inspect(&self, answer: &EndpointList) -> Option<SuspectReason> {
        // Until an answer is accepted from this address, the version to resume from applies to changes only:
        // a change older than the requested version does not establish the complete list.
        let newest = self.version.or(self.resume_version.filter(|_| !answer.complete));
        if newest.is_some_and(|version| answer.version < version) {
            return Some(SuspectReason::OlderVersion);
        }
        self.lacks_half(answer).then_some(SuspectReason::MissingEndpoints)
    }

    /// Returns whether a complete list lacks at least half of the active endpoints. An endpoint that is
    /// listed as draining or removed is not missing.
    fn lacks_half(&self, answer: &EndpointList) -> bool {
        let active = self.active().count();
        let missing = self.active().filter(|record| find(answer, &record.name).is_none()).count();
        answer.complete && missing > 0 && missing * 2 >= active
    }

    /// Returns whether an answer that is suspect for this reason confirms the pending one.
    pub(super) fn is_confirmed_by(&self, reason: SuspectReason, answer: &EndpointList) -> bool {
        let Some(pending) = &self.pending else { return false };
        if pending.reason != reason || !answer.complete || answer.version < pending.list.version {
            return false;
        }
        // A restarted agent restarts its version numbers, and its second answer may list more endpoints.
        let is_restart = reason == SuspectReason::OlderVersion && !self.lacks_half(answer);
        is_restart || sorted_names(answer) == sorted_names(&pending.list)
    }

    /// Returns the active endpoints that an answer removes, or none if it would remove all of them.
    pub(super) fn removed_by(&self, answer: &EndpointList) -> Vec<String> {
        let active = self.active().map(|record| record.name.as_str());
        let removed: Vec<String> =
            active.filter(|name| !remains_active(answer, name)).map(str::to_string).collect();
        if removed.len() == self.active().count() {
            Vec::new()
        } else {
            removed
        }
    }
}

/// Returns whether an active endpoint remains active according to an answer.
fn remains_active(answer: &EndpointList, name: &str) -> bool {
    match find(answer, name) {
        Some(record) => record.health == EndpointHealth::Active,
        None => !answer.complete,
    }
}

fn find<'a>(list: &'a EndpointList, name: &str) -> Option<&'a EndpointRecord> {
    list.endpoints.iter().find(|record| record.name == name)
}

fn sorted_names(list: &EndpointList) -> Vec<&str> {
    let mut names: Vec<&str> = list.endpoints.iter().map(|record| record.name.as_str()).collect();
    names.sort_unstable();
    names
}
