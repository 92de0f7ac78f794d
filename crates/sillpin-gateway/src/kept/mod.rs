//! Which parts of prompts the stores of kept KV cache hold.
//!
//! A part may be fetched only while it is known to be whole, so what is known of a store lapses soon
//! after the store was last heard, and at once when a reading fails: a store that restarted may be
//! writing the part anew.
//!
//! - [`directory`]: what each store holds,
//! - [`homes`]: which store keeps a part,
//! - [`reader`]: tasks that read the stores' events.

pub mod directory;
pub mod homes;
pub mod reader;

pub use directory::{Directory, Kept};
