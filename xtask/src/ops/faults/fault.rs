//! The faults that rounds inject.

use sillpin_core::switches::Mechanism;

/// A fault.
#[derive(Debug, Clone, Copy, PartialEq, Eq, derive_more::Display)]
pub enum Fault {
    /// Platform outage.
    #[display("platform outage")]
    PlatformOutage,
    /// Platform slow.
    #[display("platform slow")]
    PlatformSlow,
    /// Platform loses answers.
    #[display("platform loses answers")]
    PlatformLosesAnswers,
    /// Engine killed.
    #[display("engine killed")]
    EngineKilled,
    /// Engine frozen.
    #[display("engine frozen")]
    EngineFrozen,
    /// Engine cuts answers.
    #[display("engine cuts answers")]
    EngineCuts,
    /// Engine leaves.
    #[display("engine leaves")]
    EngineLeaves,
    /// Engine link cut.
    #[display("engine link cut")]
    EngineLinkCut,
    /// Service breaks answers.
    #[display("service breaks answers")]
    ServiceBreaks,
    /// Service slow.
    #[display("service slow")]
    ServiceSlow,
    /// Service requests lost.
    #[display("service requests lost")]
    ServiceRequestsLost,
    /// Store spoils blocks.
    #[display("store spoils blocks")]
    StoreSpoils,
    /// Keeper frozen.
    #[display("keeper frozen")]
    KeeperFrozen,
    /// Keeper killed.
    #[display("keeper killed")]
    KeeperKilled,
    /// Entry killed.
    #[display("entry killed")]
    EntryKilled,
    /// Entry stopped.
    #[display("entry stopped")]
    EntryStopped,
    /// Weights swapped.
    #[display("weights swapped")]
    WeightsSwapped,
    /// Engine answers for another.
    #[display("engine answers for another")]
    EngineCrosses,
}

/// All of them.
pub const FAULTS: [Fault; 18] = [
    Fault::PlatformOutage,
    Fault::PlatformSlow,
    Fault::PlatformLosesAnswers,
    Fault::EngineKilled,
    Fault::EngineFrozen,
    Fault::EngineCuts,
    Fault::EngineLeaves,
    Fault::EngineLinkCut,
    Fault::ServiceBreaks,
    Fault::ServiceSlow,
    Fault::ServiceRequestsLost,
    Fault::StoreSpoils,
    Fault::KeeperFrozen,
    Fault::KeeperKilled,
    Fault::EntryKilled,
    Fault::EntryStopped,
    Fault::WeightsSwapped,
    Fault::EngineCrosses,
];

/// The faults that a mechanism is meant for.
pub fn faults_for(mechanism: Mechanism) -> [Fault; 2] {
    match mechanism {
        Mechanism::Claim => [Fault::ServiceBreaks; 2],
        Mechanism::Outcome => [Fault::ServiceSlow; 2],
        Mechanism::Attempt => [Fault::EngineCrosses; 2],
        Mechanism::Adopt => [Fault::PlatformSlow; 2],
        Mechanism::Slots => [Fault::WeightsSwapped; 2],
    }
}
