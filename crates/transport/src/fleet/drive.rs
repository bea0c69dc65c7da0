//! The loop of the fleet's thread.

use super::judge::judge;
use super::{key, Fact, Parts, Said, Told, Turns};
use crate::worker::{RingReceiver, RingSender};
use async_io::{Async, Timer};
use futures_lite::future;
use std::collections::BTreeMap;
use std::net::{SocketAddr, UdpSocket};
use std::sync::Arc;
use std::time::Duration;
use wharfplank_failover::{decode_votes, encode_votes, MemberOutcome, VoteVersion, TOPIC};
use wharfplank_gossip::Datagram;
use wharfplank_routing::Micros;
use wharfplank_shared_state::{Frame, FRAME_OVERHEAD};

/// How often the traffic is told, and the least change of a share that is passed on.
const TELL_EVERY: Micros = 5_000_000;
const SHARE_STEP: f64 = 0.02;
/// The largest datagram that a rumour is put on, and how often a changed digest is told, and a snapshot kept.
const PACKET_BYTES: usize = 1400;
const DIGEST_EVERY: Micros = 1_000_000;
const KEEP_EVERY: Micros = 5_000_000;
/// News wait in their own bounded table while less than this is free of the ring: shares and factors go first.
const NEWS_ROOM: usize = 64;

/// Datagrams of one turn: one costs less where more are there, and the rest of the turn must not starve.
const DATAGRAMS: usize = 64;

/// What the loop keeps besides the parts.
struct Course {
    /// The broker's ring.
    told: RingSender<Told>,
    /// The shares that the broker was told last.
    shares: BTreeMap<String, f64>,
    tell_at: Micros,
    digest: u64,
    digest_at: Micros,
    keep_at: Micros,
}

enum Woken {
    Datagram(usize, SocketAddr),
    Fact(Fact),
    Time,
    Closed,
}

/// Runs until the broker's side is gone.
pub(super) async fn drive(
    mut parts: Parts,
    socket: UdpSocket,
    mut facts: RingReceiver<Fact>,
    told: RingSender<Told>,
    turns: Arc<Turns>,
) {
    // A socket that the reactor does not take is one that hears nothing: this proxy then decides alone.
    let Ok(socket) = Async::new(socket) else { return };
    let now = (parts.now)();
    (parts.say)(Said::Started(parts.peers.local_peer()));
    let (shares, tell_at, keep_at) = (BTreeMap::new(), now + TELL_EVERY, now + KEEP_EVERY);
    let mut course = Course { told, shares, tell_at, digest: 0, digest_at: now, keep_at };
    // The router hears at once that zones are decided in common: near members win among ties from now on.
    course.told.send(Told::Shares(Vec::new()));
    parts.peers.join(&parts.seeds, now);
    let mut buffer = vec![0_u8; 65_536];
    loop {
        let pause = Duration::from_micros((due(&parts, &course) - (parts.now)()).clamp(0, 1_000_000) as u64);
        let woken = future::or(
            future::or(
                async {
                    socket.recv_from(&mut buffer).await.map_or(Woken::Time, |(n, at)| Woken::Datagram(n, at))
                },
                async { facts.recv().await.map_or(Woken::Closed, Woken::Fact) },
            ),
            async {
                Timer::after(pause).await;
                Woken::Time
            },
        )
        .await;
        let now = (parts.now)();
        turns.runs(now);
        match woken {
            Woken::Datagram(count, from) => {
                received(&mut parts, now, from, &buffer[..count]);
                for _ in 1..DATAGRAMS {
                    let Ok((count, from)) = socket.get_ref().recv_from(&mut buffer) else { break };
                    received(&mut parts, now, from, &buffer[..count]);
                }
            }
            Woken::Fact(fact) => take(&mut parts, now, fact),
            Woken::Time => {}
            Woken::Closed => {
                parts.peers.leave();
                send_all(&mut parts, now, &socket).await;
                return;
            }
        }
        while let Some(fact) = facts.try_recv() {
            take(&mut parts, now, fact);
        }
        turn(&mut parts, &mut course, now, facts.dropped());
        send_all(&mut parts, now, &socket).await;
    }
}

fn due(parts: &Parts, course: &Course) -> Micros {
    let state = parts.replica.as_ref().map_or(Micros::MAX, |r| r.next_due().min(course.digest_at));
    let state = parts.judge.as_ref().map_or(state, |j| state.min(j.due()));
    parts.peers.next_due().min(parts.zones.next_due((parts.now)())).min(course.tell_at).min(state)
}

/// A fact of the broker. Zones are judged by when this thread hears of it, which is what its own stillness is about.
fn take(parts: &mut Parts, now: Micros, fact: Fact) {
    let skew = parts.skew;
    match (fact, &mut parts.replica, &mut parts.judge) {
        (Fact::Seen(seen), ..) if seen.answered => {
            parts.zones.record(now, &seen.zone, seen.member, MemberOutcome::Answered)
        }
        (Fact::Seen(seen), ..) => parts.zones.record_timeout(now, seen.sent + skew, &seen.zone, seen.member),
        (Fact::Position(at, member, epoch, told), Some(r), _) => {
            r.record_position(at + skew, member, epoch, told)
        }
        (Fact::Suspects(at, member, status), Some(r), _) => r.record_member_status(at + skew, member, status),
        (Fact::Count(at, counter), Some(r), _) => r.add_to_counter(at + skew, counter, 1),
        (Fact::Doubt(at, write, outcome), Some(r), _) => r.record_write_outcome(at + skew, write, outcome),
        (Fact::Listed(member, names, born_ms), _, Some(judge)) => {
            judge.listed(member, &names.0, &names.1, born_ms)
        }
        (Fact::Retain(known), _, Some(judge)) => judge.retain(|member| known.contains(&member)),
        (Fact::Outcome(at, member, outcome), _, Some(judge)) => {
            judge.health.record(at + skew, member, outcome)
        }
        (Fact::Lags(at, member, lag), _, Some(judge)) => judge.health.record_lag(at + skew, member, lag),
        _ => {}
    }
}

/// What is due: each part does its own, and what changed goes to the others, the broker and the log.
fn turn(parts: &mut Parts, course: &mut Course, now: Micros, facts_dropped: u64) {
    parts.peers.tick(now);
    for change in parts.peers.take_events() {
        (parts.say)(Said::Changed(&change));
    }
    hear(parts, now);
    if let Some(factors) = judge(parts, now) {
        course.told.send(Told::Factors(factors));
    }
    if let Some(replica) = &mut parts.replica {
        replica.set_live_peers(now, parts.peers.live_peers().map(|peer| peer.addr));
        replica.tick(now);
        let news = if course.told.free_slots() > NEWS_ROOM { replica.take_updates() } else { Vec::new() };
        if !news.is_empty() {
            course.told.send(Told::News(news));
        }
    }
    if parts.zones.evaluate(now) || !course.shares.is_empty() {
        tell(parts, now, course);
    }
    if now >= course.tell_at {
        course.tell_at = now + TELL_EVERY;
        (parts.say)(Said::Traffic(&parts.peers, facts_dropped, course.told.dropped()));
    }
    let Some(replica) = &parts.replica else { return };
    if now >= course.digest_at {
        course.digest_at = now + DIGEST_EVERY;
        let digest = replica.store().digest();
        if digest != std::mem::replace(&mut course.digest, digest) {
            (parts.say)(Said::SharedState(replica));
        }
    }
    if let Some(keep) = parts.keep.as_ref().filter(|_| now >= course.keep_at) {
        course.keep_at = now + KEEP_EVERY;
        keep(replica.snapshot(now));
    }
}

/// Hands the notes of peers that are alive to the decision, and publishes this proxy's votes where they changed.
fn hear(parts: &mut Parts, now: Micros) {
    let me = parts.peers.local_peer().addr;
    let alive: Vec<u64> = parts.peers.live_peers().map(|p| key(p.addr)).collect();
    let notes: Vec<(u64, VoteVersion, Vec<u8>)> = parts
        .peers
        .notes()
        .by_topic(TOPIC)
        .filter(|note| note.origin != me)
        .map(|note| {
            let version = VoteVersion { generation: note.generation, version: note.version };
            (key(note.origin), version, note.body.clone())
        })
        .collect();
    for (from, version, body) in notes {
        if let Ok(votes) = decode_votes(&body) {
            parts.zones.on_peer_votes(now, from, version, &votes);
        }
    }
    parts.zones.set_live_peers(now, alive.into_iter());
    if let Some(votes) = parts.zones.votes_to_publish(now) {
        // Votes that do not fit a note are not published: the peers keep the older ones.
        let _ = parts.peers.publish(TOPIC, encode_votes(&votes));
    }
}

/// Tells the broker the shares where one changed, and the log where a standing did.
fn tell(parts: &mut Parts, now: Micros, course: &mut Course) {
    let told = &course.shares;
    let shares: BTreeMap<String, f64> = parts.zones.reduced_shares(now).into_iter().collect();
    let moved = shares.len() != told.len()
        || shares
            .iter()
            .any(|(zone, share)| told.get(zone).is_none_or(|was| (was - share).abs() >= SHARE_STEP));
    if !moved {
        return;
    }
    let alive = parts.peers.live_peers().count();
    let alone = parts.zones.is_isolated();
    let named: std::collections::BTreeSet<&String> = shares.keys().chain(told.keys()).collect();
    for zone in named {
        let (was, share) = (told.get(zone).copied().unwrap_or(1.0), shares.get(zone).copied().unwrap_or(1.0));
        let standing = parts.zones.zone_state(zone);
        if (was == 0.0) != (share == 0.0) || (was == 1.0) != (share == 1.0) {
            (parts.say)(Said::Standing { zone, standing, share, alive, alone });
        }
    }
    // What does not fit is told with the next turn.
    if course.told.send(Told::Shares(shares.clone().into_iter().collect())) {
        course.shares = shares;
    }
}

/// A datagram is the membership's, with or without a message of the replicated state behind it.
fn received(parts: &mut Parts, now: Micros, from: SocketAddr, datagram: &[u8]) {
    // A frame that cannot be read is handed on as it is: the membership counts it among what it rejects.
    let undecoded = Frame { membership: datagram, shared_state: &[] };
    let Frame { membership, shared_state: message } = Frame::decode(datagram).unwrap_or(undecoded);
    if !membership.is_empty() {
        parts.peers.on_datagram(now, membership);
    }
    if let (Some(replica), SocketAddr::V4(from), false) = (&mut parts.replica, from, message.is_empty()) {
        replica.on_message(now, from, message);
    }
}

async fn send_all(parts: &mut Parts, now: Micros, socket: &Async<UdpSocket>) {
    // A datagram that cannot go is as one lost on the wire: SWIM sends again, and so do exchanges.
    for Datagram { to, payload: datagram } in parts.peers.take_datagrams() {
        let room = PACKET_BYTES.saturating_sub(datagram.len() + FRAME_OVERHEAD);
        let rides = parts.replica.as_mut().and_then(|replica| replica.piggyback(now, room));
        let datagram = match &rides {
            Some(message) => Frame { membership: &datagram, shared_state: message }.encode(),
            None => datagram,
        };
        let _ = socket.send_to(&datagram, to).await;
    }
    let sends = parts.replica.as_mut().map(|replica| replica.take_datagrams());
    for (to, message) in sends.into_iter().flatten() {
        let _ = socket.send_to(&Frame { membership: &[], shared_state: &message }.encode(), to).await;
    }
}
