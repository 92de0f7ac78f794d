//! Newtypes for identifiers.
//!
//! Names that people choose ([`BoxId`], [`OrgId`], ...) share one alphabet, so that they can stand
//! in a URL, a metric label and a key of the platform's service without escaping.

use crate::number_type;
use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};
use std::str::FromStr;
use std::sync::Arc;
use uuid::Uuid;

/// Longest name accepted, in bytes.
pub const MAX_NAME_LEN: usize = 64;

/// A name that does not follow the rules of this module.
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
            /// The name as text.
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
    /// An entry box: one machine that runs `sillpin-entry` and `sillpin-keeper`.
    BoxId, "box"
);
name_type!(
    /// An availability zone.
    ZoneId, "availability zone"
);
name_type!(
    /// A region: availability zones near each other.
    RegionId, "region"
);
name_type!(
    /// An organisation whose callers use the system.
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
    /// An adapter loaded beside a model.
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
            /// The number after this one.
            pub fn next(self) -> Self {
                Self(self.0 + 1)
            }
        }
    };
}

counter_type!(
    /// A position in the log of accepted bundles; a box adopts only a higher one.
    Revision
);
counter_type!(
    /// A version of a model's weights.
    WeightVersion
);
counter_type!(
    /// One writing of a kept block; never reused for the same block.
    Generation
);
counter_type!(
    /// Orders a target's orders: a target that checks refuses a lower one.
    Fence
);
counter_type!(
    /// One life of a process, in milliseconds since the Unix epoch at its start.
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
            /// A new identifier, ordered by time of creation.
            pub fn generate() -> Self {
                Self(Uuid::now_v7())
            }
        }
    };
}

uuid_type!(
    /// One request of a caller.
    RequestId
);
uuid_type!(
    /// One sending of a request to a target. A target echoes it with everything it answers.
    AttemptId
);
