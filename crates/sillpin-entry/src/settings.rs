//! Settings of the entry.

use sillpin_core::block::BlockKey;
use sillpin_core::{BoxId, ZoneId};
use sillpin_settings::{Faults, Key, Kind, Loaded, Schema, Section};
use sillpin_telemetry::program::{LOG_SECTION, TRACES_SECTION};
use std::net::SocketAddr;
use std::time::Duration;

/// Settings that the entry reads.
pub const SCHEMA: Schema = &[
    Section {
        name: "box",
        keys: &[
            Key::required("id", Kind::Name, "Name of this box"),
            Key::required("zone", Kind::Name, "Availability zone of this box"),
        ],
    },
    Section {
        name: "fleet",
        keys: &[Key::required(
            "secret",
            Kind::Text,
            "Secret from which the key of block names is derived; must be the same on all boxes",
        )
        .secret()],
    },
    Section {
        name: "entry",
        keys: &[
            Key::optional("listen", Kind::Addr, "127.0.0.1:0", "Listener for callers"),
            Key::optional(
                "http-listen",
                Kind::Addr,
                "127.0.0.1:0",
                "Listener for health and metrics",
            ),
            Key::required("keeper", Kind::Addr, "Address of the keeper of this box"),
            Key::optional(
                "threads",
                Kind::Number { min: 1, max: 256 },
                "1",
                "Threads that serve requests",
            ),
            Key::optional(
                "drain-lag-ms",
                Kind::Number {
                    min: 0,
                    max: 600_000,
                },
                "5000",
                "Time in ms for which a stopping entry still accepts requests, until the load balancer has reacted",
            ),
            Key::optional(
                "look-up-ms",
                Kind::Number { min: 0, max: 1_000 },
                "5",
                "Maximum wait in ms for the keeper's hints on where a prompt's blocks are cached",
            ),
        ],
    },
    Section {
        name: "limits",
        keys: &[
            Key::optional(
                "head-bytes",
                Kind::Number {
                    min: 8_192,
                    max: 1_048_576,
                },
                "16384",
                "Maximum length of a request head in bytes",
            ),
            Key::optional(
                "head-ms",
                Kind::Number {
                    min: 100,
                    max: 600_000,
                },
                "10000",
                "Time in ms within which a request head must arrive",
            ),
            Key::optional(
                "body-bytes",
                Kind::Number {
                    min: 1_024,
                    max: 67_108_864,
                },
                "8388608",
                "Maximum length of the body of a model request in bytes",
            ),
            Key::optional(
                "body-ms",
                Kind::Number {
                    min: 100,
                    max: 600_000,
                },
                "15000",
                "Time in ms within which a request body must arrive",
            ),
            Key::optional(
                "blocks",
                Kind::Number {
                    min: 1,
                    max: 100_000,
                },
                "2000",
                "Maximum number of blocks in a prompt",
            ),
            Key::optional(
                "max-tokens",
                Kind::Number {
                    min: 1,
                    max: 1_000_000,
                },
                "8192",
                "Maximum number of tokens generated for a request",
            ),
            Key::optional(
                "waiting",
                Kind::Number {
                    min: 1,
                    max: 1_000_000,
                },
                "2000",
                "Maximum number of requests waiting for an engine in this entry",
            ),
            Key::optional(
                "attempt-ms",
                Kind::Number {
                    min: 100,
                    max: 600_000,
                },
                "2000",
                "Time in ms within which a target must accept a request",
            ),
            Key::optional(
                "silence-ms",
                Kind::Number {
                    min: 100,
                    max: 600_000,
                },
                "30000",
                "Maximum wait in ms for the next token of a response, or for the head of a service's response",
            ),
            Key::optional(
                "once-body-bytes",
                Kind::Number {
                    min: 1_024,
                    max: 16_777_216,
                },
                "1048576",
                "Maximum length in bytes of the body of a call that runs at most once",
            ),
        ],
    },
    TRACES_SECTION,
    LOG_SECTION,
];

/// Limits on requests, and timeouts of callers and targets.
#[derive(Debug, Clone, Copy)]
pub struct Limits {
    /// Maximum length of a request head, in bytes.
    pub head_len: usize,
    /// Time within which a request head must arrive.
    pub head_timeout: Duration,
    /// Maximum length of the body of a model request, in bytes.
    pub body_len: usize,
    /// Time within which a request body must arrive.
    pub body_timeout: Duration,
    /// Maximum number of blocks in a prompt.
    pub max_blocks: u64,
    /// Maximum number of tokens generated for a request.
    pub max_tokens: u32,
    /// Maximum number of requests waiting for an engine.
    pub max_waiting: usize,
    /// Time within which a target must accept a request.
    pub accept_timeout: Duration,
    /// Maximum wait for the next token of a response, or for the head of a service's response.
    pub idle_timeout: Duration,
    /// Maximum length of the body of a call that runs at most once, in bytes.
    pub at_most_once_body_len: usize,
}

/// The entry's settings.
#[derive(Clone)]
pub struct EntryConfig {
    /// Name of this box.
    pub box_id: BoxId,
    /// Its availability zone.
    pub zone: ZoneId,
    /// Key of the hashes that name blocks.
    pub block_key: BlockKey,
    /// Address of the listener for callers.
    pub listen: SocketAddr,
    /// Address of the listener for health and metrics.
    pub http_listen: SocketAddr,
    /// Address of the keeper of this box.
    pub keeper: SocketAddr,
    /// Time for which a stopping entry still accepts requests.
    pub drain_lag: Duration,
    /// Maximum wait for hints.
    pub lookup_timeout: Duration,
    /// Limits and timeouts.
    pub limits: Limits,
    /// Address of the trace collector.
    pub collector: Option<SocketAddr>,
}

impl EntryConfig {
    /// Reads the configuration from checked settings.
    pub fn from_loaded(loaded: &Loaded) -> Result<Self, Faults> {
        let secret: String = loaded.get("fleet", "secret")?;
        let collectors: Vec<SocketAddr> = loaded.list("telemetry", "collector")?;
        Ok(Self {
            box_id: loaded.get("box", "id")?,
            zone: loaded.get("box", "zone")?,
            block_key: BlockKey::derive(&secret),
            listen: loaded.get("entry", "listen")?,
            http_listen: loaded.get("entry", "http-listen")?,
            keeper: loaded.get("entry", "keeper")?,
            drain_lag: millis(loaded, "entry", "drain-lag-ms")?,
            lookup_timeout: millis(loaded, "entry", "look-up-ms")?,
            limits: limits(loaded)?,
            collector: collectors.first().copied(),
        })
    }
}

fn millis(loaded: &Loaded, section: &str, key: &str) -> Result<Duration, Faults> {
    loaded.get(section, key).map(Duration::from_millis)
}

fn limits(loaded: &Loaded) -> Result<Limits, Faults> {
    Ok(Limits {
        head_len: loaded.get("limits", "head-bytes")?,
        head_timeout: millis(loaded, "limits", "head-ms")?,
        body_len: loaded.get("limits", "body-bytes")?,
        body_timeout: millis(loaded, "limits", "body-ms")?,
        max_blocks: loaded.get("limits", "blocks")?,
        max_tokens: loaded.get("limits", "max-tokens")?,
        max_waiting: loaded.get("limits", "waiting")?,
        accept_timeout: millis(loaded, "limits", "attempt-ms")?,
        idle_timeout: millis(loaded, "limits", "silence-ms")?,
        at_most_once_body_len: loaded.get("limits", "once-body-bytes")?,
    })
}
