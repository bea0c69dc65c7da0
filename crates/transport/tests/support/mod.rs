//! A fake member that tests control step by step, and a pool of connections to it.
#![allow(dead_code)]

mod fake_member;
mod messages;
mod pool_fixture;

pub use fake_member::*;
pub use messages::*;
pub use pool_fixture::*;

use futures_lite::future;
use std::future::Future;
use std::time::Duration;

/// The timeout for expected events, which only a failing test reaches.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(20);
/// A time limit that no test reaches.
pub const LONG: Duration = Duration::from_secs(30);

/// Returns the output of `work`, and panics after [`TEST_TIMEOUT`].
pub async fn expect_soon<T>(work: impl Future<Output = T>) -> T {
    let expired = async {
        async_io::Timer::after(TEST_TIMEOUT).await;
        panic!("timed out waiting for an expected event")
    };
    future::or(work, expired).await
}

/// Waits until a condition holds, while other tasks run.
pub async fn wait_until(condition: impl Fn() -> bool) {
    let work = async {
        while !condition() {
            async_io::Timer::after(Duration::from_millis(1)).await;
        }
    };
    expect_soon(work).await;
}
