//! Supervises the tasks of a box, so that none ends unnoticed.
//!
//! A task that reads its state again begins anew after it has ended, and a job that others wait for after a panic. The end of any
//! other ends the process, after the requests in flight, so that the platform starts it again.

use crate::backoff::backoff;
use derive_more::{Display, Error};
use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Meter};
use sillpin_telemetry::{event, events};
use slog::Logger;
use std::any::Any;
use std::future::Future;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, OnceLock};
use std::time::Duration;
use tokio::task::JoinHandle;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

/// Bounds of the wait before a task begins anew.
const MIN_WAIT: Duration = Duration::from_millis(100);
const MAX_WAIT: Duration = Duration::from_secs(10);

/// A task that has run for this time begins anew after the shortest wait again.
const STEADY_TIME: Duration = Duration::from_secs(60);

/// What a box lacks while a task waits to begin anew.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Need {
    /// State that requests depend on: the box is not ready.
    ToServe,
    /// Nothing that requests depend on.
    Upkeep,
}

/// A task ended that cannot begin anew.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
#[display("task {task} ended: {why}")]
pub struct TaskLost {
    /// Its name.
    pub task: &'static str,
    /// Its panic message, or that it returned.
    pub why: String,
}

/// Starts and supervises tasks; clones share the state.
#[derive(Debug, Clone)]
pub struct Tasks {
    state: Arc<State>,
}

#[derive(Debug)]
struct State {
    log: Logger,
    ended: Counter<u64>,
    stopping: CancellationToken,
    /// Number of tasks that requests depend on and that do not run.
    missing: AtomicUsize,
    lost: OnceLock<TaskLost>,
}

/// Counts a missing task as long as it exists.
struct Missing<'a>(&'a AtomicUsize);

impl<'a> Missing<'a> {
    fn new(count: &'a AtomicUsize) -> Self {
        count.fetch_add(1, Ordering::Relaxed);
        Self(count)
    }
}

impl Drop for Missing<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

impl Tasks {
    /// Creates a supervisor; it cancels `stopping` when a task is lost.
    pub fn new(log: Logger, meter: &Meter, stopping: CancellationToken) -> Self {
        let ended = meter
            .u64_counter("sillpin_tasks_ended")
            .with_description("Tasks of the box that ended, by task and by what follows")
            .build();
        let state = State {
            log,
            ended,
            stopping,
            missing: AtomicUsize::new(0),
            lost: OnceLock::new(),
        };
        Self {
            state: Arc::new(state),
        }
    }

    /// Starts a task that cannot begin anew.
    pub fn essential<F>(&self, name: &'static str, task: F)
    where
        F: Future<Output = ()> + Send + 'static,
    {
        let (tasks, task) = (self.clone(), tokio::spawn(task));
        tokio::spawn(async move {
            let panic = panic_of(task).await;
            if panic.is_some() || !tasks.state.stopping.is_cancelled() {
                tasks.lose(name, panic);
            }
        });
    }

    /// Starts a task that begins anew when it ends; `begin` creates it with state that it reads again. It may return once the box stops.
    pub fn restart<F>(
        &self,
        name: &'static str,
        need: Need,
        begin: impl Fn() -> F + Send + Sync + 'static,
    ) where
        F: Future<Output = ()> + Send + 'static,
    {
        let stopping = self.state.stopping.clone();
        self.repeat(name, need, begin, move || stopping.is_cancelled());
    }

    /// Starts a task that returns once its work is done; `begin` creates it. After a panic it begins anew, since others wait for
    /// its end.
    pub fn job<F>(&self, name: &'static str, begin: impl Fn() -> F + Send + Sync + 'static)
    where
        F: Future<Output = ()> + Send + 'static,
    {
        self.repeat(name, Need::Upkeep, begin, || true);
    }

    /// Runs a task again and again until it returns while it `may_return`.
    fn repeat<F>(
        &self,
        name: &'static str,
        need: Need,
        begin: impl Fn() -> F + Send + Sync + 'static,
        may_return: impl Fn() -> bool + Send + 'static,
    ) where
        F: Future<Output = ()> + Send + 'static,
    {
        let (tasks, begin) = (self.clone(), Arc::new(begin));
        tokio::spawn(async move {
            let mut ends: u32 = 0;
            loop {
                let (began, begin) = (Instant::now(), begin.clone());
                let panic = panic_of(tokio::spawn(async move { begin().await })).await;
                if panic.is_none() && may_return() {
                    return;
                }
                let was_steady = began.elapsed() >= STEADY_TIME;
                ends = if was_steady {
                    1
                } else {
                    ends.saturating_add(1)
                };
                let missing = &tasks.state.missing;
                let _missing = (need == Need::ToServe).then(|| Missing::new(missing));
                let wait = backoff(ends, MIN_WAIT, MAX_WAIT);
                tasks.count(name, "begins anew");
                event!(tasks.state.log, events::TASK_RESTARTED, "task" => name,
                    "why" => describe(panic), "wait_ms" => wait.as_millis());
                tokio::time::sleep(wait).await;
            }
        });
    }

    /// Returns whether all tasks run that requests depend on.
    pub fn are_running(&self) -> bool {
        self.state.missing.load(Ordering::Relaxed) == 0 && self.lost().is_none()
    }

    /// Returns the first task that was lost.
    pub fn lost(&self) -> Option<&TaskLost> {
        self.state.lost.get()
    }

    fn lose(&self, task: &'static str, panic: Option<String>) {
        let why = describe(panic);
        let lost = TaskLost {
            task,
            why: why.clone(),
        };
        // Only the first one is kept.
        let _ = self.state.lost.set(lost);
        self.state.stopping.cancel();
        self.count(task, "process ends");
        event!(self.state.log, events::TASK_LOST, "task" => task, "why" => why);
    }

    fn count(&self, task: &'static str, outcome: &'static str) {
        let labels = [
            KeyValue::new("task", task),
            KeyValue::new("outcome", outcome),
        ];
        self.state.ended.add(1, &labels);
    }
}

/// Waits until a task has ended, and returns the message of its panic.
async fn panic_of(task: JoinHandle<()>) -> Option<String> {
    let e = task.await.err()?;
    match e.try_into_panic() {
        Ok(panic) => Some(panic_message(&*panic).to_owned()),
        Err(e) => Some(e.to_string()),
    }
}

fn describe(panic: Option<String>) -> String {
    panic.unwrap_or_else(|| "it returned".to_owned())
}

/// Message of a panic, if it is text.
pub(crate) fn panic_message(panic: &(dyn Any + Send)) -> &str {
    let text = panic.downcast_ref::<&str>().copied();
    let text = text.or_else(|| panic.downcast_ref::<String>().map(String::as_str));
    text.unwrap_or("panic without a message")
}
