//! Encoding of keys in the paths and queries of calls.

use percent_encoding::{AsciiSet, NON_ALPHANUMERIC, PercentEncode, utf8_percent_encode};

/// Bytes that are encoded: all but the unreserved ones of RFC 3986, section 2.3, and the separator of keys.
const ENCODED: &AsciiSet = &NON_ALPHANUMERIC
    .remove(b'-')
    .remove(b'.')
    .remove(b'_')
    .remove(b'~')
    .remove(b'/');

/// Returns a key, or the start of one, as it is written in a path or query. Keys of other writers may hold any character.
pub fn encode(key: &str) -> PercentEncode<'_> {
    utf8_percent_encode(key, ENCODED)
}
