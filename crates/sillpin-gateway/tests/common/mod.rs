//! Helpers of several tests: names, entries, and in [`memory_store`] a platform store.

#![allow(dead_code)]

pub mod crashes;
pub mod engines;
pub mod gossip;
pub mod memory_store;
pub mod stream_model;

use sillpin_core::{ModelId, PoolId, TargetId, WeightVersion, ZoneId};
use sillpin_gateway::config::{ConfigVersion, FleetConfig, StoreSpec};
use sillpin_gateway::control::{
    DecodeError, Life, Presence, PublishedFormat, ReleaseOrder, ReleasePhase, ReleaseStatus,
    Served, TargetEntry, WantedWeights,
};
use sillpin_gateway::placement::residency::{Residency, ZoneRegions};
use sillpin_platform::{KvEntry, KvRevision};
use std::sync::LazyLock;
use std::time::Duration;

/// Parses a name of any type.
pub fn name<T: std::str::FromStr>(text: &str) -> T {
    match text.parse() {
        Ok(name) => name,
        Err(_) => panic!("{text} is a name"),
    }
}

/// A ready engine that serves version 1 of model `m`.
pub fn engine(id: &str, zone: &str) -> TargetEntry {
    TargetEntry {
        id: name(id),
        life: None,
        pool: name("llm"),
        addr: ([127, 0, 0, 1], 9).into(),
        zone: name(zone),
        slots: 64,
        presence: Presence::Ready,
        served: vec![Served {
            model: name("m"),
            version: WeightVersion(1),
        }],
        cold: Duration::ZERO,
        software: None,
    }
}

/// A residency without region limits.
pub fn anywhere<'a>() -> Residency<'a> {
    static REGIONS: LazyLock<ZoneRegions> = LazyLock::new(ZoneRegions::default);
    Residency {
        route: &[],
        organisation: &[],
        regions: &REGIONS,
    }
}

/// A managed cache store.
pub fn store(id: &str, port: u16, zone: &str, capacity: u64, first_ms: u64) -> StoreSpec {
    StoreSpec {
        id: name(id),
        addr: ([127, 0, 0, 1], port).into(),
        zone: name::<ZoneId>(zone),
        capacity: sillpin_core::Tokens(capacity),
        link_bytes_per_ms: 3_600_000.0,
        first: Duration::from_millis(first_ms),
        max_readers: 12,
        managed: true,
    }
}

/// Format of published values in tests: `STATE VERSION` for a target, followed by its incarnation and the version of its
/// software if it has them; a
/// number for the version of a configuration or of weights. A configuration names one cache store, or as many as a
/// second number states.
#[derive(Debug, Clone, Copy)]
pub struct TestKeys;

impl PublishedFormat for TestKeys {
    fn target_prefix(&self) -> &'static str {
        "target/"
    }

    fn operator_prefix(&self) -> &'static str {
        "ops/"
    }

    fn is_config(&self, key: &str) -> bool {
        key == "ops/config"
    }

    fn is_weights(&self, key: &str) -> bool {
        key.starts_with("ops/weights/")
    }

    fn evacuation(&self, key: &str) -> Option<Result<ZoneId, DecodeError>> {
        let zone = key.strip_prefix("ops/evacuate/")?;
        Some(zone.parse().map_err(|_| DecodeError {
            key: key.to_owned(),
            what: "invalid zone".to_owned(),
        }))
    }

    fn target(&self, key: &str, value: &str) -> Result<TargetEntry, DecodeError> {
        let error = || DecodeError {
            key: key.to_owned(),
            what: "invalid value".to_owned(),
        };
        let mut fields = value.split(' ');
        let (state, version) = (fields.next(), fields.next());
        let (state, version) = state.zip(version).ok_or_else(error)?;
        let id = key.strip_prefix("target/").ok_or_else(error)?;
        let mut entry = engine(id, "za");
        if state != "ready" {
            entry.presence = Presence::Leaving;
        }
        entry.served[0].version = version.parse().map_err(|_| error())?;
        let life = fields.next().map(str::parse).transpose();
        entry.life = life.map_err(|_| error())?.map(Life);
        entry.software = fields.next().map(|software| software.to_owned().into());
        Ok(entry)
    }

    fn config(&self, key: &str, value: &str) -> Result<FleetConfig, DecodeError> {
        let (version, stores) = value.split_once(' ').unwrap_or((value, "1"));
        let version: u64 = version.parse().map_err(|_| DecodeError {
            key: key.to_owned(),
            what: "invalid value".to_owned(),
        })?;
        Ok(FleetConfig {
            version: ConfigVersion(version),
            stores: (0..name::<u16>(stores))
                .map(|index| store(&format!("s-{index}"), 7 + index, "za", 1_000, 1))
                .collect(),
            ..FleetConfig::default()
        })
    }

    fn weights(&self, key: &str, value: &str) -> Result<WantedWeights, DecodeError> {
        let model = key.strip_prefix("ops/weights/").unwrap_or(key);
        Ok(WantedWeights {
            model: name::<ModelId>(model),
            version: name(value),
        })
    }

    fn release_pool(&self, key: &str) -> Option<Result<PoolId, DecodeError>> {
        key.strip_prefix("ops/release/").map(|pool| Ok(name(pool)))
    }

    fn release(&self, key: &str, value: &str) -> Result<ReleaseOrder, DecodeError> {
        let (version, seconds) = value.split_once(' ').ok_or_else(|| DecodeError {
            key: key.to_owned(),
            what: "invalid value".to_owned(),
        })?;
        Ok(ReleaseOrder {
            pool: name(key.strip_prefix("ops/release/").unwrap_or(key)),
            version: name(version),
            duration: Duration::from_secs(name(seconds)),
        })
    }

    fn release_status_key(&self, pool: &PoolId) -> String {
        format!("release-status/{pool}")
    }

    fn release_status(&self, key: &str, value: &str) -> Result<ReleaseStatus, DecodeError> {
        let phases = [
            ReleasePhase::Running,
            ReleasePhase::RolledBack,
            ReleasePhase::Succeeded,
        ];
        let (version, text) = value.split_once(' ').unwrap_or_default();
        let phase = phases.into_iter().find(|phase| phase.to_string() == text);
        let phase = phase.ok_or_else(|| DecodeError {
            key: key.to_owned(),
            what: "invalid phase".to_owned(),
        })?;
        Ok(ReleaseStatus {
            version: name(version),
            phase,
        })
    }

    fn encode_release_status(&self, status: &ReleaseStatus) -> String {
        format!("{} {}", status.version, status.phase)
    }
}

/// An entry of the platform store.
pub fn entry(key: &str, value: &str, revision: u64) -> KvEntry {
    KvEntry {
        key: key.to_owned(),
        value: Some(value.to_owned()),
        revision: KvRevision(revision),
    }
}

/// The id of a target.
pub fn target(id: &str) -> TargetId {
    name(id)
}
