//! The task that places requests and queues those for which no engine is free.

use super::placer::{Choice, Placer};
use crate::snapshot::Snapshot;
use sillpin_core::{OrgId, PoolId, PriorityClass, TargetId, WeightVersion, ZoneId};
use sillpin_policy::PolicySet;
use sillpin_policy::admission::{Cost, FairQueue, Ticket};
use sillpin_rpc::directory::{BlockHints, StoredObject};
use sillpin_rpc::records::CandidateRecord;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::Instant;

/// Maximum number of messages queued for the task.
const MESSAGE_QUEUE_LEN: usize = 4_096;

/// Interval at which waiting requests are checked.
const DRAIN_INTERVAL: Duration = Duration::from_millis(5);

/// Maximum and initial value of the retry budget, in retries.
const MAX_RETRY_BUDGET: f64 = 20.0;

/// Maximum number of waiting requests checked per pool, in queue order, so that a request whose
/// engine is busy does not block later ones whose engines are free.
const SCAN_LIMIT: usize = 32;

/// Factor by which an engine's queue may be longer for the urgent class, which engines process
/// first.
const URGENT_QUEUE_FACTOR: u32 = 4;

/// Retry-After for a request whose deadline passed while it was waiting.
const DEADLINE_RETRY_AFTER: Duration = Duration::from_secs(1);

/// A request to place.
pub struct PlaceRequest {
    /// Its organisation.
    pub org: OrgId,
    /// Its priority class.
    pub class: PriorityClass,
    /// Its pool.
    pub pool: PoolId,
    /// Weight version that the request is pinned to.
    pub version: WeightVersion,
    /// Hash of its prompt, which determines its home engines.
    pub home: u64,
    /// Number of blocks of its prompt, including an incomplete last one.
    pub blocks: u32,
    /// Engines and stores that hold these blocks.
    pub hints: BlockHints,
    /// Engines at which the request failed.
    pub excluded: Vec<TargetId>,
    /// Whether the request was placed before.
    pub is_retry: bool,
    /// Policy of its arm.
    pub policy: Arc<PolicySet>,
    /// Deadline of its first token.
    pub deadline: Instant,
}

/// The engine for a request.
#[derive(Debug, Clone)]
pub struct Placed {
    /// The engine.
    pub target: TargetId,
    /// Address of the engine.
    pub addr: SocketAddr,
    /// Stored blocks that the engine fetches.
    pub imports: Vec<StoredObject>,
    /// Candidates, best first.
    pub candidates: Vec<CandidateRecord>,
}

/// Reason for which a request was not placed. It was not executed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, derive_more::Display)]
pub enum Refusal {
    /// No engine can run the request now.
    #[display("no engine can take the request now")]
    NoEngine,
    /// The request cannot start before the deadline of its first token.
    #[display("the request cannot begin before its deadline")]
    TooLate {
        /// Time after which a retry may succeed.
        retry_after: Duration,
    },
    /// Too many requests are waiting.
    #[display("too many requests wait")]
    Full,
    /// The retry budget is used up.
    #[display("too many retries")]
    NoRetries,
}

type Reply = oneshot::Sender<Result<Placed, Refusal>>;

/// A message to the placement task.
enum Msg {
    Place(Box<PlaceRequest>, Reply),
    Ended {
        target: TargetId,
        duration: Duration,
        completed: bool,
    },
    ObservedVersion(TargetId, WeightVersion),
}

/// Handle of the placement task.
#[derive(Clone)]
pub struct PlacerHandle {
    tx: mpsc::Sender<Msg>,
}

impl PlacerHandle {
    /// Places a request. Waits while no engine is free, up to the request's deadline.
    pub async fn place(&self, req: PlaceRequest) -> Result<Placed, Refusal> {
        let (tx, rx) = oneshot::channel();
        let deadline = req.deadline;
        let sent = self.tx.send(Msg::Place(Box::new(req), tx)).await;
        if sent.is_err() {
            return Err(Refusal::NoEngine);
        }
        match tokio::time::timeout_at(deadline, rx).await {
            Ok(placed) => placed.unwrap_or(Err(Refusal::NoEngine)),
            Err(_) => Err(Refusal::TooLate {
                retry_after: DEADLINE_RETRY_AFTER,
            }),
        }
    }

    /// Reports that a placed request ended.
    pub fn request_ended(&self, target: TargetId, duration: Duration, completed: bool) {
        let msg = Msg::Ended {
            target,
            duration,
            completed,
        };
        let _ = self.tx.try_send(msg);
    }

    /// Reports the version that an engine itself returned, because load reports lag behind.
    pub fn observe_version(&self, target: TargetId, version: WeightVersion) {
        let _ = self.tx.try_send(Msg::ObservedVersion(target, version));
    }
}

/// Starts the placement task of an entry in `zone`; at most `max_waiting` requests wait.
pub fn start(
    zone: ZoneId,
    mut snapshots: watch::Receiver<Arc<Snapshot>>,
    max_waiting: usize,
) -> PlacerHandle {
    let (tx, rx) = mpsc::channel(MESSAGE_QUEUE_LEN);
    let mut placer = Placer::new(zone);
    placer.apply_snapshot(&snapshots.borrow_and_update(), Instant::now());
    let task = PlacementTask {
        placer,
        snapshots,
        waiting: HashMap::new(),
        max_waiting,
        retry_budget: MAX_RETRY_BUDGET,
    };
    tokio::spawn(task.run(rx));
    PlacerHandle { tx }
}

/// A request that waits for an engine.
struct Waiting {
    req: Box<PlaceRequest>,
    reply: Reply,
}

/// The state of the placement task.
struct PlacementTask {
    placer: Placer,
    snapshots: watch::Receiver<Arc<Snapshot>>,
    /// Waiting requests, one queue per pool.
    waiting: HashMap<PoolId, FairQueue<Waiting>>,
    max_waiting: usize,
    /// Retries that may still be made.
    retry_budget: f64,
}

impl PlacementTask {
    async fn run(mut self, mut rx: mpsc::Receiver<Msg>) {
        let mut drain = tokio::time::interval(DRAIN_INTERVAL);
        drain.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            let has_waiting = self.waiting.values().any(|queue| !queue.is_empty());
            tokio::select! {
                msg = rx.recv() => match msg {
                    Some(Msg::Place(req, reply)) => self.place(req, reply),
                    Some(Msg::Ended { target, duration, completed }) => {
                        self.placer.record_ended(&target, duration, completed, Instant::now());
                    }
                    Some(Msg::ObservedVersion(target, version)) => {
                        self.placer.observe_version(target, version, Instant::now());
                    }
                    None => return,
                },
                changed = self.snapshots.changed() => match changed {
                    Ok(()) => {
                        let snapshot = self.snapshots.borrow_and_update().clone();
                        self.placer.apply_snapshot(&snapshot, Instant::now());
                    }
                    Err(_) => return,
                },
                _ = drain.tick(), if has_waiting => {}
            }
            if has_waiting {
                self.drain();
            }
        }
    }

    fn place(&mut self, req: Box<PlaceRequest>, reply: Reply) {
        if let Err(refusal) = self.charge_retry(&req) {
            let _ = reply.send(Err(refusal));
            return;
        }
        let now = Instant::now();
        let Some(choice) = self.placer.choose(&req, now) else {
            let _ = reply.send(Err(Refusal::NoEngine));
            return;
        };
        let queue_free = self.waiting.get(&req.pool).is_none_or(FairQueue::is_empty);
        if queue_free && is_wait_acceptable(&choice, &req) {
            self.send(choice, reply, now);
            return;
        }
        self.enqueue(choice, req, reply, now);
    }

    /// Takes a retry from the budget. A request that is not a retry adds to it.
    fn charge_retry(&mut self, req: &PlaceRequest) -> Result<(), Refusal> {
        if !req.is_retry {
            let earned = f64::from(req.policy.limits.retry_percent) / 100.0;
            self.retry_budget = (self.retry_budget + earned).min(MAX_RETRY_BUDGET);
            return Ok(());
        }
        if self.retry_budget < 1.0 {
            return Err(Refusal::NoRetries);
        }
        self.retry_budget -= 1.0;
        Ok(())
    }

    fn send(&mut self, choice: Choice, reply: Reply, now: Instant) {
        let Choice { placed, work, .. } = choice;
        let target = placed.target.clone();
        if reply.send(Ok(placed)).is_ok() {
            self.placer.record_sent(&target, work, now);
        }
    }

    /// Queues a request, or refuses it immediately if it could not start before its deadline.
    fn enqueue(&mut self, choice: Choice, req: Box<PlaceRequest>, reply: Reply, now: Instant) {
        let waiting: usize = self.waiting.values().map(FairQueue::len).sum();
        if waiting >= self.max_waiting {
            let _ = reply.send(Err(Refusal::Full));
            return;
        }
        let engines = self.placer.capacity(&req.pool, req.version).max(1);
        let queue = self.waiting.entry(req.pool.clone()).or_default();
        let queue_wait = Duration::from_micros(queue.cost_before(req.class, &req.org).0) / engines;
        let starts_at = now + choice.wait + queue_wait;
        if starts_at > req.deadline {
            let retry_after = starts_at - req.deadline;
            let _ = reply.send(Err(Refusal::TooLate { retry_after }));
            return;
        }
        let weight = req.policy.limits.weight(&req.org);
        let cost = Cost(choice.work.as_micros().max(1) as u64);
        let (class, org) = (req.class, req.org.clone());
        queue.push(class, org, weight, cost, Waiting { req, reply });
    }

    /// Sends the waiting requests whose engines are free and refuses those whose deadline has
    /// passed.
    fn drain(&mut self) {
        let now = Instant::now();
        let pools: Vec<PoolId> = self.waiting.keys().cloned().collect();
        for pool in pools {
            for ticket in self.tickets_to_check(&pool) {
                match self.check_waiting(&pool, ticket, now) {
                    Next::Send(choice, waiting) => self.send(*choice, waiting.reply, now),
                    Next::Removed | Next::Wait => {}
                }
            }
        }
    }

    fn tickets_to_check(&self, pool: &PoolId) -> Vec<Ticket> {
        let queue = self.waiting.get(pool);
        queue.map_or_else(Vec::new, |queue| queue.tickets().take(SCAN_LIMIT).collect())
    }

    /// Checks whether a waiting request can be sent.
    fn check_waiting(&mut self, pool: &PoolId, ticket: Ticket, now: Instant) -> Next {
        let Some(waiting) = self.waiting.get(pool).and_then(|queue| queue.get(ticket)) else {
            return Next::Wait;
        };
        if waiting.reply.is_closed() {
            return self.remove_unsent(pool, ticket, None);
        }
        if now >= waiting.req.deadline {
            let retry_after = DEADLINE_RETRY_AFTER;
            return self.remove_unsent(pool, ticket, Some(Refusal::TooLate { retry_after }));
        }
        let Some(choice) = self.placer.choose(&waiting.req, now) else {
            return self.remove_unsent(pool, ticket, Some(Refusal::NoEngine));
        };
        if !is_wait_acceptable(&choice, &waiting.req) {
            return Next::Wait;
        }
        match self.remove(pool, ticket) {
            Some(waiting) => Next::Send(Box::new(choice), waiting),
            None => Next::Wait,
        }
    }

    fn remove(&mut self, pool: &PoolId, ticket: Ticket) -> Option<Waiting> {
        self.waiting.get_mut(pool)?.take(ticket)
    }

    /// Removes a request from the queue without sending it, and returns the reason to its caller if
    /// that is still connected.
    fn remove_unsent(&mut self, pool: &PoolId, ticket: Ticket, refusal: Option<Refusal>) -> Next {
        if let (Some(waiting), Some(refusal)) = (self.remove(pool, ticket), refusal) {
            let _ = waiting.reply.send(Err(refusal));
        }
        Next::Removed
    }
}

/// What to do with a waiting request.
enum Next {
    /// Send it to the chosen engine.
    Send(Box<Choice>, Waiting),
    /// It was removed from the queue without being sent.
    Removed,
    /// Keep it in the queue.
    Wait,
}

/// Returns whether the wait at the chosen engine is within the policy's limit.
fn is_wait_acceptable(choice: &Choice, req: &PlaceRequest) -> bool {
    let allowed = Duration::from_millis(req.policy.limits.engine_queue_ms);
    match req.class {
        PriorityClass::Urgent => choice.wait <= allowed * URGENT_QUEUE_FACTOR,
        PriorityClass::Normal | PriorityClass::Batch => choice.wait <= allowed,
    }
}
