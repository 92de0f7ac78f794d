//! The catalogue of log events. A code is never reused.

use slog::Level;

/// A kind of log event.
#[derive(Debug, Clone, Copy)]
pub struct Event {
    /// Its number.
    pub code: u16,
    /// How grave it is.
    pub level: Level,
    /// What happened.
    pub text: &'static str,
    /// What an operator may do.
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

        /// Every event, by code.
        pub const CATALOGUE: &[Event] = &[$($name),*];
    };
}

catalogue! {
    /// The entry listens.
    ENTRY_STARTED = 100, Info, "entry started", "Nothing to do.";
    /// The entry has a bundle and takes requests.
    ENTRY_READY = 101, Info, "entry ready", "Nothing to do.";
    /// The entry was told to stop.
    ENTRY_DRAINING = 102, Info, "entry drains", "Wait: it ends when its last request has ended.";
    /// The entry has ended.
    ENTRY_STOPPED = 103, Info, "entry stopped", "Nothing to do.";
    /// The entry lost its keeper.
    KEEPER_LOST = 104, Warning, "keeper out of reach", "Start the keeper again; the entry serves with its last snapshot.";
    /// The entry has its keeper again.
    KEEPER_BACK = 105, Info, "keeper back", "Nothing to do.";
    /// A request ended.
    REQUEST_DONE = 110, Debug, "request done", "Nothing to do.";
    /// A request did not get its whole answer.
    REQUEST_FAILED = 111, Info, "request failed", "Look at its decision with `sillpin explain`.";
    /// An attempt at a target failed and another follows.
    ATTEMPT_FAILED = 112, Info, "attempt failed", "Look at the target if one name recurs.";
    /// A target answered for another attempt.
    ANSWER_CROSSED = 113, Error, "answer of another attempt", "Take the target out: it mixes up answers.";
    /// An arm was stopped by its guard.
    ARM_STOPPED = 120, Warning, "arm stopped by its guard", "Compare the arms; accept a bundle without it.";
    /// The keeper listens.
    KEEPER_STARTED = 200, Info, "keeper started", "Nothing to do.";
    /// The keeper ended.
    KEEPER_STOPPED = 201, Info, "keeper stopped", "Nothing to do.";
    /// A bundle came into force.
    BUNDLE_IN_FORCE = 210, Info, "bundle in force", "Nothing to do.";
    /// A revision was refused.
    BUNDLE_REFUSED = 211, Error, "revision refused", "Find out who wrote it: it is not signed by a trusted key or not readable.";
    /// The platform's service failed.
    PLATFORM_FAILED = 220, Warning, "platform call failed", "Look at the platform; the fleet goes on with what it has.";
    /// The platform's service answers again.
    PLATFORM_BACK = 221, Info, "platform answers again", "Nothing to do.";
    /// A box is dead or left.
    BOX_GONE = 230, Warning, "box out of use", "Replace the box if it was not stopped on purpose.";
    /// A box is there.
    BOX_SEEN = 231, Info, "box in use", "Nothing to do.";
    /// A target is out of reach.
    TARGET_LOST = 232, Warning, "target out of reach", "Replace the target if it was not stopped on purpose.";
    /// A target is back.
    TARGET_BACK = 233, Info, "target back", "Nothing to do.";
    /// A target leaves.
    TARGET_LEAVING = 234, Info, "target leaves", "Nothing to do.";
    /// Cache events were lost.
    CACHE_EVENTS_LOST = 240, Debug, "cache events lost", "Nothing to do: answers correct the hints.";
    /// Blocks were written to a store.
    BLOCKS_KEPT = 241, Debug, "blocks kept", "Nothing to do.";
    /// Blocks were freed in a store.
    BLOCKS_FREED = 242, Debug, "blocks freed", "Nothing to do.";
    /// An export failed.
    EXPORT_FAILED = 243, Info, "export failed", "Look at the store if one name recurs.";
    /// A weight version is being loaded.
    WEIGHTS_ORDERED = 250, Info, "load of weights ordered", "Nothing to do.";
    /// A weight version was loaded.
    WEIGHTS_LOADED = 251, Info, "weights loaded", "Nothing to do.";
    /// A load failed.
    WEIGHTS_FAILED = 252, Warning, "load of weights failed", "It is tried again; look at the weight store if it recurs.";
    /// A claim was given up and released.
    CLAIM_RELEASED = 260, Info, "claim released", "Nothing to do: its call was not run.";
    /// The box listens.
    BOX_STARTED = 300, Info, "box started", "Nothing to do.";
    /// The box was told to stop.
    BOX_DRAINING = 301, Info, "box drains", "Wait: it ends when its last request has ended.";
    /// The box ended while requests were under way.
    BOX_CUT_REQUESTS = 302, Error, "box ended before its last request", "Give boxes more time between SIGTERM and SIGKILL.";
    /// The box has ended.
    BOX_STOPPED = 303, Info, "box stopped", "Nothing to do.";
    /// The settings were read again.
    SETTINGS_RELOADED = 304, Info, "settings reloaded", "Nothing to do; keys listed as waiting take effect at the next start.";
    /// The settings were read again and are not acceptable.
    SETTINGS_REFUSED = 305, Error, "settings not acceptable", "Correct the file; the box goes on with its last settings.";
    /// The box was suspended: its steady clock stood still.
    BOX_SUSPENDED = 306, Warning, "box was suspended", "Look at the machine if it recurs; what the box knew counts as older by that time.";
    /// A configuration came into force.
    CONFIG_IN_FORCE = 310, Info, "configuration in force", "Nothing to do.";
    /// A published value cannot be read.
    VALUE_UNREADABLE = 311, Error, "published value unreadable", "Look at who wrote it; a configuration stays as it was, a target is not used.";
    /// Operators want other weights.
    WEIGHTS_WANTED = 312, Info, "weights wanted", "Nothing to do.";
    /// A target's entry says whether it takes work.
    TARGET_LISTED = 313, Info, "target listed", "Nothing to do.";
    /// A target's entry vanished while the store was away.
    TARGET_LAPSED = 314, Warning, "target's entry lapsed", "Nothing to do: it is used until it is clear that the entry does not return.";
    /// The store's copy has a target as one that takes requests which had left before.
    TARGET_DOUBTED = 337, Info, "target of a copy not believed", "Nothing to do: it gets no requests until it has written its entry again.";
    /// A target is gone.
    TARGET_UNLISTED = 315, Info, "target gone", "Nothing to do.";
    /// An engine serves other weights than its entry says.
    TARGET_SERVES = 316, Info, "engine serves other weights", "Nothing to do.";
    /// A target started again under its id.
    TARGET_RESTARTED = 319, Info, "target restarted", "Nothing to do: what was known of its earlier life is forgotten.";
    /// Operators evacuate an availability zone.
    EVACUATION_BEGAN = 307, Warning, "zone evacuated", "Nothing to do: no request goes to the zone's targets until the evacuation is taken back.";
    /// An evacuation was taken back.
    EVACUATION_ENDED = 308, Info, "zone's evacuation ended", "Nothing to do: the zone's targets take requests again.";
    /// A target names a limit, or another one than before.
    TARGET_LIMITED = 309, Warning, "target limits its requests", "Look at what the target lacks; requests beyond its limit go elsewhere or are refused.";
    /// A target names no limit any more.
    TARGET_UNLIMITED = 355, Info, "target's limit ended", "Nothing to do.";
    /// A target names a limit that cannot be read.
    LIMIT_UNREADABLE = 356, Error, "target's limit unreadable", "Look at the target: the limit is a decimal number; it gets few requests meanwhile.";
    /// A target said in an answer that it leaves.
    TARGET_LEAVES = 358, Info, "target says that it leaves", "Nothing to do: it gets no further requests from this box.";
    /// A target turned a request away and said for how long it wants no other from this box.
    TARGET_BACKS_OFF = 359, Info, "target wants no requests for a while", "Look at what the target lacks if it recurs.";
    /// The platform's store came back from a copy and lost what was written since.
    STORE_RESTORED = 325, Warning, "platform's store came back from a copy", "Look whether operators' last changes stand there again.";
    /// A target cannot be reached.
    TARGET_UNREACHABLE = 317, Warning, "target unreachable", "Replace the target if it was not stopped on purpose.";
    /// A target can be reached again.
    TARGET_REACHABLE = 318, Info, "target reachable", "Nothing to do.";
    /// The platform's store does not answer.
    STORE_LOST = 320, Warning, "platform's store lost", "Look at the store; the box goes on with what it and other boxes know.";
    /// The platform's store answers again.
    STORE_BACK = 321, Info, "platform's store back", "Nothing to do.";
    /// Calls of the platform's store so far.
    STORE_CALLS = 326, Info, "calls of the platform's store", "Nothing to do: the totals of this life of the box.";
    /// Registration of the box failed.
    REGISTRY_FAILED = 322, Warning, "registration failed", "Look at the store if it recurs.";
    /// News between boxes failed.
    GOSSIP_FAILED = 323, Warning, "news between boxes failed", "Check the boxes' UDP port.";
    /// Another box did not answer.
    PEER_FAILED = 324, Info, "box did not answer", "Look at that box if it recurs.";
    /// Another box has known newer things for seconds.
    BEHIND = 327, Warning, "newer knowledge elsewhere", "Compare E324 and E326 of this box: bytes that arrive and are given up mean a thin link.";
    /// What another box knows was taken over.
    COPIED = 328, Debug, "copied from a box", "Nothing to do.";
    /// A store of kept KV cache does not answer.
    KEPT_STORE_LOST = 330, Warning, "store of kept KV cache lost", "Look at that store; prompts are read anew meanwhile.";
    /// A store of kept KV cache answers again.
    KEPT_STORE_BACK = 331, Info, "store of kept KV cache back", "Nothing to do.";
    /// What this box and others told each other since its start, by kind.
    PEER_TRAFFIC = 336, Info, "traffic between boxes", "Nothing to do; compare with what the box's link carries.";
    /// A store of kept KV cache was listed.
    KEPT_STORE_LISTED = 332, Info, "store of kept KV cache listed", "Nothing to do.";
    /// Events of a store were lost, or it restarted.
    KEPT_STORE_GAP = 333, Info, "events of a store lost", "Nothing to do: the store is listed anew.";
    /// Parts were freed in a store.
    KEPT_FREED = 334, Info, "kept parts freed", "Nothing to do.";
    /// A store did not free parts.
    KEPT_NOT_FREED = 335, Warning, "kept parts not freed", "Nothing to do: it is tried again.";
    /// A request goes to a target.
    SENDING = 340, Info, "sending", "Nothing to do.";
    /// A sending brought no whole answer.
    SENDING_FAILED = 341, Info, "sending failed", "Look at the target if one name recurs.";
    /// A stream is whole.
    STREAM_WHOLE = 342, Info, "stream whole", "Nothing to do.";
    /// A stream goes on at another target.
    STREAM_RESUMED = 343, Info, "stream resumed", "Nothing to do.";
    /// The caller left.
    CALLER_GONE = 344, Info, "caller gone", "Nothing to do.";
    /// A plain request was answered.
    REQUEST_ANSWERED = 345, Info, "request answered", "Nothing to do.";
    /// A target's process ended while it had a request.
    TARGET_ENDED = 346, Warning, "target ended under a request", "Compare the prints: one that recurs belongs to a request that ends what runs it.";
    /// A request is known to end the targets that run it.
    REQUEST_FATAL = 347, Error, "request ends the targets that run it", "It is refused from now on: look for the print in E340 and tell its caller.";
    /// What is known of such requests could not be kept in the platform's store, or read there.
    FATAL_NOT_KEPT = 348, Warning, "requests that end targets not kept", "Look at the store if it recurs; boxes tell each other meanwhile.";
    /// A request that is known to end targets was sent to none.
    REQUEST_WITHHELD = 349, Info, "request withheld", "Look for E347 with its print, and tell its caller.";
    /// A request was refused since no target could begin it in time.
    OVERLOADED = 357, Info, "refused: overloaded", "Add targets if it recurs: queue_ms is the work ahead at the target that would have begun it soonest.";
    /// The box holds the duty to order engines.
    DUTY_TAKEN = 350, Info, "duty taken", "Nothing to do.";
    /// The box lost the duty to order engines.
    DUTY_LOST = 351, Warning, "duty lost", "Nothing to do: another box takes it.";
    /// The duty could not be taken.
    DUTY_NOT_TAKEN = 352, Info, "duty not taken", "Look at the store if it recurs.";
    /// An engine does not say what it does.
    ENGINE_SILENT = 353, Warning, "engine's report missing", "Look at the engine if it recurs.";
    /// Engines serve weights that were replaced; said by the holder of the duty.
    WEIGHTS_OUTDATED = 354, Info, "engines serve replaced weights", "Nothing to do while the count falls; else look at the engines that E250, E252 and E353 name.";
}
