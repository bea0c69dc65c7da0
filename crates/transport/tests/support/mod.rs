//! A member that a test plays step by step, and a pool of connections to it.
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

/// Far longer than anything takes: only a failing test reaches it.
pub const PATIENCE: Duration = Duration::from_secs(20);
/// A time limit that no test reaches.
pub const LONG: Duration = Duration::from_secs(30);

/// The output of work that is done long before the patience ends.
pub async fn expect_soon<T>(work: impl Future<Output = T>) -> T {
    let expired = async {
        async_io::Timer::after(PATIENCE).await;
        panic!("it never came")
    };
    future::or(work, expired).await
}

/// Lets other tasks run until a condition holds.
pub async fn wait_until(condition: impl Fn() -> bool) {
    let work = async {
        while !condition() {
            async_io::Timer::after(Duration::from_millis(1)).await;
        }
    };
    expect_soon(work).await;
}
