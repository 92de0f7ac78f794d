//! What targets say of themselves beside their answers.
//!
//! The adapter reads it into [`crate::dialect::TargetWords`]; everything that targets say is taken here, and what it means for decisions is asked here.
//!
//! - [`limit`]: limits that targets name,
//! - [`replaced`]: targets whose address belongs to another by now.

pub mod limit;
pub mod replaced;

use self::limit::NamedLimits;
use self::replaced::Replaced;

/// What is known of targets by their own words.
#[derive(Debug, Default)]
pub struct Words {
    /// Limits that they name.
    pub limits: NamedLimits,
    /// Those whose address belongs to another by now.
    pub replaced: Replaced,
}
