//! The targets as sillpin sees them: one small trait a kind, one HTTP adapter file each.
//!
//! - [`engine`]: model engines; [`engine_http`] is their adapter,
//! - [`store`]: store boxes and the objects in them; [`store_http`] is their adapter.
//!
//! Plain services are spoken to in the callers' own HTTP, which `sillpin-entry` passes on.

pub mod engine;
pub mod engine_http;
pub mod store;
pub mod store_http;

pub use engine::{
    CacheChange, CacheEvents, Engine, EngineError, EngineFault, ExportOrder, Exported, LoadOrder,
    RunEvent, RunOrder, RunStream, RunSummary,
};
pub use engine_http::HttpEngine;
pub use store::{ObjectRef, SealedObject, Store, StoreError};
pub use store_http::HttpStore;
