//! Streams a run's response as lines, with the injected faults.

use super::EngineStandin;
use super::batch::Progress;
use sillpin_core::AttemptId;
use sillpin_http::BodySender;
use sillpin_load::oracle::ExpectedAnswer;
use sillpin_targets::RunEvent;
use tokio::sync::watch;

impl EngineStandin {
    /// Streams the tokens from index `cursor` on as the run produces them, until it ends or its reader disconnects.
    pub(super) async fn stream(
        &self,
        attempt: AttemptId,
        mut cursor: u32,
        answer: ExpectedAnswer,
        mut progress: watch::Receiver<Progress>,
        tx: BodySender,
    ) {
        loop {
            let now = *progress.borrow_and_update();
            let faults = self.lock().faults;
            let answer = if faults.crossed {
                ExpectedAnswer::of("another prompt")
            } else {
                answer
            };
            let attempt = if faults.crossed {
                AttemptId::generate()
            } else {
                attempt
            };
            let cut = faults
                .cut_at
                .is_some_and(|at| cursor < at && now.produced >= at);
            let mut lines = String::new();
            let until = if cut {
                faults.cut_at.unwrap_or(now.produced)
            } else {
                now.produced
            };
            for index in cursor..until {
                let text = answer.token(index);
                let token = RunEvent::Token {
                    attempt,
                    index,
                    text,
                };
                push_line(&mut lines, &token);
            }
            cursor = cursor.max(until);
            if let Some(summary) = now.ended.filter(|_| !cut && !faults.no_end_mark) {
                push_line(&mut lines, &RunEvent::End { attempt, summary });
            }
            if !lines.is_empty() && tx.send(lines).await.is_err() {
                return;
            }
            if cut {
                return tx.abort("response cut by the fault `cut_at`").await;
            }
            let changed = tokio::select! {
                () = tx.closed() => return,
                changed = progress.changed(), if now.ended.is_none() => changed.is_ok(),
                () = std::future::ready(()), if now.ended.is_some() => return tx.finish(),
            };
            if !changed {
                return tx.abort("run was cancelled").await;
            }
        }
    }
}

fn push_line(lines: &mut String, event: &RunEvent) {
    lines.push_str(&serde_json::to_string(event).unwrap_or_default());
    lines.push('\n');
}
