//! State of searches for other targets, which counts also if a search is dropped.

use super::progress::Progress;
use std::ops::{Deref, DerefMut};
use std::sync::{Arc, Mutex, PoisonError};

/// Where a search leaves its state if it is dropped while the state that it adds to is in use by the attempt beside it.
#[derive(Clone, Default)]
pub(super) struct DroppedSearch(Arc<Mutex<Option<Box<Progress>>>>);

impl DroppedSearch {
    fn put(&self, search: Progress) {
        let mut slot = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        *slot = Some(Box::new(search));
    }

    /// Returns the state of a search that was dropped.
    pub fn take(&self) -> Option<Box<Progress>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner).take()
    }
}

/// State of a search, which is kept if the search is dropped.
pub(super) struct SearchProgress {
    progress: Progress,
    dropped: DroppedSearch,
    is_under_way: bool,
}

impl SearchProgress {
    /// Creates the state of a search that has not begun; nothing of it is kept before.
    pub fn new(progress: Progress, dropped: DroppedSearch) -> Self {
        Self {
            progress,
            dropped,
            is_under_way: false,
        }
    }

    /// Begins the search.
    pub fn begin(&mut self) {
        self.is_under_way = true;
    }

    /// Returns the state of the search, which has ended.
    pub fn finish(mut self) -> Progress {
        self.is_under_way = false;
        std::mem::take(&mut self.progress)
    }
}

impl Deref for SearchProgress {
    type Target = Progress;

    fn deref(&self) -> &Progress {
        &self.progress
    }
}

impl DerefMut for SearchProgress {
    fn deref_mut(&mut self) -> &mut Progress {
        &mut self.progress
    }
}

impl Drop for SearchProgress {
    fn drop(&mut self) {
        if self.is_under_way {
            self.dropped.put(std::mem::take(&mut self.progress));
        }
    }
}
