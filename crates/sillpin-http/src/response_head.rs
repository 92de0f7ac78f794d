//! What must be true of the head of a response before anything of it is used.
//!
//! The library rejects lines that are no fields, names with blanks or control bytes, lengths that are no numbers or
//! differ, and statuses below 100. It accepts statuses up to 999, a length beside chunks, transfer codings that it does not
//! decode, and a change of protocol that nobody asked for: the end of such a body is not known, or the body is not what the
//! peer meant.

use derive_more::{Display, Error};
use hyper::header::{CONTENT_LENGTH, TRANSFER_ENCODING};
use hyper::{HeaderMap, Response, StatusCode};

/// Largest status of a response.
const MAX_STATUS: u16 = 599;

/// The only transfer coding that is decoded.
const CHUNKED: &[u8] = b"chunked";

/// Why the head of a response is not accepted.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Error)]
pub enum HeadFault {
    /// The status is none of a final response.
    #[display("status {_0}")]
    Status(#[error(not(source))] StatusCode),
    /// The transfer coding is not chunked, or there are several.
    #[display("unknown transfer coding")]
    TransferCoding,
    /// A length stands beside chunks.
    #[display("a length beside chunks")]
    LengthBesideChunks,
    /// The status allows no body, and the head announces one.
    #[display("a body with status {_0}")]
    Body(#[error(not(source))] StatusCode),
}

/// Checks the head of a response that the library has accepted. A connection on which one fails must not be used again.
pub fn check<B>(response: &Response<B>) -> Result<(), HeadFault> {
    let (status, headers) = (response.status(), response.headers());
    if status.is_informational() || status.as_u16() > MAX_STATUS {
        return Err(HeadFault::Status(status));
    }
    let is_chunked = is_chunked(headers)?;
    if is_chunked && headers.contains_key(CONTENT_LENGTH) {
        return Err(HeadFault::LengthBesideChunks);
    }
    if status == StatusCode::NO_CONTENT && (is_chunked || has_length(headers)) {
        return Err(HeadFault::Body(status));
    }
    Ok(())
}

/// Returns whether the body comes in chunks.
fn is_chunked(headers: &HeaderMap) -> Result<bool, HeadFault> {
    let mut codings = headers.get_all(TRANSFER_ENCODING).iter();
    let Some(coding) = codings.next() else {
        return Ok(false);
    };
    let is_chunked = coding.as_bytes().trim_ascii().eq_ignore_ascii_case(CHUNKED);
    match is_chunked && codings.next().is_none() {
        true => Ok(true),
        false => Err(HeadFault::TransferCoding),
    }
}

/// Returns whether a length other than zero is named.
fn has_length(headers: &HeaderMap) -> bool {
    let mut lengths = headers.get_all(CONTENT_LENGTH).iter();
    lengths.any(|len| len.as_bytes().iter().any(|digit| *digit != b'0'))
}
