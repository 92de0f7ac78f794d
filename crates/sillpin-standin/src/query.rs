//! Query strings of the stand-ins' interfaces.

use std::str::FromStr;

/// Value of `key` in a query string such as `a=1&b=2`.
pub fn param<T: FromStr>(query: Option<&str>, key: &str) -> Option<T> {
    query?
        .split('&')
        .filter_map(|pair| pair.split_once('='))
        .find(|(name, _)| *name == key)
        .and_then(|(_, value)| value.parse().ok())
}
