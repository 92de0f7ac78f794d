//! Salts: under which weights, and behind which wall, a part was made.

use crate::dialect::Salt;
use derive_more::{Display, Error};
use sillpin_core::{ModelId, OrgId, WeightVersion};
use std::str::FromStr;

/// What a salt keeps apart. No name holds a slash, so the text reads back.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Display)]
#[display("{model}/{version}{}", self.wall_text())]
pub struct SaltParts {
    /// The model.
    pub model: ModelId,
    /// The version of its weights.
    pub version: WeightVersion,
    /// The organisation, if it shares nothing with others.
    pub wall: Option<OrgId>,
}

impl SaltParts {
    fn wall_text(&self) -> String {
        let wall = self.wall.as_ref();
        wall.map(|org| format!("/{org}")).unwrap_or_default()
    }

    /// The salt's text.
    pub fn salt(&self) -> Salt {
        Salt(self.to_string())
    }
}

/// A salt that sillpin did not make.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Error)]
#[display("not a salt of sillpin")]
pub struct ForeignSalt;

impl FromStr for SaltParts {
    type Err = ForeignSalt;

    fn from_str(text: &str) -> Result<Self, ForeignSalt> {
        let mut fields = text.split('/');
        let model = fields.next().and_then(|field| field.parse().ok());
        let version = fields.next().and_then(|field| field.parse().ok());
        let wall = fields
            .next()
            .map(|field| field.parse().map_err(|_| ForeignSalt));
        if fields.next().is_some() {
            return Err(ForeignSalt);
        }
        Ok(Self {
            model: model.ok_or(ForeignSalt)?,
            version: version.ok_or(ForeignSalt)?,
            wall: wall.transpose()?,
        })
    }
}
