//! Newtypes for sizes, rates and shares.

use crate::number_type;
use derive_more::{Add, AddAssign, Display, Error, From, FromStr, Sub, Sum};
use serde::{Deserialize, Serialize};
use std::num::ParseIntError;
use std::str::FromStr;
use std::time::Duration;

/// A number of tokens. What is decoded or converted is at most [`Tokens::MAX`], so that sums of it, and its size in bytes, do not
/// overflow.
#[derive(
    Debug,
    Clone,
    Copy,
    Default,
    PartialEq,
    Eq,
    Hash,
    PartialOrd,
    Ord,
    Display,
    Add,
    AddAssign,
    Sub,
    Sum,
    Serialize,
    Deserialize,
)]
#[serde(from = "u64", into = "u64")]
pub struct Tokens(pub u64);

impl Tokens {
    /// Largest number that is accepted, many times the capacity of any store.
    pub const MAX: Tokens = Tokens(1 << 40);
}

impl From<u64> for Tokens {
    fn from(number: u64) -> Self {
        Self(number).min(Self::MAX)
    }
}

impl From<Tokens> for u64 {
    fn from(tokens: Tokens) -> u64 {
        tokens.0
    }
}

impl FromStr for Tokens {
    type Err = ParseIntError;

    fn from_str(s: &str) -> Result<Self, ParseIntError> {
        s.parse().map(u64::into)
    }
}

number_type!(
    /// A size in bytes.
    #[derive(Add, AddAssign, From, FromStr, Sub, Sum)]
    Bytes
);

number_type!(
    /// A rate in bytes per second.
    #[derive(From, FromStr)]
    BytesPerSec
);

impl BytesPerSec {
    /// Returns the time to transfer `size` at this rate; `None` if the rate is zero.
    pub fn time_for(self, size: Bytes) -> Option<Duration> {
        if self.0 == 0 {
            return None;
        }
        Some(Duration::from_secs_f64(size.0 as f64 / self.0 as f64))
    }
}

/// A share of a whole, in hundredths of a percent (0 to 10,000).
#[derive(
    Debug,
    Clone,
    Copy,
    Default,
    PartialEq,
    Eq,
    Hash,
    PartialOrd,
    Ord,
    Display,
    Serialize,
    Deserialize,
)]
#[serde(try_from = "u16", into = "u16")]
#[display("{}.{:02}%", _0 / 100, _0 % 100)]
pub struct Share(u16);

/// Error for a share above 100%, or text that is not a share.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Error)]
#[display("invalid share: a whole number of hundredths of a percent from 0 to 10000")]
pub struct InvalidShare;

impl Share {
    /// Hundredths of a percent in 100%.
    pub const WHOLE_UNITS: u16 = 10_000;
    /// 100%.
    pub const WHOLE: Share = Share(Self::WHOLE_UNITS);
    /// 0%.
    pub const NONE: Share = Share(0);

    /// Returns the share in hundredths of a percent.
    pub fn units(self) -> u16 {
        self.0
    }

    /// Returns the share as a fraction from 0 to 1.
    pub fn fraction(self) -> f64 {
        f64::from(self.0) / f64::from(Self::WHOLE_UNITS)
    }
}

impl TryFrom<u16> for Share {
    type Error = InvalidShare;

    fn try_from(units: u16) -> Result<Self, InvalidShare> {
        if units > Self::WHOLE_UNITS {
            return Err(InvalidShare);
        }
        Ok(Share(units))
    }
}

impl From<Share> for u16 {
    fn from(share: Share) -> u16 {
        share.0
    }
}

impl FromStr for Share {
    type Err = InvalidShare;

    fn from_str(s: &str) -> Result<Self, InvalidShare> {
        let units: u16 = s.parse().map_err(|_| InvalidShare)?;
        Share::try_from(units)
    }
}

/// A request rate in thousandths of a request per second; displayed in requests per second.
#[derive(
    Debug,
    Clone,
    Copy,
    Default,
    PartialEq,
    Eq,
    Hash,
    PartialOrd,
    Ord,
    Display,
    Serialize,
    Deserialize,
)]
#[serde(transparent)]
#[display("{}", self.per_s())]
pub struct RequestRate(u32);

/// Error for text that is not a valid rate: not a decimal number, negative, or not finite.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Error)]
#[display("invalid rate: a decimal number of requests a second, zero or above")]
pub struct InvalidRate;

impl RequestRate {
    /// Units in one request per second.
    const UNITS: f64 = 1000.0;

    /// Returns the rate in requests per second.
    pub fn per_s(self) -> f64 {
        f64::from(self.0) / Self::UNITS
    }
}

impl TryFrom<f64> for RequestRate {
    type Error = InvalidRate;

    /// Rates above the maximum, some millions per second, become the maximum.
    fn try_from(per_s: f64) -> Result<Self, InvalidRate> {
        if !per_s.is_finite() || per_s < 0.0 {
            return Err(InvalidRate);
        }
        Ok(Self((per_s * Self::UNITS).round() as u32))
    }
}

impl FromStr for RequestRate {
    type Err = InvalidRate;

    fn from_str(s: &str) -> Result<Self, InvalidRate> {
        let per_s: f64 = s.trim().parse().map_err(|_| InvalidRate)?;
        Self::try_from(per_s)
    }
}
