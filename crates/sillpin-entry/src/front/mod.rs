//! The callers' side: routes, keys, limits, documents.

pub mod auth;
pub mod body;
pub mod documents;
pub mod failure;
pub mod headers;
pub mod route;

pub use failure::Failure;
pub use route::handle;
