//! Integration tests.
