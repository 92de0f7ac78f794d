//! Spreads items: each round this keeper compares with two random keepers of its zone and, as one
//! of two in its zone, with one of another zone.

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

/// Keepers of the own zone asked in a round.
const FANOUT: usize = 2;

/// Longest wait for a peer's answer.
const PEER_TIMEOUT: Duration = Duration::from_millis(800);

/// Name of the task that two keepers of each zone do.
const FOREIGN_TASK: &str = "gossip with other zones";

/// Runs rounds until `stop`.
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
        let partners = choose(&cfg, &view);
        let exchanges = partners.into_iter().map(|partner| {
            let (fleet, peers) = (fleet.clone(), peers.clone());
            async move { exchange(&fleet, &peers, partner).await }
        });
        futures::future::join_all(exchanges).await;
    }
}

struct Partner {
    addr: SocketAddr,
    zone: ZoneId,
}

impl From<&PeerView> for Partner {
    fn from(peer: &PeerView) -> Self {
        Self {
            addr: peer.addr,
            zone: peer.zone.clone(),
        }
    }
}

/// Partners of a round. Silent boxes stay among them, so that a box that returns is found; seeds
/// serve while nobody else is known.
fn choose(cfg: &KeeperConfig, view: &View) -> Vec<Partner> {
    let mut rng = rand::rng();
    let others = view.boxes.iter().filter(|b| b.id != cfg.box_id);
    let (mine, foreign): (Vec<_>, Vec<_>) = others.partition(|b| b.zone == cfg.zone);
    let near = mine.sample(&mut rng, FANOUT);
    let mut partners: Vec<Partner> = near.map(|peer| Partner::from(*peer)).collect();
    let carriers = view.zone_readers(&cfg.zone, FOREIGN_TASK);
    if carriers.iter().any(|b| b.id == cfg.box_id) {
        partners.extend(foreign.choose(&mut rng).map(|peer| Partner::from(*peer)));
    }
    if partners.is_empty() {
        let seed = cfg.seeds.choose(&mut rng);
        partners.extend(seed.map(|addr| Partner {
            addr: *addr,
            zone: cfg.zone.clone(),
        }));
    }
    partners
}

async fn exchange(fleet: &FleetHandle, peers: &Peers, partner: Partner) {
    let Some(digest) = fleet.ask(|tx| FleetMsg::Digest(partner.zone, tx)).await else {
        return;
    };
    let step = "compare what is known";
    let call = peers.call(step, partner.addr, PEER_TIMEOUT, |client, cx| async move {
        client.exchange(cx, digest).await
    });
    let Ok(reply) = call.await else { return };
    let _ = finish(fleet, peers, partner.addr, reply).await;
}

async fn finish(
    fleet: &FleetHandle,
    peers: &Peers,
    peer: SocketAddr,
    reply: Exchange,
) -> Result<(), PeerError> {
    if !reply.newer.is_empty() {
        fleet.tell(FleetMsg::Apply(reply.newer)).await;
    }
    if reply.wanted.is_empty() {
        return Ok(());
    }
    let items = fleet.ask(|tx| FleetMsg::Wanted(reply.wanted, tx)).await;
    let items = items.unwrap_or_default();
    let step = "hand over what is known";
    let call = peers.call(step, peer, PEER_TIMEOUT, |client, cx| async move {
        client.push(cx, items).await
    });
    call.await
}
