//! Waiting for an event: asked for again and again until it is there, with a bound.

use std::future::Future;
use std::time::Duration;
use tokio::time::Instant;

/// Longest wait for an event.
pub const PATIENCE: Duration = Duration::from_secs(20);

/// Pause between two looks.
const LOOK_EVERY: Duration = Duration::from_millis(20);

/// Waits until `look` gives something.
///
/// # Panics
///
/// When nothing came within [`PATIENCE`]; `what` is named.
pub async fn until<T, F: Future<Output = Option<T>>>(what: &str, mut look: impl FnMut() -> F) -> T {
    let deadline = Instant::now() + PATIENCE;
    loop {
        if let Some(found) = look().await {
            return found;
        }
        assert!(Instant::now() < deadline, "waited in vain for: {what}");
        tokio::time::sleep(LOOK_EVERY).await;
    }
}
