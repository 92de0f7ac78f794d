//! The texts of which prompts are built: given documents, or else generated ones.

use serde::{Deserialize, Serialize};

/// Words of generated documents, from the fields of the two users.
const WORDS: &[&str] = &[
    "setback",
    "plot",
    "storey",
    "bye-law",
    "pikipiki",
    "betri",
    "rider",
    "depot",
    "objection",
    "fee",
    "kibali",
    "parapet",
    "frontage",
    "unlock",
    "zone",
    "damage",
    "report",
    "officer",
    "ombi",
    "swap",
    "notice",
    "clause",
    "drainage",
    "safari",
    "fundi",
    "section",
    "approval",
    "survey",
    "trip",
    "meter",
];

/// Part of a prompt.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Part {
    /// A document, truncated or repeated to a length in bytes.
    Document {
        /// Number of the document.
        number: u64,
        /// Length in bytes.
        len: usize,
    },
    /// A literal text.
    Text(String),
}

/// Documents by number.
#[derive(Debug, Clone, Default)]
pub struct Corpus {
    documents: Vec<String>,
}

impl Corpus {
    /// Creates a corpus of the given documents, without the blank ones. If none remains, documents are generated.
    pub fn of(documents: Vec<String>) -> Self {
        let documents = documents.into_iter().filter(|d| !d.trim().is_empty());
        Self {
            documents: documents.collect(),
        }
    }

    /// Returns the text of a prompt.
    pub fn text(&self, parts: &[Part]) -> String {
        let mut text = String::new();
        for part in parts {
            match part {
                Part::Text(part) => text.push_str(part),
                Part::Document { number, len } => self.write(&mut text, *number, *len),
            }
        }
        text
    }

    /// Appends a document. It starts with its number, so that any two documents differ in their first block.
    fn write(&self, text: &mut String, number: u64, len: usize) {
        let end = text.len() + len;
        text.push_str(&format!("Document {number}\n"));
        if self.documents.is_empty() {
            write_generated(text, number, end);
        } else {
            let source = &self.documents[number as usize % self.documents.len()];
            while text.len() < end {
                text.push_str(source);
            }
        }
        text.truncate(text.floor_char_boundary(end));
    }
}

fn write_generated(text: &mut String, number: u64, end: usize) {
    let mut state = number.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1;
    while text.len() < end {
        state ^= state << 13;
        state ^= state >> 7;
        state ^= state << 17;
        text.push_str(WORDS[state as usize % WORDS.len()]);
        text.push(' ');
    }
}
