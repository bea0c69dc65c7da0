//! The bytes of messages, which processes of other versions read.

use siphasher::sip::SipHasher13;
use std::hash::Hasher as _;
use std::net::{Ipv4Addr, SocketAddrV4};
use wharfplank_negative_cache::*;

const SECOND: Micros = 1_000_000;

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

#[test]
fn parts_of_messages_keep_their_bytes() {
    let note = Note { slot: 300, every: true, marks: vec![Mark(5), Mark(70_000)] };
    let ask = Ask { holder: 400, number: 3, notes: vec![note], last: Some(-2) };
    assert_eq!(hex(&postcard::to_allocvec(&ask).unwrap()), "90030301d804010205f0a2040103");
    let grant = Grant { holder: 400, ask: 3, had: 299 };
    assert_eq!(hex(&postcard::to_allocvec(&grant).unwrap()), "900303d604");
    let seal = Seal { bank: 2, launch: 77_777, slot: 300, every: false, marks: vec![Mark(9)] };
    assert_eq!(hex(&postcard::to_allocvec(&seal).unwrap()), "02a2bf09d804000109");
    let fact = Fact { position: 1_000, ends: 2_000, mark: Mark(6), primary: 7, answer: 8 };
    let told = Told { key: Key(1 << 100), fact };
    assert_eq!(hex(&postcard::to_allocvec(&told).unwrap()), "808080808080808080808080808004d00fa01f060708");
}

fn address(n: usize) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(10, 0, 0, 1), 7_000 + n as u16)
}

/// Four processes, two of them banks, exchange messages of all kinds; a digest over all bytes in their order.
#[test]
fn a_run_of_four_processes_sends_the_same_bytes() {
    let hasher = Hasher::of("a secret");
    let banks: Vec<SocketAddrV4> = (0..2).map(address).collect();
    let mut now = 1_000 * SECOND;
    let terms = Terms { late: SECOND, ..Terms::default() };
    let node =
        |n: usize| Node::new(terms.clone(), hasher.clone(), address(n), banks.clone(), n as u64 + 1, now);
    let mut nodes: Vec<Node> = (0..4).map(node).collect();
    let mut digest = SipHasher13::new();
    let (mut kinds, mut known, mut begun) = ([0; 5], 0, 0);
    for step in 0..1_000_u32 {
        now += 20_000;
        for n in 0..nodes.len() {
            let key = (step % 50).to_le_bytes();
            let asked = Asked::new(&hasher, 1, &key, &key, 1);
            if step % 10 == n as u32 {
                match nodes[n].question(now, &asked, Need::Bounded(2 * SECOND)) {
                    Some(_) => known += 1,
                    None => nodes[n].heard(now, &asked, now - 5_000, b"none"),
                }
            }
            if step % 40 == 7 && nodes[n].leave.may_write(now) {
                let ticket = nodes[n].writes.begin(now, vec![asked.mark]).unwrap();
                nodes[n].writes.settled(now, ticket);
                begun += 1;
            }
            if step == 900 && n == 3 {
                nodes[n].leave.end();
            }
            nodes[n].tick(now);
            for (to, bytes) in nodes[n].take_sends() {
                digest.write(&bytes);
                kinds[usize::from(bytes[0])] += 1;
                nodes[usize::from(to.port()) - 7_000].received(now, address(n), &bytes);
            }
        }
    }
    assert_eq!((kinds, known, begun), ([616, 444, 392, 84, 333], 308, 70));
    assert_eq!(digest.finish(), 0xf8e5_0b8a_0689_599a);
}
