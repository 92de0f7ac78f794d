//! The keeper's settings.

use sillpin_bundle::TrustedKey;
use sillpin_core::{BoxId, ZoneId};
use sillpin_settings::{Faults, Key, Kind, Loaded, Schema, Section};
use sillpin_telemetry::program::{LOG_SECTION, TRACES_SECTION};
use std::net::SocketAddr;
use std::time::Duration;

/// What the keeper reads.
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
        keys: &[Key::required("addr", Kind::Addr, "The platform's service")],
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
                "Keepers to ask when the platform cannot be reached",
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
                "Time between two rounds of gossip",
            ),
            Key::optional(
                "dead-after-ms",
                Kind::Number {
                    min: 200,
                    max: 600_000,
                },
                "2500",
                "Silence after which a box of this zone is out of use",
            ),
            Key::optional(
                "load-ms",
                Kind::Number {
                    min: 50,
                    max: 60_000,
                },
                "500",
                "Time between two readings of a target's load",
            ),
            Key::optional(
                "list-ms",
                Kind::Number {
                    min: 100,
                    max: 600_000,
                },
                "1000",
                "Time between two readings of the box list",
            ),
        ],
    },
    TRACES_SECTION,
    LOG_SECTION,
];

/// The keeper's settings.
#[derive(Debug, Clone)]
pub struct KeeperConfig {
    /// This box.
    pub box_id: BoxId,
    /// Its availability zone.
    pub zone: ZoneId,
    /// The platform's service.
    pub platform: SocketAddr,
    /// Listener for the entry.
    pub entry_listen: SocketAddr,
    /// Listener for peers and operators.
    pub peer_listen: SocketAddr,
    /// Listener for health and metrics.
    pub http_listen: SocketAddr,
    /// Keepers to ask first.
    pub seeds: Vec<SocketAddr>,
    /// Trusted operators.
    pub signers: Vec<TrustedKey>,
    /// Time between two rounds of gossip.
    pub gossip_every: Duration,
    /// Silence after which a box is out of use.
    pub dead_after: Duration,
    /// Time between two readings of a load.
    pub load_every: Duration,
    /// Time between two readings of the box list.
    pub list_every: Duration,
    /// Collector of traces.
    pub collector: Option<SocketAddr>,
}

impl KeeperConfig {
    /// Takes the values out of checked settings.
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
