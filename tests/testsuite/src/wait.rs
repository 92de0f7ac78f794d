//! Polling for a condition, with a time limit.

use std::future::Future;
use std::time::Duration;
use tokio::time::Instant;

/// Time limit of [`until`].
pub const TIMEOUT: Duration = Duration::from_secs(20);

/// Delay between two polls.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Polls until `poll` returns a value, and returns it.
///
/// # Panics
///
/// If there is no value within [`TIMEOUT`]; the message contains `what`.
pub async fn until<T, F: Future<Output = Option<T>>>(what: &str, mut poll: impl FnMut() -> F) -> T {
    let deadline = Instant::now() + TIMEOUT;
    loop {
        if let Some(value) = poll().await {
            return value;
        }
        assert!(Instant::now() < deadline, "timed out waiting for {what}");
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}
