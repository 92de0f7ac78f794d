//! Newtypes for identifiers.
//!
//! Names chosen by people ([`BoxId`], [`OrgId`], ...) have a restricted character set, so that they
//! need no escaping in URLs, metric labels and keys of the platform's service.

use crate::number_type;
use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};
use std::str::FromStr;
use std::sync::Arc;
use uuid::Uuid;

/// Maximum length of a name, in bytes.
pub const MAX_NAME_LEN: usize = 64;

/// Error for an empty or too long name, or one with other characters.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
#[display(
    "invalid {kind} name {name:?}: 1 to {MAX_NAME_LEN} characters of a-z, 0-9, '.', '_' and '-'"
)]
pub struct InvalidName {
    kind: &'static str,
    name: String,
}

fn check_name(kind: &'static str, name: &str) -> Result<(), InvalidName> {
    let valid_len = !name.is_empty() && name.len() <= MAX_NAME_LEN;
    let valid_chars = name
        .bytes()
        .all(|b| b.is_ascii_lowercase() || b.is_ascii_digit() || b"._-".contains(&b));
    if valid_len && valid_chars {
        return Ok(());
    }
    Err(InvalidName {
        kind,
        name: name.to_owned(),
    })
}

macro_rules! name_type {
    ($(#[$doc:meta])* $name:ident, $kind:literal) => {
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
                check_name($kind, s)?;
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
    BoxId, "box"
);
name_type!(
    /// An availability zone.
    ZoneId, "availability zone"
);
name_type!(
    /// A region: a group of availability zones near each other.
    RegionId, "region"
);
name_type!(
    /// An organisation, to which callers belong.
    OrgId, "organisation"
);
name_type!(
    /// A target: a model engine, a plain service, a store box or a weight store.
    TargetId, "target"
);
name_type!(
    /// A pool of interchangeable targets.
    PoolId, "pool"
);
name_type!(
    /// A model served by a pool of engines.
    ModelId, "model"
);
name_type!(
    /// An adapter loaded with a model.
    AdapterId, "adapter"
);
name_type!(
    /// An arm of a rollout: the control arm or one under comparison.
    ArmName, "arm"
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
