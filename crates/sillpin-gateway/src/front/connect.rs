//! Connections to targets for attempts.

use super::admit::AdmittedRequest;
use super::attempt::max_idle;
use super::shared::Shared;
use crate::control::TargetEntry;
use crate::dialect::Dialect;
use crate::pool::Conn;
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::timeout;

/// Why an attempt ended before its connection was open.
const CUT_OFF: &str = "this box is cut off from most targets of the pool";

/// Time to open a connection after which the pool is surveyed: many round trips between zones.
const SLOW_CONNECT: Duration = Duration::from_millis(100);

impl<D: Dialect> Shared<D> {
    /// Returns a connection to a target. While a new one is slow to open, the target's pool is surveyed, and the attempt
    /// ends if this box turns out to be cut off from it.
    pub(super) async fn connect(
        &self,
        request: &AdmittedRequest,
        target: &Arc<TargetEntry>,
    ) -> Result<Conn, String> {
        let mut opening = pin!(self.pool.get(target, max_idle(request)));
        let result = match timeout(SLOW_CONNECT, &mut opening).await {
            Ok(result) => result,
            Err(_) => {
                self.prober.survey(&target.pool);
                tokio::select! {
                    result = opening => result,
                    () = self.path_waits.cut_off(&target.pool) => return Err(CUT_OFF.to_owned()),
                }
            }
        };
        result.map_err(|e| e.to_string())
    }
}
