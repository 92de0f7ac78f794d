//! Reports of this box's entry: its latest decision records and the measurements of its arms.

use sillpin_core::RequestId;
use sillpin_rpc::arms::ArmFigures;
use sillpin_rpc::records::DecisionRecord;
use std::collections::{HashMap, VecDeque};
use tokio::sync::{mpsc, oneshot};

/// Maximum number of records held; the oldest are evicted first.
const MAX_RECORDS: usize = 2_000;

/// Maximum number of queued messages.
const QUEUE_LEN: usize = 256;

enum RecordMsg {
    Add(Vec<DecisionRecord>),
    Find(RequestId, oneshot::Sender<Option<DecisionRecord>>),
    SetArms(Vec<ArmFigures>),
    Arms(oneshot::Sender<Vec<ArmFigures>>),
}

/// Sends messages to the task that owns the records.
#[derive(Clone)]
pub struct RecordsHandle {
    tx: mpsc::Sender<RecordMsg>,
}

impl RecordsHandle {
    /// Adds records, and evicts the oldest beyond the limit.
    pub async fn add(&self, records: Vec<DecisionRecord>) {
        let _ = self.tx.send(RecordMsg::Add(records)).await;
    }

    /// Returns the record of a request, if it is still held.
    pub async fn find(&self, request: RequestId) -> Option<DecisionRecord> {
        let (tx, rx) = oneshot::channel();
        self.tx.send(RecordMsg::Find(request, tx)).await.ok()?;
        rx.await.ok().flatten()
    }
}

impl RecordsHandle {
    /// Replaces the measurements of the arms.
    pub async fn set_arms(&self, figures: Vec<ArmFigures>) {
        let _ = self.tx.send(RecordMsg::SetArms(figures)).await;
    }

    /// Returns the latest measurements of the arms.
    pub async fn arms(&self) -> Vec<ArmFigures> {
        let (tx, rx) = oneshot::channel();
        let _ = self.tx.send(RecordMsg::Arms(tx)).await;
        rx.await.unwrap_or_default()
    }
}

/// Starts the task, which stops when its last handle is dropped.
pub fn start() -> RecordsHandle {
    let (tx, mut rx) = mpsc::channel(QUEUE_LEN);
    tokio::spawn(async move {
        let mut records = Records::default();
        while let Some(msg) = rx.recv().await {
            match msg {
                RecordMsg::Add(added) => records.add(added),
                RecordMsg::Find(request, tx) => drop(tx.send(records.find(request))),
                RecordMsg::SetArms(figures) => records.arms = figures,
                RecordMsg::Arms(tx) => drop(tx.send(records.arms.clone())),
            }
        }
    });
    RecordsHandle { tx }
}

#[derive(Default)]
struct Records {
    by_request: HashMap<RequestId, DecisionRecord>,
    order: VecDeque<RequestId>,
    arms: Vec<ArmFigures>,
}

impl Records {
    fn add(&mut self, added: Vec<DecisionRecord>) {
        for record in added {
            self.order.push_back(record.request);
            self.by_request.insert(record.request, record);
        }
        while self.order.len() > MAX_RECORDS {
            if let Some(oldest) = self.order.pop_front() {
                self.by_request.remove(&oldest);
            }
        }
    }

    fn find(&self, request: RequestId) -> Option<DecisionRecord> {
        self.by_request.get(&request).cloned()
    }
}
