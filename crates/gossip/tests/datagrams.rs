//! Pins the datagrams that proxies of different versions exchange. The expected values were taken from the
//! release before the types were renamed.

use std::net::SocketAddrV4;
use wharfplank_gossip::{Datagram, Membership, Micros, Note, Peer, SwimConfig};

const SECOND: Micros = 1_000_000;
const STEP: Micros = SECOND / 100;

fn address(index: u16) -> SocketAddrV4 {
    SocketAddrV4::new([127, 0, 0, 1].into(), 7000 + index)
}

fn membership(index: u16) -> Membership {
    let local_peer = Peer::new(address(index), "zone-a", 5);
    Membership::new(local_peer, SwimConfig::default(), u64::from(index) + 1, 0)
}

/// Extends an FNV-1a hash by `bytes`.
fn fnv1a(hash: u64, bytes: &[u8]) -> u64 {
    bytes.iter().fold(hash, |hash, byte| (hash ^ u64::from(*byte)).wrapping_mul(0x0000_0100_0000_01b3))
}

#[test]
fn join_request_encoding_is_stable() {
    let mut joining = membership(1);
    joining.join(&[address(0)], 0);
    let payload =
        [127, 0, 0, 1, 217, 54, 6, 122, 111, 110, 101, 45, 97, 5, 0, 127, 0, 0, 1, 216, 54, 0, 0, 6];
    assert_eq!(joining.take_datagrams(), [Datagram { to: address(0), payload: payload.to_vec() }]);
}

#[test]
fn note_encoding_is_stable() {
    let note = Note { origin: address(1), generation: 300, topic: 1, version: 2, body: vec![7, 8] };
    assert_eq!(postcard::to_allocvec(&note).unwrap(), [127, 0, 0, 1, 217, 54, 172, 2, 1, 2, 2, 7, 8]);
}

/// Four proxies join and publish notes, one of them is unreachable for a while, and one leaves. All datagrams
/// of ten seconds must keep their bytes and their order.
#[test]
fn seeded_run_sends_the_same_datagrams() {
    let mut all: Vec<Membership> = (0..4).map(membership).collect();
    (1..4).for_each(|index| all[index].join(&[address(0)], 0));
    all[1].take_datagrams();
    all[1].join(&[address(0)], 0);
    let mut hash = 0xcbf2_9ce4_8422_2325;
    let mut count = 0;
    for now in (0..10 * SECOND).step_by(STEP as usize) {
        match now {
            1_000_000 => all[2].publish(1, vec![1, 2, 3]).unwrap(),
            2_000_000 => all[3].publish(2, vec![9; 40]).unwrap(),
            6_000_000 => all[1].leave(),
            _ => {}
        }
        let mut sent = Vec::new();
        for membership in &mut all {
            membership.tick(now);
            sent.extend(membership.take_datagrams());
        }
        for Datagram { to, payload } in sent {
            hash = fnv1a(hash, &payload);
            count += 1;
            // The last proxy receives nothing for a while, so that it is suspected.
            let is_cut_off = (3 * SECOND..4 * SECOND + SECOND / 2).contains(&now) && to == address(3);
            let index = (0..4).find(|index| address(*index) == to).unwrap();
            if !is_cut_off {
                all[usize::from(index)].on_datagram(now, &payload);
            }
        }
    }
    assert_eq!((count, hash), (422, 0x217b_4083_fc87_6012));
    let bytes: Vec<(u64, u64)> = all.iter().map(|one| (one.sent.bytes, one.received.bytes)).collect();
    assert_eq!(bytes, [(5644, 5274), (4596, 4558), (5346, 5456), (5305, 4416)]);
    let live: Vec<usize> = all.iter().map(|one| one.live_peers().count()).collect();
    assert_eq!(live, [2, 3, 2, 2]);
    let notes: Vec<(u64, u64)> = all.iter().map(|one| (one.notes().accepted, one.notes().stale)).collect();
    assert_eq!(notes, [(2, 13), (2, 12), (2, 17), (2, 16)]);
}
