//! Versioned bundles of policies: immutable, identified by their digest, and signed.
//!
//! - [`bundle`]: the document and its validation,
//! - [`signed`]: digest, signature and the record of an accepted revision.
//!
//! The log of accepted bundles is stored in the platform's store, one key per revision. Keys are only
//! created, never overwritten: when two operators accept at the same time, one gets the revision and
//! the other gets an error that names the first.

pub mod bundle;
pub mod signed;

pub use bundle::{Arm, Bundle, BundleError, PoolPolicy};
pub use signed::{Accepted, Digest, SignError, SignedBundle, SignerKey, TrustedKey, revision_key};
