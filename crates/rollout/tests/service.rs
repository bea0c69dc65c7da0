//! The rollout service with agents' datagrams, in virtual time: one proxy that is the permit server and
//! the leader, and members that follow orders immediately.

use std::collections::BTreeMap;
use std::net::SocketAddrV4;
use wharfplank_rollout::{
    AgentCommand, AgentRequest, AgentStatus, ControllerAction, DisruptionBudget, FleetView, Inventory,
    MemberView, Micros, Node, NodeKind, PeerIdentity, PermitLedger, Phase, RolloutConfig, RolloutService,
    ServiceEvent, ServiceSetup,
};

const SECOND: Micros = 1_000_000;

/// A member as its agent reports it.
#[derive(Clone, Copy)]
struct Member {
    incarnation: u64,
    version: u64,
}

struct Simulation {
    service: RolloutService,
    now: Micros,
    members: [Member; 3],
    restarts: usize,
    /// Whether the ledger is written to disk.
    disk_works: bool,
    events: Vec<ServiceEvent>,
}

fn agent(id: u64) -> SocketAddrV4 {
    SocketAddrV4::new([127, 0, 0, 1].into(), 100 + id as u16)
}

impl Simulation {
    fn new(ledger: Option<PermitLedger>) -> Simulation {
        let node = |id: u64| Node { id, group: 0, zone: id as u32, kind: NodeKind::Member };
        let budget = DisruptionBudget { per_group: 1, per_zone: 1, fleet: 1, permit_servers: 1 };
        let setup = ServiceSetup {
            identity: PeerIdentity { rank: 1, process: 77 << 12, permit_server: Some(0) },
            inventory: Inventory::new((0..3).map(node).collect(), budget),
            config: RolloutConfig { soak_time: SECOND, ..RolloutConfig::default() },
            proxies: vec![SocketAddrV4::new([127, 0, 0, 1].into(), 1)],
            agents: (0..3).map(|id| (id, agent(id))).collect(),
        };
        Simulation {
            service: RolloutService::new(setup, ledger, 0),
            now: 0,
            members: [Member { incarnation: 10, version: 6 }; 3],
            restarts: 0,
            disk_works: true,
            events: Vec::new(),
        }
    }

    fn run(&mut self, span: Micros) {
        let end = self.now + span;
        while self.now < end {
            self.now += SECOND / 20;
            if self.now % SECOND == 0 {
                self.service.on_view(self.view());
            }
            self.service.on_tick(self.now);
            for (to, bytes) in self.service.take_datagrams(self.now) {
                self.answer(to, &bytes);
            }
            if let Some(revision) =
                self.service.ledger_to_store().map(|ledger| ledger.revision).filter(|_| self.disk_works)
            {
                self.service.on_ledger_stored(revision);
            }
            self.events.extend(self.service.take_events());
        }
    }

    fn view(&self) -> FleetView {
        let member = |(id, member): (usize, &Member)| {
            let (incarnation, primary) = (member.incarnation, id == 0);
            (id as u64, MemberView { incarnation, healthy: true, primary, ..MemberView::default() })
        };
        let members: BTreeMap<u64, MemberView> = self.members.iter().enumerate().map(member).collect();
        FleetView { at: self.now, members }
    }

    /// Executes a request to an agent and sends the reply.
    fn answer(&mut self, to: SocketAddrV4, bytes: &[u8]) {
        let id = u64::from(to.port()) - 100;
        let request = AgentRequest::from_bytes(bytes).expect("a request");
        let member = &mut self.members[id as usize];
        if let AgentCommand::Restart { incarnation, version, .. } = request.command {
            if incarnation == member.incarnation {
                *member = Member { incarnation: incarnation + 1, version };
                self.restarts += 1;
            }
        }
        let Member { incarnation, version } = *member;
        let status = AgentStatus { sequence: request.sequence, incarnation, version, ready: true };
        self.service.on_datagram(self.now, agent(id), &status.to_bytes());
    }

    fn versions(&self) -> [u64; 3] {
        self.members.map(|member| member.version)
    }
}

#[test]
fn rollout_proceeds_only_with_a_stored_ledger() {
    let mut simulation = Simulation::new(Some(PermitLedger::default()));
    simulation.run(5 * SECOND);
    simulation.disk_works = false;
    simulation.service.on_command(1, "start 7 6");
    simulation.run(10 * SECOND);
    assert_eq!(simulation.restarts, 0, "an order was sent under a permit that is not on disk");
    simulation.disk_works = true;
    simulation.run(60 * SECOND);
    // Replicas are upgraded first. These agents do not hand over the primary's group.
    assert_eq!(simulation.restarts, 2);
    assert_eq!(simulation.versions(), [6, 7, 7]);
    simulation.service.on_command(2, "halt");
    simulation.run(SECOND);
    let is_halt = |event: &ServiceEvent| {
        matches!(event, ServiceEvent::Action(_, ControllerAction::PhaseChanged(Phase::Halted(_))))
    };
    assert_eq!(simulation.events.iter().filter(|event| is_halt(event)).count(), 1, "{:?}", simulation.events);
    simulation.service.on_command(3, "undo");
    simulation.run(60 * SECOND);
    assert_eq!(simulation.versions(), [6, 6, 6]);
    let status = simulation.service.status();
    assert!(
        status.contains("answer yes word=\"undo\"")
            && status.contains("course=back reason=operator over=true")
    );
    simulation.service.on_command(4, "go");
    assert!(simulation.service.status().contains("answer no word=\"go\""));
}

/// Guards against a permit server that grants permits without its ledger, and against accepting datagrams
/// from unknown senders.
#[test]
fn permit_server_without_a_ledger_stays_closed() {
    let mut simulation = Simulation::new(None);
    simulation.run(5 * SECOND);
    simulation.service.on_command(1, "start 7 6");
    simulation.run(20 * SECOND);
    assert_eq!((simulation.restarts, simulation.service.is_permit_server_closed()), (0, true));
    simulation.service.open_permit_server(PermitLedger::default());
    simulation.run(30 * SECOND);
    assert_eq!((simulation.restarts, simulation.service.is_permit_server_closed()), (2, false));
    let unknown = SocketAddrV4::new([127, 0, 0, 1].into(), 9);
    for bytes in [&b"x"[..], &[0, 0, 0, 9, 1], &[0, 0, 0, 0, 1]] {
        simulation.service.on_datagram(simulation.now, unknown, bytes);
    }
    assert_eq!(simulation.service.rejected, 3);
}
