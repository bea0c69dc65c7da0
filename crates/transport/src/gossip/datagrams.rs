//! The datagrams of the gossip worker: those of the membership protocol, and messages of the shared state,
//! piggybacked or sent separately.

use super::driver::Driver;
use async_io::Async;
use std::net::{SocketAddr, UdpSocket};
use wharfplank_gossip::Datagram;
use wharfplank_routing::Micros;
use wharfplank_shared_state::{Frame, FRAME_OVERHEAD};

/// The maximum size of a datagram with a piggybacked rumour.
const MAX_PIGGYBACK_BYTES: usize = 1400;
/// The maximum number of datagrams that are read in one turn. Reading several at once costs less; the limit
/// keeps the rest of the turn from starving.
const MAX_DATAGRAMS_PER_TURN: usize = 64;

impl Driver {
    /// Reads the datagrams that have already arrived, up to the limit of a turn.
    pub(super) fn receive_more(&mut self, now: Micros, socket: &Async<UdpSocket>, buffer: &mut [u8]) {
        for _ in 1..MAX_DATAGRAMS_PER_TURN {
            let Ok((length, from)) = socket.get_ref().recv_from(buffer) else { break };
            self.on_datagram(now, from, &buffer[..length]);
        }
    }

    /// Processes a datagram with a message of the membership protocol, of the shared state, or of both.
    pub(super) fn on_datagram(&mut self, now: Micros, from: SocketAddr, datagram: &[u8]) {
        // A frame that cannot be decoded is passed to the membership protocol unchanged, which counts it as
        // rejected.
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

    /// Sends the queued datagrams. A datagram that cannot be sent is treated as lost in the network: SWIM and
    /// the state exchanges send again.
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

    /// Appends a rumour of the shared state to a datagram of the membership protocol, if there is one that
    /// fits.
    fn with_rumour(&mut self, now: Micros, payload: Vec<u8>) -> Vec<u8> {
        let Some(shared_state) = &mut self.worker.shared_state else { return payload };
        let max_bytes = MAX_PIGGYBACK_BYTES.saturating_sub(payload.len() + FRAME_OVERHEAD);
        match shared_state.piggyback(now, max_bytes) {
            Some(message) => Frame { membership: &payload, shared_state: &message }.encode(),
            None => payload,
        }
    }
}
