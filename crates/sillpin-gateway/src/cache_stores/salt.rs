//! Cache salts: the model, weight version and isolated organisation that a part belongs to.

use crate::dialect::Salt;
use derive_more::{Display, Error};
use sillpin_core::{ModelId, OrgId, WeightVersion};
use std::str::FromStr;

/// The fields of a salt, written as `model/version` or `model/version/organisation`. No name contains a slash, so parsing is
/// unambiguous.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Display)]
#[display("{model}/{version}{}", self.wall_text())]
pub struct SaltParts {
    /// The model.
    pub model: ModelId,
    /// The version of its weights.
    pub version: WeightVersion,
    /// The organisation, if it is isolated and shares no parts with others.
    pub wall: Option<OrgId>,
}

impl SaltParts {
    fn wall_text(&self) -> String {
        let wall = self.wall.as_ref();
        wall.map(|org| format!("/{org}")).unwrap_or_default()
    }

    /// Returns the salt as text.
    pub fn salt(&self) -> Salt {
        Salt(self.to_string())
    }
}

/// Error for a salt that sillpin did not write.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Error)]
#[display("not a salt written by sillpin")]
pub struct SaltError;

impl FromStr for SaltParts {
    type Err = SaltError;

    fn from_str(text: &str) -> Result<Self, SaltError> {
        let mut fields = text.split('/');
        let model = fields.next().and_then(|field| field.parse().ok());
        let version = fields.next().and_then(|field| field.parse().ok());
        let wall = fields
            .next()
            .map(|field| field.parse().map_err(|_| SaltError));
        if fields.next().is_some() {
            return Err(SaltError);
        }
        Ok(Self {
            model: model.ok_or(SaltError)?,
            version: version.ok_or(SaltError)?,
            wall: wall.transpose()?,
        })
    }
}
