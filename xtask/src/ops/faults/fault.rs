//! The faults that can be injected in a round.

use sillpin_core::switches::Mechanism;

/// A fault of one part of the fleet.
#[derive(Debug, Clone, Copy, PartialEq, Eq, derive_more::Display)]
pub enum Fault {
    /// The platform refuses every call.
    #[display("platform outage")]
    PlatformOutage,
    /// The platform responds slowly.
    #[display("platform slow")]
    PlatformSlow,
    /// The platform's responses to some writes are lost.
    #[display("platform loses answers")]
    PlatformLosesResponses,
    /// The process of an engine is killed.
    #[display("engine killed")]
    EngineKilled,
    /// The process of an engine is paused.
    #[display("engine frozen")]
    EngineFrozen,
    /// An engine breaks its responses at a token.
    #[display("engine cuts answers")]
    EngineCutsResponses,
    /// An engine reports that it is leaving and refuses new runs.
    #[display("engine leaves")]
    EngineLeaves,
    /// All connections to an engine are closed.
    #[display("engine link cut")]
    EngineLinkCut,
    /// A service runs requests, but breaks its responses.
    #[display("service breaks answers")]
    ServiceBreaksResponses,
    /// A service responds slowly.
    #[display("service slow")]
    ServiceSlow,
    /// Requests to a service are lost.
    #[display("service requests lost")]
    ServiceRequestsLost,
    /// A store returns corrupted, unsealed or freed blocks.
    #[display("store spoils blocks")]
    StoreCorruptsBlocks,
    /// The process of a keeper is paused.
    #[display("keeper frozen")]
    KeeperFrozen,
    /// The process of a keeper is killed and restarted.
    #[display("keeper killed")]
    KeeperKilled,
    /// The process of an entry is killed.
    #[display("entry killed")]
    EntryKilled,
    /// An entry is terminated and drains.
    #[display("entry stopped")]
    EntryStopped,
    /// A bundle with another weight version is accepted.
    #[display("weights swapped")]
    WeightsSwapped,
    /// An engine sends the response of another attempt.
    #[display("engine answers for another")]
    EngineMixesAttempts,
}

/// All faults. The seeded random choice depends on their order.
pub const FAULTS: [Fault; 18] = [
    Fault::PlatformOutage,
    Fault::PlatformSlow,
    Fault::PlatformLosesResponses,
    Fault::EngineKilled,
    Fault::EngineFrozen,
    Fault::EngineCutsResponses,
    Fault::EngineLeaves,
    Fault::EngineLinkCut,
    Fault::ServiceBreaksResponses,
    Fault::ServiceSlow,
    Fault::ServiceRequestsLost,
    Fault::StoreCorruptsBlocks,
    Fault::KeeperFrozen,
    Fault::KeeperKilled,
    Fault::EntryKilled,
    Fault::EntryStopped,
    Fault::WeightsSwapped,
    Fault::EngineMixesAttempts,
];

/// Returns the faults against which a mechanism protects.
pub fn faults_for(mechanism: Mechanism) -> [Fault; 2] {
    match mechanism {
        Mechanism::Claim => [Fault::ServiceBreaksResponses; 2],
        Mechanism::Outcome => [Fault::ServiceSlow; 2],
        Mechanism::Attempt => [Fault::EngineMixesAttempts; 2],
        Mechanism::Adopt => [Fault::PlatformSlow; 2],
        Mechanism::Slots => [Fault::WeightsSwapped; 2],
    }
}
