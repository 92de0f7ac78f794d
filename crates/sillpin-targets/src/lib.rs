//! Interfaces to the targets: a trait and an HTTP adapter per kind of target.
//!
//! - [`engine`]: model engines, with the adapter [`engine_http`],
//! - [`store`]: store boxes and their objects, with the adapter [`store_http`].
//!
//! Plain services need no adapter: `sillpin-entry` forwards the callers' HTTP requests to them.

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
