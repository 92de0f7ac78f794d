//! Settings of `sillpin-box`.

use crate::placement::residency::{ZoneRegion, ZoneRegions};
use sillpin_core::{BoxId, ZoneId, bounds};
use sillpin_settings::{Faults, Key, Kind, Loaded, Schema, Section};
use sillpin_telemetry::program::{LOG_SECTION, TRACES_SECTION};
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

/// Sections and keys of the settings.
pub const SCHEMA: Schema = &[
    Section {
        name: "box",
        keys: &[
            Key::required("id", Kind::Name, "Name of this box"),
            Key::required("zone", Kind::Name, "Availability zone of this box"),
            Key::required("ip", Kind::Ip, "Address of this box"),
        ],
    },
    Section {
        name: "listen",
        keys: &[
            Key::required("callers", Kind::Addr, "Listener for callers"),
            Key::required("ready", Kind::Addr, "Listener for the balancer's checks"),
            Key::required("peers", Kind::Addr, "Listener for calls of other boxes"),
            Key::required(
                "gossip-port",
                Kind::Number {
                    min: 0,
                    max: 65_535,
                },
                "Port for datagrams between boxes and, by TCP, for requests that boxes send on, the same on all boxes; 0: any",
            ),
            Key::optional(
                "metrics-port",
                Kind::Number {
                    min: 0,
                    max: 65_535,
                },
                "9464",
                "Port of the metrics page; 0: none",
            ),
        ],
    },
    Section {
        name: "platform",
        keys: &[
            Key::required("addr", Kind::Addr, "Address of the platform store"),
            Key::optional(
                "fleet",
                Kind::Text,
                "",
                "Name of the fleet, the same on all its boxes; needed if they reach the platform store at different addresses, default: the store's address",
            ),
            Key::optional(
                "seeds",
                Kind::AddrList,
                "",
                "Boxes to contact first; they may be down",
            ),
            Key::optional(
                "zones",
                Kind::List,
                "",
                "Region of each availability zone, as ZONE/REGION; needed where requests must not leave a region",
            ),
            Key::optional(
                "history-s",
                Kind::Decimal,
                "20",
                "Time for which the platform store keeps its history of changes, in seconds",
            ),
        ],
    },
    Section {
        name: "limits",
        keys: &[
            Key::required(
                "memory-mb",
                Kind::Number {
                    min: 16,
                    max: 1 << 20,
                },
                "Memory of this process in MB",
            ),
            Key::required(
                "descriptors",
                Kind::Number {
                    min: 256,
                    max: 1 << 20,
                },
                "File descriptors of this process",
            ),
            Key::optional(
                "link-mbps",
                Kind::Decimal,
                "0",
                "Bandwidth of this box's link in Mbit/s; in large zones, boxes with fast links distribute updates; 0: unknown",
            ),
        ],
    },
    Section {
        name: "promises",
        keys: &[
            Key::optional(
                "grace-s",
                Kind::Decimal,
                "8",
                "Time from SIGTERM to SIGKILL in seconds",
            ),
            Key::optional(
                "lease-ms",
                Kind::Decimal,
                "3000",
                "Minimum time in ms between the orders to engines of one leader and those of the next",
            ),
            Key::optional(
                "retry-share",
                Kind::Fraction,
                "0.2",
                "Retries that a pool may get, as a fraction of its requests",
            ),
            Key::optional(
                "retry-slack",
                Kind::Decimal,
                "50",
                "Retries that a pool may get beyond that per window, from all boxes together",
            ),
            Key::optional(
                "retry-window-s",
                Kind::Decimal,
                "10",
                "Window in which retries are counted, in seconds",
            ),
            Key::optional(
                "warm-up-overage",
                Kind::Decimal,
                "1",
                "Maximum request rate of all boxes together to a cold target, as a multiple of the rate that its pool names",
            ),
            Key::optional(
                "warm-up-slack",
                Kind::Decimal,
                "0",
                "Requests allowed beyond that in any second",
            ),
            Key::optional(
                "canary-share",
                Kind::Fraction,
                "0.1",
                "Fraction of a pool's requests that a new version of its targets may get before its release has succeeded",
            ),
            Key::optional(
                "weights-ms",
                Kind::Decimal,
                "10000",
                "Time in ms after which no request starts on weights that were replaced",
            ),
            Key::optional(
                "reuse-s",
                Kind::Decimal,
                "20",
                "A stored part that is used again within this time, in seconds, was worth keeping",
            ),
        ],
    },
    Section {
        name: "scheduling",
        keys: &[
            Key::optional(
                "immediate-updates",
                SWITCH,
                AUTO,
                "Whether the boxes of a zone send each other changes of their work at engines at once; auto: in zones of up to 64 boxes",
            ),
            Key::optional(
                "learned-speeds",
                SWITCH,
                AUTO,
                "Whether estimates use the speed of engines that boxes measure; auto: in fleets of more than 16 boxes",
            ),
            Key::optional(
                "stream-engines",
                SWITCH,
                AUTO,
                "Whether some engines of a pool are reserved for short prompts; auto: if routes of different priority share the pool, one of them names an accepted pause between events, and the zone has 12 engines or more",
            ),
            Key::optional(
                "fair-admission",
                SWITCH,
                AUTO,
                "Whether requests are refused by their organisation's share under overload, and if they can't end in time; auto: if the configuration has several organisations, or one and several priorities",
            ),
            Key::optional(
                "silent-engines",
                SWITCH,
                AUTO,
                "Whether boxes look for engines that stop sending and tell each other; auto: if a route of the pool names an accepted pause between events",
            ),
        ],
    },
    TRACES_SECTION,
    LOG_SECTION,
];

/// Values of a key that switches a part of the scheduling.
const SWITCH: Kind = Kind::OneOf(&[AUTO, "off"]);

/// Default of such a key: the part is in use where the configuration asks for it.
const AUTO: &str = "auto";

/// Settings of the box.
#[derive(Debug, Clone)]
pub struct BoxConfig {
    /// Name of this box.
    pub id: BoxId,
    /// Availability zone of this box.
    pub zone: ZoneId,
    /// Address of this box.
    pub ip: IpAddr,
    /// Listener for callers.
    pub callers: SocketAddr,
    /// Listener for the balancer's checks.
    pub ready: SocketAddr,
    /// Listener for calls of other boxes.
    pub peers: SocketAddr,
    /// Port for datagrams between boxes and, by TCP, for requests that boxes send on.
    pub gossip_port: u16,
    /// Listener of the metrics page.
    pub metrics: Option<SocketAddr>,
    /// Address of the platform store.
    pub platform: SocketAddr,
    /// Name of the fleet, if it has one.
    pub fleet: Option<String>,
    /// Region of each zone.
    pub zones: ZoneRegions,
    /// How long the platform store keeps its history of changes.
    pub history: Duration,
    /// Boxes to contact first.
    pub seeds: Vec<SocketAddr>,
    /// Memory of this process in bytes.
    pub memory: u64,
    /// File descriptors of this process.
    pub descriptors: usize,
    /// Bandwidth of this box's link in Mbit/s; zero if unknown.
    pub link_mbps: u32,
    /// Time from SIGTERM to SIGKILL.
    pub grace: Duration,
    /// Minimum time between the last order of one leader and the first of the next.
    pub lease: Duration,
    /// Limits on retries.
    pub retries: RetryRules,
    /// Limits on requests to cold targets.
    pub warm_up: WarmUpRules,
    /// Fraction of a pool's requests that a new version may get before its release has succeeded.
    pub canary_share: f64,
    /// Time after which no request starts on weights that were replaced.
    pub weights_limit: Duration,
    /// A stored part that is read again within this time of its last use counts as worth storing.
    pub reuse: Duration,
    /// Parts of the scheduling that may be in use.
    pub scheduling: SchedulingSettings,
    /// Collector of traces.
    pub collector: Option<SocketAddr>,
}

/// Parts of the scheduling that may be in use where the configuration asks for them.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SchedulingSettings {
    /// Changes of the work at engines are sent to the boxes of the zone at once.
    pub immediate_updates: bool,
    /// Estimates use the measured speed of engines.
    pub learned_speeds: bool,
    /// Some engines of a pool are reserved for short prompts.
    pub stream_engines: bool,
    /// Under overload requests are refused by their organisation's share, and if they can't end in time.
    pub fair_admission: bool,
    /// Boxes look for engines that stop sending.
    pub silent_engines: bool,
}

impl SchedulingSettings {
    fn from_loaded(loaded: &Loaded) -> Result<Self, Faults> {
        let is_auto = |key| Ok::<_, Faults>(loaded.get::<String>("scheduling", key)? == AUTO);
        Ok(Self {
            immediate_updates: is_auto("immediate-updates")?,
            learned_speeds: is_auto("learned-speeds")?,
            stream_engines: is_auto("stream-engines")?,
            fair_admission: is_auto("fair-admission")?,
            silent_engines: is_auto("silent-engines")?,
        })
    }
}

/// How many retries all boxes together may make to a pool.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryRules {
    /// As a fraction of the pool's requests.
    pub share: f64,
    /// Number of retries allowed beyond that per window.
    pub slack: f64,
    /// Length of the window.
    pub window: Duration,
}

/// How many requests per second all boxes together may send to a cold target, relative to the rate that its pool
/// names.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct WarmUpRules {
    /// As a multiple of that rate.
    pub overage: f64,
    /// Number of requests allowed beyond that in any second.
    pub slack: f64,
}

impl BoxConfig {
    /// Converts validated settings.
    pub fn from_loaded(loaded: &Loaded) -> Result<Self, Faults> {
        let collectors: Vec<SocketAddr> = loaded.list("telemetry", "collector")?;
        let time = |key, unit: f64| {
            let number: f64 = loaded.get("promises", key)?;
            Ok::<_, Faults>(bounds::seconds(number * unit))
        };
        let zones: Vec<ZoneRegion> = loaded.list("platform", "zones")?;
        let fleet: String = loaded.get("platform", "fleet")?;
        let history: f64 = loaded.get("platform", "history-s")?;
        let ip = loaded.get("box", "ip")?;
        let metrics_port: u16 = loaded.get("listen", "metrics-port")?;
        let metrics = (metrics_port != 0).then(|| SocketAddr::new(ip, metrics_port));
        Ok(Self {
            id: loaded.get("box", "id")?,
            zone: loaded.get("box", "zone")?,
            ip,
            callers: loaded.get("listen", "callers")?,
            ready: loaded.get("listen", "ready")?,
            peers: loaded.get("listen", "peers")?,
            gossip_port: loaded.get("listen", "gossip-port")?,
            metrics,
            platform: loaded.get("platform", "addr")?,
            fleet: Some(fleet).filter(|name| !name.is_empty()),
            zones: zones.into_iter().map(|z| (z.zone, z.region)).collect(),
            history: bounds::seconds(history),
            seeds: loaded.list("platform", "seeds")?,
            memory: loaded.get::<u64>("limits", "memory-mb")? << 20,
            descriptors: loaded.get("limits", "descriptors")?,
            link_mbps: loaded.get::<f64>("limits", "link-mbps")? as u32,
            grace: time("grace-s", 1.0)?,
            lease: time("lease-ms", 0.001)?,
            retries: RetryRules {
                share: loaded.get("promises", "retry-share")?,
                slack: loaded.get("promises", "retry-slack")?,
                window: time("retry-window-s", 1.0)?,
            },
            warm_up: WarmUpRules {
                overage: loaded.get("promises", "warm-up-overage")?,
                slack: loaded.get("promises", "warm-up-slack")?,
            },
            canary_share: loaded.get("promises", "canary-share")?,
            weights_limit: time("weights-ms", 0.001)?,
            reuse: time("reuse-s", 1.0)?,
            scheduling: SchedulingSettings::from_loaded(loaded)?,
            collector: collectors.first().copied(),
        })
    }
}
