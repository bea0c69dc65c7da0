//! Events of the membership.

use crate::Peer;
use foca::OwnedNotification;

/// A change in the membership.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MembershipEvent {
    /// A peer is alive.
    Up(Peer),
    /// A peer was declared down.
    Down(Peer),
    /// This proxy was declared down and rejoined. The peer is its new identity, with a newer generation.
    Rejoined(Peer),
}

impl MembershipEvent {
    /// Converts a notification of foca. Returns `None` if it is of no interest to the membership's owner.
    pub(crate) fn from_foca(notification: OwnedNotification<Peer>) -> Option<MembershipEvent> {
        match notification {
            OwnedNotification::MemberUp(peer) | OwnedNotification::Rename(_, peer) => {
                Some(MembershipEvent::Up(peer))
            }
            OwnedNotification::MemberDown(peer) => Some(MembershipEvent::Down(peer)),
            OwnedNotification::Rejoin(peer) => Some(MembershipEvent::Rejoined(peer)),
            _ => None,
        }
    }
}
