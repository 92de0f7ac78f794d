//! What has changed of the targets, so that an update doesn't format and hash the entries of all of them.

use crate::control::TargetEntry;
use sillpin_core::TargetId;
use std::collections::{HashMap, HashSet};
use xxhash_rust::xxh3::xxh3_64;

/// Targets whose part of the view has to be updated.
#[derive(Debug, Default)]
pub(super) enum ChangedTargets {
    /// None.
    #[default]
    None,
    /// These.
    Some(HashSet<TargetId>),
    /// All, since something changed that decides on all of them.
    All,
}

impl ChangedTargets {
    pub(super) fn add(&mut self, id: &TargetId) {
        match self {
            ChangedTargets::None => *self = ChangedTargets::Some(HashSet::from([id.clone()])),
            ChangedTargets::Some(ids) => {
                ids.insert(id.clone());
            }
            ChangedTargets::All => {}
        }
    }

    pub(super) fn add_all(&mut self) {
        *self = ChangedTargets::All;
    }
}

/// Hash of all listed entries, without heartbeats. It is the sum of the entries' hashes, so a change of one entry does
/// not need the others, and their order does not matter.
#[derive(Debug, Default)]
pub(super) struct TargetsContent {
    by_target: HashMap<TargetId, u64>,
    sum: u64,
}

impl TargetsContent {
    /// Replaces the entry of a target; `None` if it is not listed.
    pub(super) fn set(&mut self, id: &TargetId, entry: Option<&TargetEntry>) {
        let before = match entry {
            Some(entry) => {
                let hash = xxh3_64(format!("{entry:?}").as_bytes());
                self.sum = self.sum.wrapping_add(hash);
                self.by_target.insert(id.clone(), hash)
            }
            None => self.by_target.remove(id),
        };
        self.sum = self.sum.wrapping_sub(before.unwrap_or_default());
    }

    pub(super) fn hash(&self) -> u64 {
        self.sum
    }
}
