//! Tests that the encoding of messages does not change, because processes of other versions decode them.

use siphasher::sip::SipHasher13;
use std::hash::Hasher as _;
use std::net::{Ipv4Addr, SocketAddrV4};
use wharfplank_negative_cache::*;

const SECOND: Micros = 1_000_000;

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

#[test]
fn encoding_of_message_parts_is_stable() {
    let closed_slot = ClosedSlot { slot: 300, all_keys: true, keys: vec![KeyHash(5), KeyHash(70_000)] };
    let request =
        WriteLeaseRequest { holder: 400, sequence: 3, closed_slots: vec![closed_slot], final_slot: Some(-2) };
    assert_eq!(hex(&postcard::to_allocvec(&request).unwrap()), "90030301d804010205f0a2040103");
    let grant = WriteLeaseGrant { holder: 400, sequence: 3, acknowledged: 299 };
    assert_eq!(hex(&postcard::to_allocvec(&grant).unwrap()), "900303d604");
    let seal =
        SealedSlot { server: 2, incarnation: 77_777, slot: 300, all_keys: false, keys: vec![KeyHash(9)] };
    assert_eq!(hex(&postcard::to_allocvec(&seal).unwrap()), "02a2bf09d804000109");
    let entry =
        NegativeEntry { position: 1_000, expires_at: 2_000, key: KeyHash(6), primary: 7, response: 8 };
    let announcement = Announcement { statement: StatementHash(1 << 100), entry };
    assert_eq!(
        hex(&postcard::to_allocvec(&announcement).unwrap()),
        "808080808080808080808080808004d00fa01f060708"
    );
}

fn address(n: usize) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(10, 0, 0, 1), 7_000 + n as u16)
}

/// Four processes, two of which are lease servers, exchange messages of all kinds. The digest covers all
/// bytes sent, in order.
#[test]
fn bytes_sent_by_four_processes_are_stable() {
    let hasher = KeyHasher::from_passphrase("a secret");
    let servers: Vec<SocketAddrV4> = (0..2).map(address).collect();
    let mut now = 1_000 * SECOND;
    let config = NegativeCacheConfig { max_commit_delay: SECOND, ..NegativeCacheConfig::default() };
    let node =
        |n: usize| Node::new(config.clone(), hasher.clone(), address(n), servers.clone(), n as u64 + 1, now);
    let mut nodes: Vec<Node> = (0..4).map(node).collect();
    let mut digest = SipHasher13::new();
    let (mut kinds, mut hits, mut written) = ([0; 5], 0, 0);
    for step in 0..1_000_u32 {
        now += 20_000;
        for n in 0..nodes.len() {
            let key = (step % 50).to_le_bytes();
            let lookup = Lookup::new(&hasher, 1, &key, &key, 1);
            if step % 10 == n as u32 {
                match nodes[n].lookup(now, &lookup, Freshness::MaxStaleness(2 * SECOND)) {
                    Some(_) => hits += 1,
                    None => nodes[n].record_missing(now, &lookup, now - 5_000, b"none"),
                }
            }
            if step % 40 == 7 && nodes[n].write_leases.can_write(now) {
                let write = nodes[n].writes.begin(now, vec![lookup.key]).unwrap();
                nodes[n].writes.on_answered(now, write);
                written += 1;
            }
            if step == 900 && n == 3 {
                nodes[n].write_leases.shut_down();
            }
            nodes[n].tick(now);
            for (to, bytes) in nodes[n].take_datagrams() {
                digest.write(&bytes);
                kinds[usize::from(bytes[0])] += 1;
                nodes[usize::from(to.port()) - 7_000].on_datagram(now, address(n), &bytes);
            }
        }
    }
    assert_eq!((kinds, hits, written), ([616, 444, 392, 84, 333], 308, 70));
    assert_eq!(digest.finish(), 0xf8e5_0b8a_0689_599a);
}
