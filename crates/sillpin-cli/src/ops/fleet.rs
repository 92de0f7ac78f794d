//! Queries to keepers: status of the fleet, decision records and the figures of arms.

use crate::{CliError, ExitStatus};
use sillpin_core::RequestId;
use sillpin_rpc::arms::ArmFigures;
use sillpin_rpc::peer_link::{FleetStatus, PeerLinkClient};
use sillpin_rpc::records::DecisionRecord;
use sillpin_rpc::transport::{connect, within};
use std::net::SocketAddr;
use std::time::Duration;
use tarpc::client::Config;

/// Time limit of one call to a keeper.
const TIMEOUT: Duration = Duration::from_secs(2);

/// Connects to a keeper.
async fn open(keeper: SocketAddr) -> Result<PeerLinkClient, CliError> {
    let failed = |e| {
        let what = format!("cannot reach keeper {keeper}");
        CliError::caused(ExitStatus::Failed, what, e)
    };
    let transport = connect(keeper).await.map_err(failed)?;
    Ok(PeerLinkClient::new(Config::default(), transport).spawn())
}

/// Returns the fleet's status as a keeper sees it.
pub async fn status(keeper: SocketAddr) -> Result<FleetStatus, CliError> {
    let client = open(keeper).await?;
    let status = client.status(within(TIMEOUT)).await;
    status.map_err(|e| CliError::caused(ExitStatus::Failed, "the keeper did not answer", e))
}

/// Returns the decision record of a request: queries the keeper first, then all boxes that it lists.
pub async fn explain(keeper: SocketAddr, request: RequestId) -> Result<DecisionRecord, CliError> {
    let status = status(keeper).await?;
    let others = status.boxes.iter().map(|b| b.state.peer_addr);
    let mut keepers = vec![keeper];
    keepers.extend(others.filter(|addr| *addr != keeper));
    let mut unreached = 0;
    for keeper in keepers {
        match fetch_record(keeper, request).await {
            Ok(Some(record)) => return Ok(record),
            Ok(None) => {}
            Err(_) => unreached += 1,
        }
    }
    let what = format!("no box has a record of {request} ({unreached} not reached)");
    Err(CliError::new(ExitStatus::NotFound, what))
}

/// Returns the figures that a box measured for the arms of the bundle in force.
pub async fn arms(keeper: SocketAddr) -> Result<Vec<ArmFigures>, CliError> {
    let client = open(keeper).await?;
    let figures = client.arms(within(TIMEOUT)).await;
    figures.map_err(|e| CliError::caused(ExitStatus::Failed, "the keeper did not answer", e))
}

/// Queries one keeper for a decision record.
async fn fetch_record(
    keeper: SocketAddr,
    request: RequestId,
) -> Result<Option<DecisionRecord>, CliError> {
    let client = open(keeper).await?;
    let record = client.explain(within(TIMEOUT), request).await;
    record.map_err(|e| CliError::caused(ExitStatus::Failed, "the keeper did not answer", e))
}
