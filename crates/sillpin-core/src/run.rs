//! Priority classes of requests.

use crate::newtype::string_enum;

string_enum! {
    /// Priority class of a request, most urgent first.
    #[derive(Default)]
    pub enum PriorityClass {
        /// A person waits for the response on the spot, at a kerb or counter.
        #[display("urgent")]
        Urgent,
        /// A person waits for the response at a desk.
        #[default]
        #[display("normal")]
        Normal,
        /// No person waits for the response.
        #[display("batch")]
        Batch,
    }
}

impl PriorityClass {
    /// All classes, most urgent first.
    pub const ALL: [PriorityClass; 3] = [Self::Urgent, Self::Normal, Self::Batch];

    /// Returns the position among the classes; 0 is the most urgent.
    pub fn rank(self) -> u8 {
        self as u8
    }
}
