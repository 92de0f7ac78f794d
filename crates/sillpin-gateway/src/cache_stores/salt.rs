//! Cache salts: the model, weight version and isolated organisation that a part belongs to.

use crate::dialect::Salt;
use derive_more::{Display, Error};
use sillpin_core::{ModelId, OrgId, WeightVersion};
use std::str::FromStr;

/// The fields of a salt, written as `model/version` or `model/version/organisation`. No name contains a slash, so parsing is
/// unambiguous.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Display)]
#[display("{model}/{version}{}", self.isolated_org_text())]
pub struct SaltParts {
    /// The model.
    pub model: ModelId,
    /// The version of its weights.
    pub version: WeightVersion,
    /// The organisation, if it is isolated and shares no parts with others.
    pub isolated_org: Option<OrgId>,
}

impl SaltParts {
    fn isolated_org_text(&self) -> String {
        let isolated_org = self.isolated_org.as_ref();
        isolated_org
            .map(|org| format!("/{org}"))
            .unwrap_or_default()
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
        let isolated_org = fields
            .next()
            .map(|field| field.parse().map_err(|_| SaltError));
        if fields.next().is_some() {
            return Err(SaltError);
        }
        Ok(Self {
            model: model.ok_or(SaltError)?,
            version: version.ok_or(SaltError)?,
            isolated_org: isolated_org.transpose()?,
        })
    }
}
