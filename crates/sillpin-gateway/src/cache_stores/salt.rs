//! Cache salts: the model, weight version and organisations that a part belongs to.

use super::isolation::{IsolatedSet, Sharing};
use crate::dialect::Salt;
use derive_more::{Display, Error};
use sillpin_core::{ModelId, OrgId, WeightVersion};
use std::str::FromStr;

/// The fields of a salt, written as `model/version/organisation` for an isolated organisation, and for the others as
/// `model/version//set` with the set of those that are isolated, or as `model/version` if none are. No name is empty or
/// contains a slash, so parsing is unambiguous.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Display)]
#[display("{model}/{version}{}", self.sharing_text())]
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
            Sharing::Only(org) => format!("/{org}"),
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
                let org = org.parse().map_err(|_| SaltError)?;
                (model, version, Sharing::Only(org))
            }
            _ => return Err(SaltError),
        };
        Ok(Self {
            model: model.parse().map_err(|_| SaltError)?,
            version: version.parse().map_err(|_| SaltError)?,
            sharing,
        })
    }
}
