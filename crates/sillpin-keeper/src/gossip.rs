//! Replicates items by gossip: in each round this keeper exchanges digests with two random keepers of
//! its zone. Two keepers of each zone also exchange with one random keeper of another zone.

use crate::fleet::{FleetHandle, FleetMsg, Published};
use crate::peers::{PeerError, Peers};
use crate::settings::KeeperConfig;
use crate::view::{PeerView, View};
use rand::seq::IndexedRandom;
use sillpin_core::ZoneId;
use sillpin_rpc::gossip::Exchange;
use std::net::SocketAddr;
use std::time::Duration;
use tokio_util::sync::CancellationToken;

/// Number of keepers of the own zone contacted in a round.
const FANOUT: usize = 2;

/// Timeout of a call to a peer.
const PEER_TIMEOUT: Duration = Duration::from_millis(800);

/// Name of the task for which two keepers of each zone are selected. It is hashed, so it must be the
/// same in all versions.
const FOREIGN_GOSSIP_TASK: &str = "gossip with other zones";

/// Runs gossip rounds until `stop`.
pub async fn run(
    cfg: KeeperConfig,
    fleet: FleetHandle,
    published: Published,
    peers: Peers,
    stop: CancellationToken,
) {
    let mut round = tokio::time::interval(cfg.gossip_every);
    loop {
        tokio::select! {
            () = stop.cancelled() => return,
            _ = round.tick() => {}
        }
        let view = published.view.borrow().clone();
        let selected = select_peers(&cfg, &view);
        let exchanges = selected.into_iter().map(|peer| {
            let (fleet, peers) = (fleet.clone(), peers.clone());
            async move { exchange(&fleet, &peers, peer).await }
        });
        futures::future::join_all(exchanges).await;
    }
}

struct GossipPeer {
    addr: SocketAddr,
    zone: ZoneId,
}

impl From<&PeerView> for GossipPeer {
    fn from(peer: &PeerView) -> Self {
        Self {
            addr: peer.addr,
            zone: peer.zone.clone(),
        }
    }
}

/// Selects the peers of a round. Unresponsive boxes stay candidates, so that a box that recovers is
/// found; seeds are used while no other box is known.
fn select_peers(cfg: &KeeperConfig, view: &View) -> Vec<GossipPeer> {
    let mut rng = rand::rng();
    let others = view.boxes.iter().filter(|b| b.id != cfg.box_id);
    let (local, foreign): (Vec<_>, Vec<_>) = others.partition(|b| b.zone == cfg.zone);
    let local_peers = local.sample(&mut rng, FANOUT);
    let mut selected: Vec<GossipPeer> = local_peers.map(|peer| GossipPeer::from(*peer)).collect();
    let zone_gossipers = view.zone_readers(&cfg.zone, FOREIGN_GOSSIP_TASK);
    if zone_gossipers.iter().any(|b| b.id == cfg.box_id) {
        selected.extend(foreign.choose(&mut rng).map(|peer| GossipPeer::from(*peer)));
    }
    if selected.is_empty() {
        let seed = cfg.seeds.choose(&mut rng);
        selected.extend(seed.map(|addr| GossipPeer {
            addr: *addr,
            zone: cfg.zone.clone(),
        }));
    }
    selected
}

async fn exchange(fleet: &FleetHandle, peers: &Peers, peer: GossipPeer) {
    let Some(digest) = fleet.query(|tx| FleetMsg::Digest(peer.zone, tx)).await else {
        return;
    };
    let step = "exchange digests";
    let call = peers.call(step, peer.addr, PEER_TIMEOUT, |client, cx| async move {
        client.exchange(cx, digest).await
    });
    let Ok(reply) = call.await else { return };
    let _ = complete_exchange(fleet, peers, peer.addr, reply).await;
}

async fn complete_exchange(
    fleet: &FleetHandle,
    peers: &Peers,
    peer: SocketAddr,
    reply: Exchange,
) -> Result<(), PeerError> {
    if !reply.newer.is_empty() {
        fleet.send(FleetMsg::Apply(reply.newer)).await;
    }
    if reply.wanted.is_empty() {
        return Ok(());
    }
    let items = fleet
        .query(|tx| FleetMsg::ItemsByHash(reply.wanted, tx))
        .await;
    let items = items.unwrap_or_default();
    let step = "push items";
    let call = peers.call(step, peer, PEER_TIMEOUT, |client, cx| async move {
        client.push(cx, items).await
    });
    call.await
}
