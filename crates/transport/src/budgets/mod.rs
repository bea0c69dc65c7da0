//! The serving thread's side of the fleet's budgets: the leases that this proxy holds and what it spends of them,
//! answered without waiting. Asks go to the thread with the socket and leases come from it over two bounded rings; what
//! is dropped there is as lost on the wire.

mod notes;
mod thread;

pub use notes::{Figure, Notes, Said};
pub use thread::{Done, Setup, Told};

use super::Now;
use crate::duty::{Inbox, Outbox};
use async_executor::LocalExecutor;
use async_io::Timer;
use futures_lite::future;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;
use wharfplank_budget::{Ask, Budget, Holder, Kind, Micros, Parts};
use wharfplank_shared_state::hash_name;

/// Asks and leases that may wait between the two threads.
pub const RING: usize = 256;
/// How often the log hears what was spent, and how often of each spend where that is recorded.
const TELL_EVERY: Micros = 5_000_000;
const NOTE_EVERY: Micros = 50_000;

/// The budgets as the serving thread spends them. A budget that the settings do not name is never denied.
pub struct Budgets {
    /// The wholes, to know which budgets there are.
    wholes: Parts,
    now: Now,
    spender: RefCell<Spender>,
}

struct Spender {
    holder: Holder,
    notes: Option<Notes>,
    done: Done,
}

impl Budgets {
    /// Starts with nothing leased. `notes`: each spend and lease is kept to be told.
    pub fn start(
        wholes: Parts,
        holder: Holder,
        (asks, told): (Outbox<(usize, Ask)>, Inbox<Told>),
        now: Now,
        notes: bool,
        say: impl Fn(Said<'_>) + 'static,
        executor: &LocalExecutor<'static>,
    ) -> Rc<Budgets> {
        let spender = Spender { holder, notes: notes.then(Notes::default), done: Done::default() };
        let budgets = Rc::new(Budgets { wholes, now, spender: RefCell::new(spender) });
        for kind in [Kind::Requests, Kind::Retries, Kind::Discovery] {
            budgets.know(kind.budget(0));
        }
        executor.spawn(Rc::clone(&budgets).drive(asks, told, say)).detach();
        budgets
    }

    /// Knows a budget from now on, where the settings have it.
    pub fn know(&self, budget: Budget) {
        if self.wholes.of(budget).is_some() {
            self.spender.borrow_mut().holder.know((self.now)(), budget);
        }
    }

    /// A member may be used from now on.
    pub fn member(&self, name: &str) {
        members(name).into_iter().for_each(|budget| self.know(budget));
    }

    /// A member is not used any more, and nothing is held to it.
    pub fn forget(&self, name: &str) {
        let gone = members(name);
        self.spender.borrow_mut().holder.retain(|budget| !gone.contains(&budget));
    }

    /// Whether a request to this group may be taken.
    pub fn request(&self, group: u64) -> bool {
        self.spend(&[Kind::Requests.budget(0), Kind::Tenant.budget(group)])
    }

    /// Whether an attempt beyond its request's first may be sent.
    pub fn retry(&self) -> bool {
        self.spend(&[Kind::Retries.budget(0)])
    }

    /// The same, asked beforehand.
    pub fn could_retry(&self) -> bool {
        self.spender.borrow_mut().holder.could((self.now)(), Kind::Retries.budget(0))
    }

    /// Whether a member may be probed.
    pub fn probe(&self, member: &str) -> bool {
        self.spend(&[Kind::Probes.budget(hash_name(member))])
    }

    /// Whether discovery may be called.
    pub fn discovery(&self) -> bool {
        self.spend(&[Kind::Discovery.budget(0)])
    }

    /// Whether a connection to a member may be opened; it is held until [`Budgets::let_go`].
    pub fn connect(&self, member: &str) -> bool {
        let (connects, held) =
            (Kind::Connects.budget(hash_name(member)), Kind::Held.budget(hash_name(member)));
        let now = (self.now)();
        let could = self.spender.borrow_mut().holder.could(now, connects);
        if could && !self.spender.borrow_mut().holder.take(now, held) {
            return false;
        }
        // Where it could not be it is noted as tried.
        let spent = self.spend(&[connects]);
        self.note_held(now, held);
        spent
    }

    /// A connection to a member is closed, or never came up.
    pub fn let_go(&self, member: &str) {
        let held = Kind::Held.budget(hash_name(member));
        self.spender.borrow_mut().holder.let_go(held);
        self.note_held((self.now)(), held);
    }

    /// Connections to a member past the share, and how many of these must go now, idle or not.
    pub fn excess(&self, member: &str) -> (u64, u64) {
        self.spender.borrow_mut().holder.excess((self.now)(), Kind::Held.budget(hash_name(member)))
    }

    /// Spends one of each budget, or of none.
    fn spend(&self, budgets: &[Budget]) -> bool {
        let now = (self.now)();
        let Spender { holder, notes, .. } = &mut *self.spender.borrow_mut();
        let spent = holder.spend_all(now, budgets);
        if let Some(notes) = notes.as_mut().filter(|_| spent) {
            let known = budgets.iter().filter(|budget| holder.meter(**budget).is_some());
            known.for_each(|budget| notes.spent(now, *budget));
        }
        spent
    }

    fn note_held(&self, now: Micros, budget: Budget) {
        let Spender { holder, notes, .. } = &mut *self.spender.borrow_mut();
        let held = holder.all().1.find(|(of, _)| *of == budget).map(|(_, held)| held.held());
        if let (Some(notes), Some(held)) = (notes, held) {
            notes.held(now, budget, held);
        }
    }

    /// Carries asks to the thread and leases from it, and tells what was done.
    async fn drive(
        self: Rc<Self>,
        mut asks: Outbox<(usize, Ask)>,
        mut told: Inbox<Told>,
        say: impl Fn(Said<'_>),
    ) {
        let mut tell_at = (self.now)() + TELL_EVERY;
        let mut ended = false;
        loop {
            let now = (self.now)();
            let due = self.spender.borrow_mut().holder.tick(now);
            for ask in due {
                asks.push(ask);
            }
            self.tell(now, &mut tell_at, &say);
            let noting = self.spender.borrow().notes.is_some();
            let next = self.spender.borrow().holder.next_due().min(tell_at);
            let next = if noting { next.min(now + NOTE_EVERY) } else { next };
            let pause = Duration::from_micros((next - now).clamp(1_000, TELL_EVERY) as u64);
            let time = async {
                Timer::after(pause).await;
                None
            };
            let heard = async {
                match told.next().await {
                    Some(told) => Some(Some(told)),
                    None if ended => future::pending().await,
                    None => Some(None),
                }
            };
            match future::or(heard, time).await {
                Some(Some(Told::Grant(bank, grant))) => {
                    let now = (self.now)();
                    let Spender { holder, notes, .. } = &mut *self.spender.borrow_mut();
                    if holder.granted(now, bank, &grant) {
                        notes.iter_mut().for_each(|notes| notes.leased(now, bank, holder.ends(bank), &grant));
                    }
                }
                Some(Some(Told::Done(done))) => self.spender.borrow_mut().done = done,
                // The thread has failed: leases end by themselves, and what is left is the even share.
                Some(None) => {
                    ended = true;
                    say(Said::Ended);
                }
                None => {}
            }
        }
    }

    fn tell(&self, now: Micros, tell_at: &mut Micros, say: &impl Fn(Said<'_>)) {
        let mut spender = self.spender.borrow_mut();
        spender.notes.iter_mut().for_each(|notes| notes.tell(say));
        if now < *tell_at {
            return;
        }
        *tell_at = now + TELL_EVERY;
        let Spender { holder, done, .. } = &*spender;
        say(Said::Reached { reached: holder.reached(now), done: *done });
        for kind in Kind::ALL {
            let figure = Figure::of(holder, now, kind);
            figure.into_iter().for_each(|figure| say(Said::Figure(kind, figure)));
        }
    }
}

/// The budgets of a member.
fn members(name: &str) -> [Budget; 3] {
    [Kind::Probes, Kind::Connects, Kind::Held].map(|kind| kind.budget(hash_name(name)))
}
