//! The agents on members' machines: each takes calls on a port of its own, follows an order at the launch that it
//! names, and notes what its member did.

use super::case::{Case, Played, NEW, OLD};
use super::events::{MemberEvent, MemberEventKind, StopCause};
use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::cell::{Cell, RefCell};
use std::net::{SocketAddr, UdpSocket};
use std::rc::Rc;
use std::time::Duration;
use wharfplank_lab::fleet::Hand;
use wharfplank_lab::stand::{now, Stand};
use wharfplank_rollout::{AgentCommand, AgentRequest, AgentStatus};

/// A member takes nothing new for so long before its process ends, so that proxies have heard of the drain.
const DRAIN: Duration = Duration::from_millis(400);

/// One member's state on its machine.
#[derive(Clone, Copy, Debug)]
pub struct State {
    /// What it runs, or is to run.
    pub version: u64,
    /// Its launch.
    pub launch: u64,
    /// Whether it serves.
    pub ready: bool,
    /// Whether it is on its way out or back.
    pub moving: bool,
}

/// All agents.
pub struct Agents {
    stand: Rc<Stand>,
    executor: Rc<LocalExecutor<'static>>,
    played: Played,
    /// Where each takes calls.
    pub addresses: Vec<SocketAddr>,
    /// The members.
    pub states: RefCell<Vec<State>>,
    /// What they did.
    pub events: RefCell<Vec<MemberEvent>>,
    rng: RefCell<SmallRng>,
    /// Calls that named another launch than the member's.
    pub void: Cell<u64>,
}

impl Agents {
    /// Agents of all members of the stand.
    pub fn start(
        executor: &Rc<LocalExecutor<'static>>,
        stand: &Rc<Stand>,
        played: &Played,
    ) -> std::io::Result<Rc<Agents>> {
        let count = stand.fleet().members.len();
        let mut sockets = Vec::new();
        for _ in 0..count {
            sockets.push(Async::<UdpSocket>::bind(([127, 0, 0, 1], 0))?);
        }
        let addresses = sockets.iter().map(|s| s.get_ref().local_addr()).collect::<Result<_, _>>()?;
        let state = State { version: OLD, launch: 0, ready: true, moving: false };
        let agents = Rc::new(Agents {
            stand: Rc::clone(stand),
            executor: Rc::clone(executor),
            played: played.clone(),
            addresses,
            states: RefCell::new(vec![state; count]),
            events: RefCell::default(),
            rng: RefCell::new(SmallRng::seed_from_u64(played.seed ^ 0xa9e27)),
            void: Cell::new(0),
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
            let lossy = self.played.case == Case::Lossy;
            let mut rng = self.rng.borrow_mut();
            let copies = if !lossy { 1 } else { [0, 2, 1, 1, 1][rng.random_range(0..5)] };
            for _ in 0..copies {
                let late = if lossy { rng.random_range(0..300) } else { 0 };
                let (at, socket) = (Rc::clone(&self), Rc::clone(&socket));
                let answered = !lossy || rng.random_range(0..5) > 0;
                let answer = async move {
                    Timer::after(Duration::from_millis(late)).await;
                    let status = at.taken(member, &request);
                    if answered {
                        let _ = socket.send_to(&status.to_bytes(), from).await;
                    }
                };
                self.executor.spawn(answer).detach();
            }
        }
    }

    /// Takes a call, and tells what the member is then.
    fn taken(self: &Rc<Self>, member: usize, request: &AgentRequest) -> AgentStatus {
        let state = self.states.borrow()[member];
        match request.command {
            AgentCommand::Status => {}
            AgentCommand::Restart { incarnation: launch, version, only_if_down } => {
                if launch == state.launch && !state.moving && !(only_if_down && state.ready) {
                    self.leave(member, version, StopCause::Ordered);
                } else if launch != state.launch {
                    self.void.set(self.void.get() + 1);
                }
            }
            AgentCommand::HandOver { incarnation: launch } => {
                if launch == state.launch && state.ready {
                    self.hand_over(member);
                }
            }
        }
        let State { version, launch, ready, .. } = self.states.borrow()[member];
        AgentStatus { sequence: request.sequence, incarnation: launch, version, ready }
    }

    /// Lets the member out, and back as that version; what falls goes at once.
    pub fn leave(self: &Rc<Self>, member: usize, version: u64, cause: StopCause) {
        let was = self.states.borrow()[member];
        if was.moving {
            return;
        }
        {
            let mut states = self.states.borrow_mut();
            (states[member].moving, states[member].ready) = (true, false);
        }
        let was_primary = self.stand.fleet().members[member].primary;
        self.record(
            member,
            MemberEventKind::Stopped { cause, incarnation: was.launch, was_primary, was_serving: was.ready },
        );
        let drains = if cause == StopCause::Crashed { Duration::ZERO } else { DRAIN };
        self.stand.change(|fleet| fleet.members[member].hand = Hand { drains: true, ..Hand::default() });
        let at = Rc::clone(self);
        let move_on = async move {
            Timer::after(drains).await;
            let gone = Hand { drains: true, away: true, ..Hand::default() };
            at.stand.change(|fleet| fleet.members[member].hand = gone);
            Timer::after(Duration::from_millis(at.played.away_ms)).await;
            at.back(member, version);
        };
        self.executor.spawn(move_on).detach();
    }

    fn back(&self, member: usize, version: u64) {
        let (launch, case) = (now() / 1000, self.played.case);
        let new = version == NEW;
        let ready = !(new && case == Case::NeverReady);
        let hand = Hand {
            // One that does not get ready is listed as before, and answers nothing.
            drains: !ready,
            away: !ready,
            refuses: if new && case == Case::Refuses { 0.5 } else { 0.0 },
            pace: if new && case == Case::Late { 20.0 } else { 1.0 },
        };
        self.stand.change(|fleet| {
            fleet.members[member].hand = hand;
            fleet.members[member].born = launch * 1000;
        });
        let launch = launch as u64;
        self.states.borrow_mut()[member] = State { version, launch, ready, moving: false };
        if ready {
            self.record(member, MemberEventKind::Started { incarnation: launch, version });
        }
    }

    /// The replica that has most of the log takes over.
    fn hand_over(&self, member: usize) {
        let states = self.states.borrow();
        self.stand.change(|fleet| {
            if !fleet.members[member].primary {
                return;
            }
            let group = fleet.members[member].group;
            let fit = |m: &usize| *m != member && fleet.members[*m].group == group && states[*m].ready;
            let next = (0..fleet.members.len()).filter(fit).max_by_key(|m| fleet.position_ms(*m));
            if let Some(next) = next {
                (fleet.members[member].primary, fleet.members[next].primary) = (false, true);
            }
        });
    }

    /// Discovery drains a member, or no longer does.
    pub fn drain(&self, member: usize, drains: bool) {
        let state = self.states.borrow()[member];
        if state.moving {
            return;
        }
        self.stand.change(|fleet| fleet.members[member].hand.drains = drains);
        let State { launch, version, .. } = state;
        let kind = if drains {
            MemberEventKind::Stopped {
                cause: StopCause::Drained,
                incarnation: launch,
                was_primary: false,
                was_serving: true,
            }
        } else {
            MemberEventKind::Started { incarnation: launch, version }
        };
        self.record(member, kind);
    }

    fn record(&self, member: usize, kind: MemberEventKind) {
        self.events.borrow_mut().push(MemberEvent { at: now(), member, kind });
    }
}
