//! This keeper's part of the directory of blocks: who holds what of the prompts whose roots it
//! owns, and which of their blocks stores keep.

mod table;
mod task;

pub use table::{DirectoryTable, ExportJob, FreeJob};
pub use task::{DirectoryHandle, DirectoryMsg, DirectoryStats, start};
