//! Handles the messages from the other process of a handover.

use crate::broker::Broker;
use crate::log;
use async_io::Async;
use std::os::unix::net::UnixStream;
use wharfplank_admin::HandoverMessage;
use wharfplank_routing::Micros;
use wharfplank_transport::handover::{self as handover_socket, HandoverEvent, HandoverLink};

impl Broker {
    /// Handles an event of the other process: a takeover request, a message, or its disconnection.
    pub(in crate::broker) fn on_handover_event(&mut self, event: HandoverEvent) {
        if self.handover.is_none() {
            return;
        }
        match event {
            HandoverEvent::Requested(stream) => self.on_takeover_request(stream),
            HandoverEvent::Message(message) => self.on_peer_message(message),
            HandoverEvent::Disconnected => self.on_peer_lost(),
        }
        self.apply_connection_limits();
    }

    /// Handles another process's request to replace this one. It receives the listening socket and the state,
    /// unless a handover is already in progress.
    fn on_takeover_request(&mut self, stream: Async<UnixStream>) {
        let held = self.connections_held();
        let Some(handover) = &mut self.handover else { return };
        // Without a socket to hand over the request is not answered, as if no process were listening.
        let Some(listener) = handover.listener.clone() else { return };
        if !handover.state.begin(held) {
            return self.pools.executor.spawn(handover_socket::reject(stream)).detach();
        }
        let state = self.handover_state(held);
        log::handover_step("is being replaced", state.cordoned.len());
        let link = HandoverLink::accept(&self.pools.executor, stream, listener, &state, self.events.clone());
        if let Some(handover) = &mut self.handover {
            handover.link = Some(link);
        }
    }

    fn on_peer_message(&mut self, message: HandoverMessage) {
        let Some(handover) = &mut self.handover else { return };
        match message {
            HandoverMessage::Serving => {
                log::handover_step("the other serves", 0);
                handover.state.on_successor_serving();
            }
            HandoverMessage::Connections(counts) => handover.state.on_predecessor_connections(counts),
            HandoverMessage::CordonApplied(number) => {
                if handover.state.confirm_command(number) {
                    handover.answer_calls(&[number]);
                }
            }
            HandoverMessage::Cordon { number, id, is_cordoned, at } => {
                self.apply_peer_cordon(&id, is_cordoned, at);
                if let Some(handover) = &self.handover {
                    handover.send(HandoverMessage::CordonApplied(number));
                }
            }
        }
    }

    /// Applies a cordon or uncordon command that the other process received. That process has checked that
    /// the member is listed, so it is listed here too or will be shortly.
    fn apply_peer_cordon(&mut self, id: &str, is_cordoned: bool, at: Micros) {
        let cordons = &mut self.endpoints.cordons;
        let result = if is_cordoned { cordons.cordon(id, true) } else { cordons.uncordon(id, true, at) };
        self.apply_cordon(id, result);
    }

    fn on_peer_lost(&mut self) {
        log::handover_step("the other is gone", 0);
        self.report_peer_sessions(self.clock.now());
        let Some(handover) = &mut self.handover else { return };
        handover.link = None;
        let was_replaced = handover.state.is_predecessor();
        let unconfirmed_calls = handover.state.on_peer_lost();
        // The successor may have replaced this process's handover socket with its own.
        if was_replaced && handover.listener.is_some() {
            self.claim_handover_socket();
        }
        if let Some(handover) = &mut self.handover {
            handover.answer_calls(&unconfirmed_calls);
        }
    }
}
