//! Evidence about the engines of a zone: whether they are silent, or this box is cut off from them.

/// Number of engines that seem silent from which they are compared with those that were heard, instead of only with all
/// engines of the zone: a box often has requests at few of them.
const MIN_SILENT: usize = 3;

/// Evidence about the engines of one zone.
#[derive(Debug, Default)]
pub(super) struct ZoneEvidence {
    /// Engines of the zone.
    pub listed: usize,
    /// Those that were heard recently.
    pub heard: usize,
    /// Those that seem silent.
    pub silent: usize,
    /// Those of the silent ones that other boxes of the own zone find silent too.
    pub confirmed: usize,
}

impl ZoneEvidence {
    pub(super) fn is_mostly_silent(&self) -> bool {
        let of_all = self.silent * 2 > self.listed;
        of_all || (self.silent >= MIN_SILENT && self.silent > self.heard)
    }

    pub(super) fn is_confirmed(&self) -> bool {
        self.confirmed * 2 > self.silent
    }
}
