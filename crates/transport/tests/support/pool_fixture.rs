//! A connection pool for a fake member.

use super::{expect_soon, row, wait_until, FakeMember, ProxyConnection, LONG};
use async_executor::LocalExecutor;
use std::cell::{Cell, RefCell};
use std::future::Future;
use std::rc::Rc;
use std::time::{Duration, Instant};
use wharfplank_admin::Metrics;
use wharfplank_transport::member_pool::{
    AttemptLimits, AttemptReport, AttemptStage, MemberPool, PoolContext, MAX_LIVENESS_CHECK_AFTER,
};
use wharfplank_transport::{MemoryBudget, Statement};

/// A connection pool, and the end reasons of its connections.
pub struct PoolFixture {
    pub context: Rc<PoolContext>,
    pub pool: Rc<MemberPool>,
    pub end_reasons: Rc<RefCell<Vec<&'static str>>>,
}

/// The pool settings that tests vary.
pub struct PoolSettings {
    pub connect_timeout: Duration,
    pub idle_timeout: Duration,
    pub check_after: Duration,
}

impl Default for PoolSettings {
    fn default() -> Self {
        PoolSettings { connect_timeout: LONG, idle_timeout: LONG, check_after: MAX_LIVENESS_CHECK_AFTER }
    }
}

/// Runs a test with a pool and its member on one thread, like the proxy's serving thread.
pub fn run_with_pool<F: Future<Output = ()>>(
    settings: PoolSettings,
    test: impl FnOnce(PoolFixture, FakeMember) -> F,
) {
    let member = FakeMember::start();
    let executor = Rc::new(LocalExecutor::new());
    let end_reasons: Rc<RefCell<Vec<&'static str>>> = Rc::default();
    let observed = Rc::clone(&end_reasons);
    let start = Instant::now();
    let context = Rc::new(PoolContext {
        executor: Rc::clone(&executor),
        on_connection_end: Rc::new(move |end| observed.borrow_mut().push(end.reason)),
        connect_timeout: settings.connect_timeout,
        idle_timeout: settings.idle_timeout,
        max_connections: Cell::new(16),
        max_connections_per_member: 8,
        open_connections: Cell::new(0),
        memory_budget: MemoryBudget::new(1 << 20),
        allow_empty_result: false,
        liveness_check_after: Cell::new(settings.check_after),
        now: Rc::new(move || start.elapsed().as_micros() as i64),
        metrics: Metrics::new(&[]),
        budgets: None,
    });
    let pool = MemberPool::new(Rc::clone(&context), "m", member.address);
    pool.activate();
    let fixture = PoolFixture { context, pool, end_reasons };
    async_io::block_on(executor.run(test(fixture, member)));
}

impl PoolFixture {
    /// Creates an attempt with this text after its comment and these limits. Returns its stage and the
    /// attempt.
    pub fn attempt_within(
        &self,
        text: &str,
        limits: AttemptLimits,
    ) -> (Rc<Cell<AttemptStage>>, impl Future<Output = AttemptReport>) {
        let stage: Rc<Cell<AttemptStage>> = Rc::default();
        let statement = Rc::new(Statement::new(format!("/* id=1,d=9 */ {text}").into_bytes(), 10..11));
        let work = Rc::clone(&self.pool).attempt(statement, Rc::clone(&stage), limits, || true);
        (stage, async { work.await.report })
    }

    /// Creates an attempt with this text and a deadline that it does not reach. Returns its stage and the
    /// attempt.
    pub fn attempt(&self, text: &str) -> (Rc<Cell<AttemptStage>>, impl Future<Output = AttemptReport>) {
        self.attempt_within(text, limited_by(Instant::now() + LONG))
    }

    /// Runs `work` as a separate task, which is cancelled when dropped.
    pub fn spawn<T: 'static>(&self, work: impl Future<Output = T> + 'static) -> async_executor::Task<T> {
        self.context.executor.spawn(work)
    }

    /// Runs an attempt as a separate task; see [`PoolFixture::attempt`].
    pub fn spawn_attempt(&self, text: &str) -> async_executor::Task<AttemptReport> {
        let (_, attempt) = self.attempt(text);
        self.spawn(attempt)
    }

    /// Runs an attempt with this digit as its text. The member serves it on a new connection, with the digit
    /// as the value.
    pub async fn serve_on_new_connection(&self, member: &FakeMember, digit: u8) -> ProxyConnection {
        let attempt = self.spawn_attempt(char::from(digit).encode_utf8(&mut [0; 4]));
        let connection = member.accept_ready().await;
        let statement = connection.receive_statement().await;
        assert!(statement.ends_with(&format!("*/ {}", char::from(digit))));
        connection.send(&row(digit));
        assert_eq!(value(&expect_soon(attempt).await), Some(digit));
        connection
    }

    /// Returns a connection that has served an attempt and is idle.
    pub async fn idle_connection(&self, member: &FakeMember) -> ProxyConnection {
        let connection = self.serve_on_new_connection(member, b'0').await;
        wait_until(|| self.pool.has_idle_connection()).await;
        connection
    }
}

/// Returns attempt limits with only a deadline.
pub fn limited_by(deadline: Instant) -> AttemptLimits {
    AttemptLimits { deadline, send_by: None }
}

/// Returns the value in an attempt's response.
pub fn value(report: &AttemptReport) -> Option<u8> {
    let response = report.response.as_ref()?;
    response.messages.get(response.value.clone())?.first().copied()
}
