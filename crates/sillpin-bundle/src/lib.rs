//! Versioned bundles of policies: immutable, named by their digest, signed.
//!
//! - [`bundle`]: the document and its checks,
//! - [`signed`]: digest, signature and acceptance.
//!
//! The log of accepted bundles lives in the platform's service, one key a revision, each created if
//! absent: of two operators that race, one gets the revision and the other is told who has it.

pub mod bundle;
pub mod signed;

pub use bundle::{Arm, Bundle, BundleFault, PoolPolicy};
pub use signed::{Accepted, Digest, SignError, SignedBundle, SignerKey, TrustedKey, revision_key};
