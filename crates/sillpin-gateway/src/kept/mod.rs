//! Which parts of prompts the stores of kept KV cache hold.
//!
//! A part may be fetched only while it is known to be whole, so what is known of a store lapses soon
//! after the store was last heard, and at once when a reading fails: a store that restarted may be
//! writing the part anew.
//!
//! - [`directory`]: what each store holds,
//! - [`homes`]: which store keeps a part,
//! - [`salt`]: under which weights a part was made,
//! - [`retire`]: parts of replaced weights that are no longer used,
//! - [`links`]: how many fetches a store bears,
//! - [`reader`]: tasks that read the stores' events,
//! - [`freer`]: frees parts that nobody uses.

pub mod directory;
pub mod freer;
pub mod homes;
pub mod links;
pub mod reader;
pub mod retire;
pub mod salt;

pub use directory::{Directory, Kept};
