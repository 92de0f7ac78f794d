//! Settings of the keeper.

use sillpin_bundle::TrustedKey;
use sillpin_core::{BoxId, ZoneId};
use sillpin_settings::{Faults, Key, Kind, Loaded, Schema, Section};
use sillpin_telemetry::program::{LOG_SECTION, TRACES_SECTION};
use std::net::SocketAddr;
use std::time::Duration;

/// Sections and keys of the keeper's settings.
pub const SCHEMA: Schema = &[
    Section {
        name: "box",
        keys: &[
            Key::required("id", Kind::Name, "Name of this box"),
            Key::required("zone", Kind::Name, "Availability zone of this box"),
        ],
    },
    Section {
        name: "platform",
        keys: &[Key::required(
            "addr",
            Kind::Addr,
            "Address of the platform's service",
        )],
    },
    Section {
        name: "keeper",
        keys: &[
            Key::optional(
                "entry-listen",
                Kind::Addr,
                "127.0.0.1:0",
                "Listener for the entry of this box",
            ),
            Key::optional(
                "peer-listen",
                Kind::Addr,
                "127.0.0.1:0",
                "Listener for other keepers and operators",
            ),
            Key::optional(
                "http-listen",
                Kind::Addr,
                "127.0.0.1:0",
                "Listener for health and metrics",
            ),
            Key::optional(
                "seeds",
                Kind::AddrList,
                "",
                "Keepers to contact while no other keeper is known, such as when the platform is unreachable",
            ),
            Key::optional(
                "signers",
                Kind::List,
                "",
                "Public keys of operators whose bundles are accepted",
            ),
            Key::optional(
                "gossip-ms",
                Kind::Number {
                    min: 50,
                    max: 60_000,
                },
                "1000",
                "Interval between two gossip rounds",
            ),
            Key::optional(
                "dead-after-ms",
                Kind::Number {
                    min: 200,
                    max: 600_000,
                },
                "2500",
                "Time without a heartbeat after which a box of this zone is not in use",
            ),
            Key::optional(
                "load-ms",
                Kind::Number {
                    min: 50,
                    max: 60_000,
                },
                "500",
                "Interval at which the load of a target is polled",
            ),
            Key::optional(
                "list-ms",
                Kind::Number {
                    min: 100,
                    max: 600_000,
                },
                "1000",
                "Interval at which the box list is read",
            ),
        ],
    },
    TRACES_SECTION,
    LOG_SECTION,
];

/// Values of the keeper's settings.
#[derive(Debug, Clone)]
pub struct KeeperConfig {
    /// This box.
    pub box_id: BoxId,
    /// Its availability zone.
    pub zone: ZoneId,
    /// Address of the platform's service.
    pub platform: SocketAddr,
    /// Listener for the entry.
    pub entry_listen: SocketAddr,
    /// Listener for peers and operators.
    pub peer_listen: SocketAddr,
    /// Listener for health and metrics.
    pub http_listen: SocketAddr,
    /// Keepers to contact while no other keeper is known.
    pub seeds: Vec<SocketAddr>,
    /// Public keys of operators whose bundles are accepted.
    pub signers: Vec<TrustedKey>,
    /// Interval between two gossip rounds.
    pub gossip_every: Duration,
    /// Time without a heartbeat after which a box of this zone is not in use.
    pub dead_after: Duration,
    /// Interval at which the load of a target is polled.
    pub load_every: Duration,
    /// Interval at which the box list is read.
    pub list_every: Duration,
    /// Address of the trace collector, if traces are exported.
    pub collector: Option<SocketAddr>,
}

impl KeeperConfig {
    /// Reads the values from loaded settings. Fails if a value does not parse.
    pub fn from_loaded(loaded: &Loaded) -> Result<Self, Faults> {
        let collectors: Vec<SocketAddr> = loaded.list("telemetry", "collector")?;
        let millis = |key| loaded.get("keeper", key).map(Duration::from_millis);
        Ok(Self {
            box_id: loaded.get("box", "id")?,
            zone: loaded.get("box", "zone")?,
            platform: loaded.get("platform", "addr")?,
            entry_listen: loaded.get("keeper", "entry-listen")?,
            peer_listen: loaded.get("keeper", "peer-listen")?,
            http_listen: loaded.get("keeper", "http-listen")?,
            seeds: loaded.list("keeper", "seeds")?,
            signers: loaded.list("keeper", "signers")?,
            gossip_every: millis("gossip-ms")?,
            dead_after: millis("dead-after-ms")?,
            load_every: millis("load-ms")?,
            list_every: millis("list-ms")?,
            collector: collectors.first().copied(),
        })
    }
}
