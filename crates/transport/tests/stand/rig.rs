//! A pool of connections to the member that the test plays.

use super::{row, soon, until, Peer, Stand, LONG};
use async_executor::LocalExecutor;
use std::cell::{Cell, RefCell};
use std::future::Future;
use std::rc::Rc;
use std::time::{Duration, Instant};
use wharfplank_admin::Metrics;
use wharfplank_transport::member_pool::{
    AttemptLimits, AttemptReport, AttemptStage, MemberPool, PoolContext, CHECK_AFTER,
};
use wharfplank_transport::{MemoryBudget, Statement};

/// A pool of connections, and what it noted of those that ended.
pub struct Rig {
    pub shared: Rc<PoolContext>,
    pub member: Rc<MemberPool>,
    pub ends: Rc<RefCell<Vec<&'static str>>>,
}

/// What a test changes of a pool.
pub struct Terms {
    pub connect_timeout: Duration,
    pub idle_most: Duration,
    pub check_after: Duration,
}

impl Default for Terms {
    fn default() -> Self {
        Terms { connect_timeout: LONG, idle_most: LONG, check_after: CHECK_AFTER }
    }
}

/// Plays a test on one thread, as the program runs.
pub fn play<F: Future<Output = ()>>(terms: Terms, test: impl FnOnce(Rig, Stand) -> F) {
    let stand = Stand::start();
    let executor = Rc::new(LocalExecutor::new());
    let ends: Rc<RefCell<Vec<&'static str>>> = Rc::default();
    let noted = Rc::clone(&ends);
    let start = Instant::now();
    let shared = Rc::new(PoolContext {
        executor: Rc::clone(&executor),
        on_connection_end: Rc::new(move |ended| noted.borrow_mut().push(ended.reason)),
        connect_timeout: terms.connect_timeout,
        idle_timeout: terms.idle_most,
        max_connections: Cell::new(16),
        max_connections_per_member: 8,
        open_connections: Cell::new(0),
        memory_budget: MemoryBudget::new(1 << 20),
        allow_empty_result: false,
        liveness_check_after: Cell::new(terms.check_after),
        now: Rc::new(move || start.elapsed().as_micros() as i64),
        metrics: Metrics::new(&[]),
        budgets: None,
    });
    let member = MemberPool::new(Rc::clone(&shared), "m", stand.address);
    member.activate();
    async_io::block_on(executor.run(test(Rig { shared, member, ends }, stand)));
}

impl Rig {
    /// An attempt with this text behind its `d`, to be answered and to be written by these times.
    pub fn attempt(
        &self,
        text: &str,
        deadline: Instant,
        holds: Option<Instant>,
    ) -> (Rc<Cell<AttemptStage>>, impl Future<Output = AttemptReport>) {
        let stage: Rc<Cell<AttemptStage>> = Rc::default();
        let statement = Rc::new(Statement::new(format!("/* id=1,d=9 */ {text}").into_bytes(), 10..11));
        let limits = AttemptLimits { deadline, send_by: holds };
        let work = Rc::clone(&self.member).attempt(statement, Rc::clone(&stage), limits, || true);
        (stage, async { work.await.report })
    }

    /// Runs work beside the test, which may end it by dropping it.
    pub fn spawn<T: 'static>(&self, work: impl Future<Output = T> + 'static) -> async_executor::Task<T> {
        self.shared.executor.spawn(work)
    }
}

/// The value that an attempt was served with.
pub fn value(report: &AttemptReport) -> Option<u8> {
    let answer = report.answer.as_ref()?;
    answer.messages.get(answer.value.clone())?.first().copied()
}

/// A deadline that no attempt meets.
pub fn far() -> Instant {
    Instant::now() + LONG
}

/// A connection that has served an attempt and stands ready.
pub async fn idle(rig: &Rig, stand: &Stand) -> Peer {
    let (_, first) = rig.attempt("0", far(), None);
    let first = rig.spawn(first);
    let peer = stand.greets().await;
    assert!(peer.asked().await.ends_with("*/ 0"));
    peer.says(&row(b'0'));
    assert_eq!(value(&soon(first).await), Some(b'0'));
    until(|| rig.member.has_idle_connection()).await;
    peer
}
