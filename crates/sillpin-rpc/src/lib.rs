//! What sillpin's own processes say to each other, by `tarpc` over TCP.
//!
//! - [`entry_link`]: an entry and the keeper of its box,
//! - [`peer_link`]: keepers among each other, and the command line with a keeper,
//! - [`gossip`]: the state that keepers spread,
//! - [`directory`]: hints of who holds which blocks,
//! - [`claims`]: claims of calls that run at most once,
//! - [`arms`]: what each arm of a rollout measured,
//! - [`records`]: decision records, for `sillpin explain`,
//! - [`transport`]: connecting and listening.

pub mod arms;
pub mod claims;
pub mod directory;
pub mod entry_link;
pub mod gossip;
pub mod peer_link;
pub mod records;
pub mod transport;

pub use entry_link::{EntryLink, EntryLinkClient};
pub use peer_link::{PeerLink, PeerLinkClient};
