//! The agents on the members' machines. Each receives requests on its own port, follows an order if it names
//! the member's current incarnation, and records the events of its member.

use super::case::{Case, Scenario, NEW_VERSION, OLD_VERSION};
use super::events::{MemberEvent, MemberEventKind, StopCause};
use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::cell::{Cell, RefCell};
use std::net::{SocketAddr, UdpSocket};
use std::rc::Rc;
use std::time::Duration;
use wharfplank_lab::clock::now;
use wharfplank_lab::member_model::MemberBehavior;
use wharfplank_lab::stand_ins::StandIns;
use wharfplank_rollout::{AgentCommand, AgentRequest, AgentStatus};

/// The time for which a member takes no new requests before its process exits, so that proxies learn of the
/// drain.
const DRAIN_TIME: Duration = Duration::from_millis(400);
/// Separates the random numbers of the agents from others of the same seed.
const AGENT_SEED: u64 = 0xa9e27;
/// The possible numbers of copies of a request in [`Case::Lossy`], of which one is chosen at random.
const LOSSY_COPIES: [usize; 5] = [0, 2, 1, 1, 1];
/// One reply in this many is lost in [`Case::Lossy`].
const LOSSY_REPLIES: i32 = 5;
/// The longest delay of a request in [`Case::Lossy`], in milliseconds.
const LOSSY_DELAY_MS: u64 = 300;
/// The fraction of requests that the new version rejects in [`Case::Rejects`].
const REJECTED_FRACTION: f64 = 0.5;
/// The factor by which the new version is slower in [`Case::Slow`].
const SLOWNESS: f64 = 20.0;
const MICROS_PER_MS: i64 = 1000;

/// The state of a member on its machine.
#[derive(Clone, Copy, Debug)]
pub struct MemberState {
    /// The version that the member runs, or is to run.
    pub version: u64,
    /// The member's incarnation.
    pub incarnation: u64,
    /// Whether the member serves.
    pub ready: bool,
    /// Whether the member is stopping or starting.
    pub is_restarting: bool,
}

/// A copy of a request that arrives at an agent.
struct Arrival {
    delay: Duration,
    is_answered: bool,
}

/// The agents of all members.
pub struct MemberAgents {
    stand_ins: Rc<StandIns>,
    executor: Rc<LocalExecutor<'static>>,
    scenario: Scenario,
    /// The address of each member's agent.
    pub addresses: Vec<SocketAddr>,
    /// The state of each member.
    pub states: RefCell<Vec<MemberState>>,
    /// The events of the members.
    pub events: RefCell<Vec<MemberEvent>>,
    rng: RefCell<SmallRng>,
    /// The number of orders for another incarnation than the member's current one.
    pub stale_orders: Cell<u64>,
}

impl MemberAgents {
    /// Starts the agents of all stand-in members.
    ///
    /// # Errors
    ///
    /// If a socket can't be bound.
    pub fn start(
        executor: &Rc<LocalExecutor<'static>>,
        stand_ins: &Rc<StandIns>,
        scenario: &Scenario,
    ) -> std::io::Result<Rc<MemberAgents>> {
        let count = stand_ins.model().members.len();
        let mut sockets = Vec::new();
        for _ in 0..count {
            sockets.push(Async::<UdpSocket>::bind(([127, 0, 0, 1], 0))?);
        }
        let addresses =
            sockets.iter().map(|socket| socket.get_ref().local_addr()).collect::<Result<_, _>>()?;
        let initial = MemberState { version: OLD_VERSION, incarnation: 0, ready: true, is_restarting: false };
        let agents = Rc::new(MemberAgents {
            stand_ins: Rc::clone(stand_ins),
            executor: Rc::clone(executor),
            scenario: scenario.clone(),
            addresses,
            states: RefCell::new(vec![initial; count]),
            events: RefCell::default(),
            rng: RefCell::new(SmallRng::seed_from_u64(scenario.seed ^ AGENT_SEED)),
            stale_orders: Cell::new(0),
        });
        for (member, socket) in sockets.into_iter().enumerate() {
            executor.spawn(Rc::clone(&agents).serve(member, Rc::new(socket))).detach();
        }
        Ok(agents)
    }

    async fn serve(self: Rc<Self>, member: usize, socket: Rc<Async<UdpSocket>>) {
        let mut buffer = [0_u8; 2048];
        loop {
            let Ok((count, from)) = socket.recv_from(&mut buffer).await else { continue };
            let Ok(request) = AgentRequest::from_bytes(&buffer[..count]) else { continue };
            for arrival in self.arrivals() {
                let agents = Rc::clone(&self);
                let socket = Rc::clone(&socket);
                let answer = async move {
                    Timer::after(arrival.delay).await;
                    let status = agents.on_request(member, &request);
                    if arrival.is_answered {
                        // A reply that can't be sent is a lost datagram.
                        let _ = socket.send_to(&status.to_bytes(), from).await;
                    }
                };
                self.executor.spawn(answer).detach();
            }
        }
    }

    /// Returns the copies of a request that arrive: one without delay, unless the network is lossy.
    fn arrivals(&self) -> Vec<Arrival> {
        if self.scenario.case != Case::Lossy {
            return vec![Arrival { delay: Duration::ZERO, is_answered: true }];
        }
        let mut rng = self.rng.borrow_mut();
        let copies = LOSSY_COPIES[rng.random_range(0..LOSSY_COPIES.len())];
        let mut arrivals = Vec::new();
        for _ in 0..copies {
            let delay = Duration::from_millis(rng.random_range(0..LOSSY_DELAY_MS));
            let is_answered = rng.random_range(0..LOSSY_REPLIES) > 0;
            arrivals.push(Arrival { delay, is_answered });
        }
        arrivals
    }

    /// Follows a request, and returns the member's state after it.
    fn on_request(self: &Rc<Self>, member: usize, request: &AgentRequest) -> AgentStatus {
        let state = self.states.borrow()[member];
        match request.command {
            AgentCommand::Status => {}
            AgentCommand::Restart { incarnation, version, only_if_down } => {
                let is_rejected = state.is_restarting || only_if_down && state.ready;
                if incarnation != state.incarnation {
                    self.stale_orders.set(self.stale_orders.get() + 1);
                } else if !is_rejected {
                    self.stop_and_restart(member, version, StopCause::Ordered);
                }
            }
            AgentCommand::HandOver { incarnation } => {
                if incarnation == state.incarnation && state.ready {
                    self.hand_over(member);
                }
            }
        }
        let MemberState { version, incarnation, ready, .. } = self.states.borrow()[member];
        AgentStatus { sequence: request.sequence, incarnation, version, ready }
    }

    /// Stops a member, and restarts it with this version. A member that crashes is not drained.
    pub fn stop_and_restart(self: &Rc<Self>, member: usize, version: u64, cause: StopCause) {
        let state = self.states.borrow()[member];
        if state.is_restarting {
            return;
        }
        self.states.borrow_mut()[member] = MemberState { is_restarting: true, ready: false, ..state };
        let was_primary = self.stand_ins.model().members[member].is_primary;
        let (incarnation, was_serving) = (state.incarnation, state.ready);
        self.record(member, MemberEventKind::Stopped { cause, incarnation, was_primary, was_serving });
        let drain_time = if cause == StopCause::Crashed { Duration::ZERO } else { DRAIN_TIME };
        self.set_behavior(member, MemberBehavior { is_draining: true, ..MemberBehavior::default() });
        let agents = Rc::clone(self);
        let restart = async move {
            Timer::after(drain_time).await;
            agents.set_behavior(
                member,
                MemberBehavior { is_draining: true, is_down: true, ..MemberBehavior::default() },
            );
            Timer::after(Duration::from_millis(agents.scenario.restart_ms)).await;
            agents.restart_finished(member, version);
        };
        self.executor.spawn(restart).detach();
    }

    fn restart_finished(&self, member: usize, version: u64) {
        let started_at_ms = now() / MICROS_PER_MS;
        let incarnation = started_at_ms as u64;
        let behavior = self.behavior_of(version);
        let ready = !behavior.is_down;
        self.stand_ins.update_model(|model| {
            model.members[member].behavior = behavior;
            model.members[member].started_at = started_at_ms * MICROS_PER_MS;
        });
        self.states.borrow_mut()[member] = MemberState { version, incarnation, ready, is_restarting: false };
        if ready {
            self.record(member, MemberEventKind::Started { incarnation, version });
        }
    }

    /// Returns the behavior of a member with this version.
    fn behavior_of(&self, version: u64) -> MemberBehavior {
        let normal = MemberBehavior::default();
        if version != NEW_VERSION {
            return normal;
        }
        match self.scenario.case {
            // The member stays on the endpoint list as it was, and answers nothing.
            Case::NeverReady => MemberBehavior { is_draining: true, is_down: true, ..normal },
            Case::Rejects => MemberBehavior { rejection_rate: REJECTED_FRACTION, ..normal },
            Case::Slow => MemberBehavior { slowdown: SLOWNESS, ..normal },
            _ => normal,
        }
    }

    fn set_behavior(&self, member: usize, behavior: MemberBehavior) {
        self.stand_ins.update_model(|model| model.members[member].behavior = behavior);
    }

    /// Makes the ready replica with the highest log position the primary.
    fn hand_over(&self, member: usize) {
        let states = self.states.borrow();
        self.stand_ins.update_model(|model| {
            if !model.members[member].is_primary {
                return;
            }
            let group = model.members[member].group;
            let is_able = |other: &usize| {
                *other != member && model.members[*other].group == group && states[*other].ready
            };
            let most_advanced =
                (0..model.members.len()).filter(is_able).max_by_key(|other| model.position_ms(*other));
            if let Some(successor) = most_advanced {
                model.members[member].is_primary = false;
                model.members[successor].is_primary = true;
            }
        });
    }

    /// Starts a drain of a member by service discovery.
    pub fn start_drain(&self, member: usize) {
        self.set_drained(member, true, |state| MemberEventKind::Stopped {
            cause: StopCause::Drained,
            incarnation: state.incarnation,
            was_primary: false,
            was_serving: true,
        });
    }

    /// Ends the drain of a member.
    pub fn end_drain(&self, member: usize) {
        self.set_drained(member, false, |state| MemberEventKind::Started {
            incarnation: state.incarnation,
            version: state.version,
        });
    }

    fn set_drained(
        &self,
        member: usize,
        is_drained: bool,
        event: impl FnOnce(MemberState) -> MemberEventKind,
    ) {
        let state = self.states.borrow()[member];
        if state.is_restarting {
            return;
        }
        self.stand_ins.update_model(|model| model.members[member].behavior.is_draining = is_drained);
        self.record(member, event(state));
    }

    fn record(&self, member: usize, kind: MemberEventKind) {
        self.events.borrow_mut().push(MemberEvent { at: now(), member, kind });
    }
}
