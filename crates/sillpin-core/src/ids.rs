//! Newtypes for identifiers.
//!
//! The names of machines and targets ([`BoxId`], [`TargetId`], ...) consist of letters, digits and a few other characters.
//! Other names that people choose ([`OrgId`], [`PoolId`], ...) are text that is compared byte by byte. Whoever writes one into a
//! URL, a salt or another format with separators encodes it there.

use crate::number_type;
use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};
use std::str::FromStr;
use std::sync::Arc;
use uuid::Uuid;

/// Maximum length of a name, in bytes: more than a key of the platform's service has.
pub const MAX_NAME_LEN: usize = 256;

/// Error for an empty or too long name, or one with other characters.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
#[display("invalid {kind} name {name:?}: {}", alphabet.rule())]
pub struct InvalidName {
    kind: &'static str,
    name: String,
    alphabet: Alphabet,
}

/// Which characters names of a kind consist of.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Alphabet {
    /// Letters, digits, '.', '_' and '-'.
    Identifier,
    /// Any characters but control characters, without blanks at either end, which a header value would lose.
    Text,
}

impl Alphabet {
    fn rule(self) -> String {
        let what = match self {
            Alphabet::Identifier => "letters, digits, '.', '_' and '-'",
            Alphabet::Text => "text without control characters and without blanks at its ends",
        };
        format!("1 to {MAX_NAME_LEN} bytes of {what}")
    }

    fn allows(self, name: &str) -> bool {
        match self {
            Alphabet::Identifier => name
                .chars()
                .all(|c| c.is_alphanumeric() || ['.', '_', '-'].contains(&c)),
            Alphabet::Text => !name.contains(char::is_control) && name.trim() == name,
        }
    }
}

fn check_name(kind: &'static str, alphabet: Alphabet, name: &str) -> Result<(), InvalidName> {
    let valid_len = !name.is_empty() && name.len() <= MAX_NAME_LEN;
    if valid_len && alphabet.allows(name) {
        return Ok(());
    }
    Err(InvalidName {
        kind,
        name: name.chars().take(MAX_NAME_LEN).collect(),
        alphabet,
    })
}

macro_rules! name_type {
    ($(#[$doc:meta])* $name:ident, $kind:literal, $alphabet:ident) => {
        $(#[$doc])*
        #[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Display, Serialize, Deserialize)]
        #[serde(try_from = "String", into = "String")]
        pub struct $name(Arc<str>);

        impl $name {
            /// Returns the name as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl FromStr for $name {
            type Err = InvalidName;

            fn from_str(s: &str) -> Result<Self, InvalidName> {
                check_name($kind, Alphabet::$alphabet, s)?;
                Ok(Self(s.into()))
            }
        }

        impl TryFrom<String> for $name {
            type Error = InvalidName;

            fn try_from(s: String) -> Result<Self, InvalidName> {
                s.parse()
            }
        }

        impl From<$name> for String {
            fn from(name: $name) -> String {
                name.0.as_ref().to_owned()
            }
        }
    };
}

name_type!(
    /// A box: a machine that runs `sillpin-entry` and `sillpin-keeper`, or `sillpin-box`.
    BoxId, "box", Identifier
);
name_type!(
    /// An availability zone.
    ZoneId, "availability zone", Text
);
name_type!(
    /// A region: a group of availability zones near each other.
    RegionId, "region", Text
);
name_type!(
    /// An organisation, to which callers belong.
    OrgId, "organisation", Text
);
name_type!(
    /// A target: a model engine, a plain service, a store box or a weight store.
    TargetId, "target", Identifier
);
name_type!(
    /// A pool of interchangeable targets.
    PoolId, "pool", Text
);
name_type!(
    /// A model served by a pool of engines.
    ModelId, "model", Text
);
name_type!(
    /// An adapter loaded with a model.
    AdapterId, "adapter", Text
);
name_type!(
    /// An arm of a rollout: the control arm or one under comparison.
    ArmName, "arm", Text
);

macro_rules! counter_type {
    ($(#[$doc:meta])* $name:ident) => {
        number_type!(
            $(#[$doc])*
            #[derive(derive_more::From, derive_more::FromStr)]
            $name
        );

        impl $name {
            /// Returns the next number.
            pub fn next(self) -> Self {
                Self(self.0 + 1)
            }
        }
    };
}

counter_type!(
    /// A position in the log of accepted bundles; a box only adopts higher revisions.
    Revision
);
counter_type!(
    /// A version of a model's weights.
    WeightVersion
);
counter_type!(
    /// Number of a write of a block to a store; never reused for the same block.
    Generation
);
counter_type!(
    /// Fencing token of orders to a target: a target that checks it refuses lower tokens.
    Fence
);
counter_type!(
    /// Start time of a process in milliseconds since the Unix epoch, which distinguishes restarts.
    Incarnation
);

macro_rules! uuid_type {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(
            Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Display, derive_more::FromStr,
            Serialize, Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(Uuid);

        impl $name {
            /// Creates a new identifier; identifiers are ordered by creation time.
            pub fn generate() -> Self {
                Self(Uuid::now_v7())
            }
        }
    };
}

uuid_type!(
    /// Id of a caller's request.
    RequestId
);
uuid_type!(
    /// Id of one attempt to run a request at a target. The target repeats it in every response document.
    AttemptId
);
