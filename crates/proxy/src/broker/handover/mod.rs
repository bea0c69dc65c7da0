//! The handover from an old process to the new one that replaces it while both serve. Together they act as
//! one proxy: they share the listening socket and the connection limits, and keep the same cordons.

mod peer;
mod state;

use crate::broker::Broker;
use crate::log;
use async_executor::Task;
use async_io::Async;
use std::net::TcpListener;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use wharfplank_admin::{
    Command, CommandId, ConnectionCounts, Cordons, Handover, HandoverMessage, MemberKnowledge,
};
use wharfplank_routing::Micros;
use wharfplank_transport::admin::AdminCall;
use wharfplank_transport::handover::{HandoverLink, Inherited, RendezvousSocket};

/// The interval at which the old process reports the number of its connections to the new one.
const REPORT_INTERVAL: Micros = 100_000;

/// This process's side of a possible or ongoing handover.
pub(super) struct HandoverController {
    /// The path at which a successor connects to this process.
    socket_path: PathBuf,
    /// Accepts connections at the path. Dropping it stops that, so that only one process listens at a time,
    /// however many successors fail.
    socket_task: Option<Task<()>>,
    /// The client listening socket, until this process stops accepting connections. Dropping it closes the
    /// socket unless the other process holds it too.
    listener: Option<Rc<Async<TcpListener>>>,
    /// The limits on the connections of both processes together.
    total_limits: ConnectionCounts,
    state: Handover,
    /// The connection to the other process, if there is one.
    link: Option<HandoverLink>,
    pending_calls: Vec<PendingCall>,
    /// Observations of members by the old process that have not been reported to the router yet.
    inherited_observations: Vec<MemberKnowledge>,
    last_reported: ConnectionCounts,
    next_report_at: Micros,
    /// Whether this process accepts clients: from the start if it replaces no other process, and otherwise
    /// once it is ready.
    is_serving: bool,
}

/// An admin call whose answer is delayed until the other process has confirmed it.
struct PendingCall {
    number: CommandId,
    call: AdminCall,
    answer: String,
}

impl HandoverController {
    fn new(
        socket_path: PathBuf,
        listener: Rc<Async<TcpListener>>,
        total_limits: ConnectionCounts,
        is_serving: bool,
    ) -> Self {
        HandoverController {
            socket_path,
            socket_task: None,
            listener: Some(listener),
            total_limits,
            state: Handover::default(),
            link: None,
            pending_calls: Vec::new(),
            inherited_observations: Vec::new(),
            last_reported: ConnectionCounts::default(),
            next_report_at: 0,
            is_serving,
        }
    }

    /// Sends a message to the other process; returns false if there is none or it accepts no more messages.
    fn send(&self, message: HandoverMessage) -> bool {
        self.link.as_ref().is_some_and(|link| link.send(message))
    }

    /// Reports the connections of this process to the new one if they have changed and the interval has
    /// passed.
    fn report_connections(&mut self, now: Micros, held: ConnectionCounts) {
        if self.state.is_predecessor() && now >= self.next_report_at && held != self.last_reported {
            self.next_report_at = now + REPORT_INTERVAL;
            self.last_reported = held;
            self.send(HandoverMessage::Connections(held));
        }
    }

    /// Answers the pending calls with these numbers.
    fn answer_calls(&mut self, numbers: &[CommandId]) {
        let pending = std::mem::take(&mut self.pending_calls);
        let is_answered = |pending: &PendingCall| numbers.contains(&pending.number);
        let (answered, waiting): (Vec<_>, Vec<_>) = pending.into_iter().partition(is_answered);
        self.pending_calls = waiting;
        for PendingCall { call, answer, .. } in answered {
            call.answer(answer);
        }
    }
}

impl Broker {
    /// Enables another process to take over from this one. `total_limits` applies to the connections of both
    /// processes together, and `inherited` is the state taken over from the predecessor, if any.
    pub fn enable_handover(
        &mut self,
        socket_path: PathBuf,
        listener: Rc<Async<TcpListener>>,
        total_limits: ConnectionCounts,
        inherited: Option<Inherited>,
    ) {
        let mut handover = HandoverController::new(socket_path, listener, total_limits, inherited.is_none());
        match inherited {
            Some(inherited) => self.take_over(&mut handover, inherited),
            None => handover.socket_task = self.open_handover_socket(&handover.socket_path),
        }
        self.handover = Some(handover);
        self.apply_connection_limits();
    }

    /// Adopts the state of the process that this one replaces.
    fn take_over(&mut self, handover: &mut HandoverController, inherited: Inherited) {
        let state = inherited.state.clone();
        log::handover_step("replaces another", state.cordoned.len());
        self.endpoints.cordons = Cordons::restore(state.cordoned, state.uncordoned_at);
        handover.inherited_observations = state.members;
        handover.state = Handover::successor_of(state.connections);
        handover.link = Some(inherited.into_link(&self.pools.executor, self.events.clone()));
    }

    /// Listens for a successor. On failure this process cannot be replaced but continues to serve.
    fn open_handover_socket(&self, path: &Path) -> Option<Task<()>> {
        match RendezvousSocket::bind(path) {
            Ok(socket) => Some(self.pools.executor.spawn(socket.accept_requests(self.events.clone()))),
            Err(error) => {
                log::handover_step(&format!("cannot be replaced: {}: {error}", path.display()), 0);
                None
            }
        }
    }

    /// Binds this process's socket at the path, replacing the socket of any other process.
    fn claim_handover_socket(&mut self) {
        let Some(handover) = &self.handover else { return };
        let socket_task = self.open_handover_socket(&handover.socket_path);
        if let Some(handover) = &mut self.handover {
            handover.socket_task = socket_task;
        }
    }

    /// Closes the listening socket and the handover socket.
    pub(super) fn release_listener(&mut self) {
        if let Some(handover) = &mut self.handover {
            handover.listener = None;
            handover.socket_task = None;
        }
    }

    /// Executes an operator's call, and answers it once the other process, if any, has confirmed it too.
    pub(super) fn on_admin_call(&mut self, call: AdminCall) {
        let answer = self.perform_admin_call(&call.command);
        let (id, is_cordoned) = match &call.command {
            Command::Cordon(id) => (id.clone(), true),
            Command::Uncordon(id) => (id.clone(), false),
            Command::Health | Command::Counters => return call.answer(answer),
        };
        let at = self.clock.now();
        let Some(handover) = self.handover.as_mut().filter(|_| answer.starts_with("ok")) else {
            return call.answer(answer);
        };
        match handover.state.register_command(at) {
            Some(number) if handover.send(HandoverMessage::Cordon { number, id, is_cordoned, at }) => {
                handover.pending_calls.push(PendingCall { number, call, answer });
            }
            _ => call.answer(answer),
        }
    }

    /// Runs the timed work of the handover.
    pub(super) fn run_handover_timers(&mut self) {
        let now = self.clock.now();
        let held = self.connections_held();
        let is_ready = self.lifecycle.is_ready();
        let Some(handover) = &mut self.handover else { return };
        let overdue_calls = handover.state.expire_commands(now);
        handover.report_connections(now, held);
        if is_ready && !handover.is_serving {
            handover.is_serving = true;
            handover.send(HandoverMessage::Serving);
            self.claim_handover_socket();
            self.apply_connection_limits();
        }
        if let Some(handover) = &mut self.handover {
            handover.answer_calls(&overdue_calls);
        }
    }

    /// Returns when [`Broker::run_handover_timers`] is due next, independently of events.
    pub(super) fn next_handover_timer(&self) -> Option<Micros> {
        let handover = self.handover.as_ref()?;
        let report = handover.state.is_predecessor().then(|| self.clock.now() + REPORT_INTERVAL);
        report.into_iter().chain(handover.state.next_deadline()).min()
    }

    fn connections_held(&self) -> ConnectionCounts {
        ConnectionCounts {
            clients: self.clients.open_connections(),
            members: self.pools.open_connections.get(),
        }
    }

    /// Applies this process's part of the connection limits.
    fn apply_connection_limits(&mut self) {
        let Some(handover) = &self.handover else { return };
        let limits = handover.state.connection_limit(handover.total_limits);
        self.clients.set_max_connections(limits.clients);
        self.pools.max_connections.set(limits.members);
        self.clients.set_accepting(handover.state.accepts_connections(self.lifecycle.is_ready()));
    }
}
