//! This keeper's part of the directory of blocks: for the prompts whose roots it owns, which engines
//! cache their blocks and which of the blocks are stored in store boxes.

mod table;
mod task;

pub use table::{DirectoryTable, ExportJob, FreeJob};
pub use task::{DirectoryHandle, DirectoryMsg, DirectoryStats, start};
