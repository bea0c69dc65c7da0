//! The member model behind real sockets: members that speak the PostgreSQL protocol, and service discovery
//! over HTTP.
//!
//! - [`StandIns`] owns the model and advances it.
//! - `member_server`: the connections to one member.
//! - `response`: the messages that a member answers with.
//! - `discovery`: the endpoint list and its long polls.

mod discovery;
mod member_server;
mod response;

use crate::clock::now;
use crate::member_model::{ListChange, MemberModel, Micros};
use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use std::cell::{Cell, Ref, RefCell};
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::time::Duration;

/// The interval at which the model is advanced.
const ADVANCE_INTERVAL: Duration = Duration::from_millis(5);

/// The stand-in members of one run, and their service discovery.
pub struct StandIns {
    executor: Rc<LocalExecutor<'static>>,
    model: RefCell<MemberModel>,
    /// The address of each member, in the order of the model.
    addresses: RefCell<Vec<SocketAddr>>,
    /// The version of the endpoint list.
    list_version: Cell<u64>,
}

impl StandIns {
    /// Starts the members on free ports of the loopback address, and the clock of their model.
    ///
    /// # Errors
    ///
    /// If a socket can't be bound.
    pub fn start(executor: &Rc<LocalExecutor<'static>>, model: MemberModel) -> std::io::Result<Rc<StandIns>> {
        let member_count = model.members.len();
        let stand_ins = Rc::new(StandIns {
            executor: Rc::clone(executor),
            model: RefCell::new(model),
            addresses: RefCell::default(),
            list_version: Cell::new(1),
        });
        for member in 0..member_count {
            let listener = Async::<TcpListener>::bind(([127, 0, 0, 1], 0))?;
            stand_ins.addresses.borrow_mut().push(listener.get_ref().local_addr()?);
            executor.spawn(Rc::clone(&stand_ins).accept_clients(member, listener)).detach();
        }
        executor.spawn(Rc::clone(&stand_ins).advance_model()).detach();
        Ok(stand_ins)
    }

    async fn advance_model(self: Rc<Self>) {
        loop {
            Timer::after(ADVANCE_INTERVAL).await;
            if self.model.borrow_mut().advance(now()) == ListChange::Changed {
                self.increment_list_version();
            }
        }
    }

    fn increment_list_version(&self) {
        self.list_version.set(self.list_version.get() + 1);
    }

    /// Returns the member model, with its counters.
    pub fn model(&self) -> Ref<'_, MemberModel> {
        self.model.borrow()
    }

    /// Changes the member model, as an agent on a member's machine does. The endpoint list gets a new
    /// version.
    pub fn update_model<T>(&self, update: impl FnOnce(&mut MemberModel) -> T) -> T {
        self.increment_list_version();
        update(&mut self.model.borrow_mut())
    }

    /// Sets the time from which the seconds of the script count.
    pub fn start_script(&self, start: Micros) {
        self.model.borrow_mut().start_script(start);
    }

    /// Returns the number of writes that all members have run.
    pub fn writes(&self) -> u64 {
        self.model.borrow().members.iter().map(|member| member.writes).sum()
    }
}
