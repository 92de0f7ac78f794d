//! Starts the tasks that communicate with other boxes.

use super::{Adapter, UPDATE_QUEUE};
use crate::control::{Control, PublishedFormat};
use crate::dialect::Dialect;
use crate::fatal::persist::CrashRecordSync;
use crate::fleet_state::BoxEntry;
use crate::fleet_state::reader::long_poll_wait;
use crate::fleet_state::transfers::Transfers;
use crate::front::Shared;
use crate::peers::datagram::{BoxHash, ZoneUpdate};
use crate::peers::hub::Hub;
use crate::peers::link::{self, PeerServer};
use crate::peers::registry::Registry;
use crate::peers::roster::RosterCache;
use crate::peers::sender::GossipSender;
use crate::peers::wire::FleetKey;
use crate::peers::zone_sender::ZoneGossip;
use crate::releases::supervisor::ReleaseSupervisor;
use crate::reload::Settings;
use crate::tasks::Need;
use crate::weights::election::Election;
use crate::weights::rollout::{DISCOVERY_TIMEOUT, Rollout};
use sillpin_platform::Platform;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, UdpSocket};
use tokio::sync::mpsc;
use tokio_util::sync::CancellationToken;

/// What the tasks that communicate with other boxes need.
pub(super) struct Peers {
    pub listener: TcpListener,
    pub socket: Arc<UdpSocket>,
    pub zone_updates: mpsc::Receiver<ZoneUpdate>,
    pub transfers: Transfers,
    pub me: BoxEntry,
}

/// Starts them.
pub(super) fn start_peers<D, K, P, C>(
    peers: Peers,
    settings: Settings,
    adapter: &Adapter<D, K, P, C>,
    shared: &Arc<Shared<D>>,
) where
    D: Dialect,
    K: PublishedFormat,
    P: Platform,
    C: Control,
{
    let Peers {
        listener,
        socket,
        zone_updates,
        transfers,
        me,
    } = peers;
    let (id, candidate) = (me.id.clone(), me.clone());
    let (fleet, log) = (shared.fleet.clone(), shared.log.clone());
    let stopping = shared.stopping.clone();
    let (updates_tx, updates) = mpsc::channel(UPDATE_QUEUE);
    let fleet_key = FleetKey::new(shared.cfg.fleet.as_deref(), shared.cfg.platform);
    let answerer = PeerServer {
        fleet_key,
        fleet: fleet.clone(),
        cache_stores: shared.cache_stores.clone(),
        log: log.clone(),
    };
    let tasks = &shared.tasks;
    let serving = link::serve(listener, answerer, CancellationToken::new());
    tasks.essential("calls of boxes", serving);
    let registry = Registry {
        platform: adapter.platform.clone(),
        me: me.clone(),
        fleet: fleet.clone(),
        stopping: stopping.clone(),
        log: log.clone(),
    };
    tasks.restart("registry", Need::ToServe, move || registry.clone().run());
    let supervisor = ReleaseSupervisor {
        platform: adapter.platform.clone(),
        keys: adapter.keys.clone(),
        me: me.clone(),
        fleet: fleet.clone(),
        tracker: shared.releases.clone(),
        stopping: stopping.clone(),
        log: log.clone(),
    };
    tasks.restart("releases", Need::ToServe, move || supervisor.clone().run());
    let persist = CrashRecordSync {
        platform: adapter.platform.clone(),
        fatal: shared.fatal.clone(),
        fleet: fleet.clone(),
        log: log.clone(),
    };
    tasks.restart("crash records", Need::ToServe, move || {
        persist.clone().run()
    });
    let name = BoxHash::of(&me);
    let gossip = GossipSender {
        fleet_key,
        name,
        zone_gossip: ZoneGossip::new(Hub::new(name), RosterCache::new(me.clone())),
        me,
        settings,
        fleet: fleet.clone(),
        loads: shared.loads.clone(),
        cache_stores: shared.cache_stores.clone(),
        fatal: shared.fatal.clone(),
        releases: shared.releases.clone(),
        suspend_clock: shared.suspend_clock.clone(),
        updates,
        zone_updates,
        transfers,
        stopping: stopping.clone(),
        streams: shared.streams.clone(),
        metrics: shared.metrics.clone(),
        log: log.clone(),
    };
    tasks.essential("gossip", gossip.run(socket, tasks.clone()));
    let rollout = Rollout {
        me: candidate,
        discovery_timeout: match shared.cfg.seeds.is_empty() {
            true => Duration::ZERO,
            false => DISCOVERY_TIMEOUT,
        },
        election: Election {
            platform: adapter.platform.clone(),
            me: id,
            min_order_gap: shared.cfg.lease,
            long_poll: long_poll_wait(shared.cfg.history),
            suspend_clock: shared.suspend_clock.clone(),
            log: log.clone(),
        },
        control: adapter.control.clone(),
        fleet,
        loads: shared.loads.clone(),
        cache_stores: shared.cache_stores.clone(),
        updates: updates_tx,
        stopping,
        log,
    };
    tasks.restart("weights", Need::ToServe, move || rollout.clone().run());
}
