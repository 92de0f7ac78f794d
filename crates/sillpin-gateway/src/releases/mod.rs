//! Gradual releases of new versions of a pool's targets, with automatic rollback.
//!
//! Operators order a release; [`crate::fleet_state::releases`] holds the orders and their phases. While a release
//! runs, each box sends a scheduled fraction of its own requests to the new version ([`tracker`]), so all boxes
//! together keep to it without communication, also when zones are partitioned or boxes restart. Each box counts the
//! responses of both versions, and boxes send each other the counts ([`evidence`]). Every box compares the versions by
//! what it received ([`supervisor`]), and the first one that finds the new version worse ends the release everywhere.
//! Only a success that the platform store has accepted counts, since the earlier targets stop on it.

pub mod evidence;
pub mod supervisor;
pub mod tracker;

pub use self::evidence::{ReleaseUpdate, RouteEvidence};
pub use self::tracker::{Assignment, ReleaseTracker};

/// Version of the targets that serve a request.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Cohort {
    /// The version that the pool has served so far; all targets without a release.
    #[default]
    Control,
    /// The new version of a running release.
    Canary,
}
