//! Cache stores: targets that keep KV cache of parts of prompts for the engines.
//!
//! A part may be fetched only while it is known to be complete. The known content of a store therefore
//! expires soon after the last successful poll, and immediately when a poll fails: a store that
//! restarted may be in the middle of writing the part again.
//!
//! - [`directory`]: content of each store,
//! - [`homes`]: choice of the store for a part,
//! - [`isolation`]: which organisations share parts,
//! - [`salt`]: model, weight version and organisations that a part's key names,
//! - [`retire`]: parts of replaced weights that are no longer fetched or saved,
//! - [`fetch_shares`]: share of prompts that may fetch from each store,
//! - [`reader`]: tasks that poll the stores for changes,
//! - [`reclaimer`]: frees unused parts.

pub mod directory;
pub mod fetch_shares;
pub mod homes;
pub mod isolation;
pub mod reader;
pub mod reclaimer;
pub mod retire;
pub mod retired_shares;
pub mod salt;

pub use directory::{CacheStores, Directory};
