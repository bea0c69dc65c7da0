//! The desk with agents' calls as bytes, in virtual time: one proxy that is the bank and drives, and members that follow
//! orders at once.

use std::collections::BTreeMap;
use std::net::SocketAddrV4;
use wharfplank_rollout::{
    Action, Allowance, Call, Course, Desk, Identity, Kind, Ledger, Look, Micros, Place, Roster, Said, Status,
    Terms, View, What,
};

const S: Micros = 1_000_000;

struct Play {
    desk: Desk,
    now: Micros,
    /// Each member's launch and version.
    members: [(u64, u64); 3],
    left: usize,
    /// Whether the ledger reaches the disk.
    disk: bool,
    said: Vec<Said>,
}

fn agent(id: u64) -> SocketAddrV4 {
    SocketAddrV4::new([127, 0, 0, 1].into(), 100 + id as u16)
}

impl Play {
    fn new(ledger: Option<Ledger>) -> Play {
        let place = |id: u64| Place { id, group: 0, zone: id as u32, kind: Kind::Member };
        let roster =
            Roster::new((0..3).map(place).collect(), Allowance { group: 1, zone: 1, fleet: 1, banks: 1 });
        let me = Identity { rank: 1, number: 77 << 12, bank: Some(0) };
        let terms = Terms { watch: S, ..Terms::default() };
        let proxies = vec![SocketAddrV4::new([127, 0, 0, 1].into(), 1)];
        let agents: BTreeMap<u64, SocketAddrV4> = (0..3).map(|id| (id, agent(id))).collect();
        let desk = Desk::new(me, (roster, terms), proxies, agents, ledger, 0);
        Play { desk, now: 0, members: [(10, 6); 3], left: 0, disk: true, said: Vec::new() }
    }

    fn run(&mut self, span: Micros) {
        let end = self.now + span;
        while self.now < end {
            self.now += S / 20;
            if self.now % S == 0 {
                let look = |(launch, _): (u64, u64), primary| Look {
                    launch,
                    well: true,
                    primary,
                    ..Look::default()
                };
                let looks = self.members.iter().enumerate().map(|(id, m)| (id as u64, look(*m, id == 0)));
                self.desk.viewed(View { at: self.now, members: looks.collect() });
            }
            self.desk.tick(self.now);
            for (to, bytes) in self.desk.take_sends(self.now) {
                let (id, call) = (u64::from(to.port()) - 100, Call::read(&bytes).expect("a call"));
                let member = &mut self.members[id as usize];
                if let What::Leave { launch, version, .. } = call.what {
                    if launch == member.0 {
                        *member = (launch + 1, version);
                        self.left += 1;
                    }
                }
                let (launch, version) = *member;
                let status = Status { number: call.number, launch, version, ready: true };
                self.desk.received(self.now, agent(id), &status.to_bytes());
            }
            if let Some(changes) = self.desk.ledger().map(|ledger| ledger.changes).filter(|_| self.disk) {
                self.desk.kept(changes);
            }
            self.said.extend(self.desk.take_said());
        }
    }
}

#[test]
fn a_release_goes_by_calls_and_no_order_leaves_before_the_ledger_is_kept() {
    let mut play = Play::new(Some(Ledger::default()));
    play.run(5 * S);
    play.disk = false;
    play.desk.word(1, "start 7 6");
    play.run(10 * S);
    assert_eq!(play.left, 0, "an order left by a permit that is on no disk");
    play.disk = true;
    play.run(60 * S);
    // Replicas go first; the primary's group is not handed over by these agents.
    assert_eq!(play.left, 2);
    assert_eq!(play.members.map(|(_, version)| version), [6, 7, 7]);
    play.desk.word(2, "halt");
    play.run(S);
    let halted = |said: &Said| matches!(said, Said::Did(_, Action::Turned(Course::Halted(_))));
    assert_eq!(play.said.iter().filter(|said| halted(said)).count(), 1, "{:?}", play.said);
    play.desk.word(3, "undo");
    play.run(60 * S);
    assert_eq!(play.members.map(|(_, version)| version), [6, 6, 6]);
    let status = play.desk.status();
    assert!(
        status.contains("answer yes word=\"undo\"")
            && status.contains("course=back reason=operator over=true")
    );
    play.desk.word(4, "go");
    assert!(play.desk.status().contains("answer no word=\"go\""));
}

/// Guards against a bank that gives leave without its ledger, and against datagrams of nobody.
#[test]
fn a_bank_without_a_ledger_waits_for_one() {
    let mut play = Play::new(None);
    play.run(5 * S);
    play.desk.word(1, "start 7 6");
    play.run(20 * S);
    assert_eq!((play.left, play.desk.closed()), (0, true));
    play.desk.open(Ledger::default());
    play.run(30 * S);
    assert_eq!((play.left, play.desk.closed()), (2, false));
    let nobody = SocketAddrV4::new([127, 0, 0, 1].into(), 9);
    for bytes in [&b"x"[..], &[0, 0, 0, 9, 1], &[0, 0, 0, 0, 1]] {
        play.desk.received(play.now, nobody, bytes);
    }
    assert_eq!(play.desk.rejected, 3);
}
