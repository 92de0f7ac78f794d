//! HTTP headers that the entry reads or sets.

use super::Failure;
use hyper::HeaderMap;
use sillpin_core::PriorityClass;
use std::str::FromStr;
use std::time::Duration;

/// Id of the request, set in every response.
pub const REQUEST_ID: &str = "sillpin-request-id";

/// Priority class of a request: `urgent`, `normal` or `batch`.
pub const PRIORITY: &str = "sillpin-priority";

/// Maximum time to the first token, in milliseconds. It can only shorten the bundle's deadline.
pub const DEADLINE: &str = "sillpin-deadline-ms";

/// Idempotency key: the call runs at most once.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";

/// Id of one attempt, sent to the target, which may echo it.
pub const ATTEMPT: &str = "sillpin-attempt";

/// Organisation of the caller, sent to plain services.
pub const ORGANISATION: &str = "sillpin-organisation";

/// Maximum length of an idempotency key.
const MAX_KEY_LEN: usize = 256;

/// Returns the value of a header as text; `None` if the header is absent.
pub fn text<'a>(headers: &'a HeaderMap, name: &'static str) -> Result<Option<&'a str>, Failure> {
    let Some(value) = headers.get(name) else {
        return Ok(None);
    };
    let text = value.to_str();
    let text = text.map_err(|_| Failure::bad_request(format!("header {name} is not text")))?;
    Ok(Some(text))
}

fn parse_header<T: FromStr>(
    headers: &HeaderMap,
    name: &'static str,
    accepted: &str,
) -> Result<Option<T>, Failure> {
    let Some(text) = text(headers, name)? else {
        return Ok(None);
    };
    let refused = || Failure::bad_request(format!("header {name} is not {accepted}"));
    text.parse().map(Some).map_err(|_| refused())
}

/// Returns the priority class of a request.
pub fn priority_class(headers: &HeaderMap) -> Result<PriorityClass, Failure> {
    let priority_class = parse_header(headers, PRIORITY, "urgent, normal or batch")?;
    Ok(priority_class.unwrap_or_default())
}

/// Returns the maximum time to the first token that a request sets.
pub fn deadline(headers: &HeaderMap) -> Result<Option<Duration>, Failure> {
    let millis: Option<u64> = parse_header(headers, DEADLINE, "a whole number of milliseconds")?;
    if millis == Some(0) {
        return Err(Failure::bad_request(format!(
            "header {DEADLINE} must be above 0"
        )));
    }
    Ok(millis.map(Duration::from_millis))
}

/// Returns the idempotency key of a request; `None` if the call may be repeated.
pub fn idempotency_key(headers: &HeaderMap) -> Result<Option<String>, Failure> {
    let Some(key) = text(headers, IDEMPOTENCY_KEY)? else {
        return Ok(None);
    };
    if key.is_empty() || key.len() > MAX_KEY_LEN {
        let detail = format!("header {IDEMPOTENCY_KEY} must have 1 to {MAX_KEY_LEN} characters");
        return Err(Failure::bad_request(detail));
    }
    Ok(Some(key.to_owned()))
}
