//! What changes in the membership.

use crate::Peer;
use foca::OwnedNotification;

/// What changed in the membership.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MembershipEvent {
    /// A peer is alive.
    Up(Peer),
    /// A peer is declared down.
    Down(Peer),
    /// This proxy was declared down and rejoined as this newer generation.
    Rejoined(Peer),
}

impl MembershipEvent {
    /// What a notification of foca means to the membership's owner, if anything.
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
