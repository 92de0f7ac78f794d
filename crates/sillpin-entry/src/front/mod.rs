//! The HTTP interface for callers: routes, API keys, limits and documents.

pub mod auth;
pub mod body;
pub mod documents;
pub mod failure;
pub mod headers;
pub mod route;

pub use failure::Failure;
pub use route::handle;
