//! The reasons why a listed member receives no new requests, for metrics and the log.

use wharfplank_protocol::endpoint_list::EndpointHealth;
use wharfplank_routing::Micros;

/// How long a member must have been suspected before it counts as excluded, in microseconds. Nearly all
/// suspected members are retried within 500 ms and serve again, which operators cannot tell from a pause
/// between two requests.
pub const MIN_SUSPECTED: Micros = 1_000_000;

/// The reason why a listed member receives no new requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Exclusion {
    /// An operator cordoned the member.
    Cordoned,
    /// The endpoint list does not report the member as active.
    Draining,
    /// The member has not answered, or has reset its connections, for [`MIN_SUSPECTED`] or longer.
    Suspected,
}

impl Exclusion {
    /// Returns why a member is excluded at `now`, or `None` if it is in service. `suspected_since` is the
    /// time at which the member became suspected, or `None` if it is not suspected.
    pub fn of(
        health: EndpointHealth,
        is_cordoned: bool,
        suspected_since: Option<Micros>,
        now: Micros,
    ) -> Option<Self> {
        if is_cordoned {
            return Some(Exclusion::Cordoned);
        }
        if health != EndpointHealth::Active {
            return Some(Exclusion::Draining);
        }
        let suspected_since = suspected_since?;
        (now - suspected_since >= MIN_SUSPECTED).then_some(Exclusion::Suspected)
    }

    /// Returns the name of the reason in the log.
    pub fn as_str(self) -> &'static str {
        match self {
            Exclusion::Cordoned => "cordoned",
            Exclusion::Draining => "draining",
            Exclusion::Suspected => "suspected",
        }
    }
}
