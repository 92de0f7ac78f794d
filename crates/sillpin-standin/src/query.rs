//! Parses query strings of the stand-ins' HTTP interfaces.

use std::str::FromStr;

/// Returns the value of `key` in a query string such as `a=1&b=2`; `None` if it is missing or does not parse.
pub fn param<T: FromStr>(query: Option<&str>, key: &str) -> Option<T> {
    query?
        .split('&')
        .filter_map(|pair| pair.split_once('='))
        .find(|(name, _)| *name == key)
        .and_then(|(_, value)| value.parse().ok())
}
