//! Refuses requests that crash the targets that run them.

use super::admit::AdmittedRequest;
use super::progress::{NoAttempt, Progress, end_unserved};
use super::refusal::Refusal;
use super::shared::Shared;
use crate::dialect::{Dialect, Part, Prompt};
use crate::fatal::{Fingerprint, Verdict};
use sillpin_telemetry::{event, events};
use tokio::time::Instant;

/// Refusal of a request under which targets have crashed.
const FATAL: &str = "targets that ran this request have ended";

/// Why a request is not sent a second time.
const SUSPECT: &str = "targets that ran requests with a part of this prompt have ended";

impl<D: Dialect> Shared<D> {
    /// Returns the refusal of a request whose next attempt is likely to crash its target.
    pub(super) fn refuse_fatal(
        &self,
        request: &AdmittedRequest,
        progress: &mut Progress,
    ) -> Option<NoAttempt> {
        let now = Instant::now();
        let (verdict, is_suspect) = {
            let record = self.fatal.record();
            let verdict = record.refusal(&request.candidates, now);
            let is_repeat = progress.runs > 0;
            let is_suspect = is_repeat && record.has_suspect_part(&request.candidates, now);
            (verdict, is_suspect)
        };
        let Some(verdict) = verdict else {
            return is_suspect.then(|| end_unserved(progress, SUSPECT));
        };
        self.metrics.attempt("withheld");
        let parts = part_names(request, &verdict);
        let left = verdict.until.saturating_duration_since(now);
        event!(self.log, events::FATAL_REQUEST_REFUSED, "request" => &request.head.id,
            "print" => verdict.cause.to_string(), "parts" => &parts,
            "crashes" => verdict.crashes, "for_ms" => left.as_millis());
        let reason = reason(&parts, &verdict);
        Some(match progress.runs {
            0 => NoAttempt::Refused(Refusal::not_run(reason).with_retry_after(left)),
            _ => end_unserved(progress, &reason),
        })
    }

    /// Whether a request that was sent to a target would not be sent to another one.
    pub(super) fn is_repeat_withheld(&self, request: &AdmittedRequest) -> bool {
        let (record, now) = (self.fatal.record(), Instant::now());
        record.refusal(&request.candidates, now).is_some()
            || record.has_suspect_part(&request.candidates, now)
    }
}

/// Names of the parts of a request's prompt that the verdict is about; empty if it is about the request.
fn part_names(request: &AdmittedRequest, verdict: &Verdict) -> String {
    let prompt = request.head.prompt.as_ref();
    let parts = prompt.into_iter().flat_map(Prompt::shared_parts);
    let is_meant = |part: &&Part| {
        let part = Fingerprint::of_part(part);
        part == verdict.cause || verdict.companions.contains(&part)
    };
    let names: Vec<&str> = parts
        .filter(is_meant)
        .map(|part| part.id.0.as_str())
        .collect();
    names.join(", ")
}

fn reason(parts: &str, verdict: &Verdict) -> String {
    if parts.is_empty() {
        return FATAL.to_owned();
    }
    let count = verdict.crashes;
    format!("{count} targets that ran requests with the part {parts} have ended")
}
