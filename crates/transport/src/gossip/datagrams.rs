//! The datagrams of the gossip worker: those of the membership protocol, and messages of the shared state that ride on
//! them or go beside them.

use super::driver::Driver;
use async_io::Async;
use std::net::{SocketAddr, UdpSocket};
use wharfplank_gossip::Datagram;
use wharfplank_routing::Micros;
use wharfplank_shared_state::{Frame, FRAME_OVERHEAD};

/// The largest datagram that a rumour is put on.
const MAX_PIGGYBACK_BYTES: usize = 1400;
/// Datagrams that are read in one turn: reading several costs less, and the rest of the turn must not starve.
const MAX_DATAGRAMS_PER_TURN: usize = 64;

impl Driver {
    /// Reads the datagrams that are there already, up to the limit of a turn.
    pub(super) fn receive_more(&mut self, now: Micros, socket: &Async<UdpSocket>, buffer: &mut [u8]) {
        for _ in 1..MAX_DATAGRAMS_PER_TURN {
            let Ok((length, from)) = socket.get_ref().recv_from(buffer) else { break };
            self.on_datagram(now, from, &buffer[..length]);
        }
    }

    /// Takes a datagram of the membership protocol, with or without a message of the shared state behind it.
    pub(super) fn on_datagram(&mut self, now: Micros, from: SocketAddr, datagram: &[u8]) {
        // A frame that cannot be decoded is passed on as it is: the membership counts it among what it rejects.
        let undecoded = Frame { membership: datagram, shared_state: &[] };
        let frame = Frame::decode(datagram).unwrap_or(undecoded);
        if !frame.membership.is_empty() {
            self.worker.membership.on_datagram(now, frame.membership);
        }
        if frame.shared_state.is_empty() {
            return;
        }
        if let (Some(shared_state), SocketAddr::V4(from)) = (&mut self.worker.shared_state, from) {
            shared_state.on_message(now, from, frame.shared_state);
        }
    }

    /// Sends what is to be sent. A datagram that cannot be sent is as one lost on the wire: SWIM sends again, and so do
    /// exchanges.
    pub(super) async fn send_datagrams(&mut self, now: Micros, socket: &Async<UdpSocket>) {
        for Datagram { to, payload } in self.worker.membership.take_datagrams() {
            let datagram = self.with_rumour(now, payload);
            let _ = socket.send_to(&datagram, to).await;
        }
        let Some(shared_state) = &mut self.worker.shared_state else { return };
        for (to, message) in shared_state.take_datagrams() {
            let datagram = Frame { membership: &[], shared_state: &message }.encode();
            let _ = socket.send_to(&datagram, to).await;
        }
    }

    /// A datagram of the membership with a rumour of the shared state behind it, where there is one that fits.
    fn with_rumour(&mut self, now: Micros, payload: Vec<u8>) -> Vec<u8> {
        let Some(shared_state) = &mut self.worker.shared_state else { return payload };
        let max_bytes = MAX_PIGGYBACK_BYTES.saturating_sub(payload.len() + FRAME_OVERHEAD);
        match shared_state.piggyback(now, max_bytes) {
            Some(message) => Frame { membership: &payload, shared_state: &message }.encode(),
            None => payload,
        }
    }
}
