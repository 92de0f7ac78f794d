//! Which version of a pool's software began a stream, so that only targets of that version continue it.
//!
//! What targets of two versions write does not fit together, and targets do not check it. Within a response the box
//! knows the version itself. A caller that resumes a stream may come to any box, when the one that began the stream is
//! gone; it names the attempt that brought the stream's first event. While a pool has had one version for as long as
//! any caller may have waited, that version began all of its streams ([`history`]), and nobody is asked, unless a route
//! has several pools. A box tells a few others, found by a hash of the attempt ([`holders`]), before the first event goes
//! to the caller, and a box that lacks the record asks them ([`exchange`]). A version that nobody knows is never guessed.
//!
//! A version that appears gets no new streams for [`history::HOLD_TIME`]: by then all boxes in contact with the store
//! know that the pool has two, and have told others of the streams that began before.
//!
//! - [`version`]: short ids of versions and streams,
//! - [`history`]: versions that a pool has had,
//! - [`records`]: which version began which stream,
//! - [`holders`]: which boxes are told,
//! - [`message`]: datagrams about streams,
//! - [`register`]: versions of each pool in the platform store,
//! - [`routes`]: pools and time limits of routes in earlier configurations,
//! - [`exchange`]: tells and asks other boxes.

pub mod exchange;
pub mod history;
pub mod holders;
pub mod message;
pub mod records;
pub mod register;
pub mod routes;
pub mod version;

pub use exchange::StreamVersions;
pub use history::PoolVersions;
pub use routes::RouteHistory;
pub use version::{StreamKey, VersionHash};

use std::time::Duration;

/// Added to the time that callers wait for a stream, since they may come back a little later than they state.
const WAIT_MARGIN: Duration = Duration::from_secs(2);

/// Shortest time for which callers may come back to a stream. A box that has just started does not know longer time limits of earlier
/// configurations.
const MIN_RESUMABLE: Duration = Duration::from_secs(30);

/// Returns how long callers of a route may come back to a stream after it began. A caller may wait for longer than
/// one response takes.
pub fn resumable_for(timeout: Duration) -> Duration {
    MIN_RESUMABLE.max(timeout * 2 + WAIT_MARGIN)
}
