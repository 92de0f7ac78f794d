//! Cache salts: the model, weight version and organisations that a part belongs to.

use super::isolation::{IsolatedSet, Sharing};
use crate::dialect::Salt;
use derive_more::{Display, Error};
use percent_encoding::{
    AsciiSet, NON_ALPHANUMERIC, PercentEncode, percent_decode_str, utf8_percent_encode,
};
use sillpin_core::{ModelId, OrgId, WeightVersion};
use std::str::FromStr;

/// The fields of a salt, written as `model/version/organisation` for an isolated organisation, and for the others as
/// `model/version//set` with the set of those that are isolated, or as `model/version` if none are. Names are
/// percent-encoded, so they contain no slash and every salt can be written in a header; no name is empty.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Display)]
#[display("{}/{version}{}", encoded(model.as_str()), self.sharing_text())]
pub struct SaltParts {
    /// The model.
    pub model: ModelId,
    /// The version of its weights.
    pub version: WeightVersion,
    /// The organisations that share the part.
    pub sharing: Sharing,
}

impl SaltParts {
    fn sharing_text(&self) -> String {
        match &self.sharing {
            Sharing::AllBut(IsolatedSet::NONE) => String::new(),
            Sharing::AllBut(set) => format!("//{set}"),
            Sharing::Only(org) => format!("/{}", encoded(org.as_str())),
        }
    }

    /// Returns the salt as text.
    pub fn salt(&self) -> Salt {
        Salt(self.to_string())
    }

    /// Returns the organisation, if it is isolated and shares no parts with others.
    pub fn isolated_org(&self) -> Option<&OrgId> {
        match &self.sharing {
            Sharing::Only(org) => Some(org),
            Sharing::AllBut(_) => None,
        }
    }
}

/// Characters that are encoded in the names of a salt.
const ENCODED: &AsciiSet = &NON_ALPHANUMERIC.remove(b'.').remove(b'_').remove(b'-');

/// Returns a name as it is written in a salt.
pub fn encoded(name: &str) -> PercentEncode<'_> {
    utf8_percent_encode(name, ENCODED)
}

/// Parses a name in a salt.
fn decoded<T: FromStr>(text: &str) -> Result<T, SaltError> {
    let name = percent_decode_str(text).decode_utf8();
    let name = name.map_err(|_| SaltError)?;
    name.parse().map_err(|_| SaltError)
}

/// Error for a salt that sillpin did not write.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Error)]
#[display("not a salt written by sillpin")]
pub struct SaltError;

impl FromStr for SaltParts {
    type Err = SaltError;

    fn from_str(text: &str) -> Result<Self, SaltError> {
        let fields: Vec<&str> = text.split('/').collect();
        let (model, version, sharing) = match fields[..] {
            [model, version] => (model, version, Sharing::AllBut(IsolatedSet::NONE)),
            [model, version, "", set] => {
                let set = set.parse().map_err(|_| SaltError)?;
                (model, version, Sharing::AllBut(set))
            }
            [model, version, org] => {
                let org = decoded(org)?;
                (model, version, Sharing::Only(org))
            }
            _ => return Err(SaltError),
        };
        let salt = Self {
            model: decoded(model)?,
            version: version.parse().map_err(|_| SaltError)?,
            sharing,
        };
        // The same names can be encoded in several ways, but only one of them is a salt.
        match salt.to_string() == text {
            true => Ok(salt),
            false => Err(SaltError),
        }
    }
}
