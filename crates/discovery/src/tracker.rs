//! The endpoint tracker: combines the accepted endpoint list with the state of polling.

mod list;
mod poll;
mod suspect;

use crate::{PollRequest, PollSchedule, Staleness, WatchEvent};
use list::AcceptedList;
use poll::PollState;
use wharfplank_protocol::endpoint_list::EndpointList;
use wharfplank_routing::Micros;

/// Tracks the endpoint list of one discovery address at a time and decides when to poll it.
#[derive(Debug)]
pub struct EndpointTracker {
    list: AcceptedList,
    poll: PollState,
}

impl EndpointTracker {
    /// Creates a tracker that starts at `now` with the last known endpoint list.
    pub fn new(schedule: PollSchedule, known: &EndpointList, now: Micros) -> Self {
        EndpointTracker { list: AcceptedList::new(&schedule, known), poll: PollState::new(schedule, now) }
    }

    /// Handles a new discovery address. Versions of the former address may not be valid there, so the full
    /// list is requested. Suspect answers are evaluated anew, and existing deadlines remain.
    ///
    /// If all proxies of a large fleet polled a shared service for the full list at once, it could answer
    /// none of them. They resume from their version instead, as a new process does from its last known list.
    /// If the new address answers with an older version, the answer is suspect and the full list is
    /// requested. Each proxy also requests the full list once, after a random delay that grows with the size
    /// of the fleet.
    pub fn on_address_changed(&mut self, now: Micros) {
        let resumes =
            self.poll.schedule().shared.filter(|shared| !self.poll.schedule().is_small_fleet(shared));
        self.list.reset_version(resumes.is_some());
        self.poll.reset(now);
        match resumes {
            Some(shared) if self.list.watch_version().is_some() => self.poll.schedule_full_list(now, &shared),
            _ => self.poll.request_full_list(),
        }
    }

    /// Returns the next poll and records it as started.
    pub fn next_poll(&mut self, now: Micros) -> PollRequest {
        let kind = self.poll.next_kind(now, self.list.watch_version());
        self.poll.start(now, kind)
    }

    /// Handles a response and returns what it changed.
    pub fn on_response(&mut self, now: Micros, answer: EndpointList) -> WatchEvent {
        self.poll.on_response(now, self.list.is_unchanged_by(&answer));
        if answer.complete {
            self.poll.cancel_scheduled_full_list();
        }
        let event = self.list.on_answer(now, answer);
        self.poll.set_full_list_needed(event.suspect.is_some() || self.list.has_pending());
        event
    }

    /// Handles a failed poll or an unreadable response. The endpoint list is kept. The next poll requests the
    /// full list from a local agent; a shared service is asked for changes, and for the full list only after
    /// several failures.
    pub fn on_failure(&mut self, now: Micros) {
        self.poll.on_failure(now, self.list.watch_version());
    }

    /// Returns the time at which [`EndpointTracker::expire_deadlines`] is next due.
    pub fn next_deadline(&self) -> Option<Micros> {
        self.list.next_deadline()
    }

    /// Removes the endpoints whose deadline has passed. A suspect answer takes effect at the deadline unless
    /// another answer has contradicted it by then.
    ///
    /// If this would leave no endpoint, the endpoints that only an older version removed are kept, or all of
    /// them if there is none. Endpoints that are really removed reject work themselves, and an unconfirmed
    /// answer must not stop all service.
    pub fn expire_deadlines(&mut self, now: Micros) -> WatchEvent {
        self.list.expire_deadlines(now)
    }

    /// Returns how stale the endpoint list is.
    pub fn staleness(&self, now: Micros) -> Staleness {
        self.poll.staleness(now)
    }
}
