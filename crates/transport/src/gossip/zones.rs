//! The driver of zone failover: exchanges votes with peers and reports each zone's share of reads.

use super::driver::Driver;
use super::{peer_key, GossipLogEvent, GossipUpdate};
use std::collections::{BTreeMap, BTreeSet};
use wharfplank_failover::{decode_votes, encode_votes, VoteVersion, VOTES_TOPIC};
use wharfplank_routing::Micros;

/// The smallest change of a share that is reported.
const MIN_SHARE_CHANGE: f64 = 0.02;
/// The share of a zone without reduction.
const FULL_SHARE: f64 = 1.0;

/// A peer's note with its votes.
struct VoteNote {
    peer: u64,
    version: VoteVersion,
    body: Vec<u8>,
}

impl Driver {
    /// Passes the peers' votes and the set of live peers to the failover decision, and publishes this proxy's
    /// votes if they have changed.
    pub(super) fn exchange_votes(&mut self, now: Micros) {
        for note in self.vote_notes() {
            if let Ok(votes) = decode_votes(&note.body) {
                self.worker.failover.on_peer_votes(now, note.peer, note.version, &votes);
            }
        }
        let live_peers = self.worker.membership.live_peers().map(|peer| peer_key(peer.addr));
        self.worker.failover.set_live_peers(now, live_peers);
        if let Some(votes) = self.worker.failover.votes_to_publish(now) {
            // Votes that do not fit into a note are not published, and the peers keep the previous ones.
            let _ = self.worker.membership.publish(VOTES_TOPIC, encode_votes(&votes));
        }
    }

    fn vote_notes(&self) -> Vec<VoteNote> {
        let membership = &self.worker.membership;
        let local_addr = membership.local_peer().addr;
        let notes = membership.notes();
        notes
            .by_topic(VOTES_TOPIC)
            .filter(|note| note.origin != local_addr)
            .map(|note| VoteNote {
                peer: peer_key(note.origin),
                version: VoteVersion { generation: note.generation, version: note.version },
                body: note.body.clone(),
            })
            .collect()
    }

    /// Reports the zones' shares of reads to the broker if any has changed, and logs the zones that changed
    /// their state.
    pub(super) fn report_shares(&mut self, now: Micros) {
        let shares: BTreeMap<String, f64> = self.worker.failover.reduced_shares(now).into_iter().collect();
        if !self.have_changed(&shares) {
            return;
        }
        self.log_zone_changes(&shares);
        // If the update does not fit into the ring, it is sent again with the next turn.
        let update = GossipUpdate::ZoneShares(shares.clone().into_iter().collect());
        if self.updates.send(update) {
            self.reported_shares = shares;
        }
    }

    fn have_changed(&self, shares: &BTreeMap<String, f64>) -> bool {
        let reported = &self.reported_shares;
        let has_changed = |zone: &String, share: f64| {
            reported.get(zone).is_none_or(|former| (former - share).abs() >= MIN_SHARE_CHANGE)
        };
        shares.len() != reported.len() || shares.iter().any(|(zone, share)| has_changed(zone, *share))
    }

    fn log_zone_changes(&self, shares: &BTreeMap<String, f64>) {
        let live_peers = self.worker.membership.live_peers().count();
        let is_isolated = self.worker.failover.is_isolated();
        let zones: BTreeSet<&String> = shares.keys().chain(self.reported_shares.keys()).collect();
        for zone in zones {
            let former = self.reported_shares.get(zone).copied().unwrap_or(FULL_SHARE);
            let share = shares.get(zone).copied().unwrap_or(FULL_SHARE);
            let state = self.worker.failover.zone_state(zone);
            let has_left_or_returned = (former == 0.0) != (share == 0.0);
            let has_full_share_changed = (former == FULL_SHARE) != (share == FULL_SHARE);
            if has_left_or_returned || has_full_share_changed {
                (self.worker.log)(GossipLogEvent::ZoneChanged {
                    zone,
                    state,
                    share,
                    live_peers,
                    is_isolated,
                });
            }
        }
    }
}
