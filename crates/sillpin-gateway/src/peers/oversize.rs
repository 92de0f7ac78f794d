//! Messages that are too long for one datagram.
//!
//! A message has sections of its own for each kind of news. Their number of items is bounded, but not the length of the names in
//! them, and one section must not keep the others from arriving. A message that is too long is therefore sent as several, with some sections each: first
//! what other boxes must know within a second or two, last what replaces all that the receivers had of it.

use super::datagram::{Bulletin, Datagram, Digest, Report, Sums, ZoneSummary};
use super::wire::{self, FleetKey, WireError};

/// Encoded parts of a message.
#[derive(Debug)]
pub struct Parts {
    /// The datagrams, in the order in which they are to be sent.
    pub bufs: Vec<Vec<u8>>,
    /// Whether items had to be left out.
    pub is_truncated: bool,
}

/// Encodes a message, as several datagrams if it is too long for one.
pub fn encode(fleet: FleetKey, message: &Datagram) -> Result<Parts, WireError> {
    match wire::encode(fleet, message) {
        Ok(buf) => Ok(Parts {
            bufs: vec![buf],
            is_truncated: false,
        }),
        Err(WireError::TooLong(len)) => encode_parts(fleet, message, len),
        Err(e) => Err(e),
    }
}

fn encode_parts(fleet: FleetKey, message: &Datagram, len: usize) -> Result<Parts, WireError> {
    let mut parts = Parts {
        bufs: Vec::new(),
        is_truncated: false,
    };
    for section in SECTIONS {
        let mut part = message.clone();
        part.clear_all_but(section);
        if !part.has_items(section) && section != Section::Rest {
            continue;
        }
        loop {
            match wire::encode(fleet, &part) {
                Ok(buf) => break parts.bufs.push(buf),
                Err(WireError::TooLong(_)) if part.halve(section) => parts.is_truncated = true,
                Err(WireError::TooLong(_)) => return Err(WireError::TooLong(len)),
                Err(e) => return Err(e),
            }
        }
    }
    Ok(parts)
}

/// Sections of a message.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Section {
    /// Crashes, limits, loads of weights and changes.
    Urgent,
    /// When weights were requested.
    DesiredAges,
    /// Releases.
    Releases,
    /// Work and stored parts, which replace what the receiver had from the sender.
    Rest,
}

/// All sections in the order in which they are sent.
const SECTIONS: [Section; 4] = [
    Section::Urgent,
    Section::DesiredAges,
    Section::Releases,
    Section::Rest,
];

/// A list of a message.
trait Items {
    fn cut(&mut self, len: usize);
    fn count(&self) -> usize;
}

impl<T> Items for Vec<T> {
    fn cut(&mut self, len: usize) {
        self.truncate(len);
    }

    fn count(&self) -> usize {
        self.len()
    }
}

impl Datagram {
    fn clear_all_but(&mut self, kept: Section) {
        for section in SECTIONS.into_iter().filter(|section| *section != kept) {
            self.lists(section).iter_mut().for_each(|list| list.cut(0));
        }
    }

    fn has_items(&mut self, section: Section) -> bool {
        self.lists(section).iter().any(|list| list.count() > 0)
    }

    /// Leaves out the second half of each list of a section. Returns whether there was anything to leave out.
    fn halve(&mut self, section: Section) -> bool {
        let mut lists = self.lists(section);
        let has_items = lists.iter().any(|list| list.count() > 0);
        for list in &mut lists {
            let half = list.count() / 2;
            list.cut(half);
        }
        has_items
    }

    fn lists(&mut self, section: Section) -> Vec<&mut dyn Items> {
        match self {
            Datagram::Digest(digest) => digest.lists(section),
            Datagram::Report(report) => report.lists(section),
            Datagram::Bulletin(bulletin) => bulletin.lists(section),
            Datagram::Zone(summary) => summary.lists(section),
            Datagram::WeightLoad(_)
            | Datagram::Store(_)
            | Datagram::Work(_)
            | Datagram::EngineUpdate(_)
            | Datagram::Leaving(_) => Vec::new(),
        }
    }
}

impl Digest {
    fn lists(&mut self, section: Section) -> Vec<&mut dyn Items> {
        match section {
            Section::Urgent => vec![&mut self.fatal, &mut self.limits],
            Section::DesiredAges => vec![&mut self.desired_ages],
            Section::Releases => vec![&mut self.releases],
            Section::Rest => vec![
                &mut self.stores,
                &mut self.work,
                &mut self.replaced,
                &mut self.retired,
            ],
        }
    }
}

impl Report {
    fn lists(&mut self, section: Section) -> Vec<&mut dyn Items> {
        match section {
            Section::Urgent => vec![&mut self.fatal, &mut self.limits, &mut self.updates],
            Section::DesiredAges => Vec::new(),
            Section::Releases => vec![&mut self.releases],
            Section::Rest => vec![&mut self.work, &mut self.replaced, &mut self.retired],
        }
    }
}

impl Bulletin {
    fn lists(&mut self, section: Section) -> Vec<&mut dyn Items> {
        let mut lists: Vec<&mut dyn Items> = Vec::new();
        if let Some(sums) = &mut self.sums {
            lists.extend(sums.lists(section));
        }
        if section == Section::Urgent {
            lists.push(&mut self.updates);
        }
        lists
    }
}

impl Sums {
    fn lists(&mut self, section: Section) -> Vec<&mut dyn Items> {
        match section {
            Section::Urgent => vec![&mut self.fatal, &mut self.limits],
            Section::DesiredAges => Vec::new(),
            Section::Releases => vec![&mut self.releases],
            Section::Rest => vec![&mut self.work, &mut self.replaced, &mut self.retired],
        }
    }
}

impl ZoneSummary {
    fn lists(&mut self, section: Section) -> Vec<&mut dyn Items> {
        match section {
            Section::Urgent => vec![&mut self.fatal, &mut self.limits, &mut self.load_updates],
            Section::DesiredAges => Vec::new(),
            Section::Releases => vec![&mut self.releases],
            Section::Rest => vec![&mut self.work, &mut self.replaced, &mut self.retired],
        }
    }
}
