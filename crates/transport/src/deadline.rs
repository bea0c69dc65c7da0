//! Deadlines for asynchronous work.

use futures_lite::future;
use std::future::Future;
use std::time::Instant;

/// Runs `work` until `deadline`. Returns its output, or drops it and returns `None` if it is not complete by
/// then.
pub(crate) async fn with_deadline<T>(deadline: Instant, work: impl Future<Output = T>) -> Option<T> {
    let expired = async {
        async_io::Timer::at(deadline).await;
        None
    };
    future::or(async { Some(work.await) }, expired).await
}
