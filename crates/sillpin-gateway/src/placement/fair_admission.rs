//! Decides which prompts are refused under overload where several organisations or priorities
//! compete for a pool.
//!
//! Without a standing queue nobody is refused. Otherwise a prompt is refused if its response cannot
//! end in time; if it exceeds its organisation's share; if one of higher priority would be refused
//! otherwise; or if it cannot start in time behind the work that goes ahead of it.

use super::load::Loads;
use super::usage::{Asked, PoolFacts};
use crate::config::Priority;
use sillpin_core::OrgId;
use sillpin_policy::ending::EndEstimate;
use sillpin_policy::fair_share::{Claim, PrefillRate, Standing};
use sillpin_policy::overload::StartEstimate;
use std::time::Duration;
use tokio::time::Instant;

/// A prompt to be judged.
#[derive(Debug, Clone, Copy)]
pub struct Applicant<'a> {
    /// The request.
    pub asked: Asked<'a>,
    /// Whether the request is judged for the first time, so that it adds to the demand.
    pub is_first: bool,
    /// Estimate of its start, with the queue of all priorities.
    pub start: StartEstimate,
    /// Estimate of its end, with the queue of all priorities.
    pub end: EndEstimate,
}

/// Random numbers from 0 to 1 for one decision.
#[derive(Debug, Clone, Copy)]
pub struct Draws {
    /// Decides whether a request counts as one that exceeds its organisation's share.
    pub claim: f64,
    /// Decides at which queue it is refused.
    pub factor: f64,
}

/// Why a prompt is refused.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Cause {
    /// Its response cannot end before its deadline.
    CannotEnd,
    /// Requests of this higher priority would be refused otherwise.
    Yields(Priority),
    /// Its organisation is above its share.
    AboveShare,
    /// It cannot start in time.
    Overloaded,
}

/// A refused prompt.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Refused {
    /// Why it is refused.
    pub cause: Cause,
    /// By how much it would be late.
    pub late: Duration,
    /// Estimate of its start, with the queue that goes ahead of it.
    pub start: StartEstimate,
    /// Estimate of its end, with the queue that goes ahead of it.
    pub end: EndEstimate,
    /// Part of the queue that goes ahead of it.
    pub part_ahead: f64,
    /// Demand of its organisation on the pool.
    pub demand: PrefillRate,
    /// Share of its organisation.
    pub share: PrefillRate,
    /// Capacity of the pool that was divided.
    pub capacity: PrefillRate,
}

/// An organisation's demand and share of a pool.
#[derive(Debug, Clone, Copy)]
struct OrgShare {
    demand: PrefillRate,
    share: PrefillRate,
    capacity: PrefillRate,
    standing: Standing,
}

impl Applicant<'_> {
    /// Reduces the queues to the part that goes ahead of the request.
    fn behind(self, part_ahead: f64) -> Self {
        Self {
            start: StartEstimate {
                queue: self.start.queue.mul_f64(part_ahead),
                standing: self.start.standing.mul_f64(part_ahead),
                ..self.start
            },
            end: EndEstimate {
                queue: self.end.queue.mul_f64(part_ahead),
                ..self.end
            },
            ..self
        }
    }
}

impl Loads {
    /// Decides whether a prompt is refused, and records the decision. `organisations` are those of
    /// the configuration; the pool has `engines` engines.
    pub fn refuse_by_share<'a>(
        &self,
        applicant: Applicant<'_>,
        organisations: impl Iterator<Item = &'a OrgId>,
        engines: usize,
        draws: Draws,
        now: Instant,
    ) -> Option<Refused> {
        let asked = applicant.asked;
        let mut usage = self.usage();
        if applicant.is_first {
            usage.record_request(asked, now);
        }
        let part_ahead = usage.part_ahead(asked.pool, asked.priority, now);
        let is_queued = applicant.start.is_overload();
        let applicant = applicant.behind(part_ahead);
        if applicant.start.has_standing_queue() {
            usage.record_overload(asked.pool, now);
        }
        let is_overloaded = usage.is_overloaded(asked.pool, now);
        drop(usage);
        if !is_overloaded {
            self.record_admitted(applicant, is_queued, now);
            return None;
        }
        let facts = PoolFacts {
            organisations,
            reported_rows: &self.reported_rows(now),
            engines,
        };
        let org_share = self.org_share(asked, facts, now);
        let Some((cause, late)) = self.cause(applicant, org_share.standing, draws, now) else {
            self.record_admitted(applicant, is_queued, now);
            return None;
        };
        self.usage().record_refused(asked.pool, now);
        Some(Refused {
            cause,
            late,
            start: applicant.start,
            end: applicant.end,
            part_ahead,
            demand: org_share.demand,
            share: org_share.share,
            capacity: org_share.capacity,
        })
    }

    fn record_admitted(&self, applicant: Applicant<'_>, is_queued: bool, now: Instant) {
        if applicant.is_first {
            self.usage()
                .record_admitted(applicant.asked, is_queued, now);
        }
    }

    /// Returns the demand and the share of a request's organisation.
    fn org_share<'a, O>(&self, asked: Asked<'_>, facts: PoolFacts<'_, O>, now: Instant) -> OrgShare
    where
        O: Iterator<Item = &'a OrgId>,
    {
        let mut usage = self.usage();
        let reported_rows = facts.reported_rows;
        let division = usage.division(asked.pool, facts, now);
        let demand = asked
            .organisation
            .map(|org| usage.demand(asked.pool, org, reported_rows, now));
        OrgShare {
            demand: demand.unwrap_or_default(),
            share: division.shares.share(demand.unwrap_or_default()),
            capacity: division.capacity,
            standing: demand.map_or(Standing::Unlimited, |demand| {
                division.shares.standing(demand)
            }),
        }
    }

    /// Returns why a prompt is refused while targets are overloaded, and by how much it would be
    /// late; `None` if it is admitted.
    fn cause(
        &self,
        applicant: Applicant<'_>,
        standing: Standing,
        draws: Draws,
        now: Instant,
    ) -> Option<(Cause, Duration)> {
        let Applicant {
            asked, start, end, ..
        } = applicant;
        if start.is_overload() && end.cannot_end() {
            return Some((Cause::CannotEnd, end.queue));
        }
        let claim = match applicant.is_first {
            true => standing.claim(start.share_gain(), draws.claim),
            // It was within the share when it was admitted to another target.
            false => Claim::Usual,
        };
        let late = start.lateness_by_claim(claim, draws.factor);
        let mut usage = self.usage();
        let yields_to = usage.yields_to(asked, now).filter(|_| start.is_overload());
        if late.is_none() && yields_to.is_none() {
            return None;
        }
        if usage.goes_before_lower(asked, now) {
            return None;
        }
        let cause = match (yields_to, claim) {
            (Some(priority), _) => Cause::Yields(priority),
            (None, Claim::Excess { .. }) => Cause::AboveShare,
            (None, _) => Cause::Overloaded,
        };
        Some((cause, late.unwrap_or_default()))
    }
}
