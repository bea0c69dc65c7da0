//! The tracker: joins the accepted endpoint list with the state of polling.

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
    /// Starts at `now` with the endpoint list as it was last known.
    pub fn new(schedule: PollSchedule, known: &EndpointList, now: Micros) -> Self {
        EndpointTracker { list: AcceptedList::new(&schedule, known), poll: PollState::new(schedule, now) }
    }

    /// Discovery has a new address from now on. The versions of the old one may mean nothing there, so the full list
    /// is requested. Suspect answers are checked anew, and their deadlines stand.
    ///
    /// The proxies of a large fleet that share discovery would keep it from answering any with their polls for the full
    /// list. They resume from their version, as a new process does from the list it knows; an older version from there
    /// is suspect and has the full list requested; and each requests that once anyway, with a jitter that suits the size
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

    /// The next poll.
    pub fn next_poll(&mut self, now: Micros) -> PollRequest {
        let kind = self.poll.next_kind(now, self.list.watch_version());
        self.poll.start(now, kind)
    }

    /// Takes a response and returns what it changed.
    pub fn on_response(&mut self, now: Micros, answer: EndpointList) -> WatchEvent {
        self.poll.on_response(now, self.list.is_unchanged_by(&answer));
        if answer.complete {
            self.poll.cancel_scheduled_full_list();
        }
        let event = self.list.on_answer(now, answer);
        self.poll.set_full_list_needed(event.suspect.is_some() || self.list.has_pending());
        event
    }

    /// A poll failed, or its response could not be read. The list stays and is requested in full; from a shared service
    /// changes are requested, and the full list only after several failures.
    pub fn on_failure(&mut self, now: Micros) {
        self.poll.on_failure(now, self.list.watch_version());
    }

    /// When [`EndpointTracker::expire_deadlines`] is next due.
    pub fn next_deadline(&self) -> Option<Micros> {
        self.list.next_deadline()
    }

    /// Takes endpoints out of use whose deadline has passed: what a suspect answer said of them counts unless another
    /// answer has contradicted it by then.
    ///
    /// Where that would leave no endpoint at all, those stay that only an older version removed, and if there is none,
    /// all stay: removed endpoints reject work themselves, and an unconfirmed answer is no reason to serve nobody.
    pub fn expire_deadlines(&mut self, now: Micros) -> WatchEvent {
        self.list.expire_deadlines(now)
    }

    /// How stale the endpoint list is.
    pub fn staleness(&self, now: Micros) -> Staleness {
        self.poll.staleness(now)
    }
}
