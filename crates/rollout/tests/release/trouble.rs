//! The troubles of the hard cases.

use crate::cast::S;
use crate::world::World;
use rand::Rng;
use wharfplank_rollout::{Action, Course, Micros, PlanId, Reason, Step, Version, Word};

/// Whether a driver took a step of this kind just now.
fn just_did(world: &World, kind: usize) -> bool {
    let did = |action: &Action| match action {
        Action::Wave(_) => 0,
        Action::Stepped(_, Step::Ordered(_)) => 1,
        Action::Stepped(_, Step::Released(_)) => 2,
        Action::Turned(_) => 3,
        Action::Stepped(_, Step::OrderedBack(_)) => 4,
        _ => 5,
    };
    world.log.iter().rev().take_while(|(at, ..)| *at == world.now).any(|(.., action)| did(action) == kind)
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Case {
    Calm,
    TwoReleases,
    DriverKilled,
    DriverPaused,
    Cut,
    BankKilled,
    LedgerLost,
    NeverReady,
    HaltedAndResumed,
    Undone,
    FallsWhileOut,
    Drains,
    HourLate,
}

pub const CASES: [Case; 13] = [
    Case::Calm,
    Case::TwoReleases,
    Case::DriverKilled,
    Case::DriverPaused,
    Case::Cut,
    Case::BankKilled,
    Case::LedgerLost,
    Case::NeverReady,
    Case::HaltedAndResumed,
    Case::Undone,
    Case::FallsWhileOut,
    Case::Drains,
    Case::HourLate,
];

/// Who drives: the last to have done a step.
fn driver(world: &World) -> usize {
    world.log.last().map_or(0, |(_, i, _)| *i)
}

pub struct Run {
    pub world: World,
    pub case: Case,
    pub plan: (PlanId, Version),
    /// When the next trouble comes, and what ends then.
    pub next: Micros,
    /// After which kind of step its driver is killed or paused; none: at any time.
    pub at: Option<usize>,
    pub turned: bool,
}

impl Run {
    pub fn trouble(&mut self) {
        let (now, world) = (self.world.now, &mut self.world);
        let later = now + world.rng.random_range(3 * S..10 * S);
        if now < self.next || now > 150 * S {
            return;
        }
        let killed = matches!(self.case, Case::DriverKilled | Case::DriverPaused);
        if killed && !self.at.is_none_or(|at| just_did(world, at)) {
            return;
        }
        self.next = later;
        let (it, any) = (driver(world), world.rng.random_range(0..world.cast.members.len()));
        let out = world.cast.out_by_order(now);
        match self.case {
            Case::TwoReleases => world.proxies.iter_mut().for_each(|proxy| proxy.side = false),
            Case::DriverKilled => world.proxies[it].alive = false,
            Case::DriverPaused => {
                world.proxies[it].paused_until = now + world.rng.random_range(2 * S..15 * S)
            }
            Case::BankKilled | Case::LedgerLost => {
                let bank = world.rng.random_range(0..world.roster.banks() as usize);
                world.proxies[bank].alive = false;
                if self.case == Case::LedgerLost {
                    world.proxies[bank].disk = None;
                }
            }
            Case::Cut => {
                let (cut, members) = (!world.proxies[0].side, world.rng.random());
                (0..2).for_each(|i| world.proxies[i].side = cut);
                for member in &mut world.cast.members {
                    member.side = (cut && members).then_some(member.place.zone == 0);
                }
            }
            Case::HaltedAndResumed | Case::Undone | Case::HourLate => self.turn(),
            Case::FallsWhileOut if out < 3 => self.next = now,
            Case::FallsWhileOut => world.cast.members[any].falls(now, now + 12 * S),
            Case::Drains => {
                let member = &mut world.cast.members[any];
                member.drained_at = member.drained_at.is_none().then_some(now);
            }
            _ => {}
        }
    }

    pub fn turn(&mut self) {
        let it = self.world.rng.random_range(0..self.world.proxies.len());
        let station = &mut self.world.proxies[it].station;
        let halted = station.plans().iter().any(|plan| matches!(plan.control.course, Course::Halted(_)));
        let word = match (self.case == Case::Undone && self.turned, halted) {
            (true, _) => Word::Undo,
            (_, true) => Word::Resume,
            _ => Word::Halt,
        };
        // It may be over by now, or halted already.
        let _ = station.word(0, &word);
        self.turned = true;
    }

    /// What was killed starts again; after the time of troubles all is well.
    pub fn mend(&mut self) {
        let world = &mut self.world;
        let over = world.now > 150 * S;
        for i in 0..world.proxies.len() {
            if !world.proxies[i].alive && (over || world.rng.random::<f64>() < 0.02) {
                world.launch(i);
            }
            world.proxies[i].side &= !over;
        }
        if over {
            world.cast.members.iter_mut().for_each(|member| (member.side, member.drained_at) = (None, None));
            for proxy in &mut world.proxies {
                let halted = Course::Halted(Reason::Operator);
                if proxy.station.plans().iter().any(|plan| plan.control.course == halted) {
                    let _ = proxy.station.word(0, &Word::Resume);
                }
            }
        }
    }
}
