//! The catalogue of log events. The code of a removed event is not reused.

use slog::Level;

/// A log event.
#[derive(Debug, Clone, Copy)]
pub struct Event {
    /// Unique number of the event.
    pub code: u16,
    /// Severity.
    pub level: Level,
    /// Message of the log record.
    pub text: &'static str,
    /// Recommended action for operators, for `docs/EVENTS.md`.
    pub advice: &'static str,
}

macro_rules! catalogue {
    ($($(#[$doc:meta])* $name:ident = $code:literal, $level:ident, $text:literal, $advice:literal;)*) => {
        $(
            $(#[$doc])*
            pub const $name: Event = Event {
                code: $code,
                level: Level::$level,
                text: $text,
                advice: $advice,
            };
        )*

        /// All events, in order of declaration.
        pub const CATALOGUE: &[Event] = &[$($name),*];
    };
}

catalogue! {
    /// The entry has opened its listeners.
    ENTRY_STARTED = 100, Info, "entry started", "Nothing to do.";
    /// The entry has a bundle and accepts requests.
    ENTRY_READY = 101, Info, "entry ready", "Nothing to do.";
    /// The entry received a stop signal and finishes its open requests.
    ENTRY_DRAINING = 102, Info, "entry draining", "Wait: the entry exits when its last request has ended.";
    /// The entry has stopped.
    ENTRY_STOPPED = 103, Info, "entry stopped", "Nothing to do.";
    /// The entry cannot reach its keeper.
    KEEPER_UNREACHABLE = 104, Warning, "keeper unreachable", "Restart the keeper; until then the entry uses its last snapshot.";
    /// The entry can reach its keeper again.
    KEEPER_RECOVERED = 105, Info, "keeper reachable again", "Nothing to do.";
    /// A request ended with a complete response.
    REQUEST_COMPLETED = 110, Debug, "request completed", "Nothing to do.";
    /// A request ended without a complete response.
    REQUEST_FAILED = 111, Info, "request failed", "Look at its decision record with `sillpin explain`.";
    /// An attempt at a target failed; another one may follow.
    ATTEMPT_FAILED = 112, Info, "attempt failed", "Look at the target if the same one fails repeatedly.";
    /// A target sent the response to another attempt.
    RESPONSE_MISMATCHED = 113, Error, "response belongs to another attempt", "Remove the target: it mixes up responses.";
    /// The guard of an arm stopped it.
    ARM_STOPPED = 120, Warning, "arm stopped by its guard", "Compare the arms; accept a bundle without this arm.";
    /// The keeper has opened its listeners.
    KEEPER_STARTED = 200, Info, "keeper started", "Nothing to do.";
    /// The keeper has stopped.
    KEEPER_STOPPED = 201, Info, "keeper stopped", "Nothing to do.";
    /// A bundle came into force.
    BUNDLE_IN_FORCE = 210, Info, "bundle in force", "Nothing to do.";
    /// A revision in the platform's store was refused.
    BUNDLE_REFUSED = 211, Error, "revision refused", "Find out who wrote it: it is not readable or not signed by a trusted key.";
    /// A call of the platform's service failed.
    PLATFORM_FAILED = 220, Warning, "platform call failed", "Check the platform; the fleet continues with its current state.";
    /// The platform's service responds again.
    PLATFORM_RECOVERED = 221, Info, "platform responds again", "Nothing to do.";
    /// A box is leaving or no longer sends heartbeats.
    BOX_DOWN = 230, Warning, "box no longer live", "Replace the box if it was not stopped on purpose.";
    /// A box is live.
    BOX_UP = 231, Info, "box live", "Nothing to do.";
    /// A keeper cannot read the load of a target.
    TARGET_DOWN = 232, Warning, "target unreachable", "Replace the target if it was not stopped on purpose.";
    /// A keeper can read the load of a target again.
    TARGET_UP = 233, Info, "target reachable again", "Nothing to do.";
    /// A target is leaving.
    TARGET_LEAVING = 234, Info, "target leaving", "Nothing to do.";
    /// Cache events of an engine were lost.
    CACHE_EVENTS_LOST = 240, Debug, "cache events lost", "Nothing to do: responses correct the hints.";
    /// Blocks were written to a store.
    BLOCKS_STORED = 241, Debug, "blocks stored", "Nothing to do.";
    /// Blocks were freed in a store.
    BLOCKS_FREED = 242, Debug, "blocks freed", "Nothing to do.";
    /// An export of blocks to a store failed.
    EXPORT_FAILED = 243, Info, "export failed", "Look at the store if the same one fails repeatedly.";
    /// An engine was ordered to load a weight version.
    WEIGHTS_ORDERED = 250, Info, "weight load ordered", "Nothing to do.";
    /// An engine has loaded a weight version.
    WEIGHTS_LOADED = 251, Info, "weights loaded", "Nothing to do.";
    /// A weight load failed.
    WEIGHTS_FAILED = 252, Warning, "weight load failed", "It is retried; check the weight store if it recurs.";
    /// A claim was abandoned and released.
    CLAIM_RELEASED = 260, Info, "claim released", "Nothing to do: the claimed call was not run.";
    /// The box has opened its listeners.
    BOX_STARTED = 300, Info, "box started", "Nothing to do.";
    /// The box received a stop signal and finishes its open requests.
    BOX_DRAINING = 301, Info, "box draining", "Wait: the box exits when its last request has ended.";
    /// The box stopped while requests were open.
    BOX_STOPPED_EARLY = 302, Error, "box stopped before its last request ended", "Allow boxes more time between SIGTERM and SIGKILL.";
    /// The box has stopped.
    BOX_STOPPED = 303, Info, "box stopped", "Nothing to do.";
    /// The settings were reloaded.
    SETTINGS_RELOADED = 304, Info, "settings reloaded", "Nothing to do; keys listed as waiting take effect at the next start.";
    /// The settings were reloaded but contain faults.
    SETTINGS_REFUSED = 305, Error, "settings refused", "Correct the settings; the box continues with the previous ones.";
    /// The box was suspended: its monotonic clock stood still.
    BOX_SUSPENDED = 306, Warning, "box was suspended", "Check the machine if it recurs; the box adds this time to the age of its state.";
    /// A configuration came into force.
    CONFIG_IN_FORCE = 310, Info, "configuration in force", "Nothing to do.";
    /// A published value cannot be decoded.
    VALUE_UNREADABLE = 311, Error, "published value unreadable", "Find out who wrote it; the previous configuration stays in force, and an unreadable target is not used.";
    /// A part of a configuration cannot be decoded; the rest is in force.
    CONFIG_ITEM_UNREADABLE = 431, Error, "part of the configuration unreadable", "Publish it again with what `why` asks for: the item `name` is not in force, the rest is, and what was taken away is gone. Up to 20 of `count` are logged.";
    /// Operators request other weights.
    WEIGHTS_REQUESTED = 312, Info, "weights requested", "Nothing to do.";
    /// The presence in a target's entry changed, or the entry is new.
    TARGET_LISTED = 313, Info, "target listed", "Nothing to do.";
    /// A target's entry disappeared while the store was unreachable.
    TARGET_ENTRY_EXPIRED = 314, Warning, "target's entry expired", "Nothing to do: the target is used until it is certain that its entry does not return.";
    /// The restored backup of the store lists a target that has since left as ready.
    RESTORED_ENTRY_IGNORED = 337, Info, "target's restored entry ignored", "Nothing to do: the target gets no requests until it writes its entry again.";
    /// A target is no longer used.
    TARGET_UNLISTED = 315, Info, "target removed", "Nothing to do.";
    /// An engine serves other weights than its entry states.
    TARGET_WEIGHTS_DIFFER = 316, Info, "engine serves other weights than listed", "Nothing to do.";
    /// A target restarted under the same id.
    TARGET_RESTARTED = 319, Info, "target restarted", "Nothing to do: the state of its previous process is discarded.";
    /// Operators evacuate an availability zone.
    EVACUATION_BEGAN = 307, Warning, "zone evacuated", "Nothing to do: no requests go to the zone's targets until the evacuation is revoked.";
    /// Operators revoked the evacuation of an availability zone.
    EVACUATION_ENDED = 308, Info, "zone's evacuation ended", "Nothing to do: the zone's targets get requests again.";
    /// A target set or changed its request limit.
    TARGET_LIMITED = 309, Warning, "target limits its requests", "Look at what the target lacks; requests above its limit go to other targets or are refused.";
    /// A target no longer sets a request limit.
    TARGET_UNLIMITED = 355, Info, "target's limit ended", "Nothing to do.";
    /// A target sent a request limit that cannot be parsed.
    LIMIT_UNREADABLE = 356, Error, "target's limit unreadable", "Correct the target: the limit must be a decimal number; the target gets few requests until then.";
    /// A response of a target states that it is leaving.
    TARGET_SIGNALLED_LEAVING = 358, Info, "target signalled that it is leaving", "Nothing to do: it gets no further requests from this box.";
    /// Another box heard from a target that it is leaving.
    TARGET_REPORTED_LEAVING = 420, Info, "other box reported that target is leaving", "Nothing to do: it gets no further requests from this box.";
    /// A target refused a request and sent a time during which it accepts none from this box.
    TARGET_REQUESTED_BACKOFF = 359, Info, "target requested backoff", "Look at what the target lacks if it recurs.";
    /// The platform's store was restored from a backup and lost later writes.
    STORE_RESTORED = 325, Warning, "platform's store restored from a backup", "Check whether the operators' latest changes are still there.";
    /// A target cannot be reached.
    TARGET_UNREACHABLE = 317, Warning, "target unreachable", "Replace the target if it was not stopped on purpose.";
    /// A target can be reached again.
    TARGET_REACHABLE = 318, Info, "target reachable again", "Nothing to do.";
    /// The platform's store does not respond.
    STORE_UNREACHABLE = 320, Warning, "platform's store unreachable", "Check the store; the box continues with its own state and that of other boxes.";
    /// The platform's store responds again.
    STORE_RECOVERED = 321, Info, "platform's store reachable again", "Nothing to do.";
    /// Number of calls of the platform's store since the box started.
    STORE_CALLS = 326, Info, "calls of the platform's store", "Nothing to do: these are the totals since the box started.";
    /// The registration of the box in the platform's store failed.
    REGISTRY_FAILED = 322, Warning, "registration failed", "Check the store if it recurs.";
    /// Sending or receiving a datagram between boxes failed.
    GOSSIP_FAILED = 323, Warning, "message between boxes failed", "Check the boxes' UDP port.";
    /// A call of another box failed.
    PEER_FAILED = 324, Info, "call of another box failed", "Look at that box if it recurs.";
    /// Another box has had newer state for several seconds.
    STATE_OUTDATED = 327, Warning, "state outdated", "Compare E324 and E326 of this box: received bytes of failed calls indicate a slow link.";
    /// State was transferred from another box.
    STATE_COPIED = 328, Debug, "state copied from another box", "Nothing to do.";
    /// A cache store does not respond.
    CACHE_STORE_UNREACHABLE = 330, Warning, "cache store unreachable", "Check that store; until then its parts are recomputed.";
    /// A cache store responds again.
    CACHE_STORE_RECOVERED = 331, Info, "cache store reachable again", "Nothing to do.";
    /// Traffic between this box and others since it started, by kind of message.
    PEER_TRAFFIC = 336, Info, "traffic between boxes", "Nothing to do; compare with the capacity of the box's link.";
    /// The contents of a cache store were listed.
    CACHE_STORE_LISTED = 332, Info, "cache store listed", "Nothing to do.";
    /// Events of a cache store were lost, or it restarted.
    CACHE_STORE_EVENTS_LOST = 333, Info, "events of a cache store lost", "Nothing to do: the store is listed again.";
    /// Stored parts were freed in a cache store.
    PARTS_FREED = 334, Info, "stored parts freed", "Nothing to do.";
    /// A cache store did not free stored parts.
    PARTS_NOT_FREED = 335, Warning, "stored parts not freed", "Nothing to do: it is retried.";
    /// A request is sent to a target.
    ATTEMPT_STARTED = 340, Info, "attempt started", "Nothing to do.";
    /// An attempt ended without a complete response.
    ATTEMPT_INCOMPLETE = 341, Info, "attempt failed", "Look at the target if the same one fails repeatedly.";
    /// A stream was delivered completely.
    STREAM_COMPLETE = 342, Info, "stream complete", "Nothing to do.";
    /// A stream continues at another target.
    STREAM_RESUMED = 343, Info, "stream resumed", "Nothing to do.";
    /// A stream that broke off does not continue in the same response.
    STREAM_NOT_RESUMED = 379, Info, "stream not resumed", "Nothing to do: `why` tells whether targets, runs, time or retries were lacking.";
    /// A response to a caller ended before it was complete, and the connection is closed.
    RESPONSE_INCOMPLETE = 384, Info, "response ended incomplete", "Look at the target if the same one recurs: `reason` and `why` tell what it did. If `config` and `config_in_force` differ, compare the two configurations.";
    /// The target of a request is doubted, and others are asked while the request waits there.
    OTHERS_ASKED = 385, Info, "other targets asked", "Nothing to do unless it recurs for one target: then look at it.";
    /// A request ended at a box that had been told to stop.
    STOPPING_REQUEST_ENDED = 387, Info, "request ended at a stopping box", "Nothing to do unless `end` is `incomplete`: then compare `read_after_ms` (from the signal until the request was read) and `left_at_read_ms` with the time limit of the route.";
    /// A caller resumes a stream, and the box looked up which version of the targets' software began it.
    STREAM_VERSION = 380, Info, "version of a resumed stream", "Nothing to do unless `version` is often empty: such streams are refused. Then look for boxes that were stopped without draining, and for lost datagrams (E336).";
    /// The versions of the pools could not be read from the platform's store, or written to it.
    VERSIONS_NOT_STORED = 381, Warning, "versions of pools not stored", "Check the store if it recurs: boxes that all start anew then refuse streams that callers resume.";
    /// The caller closed the connection.
    CALLER_DISCONNECTED = 344, Info, "caller disconnected", "Nothing to do.";
    /// A request without a stream got its response.
    REQUEST_ANSWERED = 345, Info, "request answered", "Nothing to do.";
    /// A target's process ended while it ran a request.
    TARGET_CRASHED = 346, Warning, "target crashed while running a request", "Compare the fingerprints (`print`) and the prompts' shared parts (`parts`): one that recurs crashes the targets that run it.";
    /// A request is known to crash the targets that run it.
    REQUEST_FATAL = 347, Error, "request crashes the targets that run it", "It is refused from now on: find its fingerprint (`print`) in E340 and inform its caller.";
    /// The list of requests that crash targets could not be written to the platform's store, or read from it.
    FATAL_REQUESTS_NOT_STORED = 348, Warning, "list of crashing requests not stored", "Check the store if it recurs; until then boxes send each other the list.";
    /// A request that is known to crash targets was refused.
    FATAL_REQUEST_REFUSED = 349, Info, "crashing request refused", "Find the E347 with its fingerprint (`print`) and inform its caller.";
    /// A request was refused since no target could start it in time.
    OVERLOADED = 357, Info, "refused: overloaded", "Add targets if it recurs: queue_ms is the queued work at the target that could have started it first.";
    /// The box became the leader, which orders engines to load weights.
    LEADERSHIP_ACQUIRED = 350, Info, "leadership acquired", "Nothing to do.";
    /// The box lost the leadership.
    LEADERSHIP_LOST = 351, Warning, "leadership lost", "Nothing to do: another box acquires it.";
    /// The box could not acquire the leadership.
    LEADERSHIP_NOT_ACQUIRED = 352, Info, "leadership not acquired", "Check the store if it recurs.";
    /// The report of an engine could not be read.
    ENGINE_REPORT_FAILED = 353, Warning, "engine's report missing", "Look at the engine if it recurs.";
    /// Engines serve weights that were replaced; logged by the leader.
    WEIGHTS_OUTDATED = 354, Info, "engines serve replaced weights", "Nothing to do while the count decreases; otherwise look at the engines in E250, E252 and E353.";
    /// Operators ordered the release of a new version of a pool's targets.
    RELEASE_ORDERED = 360, Info, "release ordered", "Nothing to do: the new version gets a small part of the pool's requests, later all of them.";
    /// A release is rolled back: its new version gets no more requests.
    RELEASE_ROLLED_BACK = 361, Warning, "release rolled back", "Look at the E363 of the box that decided it: it has the route and the responses of both versions.";
    /// A release has succeeded: the new version gets all requests.
    RELEASE_SUCCEEDED = 362, Info, "release succeeded", "Nothing to do.";
    /// This box decided that a release is rolled back.
    RELEASE_REGRESSED = 363, Warning, "new version is worse", "Compare the responses of both versions in this record; mend the new version before it is ordered again.";
    /// Operators withdrew the order of a release, or it cannot be read.
    RELEASE_WITHDRAWN = 364, Warning, "release withdrawn", "Nothing to do: the new version gets no requests unless the pool has no other targets.";
    /// The status of a release could not be recorded in the platform's store.
    RELEASE_NOT_RECORDED = 365, Warning, "status of a release not recorded", "Check the store if it recurs.";
    /// The part of a pool's requests for the new version of a release changed.
    RELEASE_STEP = 366, Info, "step of a release", "Nothing to do.";
    /// The box stopped or resumed sending its zone changes of its work at engines immediately.
    WORK_UPDATES_SWITCHED = 375, Info, "immediate updates stopped or resumed", "Nothing to do: meanwhile boxes place prompts by periodic reports. If it recurs, the zone has more requests than its limit of datagrams allows.";
    /// A response was dropped because its caller did not read it and its memory was needed.
    RESPONSE_EVICTED = 367, Warning, "response dropped: caller reads too slowly", "Nothing to do unless it recurs for callers that should be fast: then give the box more memory (`memory-mb`).";
    /// The number of engines that are reserved for short prompts changed.
    STREAM_ENGINES_CHANGED = 370, Info, "stream engines changed", "Nothing to do: `zones` has the number in each zone, which follows the short prompts in flight.";
    /// A request was refused since its response could not end before its deadline.
    CANNOT_END = 373, Info, "refused: cannot end in time", "Add targets if it recurs: queue_ms, own_ms and generation_ms add up to more than left_ms.";
    /// A request was refused since its organisation is above its share of the pool.
    ABOVE_SHARE = 374, Info, "refused: organisation above its share", "Compare demand_ms_per_s and share_ms_per_s: add targets, or ask the organisation to send less.";
    /// An engine sends nothing although its connections are open, and gets no more requests.
    ENGINE_SILENT = 371, Warning, "engine found silent", "Look at the engine. If one box finds many engines silent (`by` is `report`) and others do not, look at that box's network.";
    /// Something arrived from an engine that was found silent, and it gets requests again.
    ENGINE_ANSWERS = 372, Info, "engine answers again", "Nothing to do unless it recurs for one engine: then look at it.";
    /// The box cannot open connections to more than half of a pool's targets.
    POOL_CUT_OFF = 376, Warning, "most targets of a pool unreachable", "If other boxes log it for the pool at the same time, look at the targets; else look at this box's network.";
    /// The box sends a request to another box, since it does not reach the targets itself.
    REQUEST_FORWARDED = 378, Info, "request sent to another box", "Nothing to do; find the request in that box's log by its id. If it recurs, look for E376.";
    /// Connections of callers were closed, since as many are open as the box's memory and descriptors bear.
    CONNECTIONS_CLOSED = 383, Warning, "callers' connections closed for want of room", "Compare with other boxes: if one box has most of the connections, look at the balancer; else add boxes or memory.";
    /// The box gets far more new connections than it can serve, or no longer does.
    CROWDED = 386, Warning, "crowded by new connections", "Nothing to do if it ends: the box says that it is not ready meanwhile, so that new connections go to others. If it recurs, look at the balancer.";
    /// Another box did not take a request that this box sent to it.
    FORWARD_NOT_TAKEN = 382, Info, "request not taken by another box", "Nothing to do unless it recurs: `why` is its answer. If all answer that they have no path, look at the targets; if all are busy, add boxes.";
    /// The box can open connections to half of the targets of such a pool again.
    POOL_REACHABLE = 377, Info, "targets of a pool reachable again", "Nothing to do.";
    /// The handler of a request panicked.
    HANDLER_PANICKED = 390, Error, "handler of a request panicked", "Report the fault with the record: its caller was told that the request may have run.";
    /// A configuration isolates other organisations than the one before.
    ISOLATION_CHANGED = 430, Info, "other organisations are isolated", "Nothing to do: organisations that share parts of prompts do not find what was kept for another set of isolated ones, so engines compute it again.";
    /// A task of the program panicked.
    TASK_PANICKED = 391, Error, "task panicked", "Report the fault with the record (`at` is its place in the code). For a box, E400 or E401 tells what follows; restart any other program if it serves worse since.";
    /// A task of the box ended, and begins anew.
    TASK_RESTARTED = 400, Error, "task begins anew", "Report the fault with the E391 before it. If it recurs, the box is not ready while the task waits; `why` is the panic's message.";
    /// A task of the box ended that cannot begin anew, and the process ends.
    TASK_LOST = 401, Error, "task lost, process ends", "Report the fault with the E391 before it. The box answers what is in hand and ends; the platform starts it again.";
}
