//! RPC interfaces between sillpin's processes, by `tarpc` over TCP.
//!
//! - [`entry_link`]: calls from an entry to the keeper of its box,
//! - [`peer_link`]: calls between keepers, and from the command line to a keeper,
//! - [`gossip`]: the state that keepers replicate by gossip,
//! - [`directory`]: hints about which targets hold which blocks,
//! - [`claims`]: claims of calls that run at most once,
//! - [`arms`]: measurements of the arms of a rollout,
//! - [`records`]: decision records, for `sillpin explain`,
//! - [`transport`]: client and server connections.

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
