//! The serving thread's side of the fleet's budgets: the leases that this proxy holds and what it spends of them,
//! answered without waiting. Asks go to the thread with the socket and leases come from it over two bounded rings; what
//! is dropped there is as lost on the wire.

mod notes;
mod thread;

pub use notes::{Figure, Notes, Said};
pub use thread::{Done, Setup, Told};

use super::Now;
use crate::worker::{RingReceiver, RingSender};
use async_executor::LocalExecutor;
use async_io::Timer;
use futures_lite::future;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;
use wharfplank_budget::{BudgetId, BudgetKind, BudgetLimits, LeaseHolder, LeaseRequest, Micros};
use wharfplank_shared_state::hash_name;

/// Asks and leases that may wait between the two threads.
pub const RING: usize = 256;
/// How often the log hears what was spent, and how often of each spend where that is recorded.
const TELL_EVERY: Micros = 5_000_000;
const NOTE_EVERY: Micros = 50_000;

/// The budgets as the serving thread spends them. A budget that the settings do not name is never denied.
pub struct Budgets {
    /// The wholes, to know which budgets there are.
    wholes: BudgetLimits,
    now: Now,
    spender: RefCell<Spender>,
}

struct Spender {
    holder: LeaseHolder,
    notes: Option<Notes>,
    done: Done,
}

impl Budgets {
    /// Starts with nothing leased. `notes`: each spend and lease is kept to be told.
    pub fn start(
        wholes: BudgetLimits,
        holder: LeaseHolder,
        (asks, told): (RingSender<(usize, LeaseRequest)>, RingReceiver<Told>),
        now: Now,
        notes: bool,
        say: impl Fn(Said<'_>) + 'static,
        executor: &LocalExecutor<'static>,
    ) -> Rc<Budgets> {
        let spender = Spender { holder, notes: notes.then(Notes::default), done: Done::default() };
        let budgets = Rc::new(Budgets { wholes, now, spender: RefCell::new(spender) });
        for kind in [BudgetKind::Requests, BudgetKind::Retries, BudgetKind::DiscoveryCalls] {
            budgets.know(kind.budget(0));
        }
        executor.spawn(Rc::clone(&budgets).drive(asks, told, say)).detach();
        budgets
    }

    /// Knows a budget from now on, where the settings have it.
    pub fn know(&self, budget: BudgetId) {
        if self.wholes.get(budget).is_some() {
            self.spender.borrow_mut().holder.register((self.now)(), budget);
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
        self.spend(&[BudgetKind::Requests.budget(0), BudgetKind::TenantRequests.budget(group)])
    }

    /// Whether an attempt beyond its request's first may be sent.
    pub fn retry(&self) -> bool {
        self.spend(&[BudgetKind::Retries.budget(0)])
    }

    /// The same, asked beforehand.
    pub fn could_retry(&self) -> bool {
        self.spender.borrow_mut().holder.can_spend((self.now)(), BudgetKind::Retries.budget(0))
    }

    /// Whether a member may be probed.
    pub fn probe(&self, member: &str) -> bool {
        self.spend(&[BudgetKind::HealthChecks.budget(hash_name(member))])
    }

    /// Whether discovery may be called.
    pub fn discovery(&self) -> bool {
        self.spend(&[BudgetKind::DiscoveryCalls.budget(0)])
    }

    /// Whether a connection to a member may be opened; it is held until [`Budgets::let_go`].
    pub fn connect(&self, member: &str) -> bool {
        let (connects, held) = (
            BudgetKind::NewConnections.budget(hash_name(member)),
            BudgetKind::OpenConnections.budget(hash_name(member)),
        );
        let now = (self.now)();
        let could = self.spender.borrow_mut().holder.can_spend(now, connects);
        if could && !self.spender.borrow_mut().holder.try_acquire(now, held) {
            return false;
        }
        // Where it could not be it is noted as tried.
        let spent = self.spend(&[connects]);
        self.note_held(now, held);
        spent
    }

    /// A connection to a member is closed, or never came up.
    pub fn let_go(&self, member: &str) {
        let held = BudgetKind::OpenConnections.budget(hash_name(member));
        self.spender.borrow_mut().holder.release(held);
        self.note_held((self.now)(), held);
    }

    /// Connections to a member past the share, and how many of these must go now, idle or not.
    pub fn excess(&self, member: &str) -> (u64, u64) {
        let held = BudgetKind::OpenConnections.budget(hash_name(member));
        let excess = self.spender.borrow_mut().holder.excess((self.now)(), held);
        (excess.over_quota, excess.overdue)
    }

    /// Spends one of each budget, or of none.
    fn spend(&self, budgets: &[BudgetId]) -> bool {
        let now = (self.now)();
        let Spender { holder, notes, .. } = &mut *self.spender.borrow_mut();
        let spent = holder.try_spend_all(now, budgets);
        if let Some(notes) = notes.as_mut().filter(|_| spent) {
            let known = budgets.iter().filter(|budget| holder.rate_meter(**budget).is_some());
            known.for_each(|budget| notes.spent(now, *budget));
        }
        spent
    }

    fn note_held(&self, now: Micros, budget: BudgetId) {
        let Spender { holder, notes, .. } = &mut *self.spender.borrow_mut();
        let held = holder.concurrency_budget(budget).map(|held| held.in_use());
        if let (Some(notes), Some(held)) = (notes, held) {
            notes.held(now, budget, held);
        }
    }

    /// Carries asks to the thread and leases from it, and tells what was done.
    async fn drive(
        self: Rc<Self>,
        mut asks: RingSender<(usize, LeaseRequest)>,
        mut told: RingReceiver<Told>,
        say: impl Fn(Said<'_>),
    ) {
        let mut tell_at = (self.now)() + TELL_EVERY;
        let mut ended = false;
        loop {
            let now = (self.now)();
            let due = self.spender.borrow_mut().holder.due_requests(now);
            for ask in due {
                asks.send(ask);
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
                match told.recv().await {
                    Some(told) => Some(Some(told)),
                    None if ended => future::pending().await,
                    None => Some(None),
                }
            };
            match future::or(heard, time).await {
                Some(Some(Told::Grant(bank, grant))) => {
                    let now = (self.now)();
                    let Spender { holder, notes, .. } = &mut *self.spender.borrow_mut();
                    if holder.on_grant(now, bank, &grant) {
                        notes
                            .iter_mut()
                            .for_each(|notes| notes.leased(now, bank, holder.lease_expires_at(bank), &grant));
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
        say(Said::Reached { reached: holder.reachable_allocators(now), done: *done });
        for kind in BudgetKind::ALL {
            let figure = Figure::of(holder, now, kind);
            figure.into_iter().for_each(|figure| say(Said::Figure(kind, figure)));
        }
    }
}

/// The budgets of a member.
fn members(name: &str) -> [BudgetId; 3] {
    [BudgetKind::HealthChecks, BudgetKind::NewConnections, BudgetKind::OpenConnections]
        .map(|kind| kind.budget(hash_name(name)))
}
