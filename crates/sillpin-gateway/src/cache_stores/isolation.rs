//! Which organisations share parts of prompts.
//!
//! When an organisation becomes isolated, the parts that it has made stay where they are, under the salt that all shared.
//! The salt of the others therefore names the set of isolated organisations: only organisations outside this set make parts
//! under it, and it is used only while exactly this set is isolated. The set is read off the configuration in force alone, so
//! boxes agree on the salt without messages, and also those that start anew.

use super::salt::encoded;
use crate::config::{FleetConfig, Organisation};
use derive_more::{Display, Error};
use sillpin_core::OrgId;
use std::collections::BTreeSet;
use std::str::FromStr;
use xxhash_rust::xxh3::Xxh3;

/// Separates names in the hash of a set; occurs in no encoded name.
const SEPARATOR: &[u8] = b"/";

/// Base of the number that is a set's text.
const TEXT_RADIX: u32 = 16;

/// Hash of the names of the isolated organisations; zero if there are none.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, Display)]
#[display("{_0:016x}")]
pub struct IsolatedSet(u64);

impl IsolatedSet {
    /// No organisation is isolated.
    pub const NONE: Self = Self(0);

    /// Returns the hash of a set of names.
    fn of(ids: &BTreeSet<OrgId>) -> Self {
        if ids.is_empty() {
            return Self::NONE;
        }
        let mut hash = Xxh3::new();
        for id in ids {
            for text in encoded(id.as_str()) {
                hash.update(text.as_bytes());
            }
            hash.update(SEPARATOR);
        }
        Self(hash.digest().max(1))
    }
}

/// Error for a text that is not that of a set with members.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Error)]
#[display("not the hash of a set of organisations")]
pub struct IsolatedSetError;

impl FromStr for IsolatedSet {
    type Err = IsolatedSetError;

    fn from_str(text: &str) -> Result<Self, IsolatedSetError> {
        let set = u64::from_str_radix(text, TEXT_RADIX).map(Self);
        let set = set.map_err(|_| IsolatedSetError)?;
        match set != Self::NONE && set.to_string() == text {
            true => Ok(set),
            false => Err(IsolatedSetError),
        }
    }
}

/// The organisations that share a part.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Sharing {
    /// All organisations outside a set.
    AllBut(IsolatedSet),
    /// An isolated organisation alone.
    Only(OrgId),
}

/// The isolated organisations of a configuration.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct IsolatedOrganisations {
    ids: BTreeSet<OrgId>,
    set: IsolatedSet,
}

impl IsolatedOrganisations {
    /// Returns those of a configuration.
    pub fn of(config: &FleetConfig) -> Self {
        let isolated = config.organisations.iter().filter(|org| org.isolated);
        let ids: BTreeSet<OrgId> = isolated.map(|org| org.id.clone()).collect();
        let set = IsolatedSet::of(&ids);
        Self { ids, set }
    }

    /// Returns the number of isolated organisations.
    pub fn count(&self) -> usize {
        self.ids.len()
    }

    /// Returns the hash of their names.
    pub fn set(&self) -> IsolatedSet {
        self.set
    }

    /// Returns with whom a request shares parts; `org` is its organisation in the configuration that admitted it. One that is
    /// isolated there shares none, even if it no longer is: under its own salt it finds only what it has made.
    pub fn sharing(&self, org: Option<&Organisation>) -> Sharing {
        match org.filter(|org| org.isolated || self.ids.contains(&org.id)) {
            Some(org) => Sharing::Only(org.id.clone()),
            None => Sharing::AllBut(self.set),
        }
    }
}
