//! Records the signals of targets in responses that another box passes on.

use super::shared::Shared;
use crate::control::TargetEntry;
use crate::dialect::{Dialect, ResponseHead};
use crate::forward::head::AnsweringTarget;
use hyper::StatusCode;
use tokio::time::Instant;

impl<D: Dialect> Shared<D> {
    /// Records what a target reports about itself in a response to a request that this box sent to another box at `sent`.
    /// The other box names the target; if it runs a former build, the response itself may.
    pub(super) fn record_forwarded_signals(
        &self,
        from: Option<AnsweringTarget>,
        status: StatusCode,
        head: &ResponseHead,
        sent: Instant,
    ) {
        if let Some(target) = self.answering_target(from, head) {
            self.record_signals(&target, status, head, sent);
        }
    }

    /// Returns the entry of the incarnation that sent a response, at the address that this box knows for the target;
    /// `None` if the target is not known.
    fn answering_target(
        &self,
        from: Option<AnsweringTarget>,
        head: &ResponseHead,
    ) -> Option<TargetEntry> {
        let view = self.fleet.view();
        let Some(from) = from else {
            let entry = view.targets.get(head.target.as_ref()?)?;
            return Some(TargetEntry::clone(entry));
        };
        let mut entry = TargetEntry::clone(view.targets.get(&from.id)?);
        // The entry that this box has read may describe another incarnation than the other box's.
        entry.life = from.life;
        Some(entry)
    }
}
