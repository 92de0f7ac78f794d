//! What a caller asks for, apart from the prompt itself.

use crate::newtype::word_type;

word_type! {
    /// Priority class of a request, most urgent first.
    #[derive(Default)]
    pub enum PriorityClass {
        /// Somebody waits at the kerb or the counter.
        #[display("urgent")]
        Urgent,
        /// Somebody waits at a desk.
        #[default]
        #[display("normal")]
        Normal,
        /// Nobody waits.
        #[display("batch")]
        Batch,
    }
}

impl PriorityClass {
    /// All classes, most urgent first.
    pub const ALL: [PriorityClass; 3] = [Self::Urgent, Self::Normal, Self::Batch];

    /// Position among the classes; 0 is the most urgent.
    pub fn rank(self) -> u8 {
        self as u8
    }
}
