//! The targets of a fleet; each is a stand-in process.

use crate::fleet::{ENGINE_POOL, MODEL, SERVICE_POOL};
use crate::process::Process;
use crate::shape::FleetShape;
use sillpin_core::target::{Presence, TargetEntry, TargetKind};
use sillpin_core::{BytesPerSec, TargetId};
use std::collections::BTreeMap;
use std::path::Path;

/// A target's process, with its fault proxy if the fleet uses proxies.
pub struct TargetProcess {
    /// The target's entry in the box list.
    pub entry: TargetEntry,
    /// Process of the stand-in.
    pub process: Process,
    /// Fault proxy in front of the stand-in.
    pub proxy: Option<Process>,
}

/// Starts all targets of a fleet, with their logs in `dir`; `standin` is the path of the program.
pub fn start_targets(
    shape: &FleetShape,
    dir: &Path,
    standin: &Path,
) -> BTreeMap<TargetId, TargetProcess> {
    let mut targets = BTreeMap::new();
    let mut add = |kind: TargetKind, name: String, zone: &str, args: &[String]| {
        let target = start_target(shape, dir, standin, kind, &name, zone, args);
        targets.insert(target.entry.id.clone(), target);
    };
    let zone_of = |number: usize| shape.zones[number % shape.zones.len()];
    for zone in &shape.zones {
        for number in 0..shape.engines {
            add(
                TargetKind::Engine,
                format!("engine-{zone}-{number}"),
                zone,
                &shape.engine_args,
            );
        }
    }
    for number in 0..shape.services {
        add(
            TargetKind::Service,
            format!("service-{number}"),
            zone_of(number),
            &[],
        );
    }
    for number in 0..shape.stores {
        add(
            TargetKind::Store,
            format!("store-{number}"),
            zone_of(number),
            &shape.store_args,
        );
    }
    add(TargetKind::Weights, "weights-0".to_owned(), zone_of(0), &[]);
    targets
}

fn start_target(
    shape: &FleetShape,
    dir: &Path,
    standin: &Path,
    kind: TargetKind,
    name: &str,
    zone: &str,
    args: &[String],
) -> TargetProcess {
    let kind_name = kind.to_string();
    let mut all = vec![kind_name.clone()];
    all.extend_from_slice(args);
    let process = Process::start(dir, name, standin, &all, &[&kind_name]);
    let addr = process.addr(&kind_name);
    let proxy = shape.proxies.then(|| {
        let args = ["fault".to_owned(), "--target".to_owned(), addr.to_string()];
        Process::start(
            dir,
            &format!("proxy-{name}"),
            standin,
            args,
            &["proxy", "fault"],
        )
    });
    let pool = match kind {
        TargetKind::Engine => ENGINE_POOL,
        TargetKind::Service => SERVICE_POOL,
        TargetKind::Store => "prompt-vault",
        TargetKind::Weights => "weights",
    };
    let entry = TargetEntry {
        id: name.parse().expect("target names are valid"),
        kind,
        pool: pool.parse().expect("pool names are valid"),
        zone: zone.parse().expect("zone names are valid"),
        addr: proxy.as_ref().map_or(addr, |proxy| proxy.addr("proxy")),
        presence: Presence::Live,
        model: (kind == TargetKind::Engine).then(|| MODEL.parse().expect("valid")),
        link_rate: (kind == TargetKind::Store).then_some(BytesPerSec(shape.link_rate)),
    };
    TargetProcess {
        entry,
        process,
        proxy,
    }
}
