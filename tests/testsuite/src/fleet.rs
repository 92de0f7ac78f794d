//! A fleet of processes: the platform's stand-in, targets, and entry boxes with their keepers.

use crate::process::{Process, program};
use crate::shape::FleetShape;
use crate::targets::{TargetProcess, start_targets};
use crate::wait::until;
use hyper::Method;
use serde::Serialize;
use serde::de::DeserializeOwned;
use sillpin_bundle::{Accepted, Bundle, SignerKey};
use sillpin_cli::ops;
use sillpin_core::target::{BoxEntry, BoxList, Presence, TargetKind};
use sillpin_core::{Revision, TargetId, ZoneId};
use sillpin_http::Client;
use sillpin_http::client::Call;
use sillpin_load::caller::{self, CallResult, CompletionRequest};
use sillpin_platform::HttpPlatform;
use sillpin_rpc::gossip::Organisation;
use sillpin_rpc::peer_link::FleetStatus;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;
use tempfile::TempDir;

/// Model that the fleet's engines serve.
pub const MODEL: &str = "mfano";

/// Pool of the engines.
pub const ENGINE_POOL: &str = "mfano-llm";

/// Pool of the plain services.
pub const SERVICE_POOL: &str = "safari-app";

/// Value of the entries' `fleet.secret` setting.
const SECRET: &str = "fleet-secret-of-tests";

/// Time limit of a call to a stand-in's control interface.
const ADMIN_TIMEOUT: Duration = Duration::from_secs(5);

/// An entry box: a keeper process and an entry process.
pub struct EntryBox {
    /// Name of the box.
    pub id: String,
    /// Availability zone of the box.
    pub zone: ZoneId,
    /// Process of the keeper.
    pub keeper: Process,
    /// Process of the entry.
    pub entry: Process,
}

impl EntryBox {
    /// Returns the address where the entry accepts callers.
    pub fn callers(&self) -> SocketAddr {
        self.entry.addr("callers")
    }

    /// Returns the address where the keeper accepts peers and operators.
    pub fn peer(&self) -> SocketAddr {
        self.keeper.addr("peer")
    }
}

/// A fleet of processes. All are killed on drop.
pub struct Fleet {
    /// Size and settings of the fleet.
    pub shape: FleetShape,
    /// Process of the platform's stand-in.
    pub platform: Process,
    /// Targets by id.
    pub targets: BTreeMap<TargetId, TargetProcess>,
    /// Entry boxes.
    pub boxes: Vec<EntryBox>,
    /// HTTP client of the tests.
    pub client: Client,
    pub(crate) key: SignerKey,
    dir: TempDir,
}

impl Fleet {
    /// Starts a fleet with a default bundle and waits until each entry serves a request.
    pub async fn start(shape: FleetShape) -> Self {
        let fleet = Self::start_without_bundle(shape).await;
        fleet.accept(&fleet.bundle("first")).await;
        for entry_box in &fleet.boxes {
            fleet.wait_ready(entry_box).await;
        }
        fleet
    }

    /// Starts a fleet without an accepted bundle; its entries refuse requests.
    pub async fn start_without_bundle(shape: FleetShape) -> Self {
        let dir = tempfile::tempdir().expect("a temporary directory can be made");
        let standin = program("sillpin-standin");
        let platform = Process::start(
            dir.path(),
            "platform",
            &standin,
            ["platform"],
            &["platform"],
        );
        let targets = start_targets(&shape, dir.path(), &standin);
        let mut fleet = Self {
            shape,
            platform,
            targets,
            boxes: Vec::new(),
            client: Client::default(),
            key: SignerKey::generate(),
            dir,
        };
        fleet.write_organisations().await;
        fleet.publish().await;
        for zone in fleet.shape.zones.clone() {
            for number in 0..fleet.shape.boxes {
                fleet.start_box(&format!("{zone}-{number}"), zone);
            }
        }
        fleet.publish().await;
        fleet
    }

    /// Starts an entry box without adding it to the published box list.
    pub fn start_box(&mut self, id: &str, zone: &str) {
        let keeper = self.start_keeper(id, zone, "127.0.0.1:0");
        let entry = self.start_entry(id, zone, keeper.addr("entry"), "127.0.0.1:0");
        self.boxes.push(EntryBox {
            id: id.to_owned(),
            zone: zone.parse().expect("zone names are valid"),
            keeper,
            entry,
        });
    }

    /// Starts a keeper that listens for peers at `peer`, and for its entry at any free port.
    pub fn start_keeper(&self, id: &str, zone: &str, peer: &str) -> Process {
        self.start_keeper_at(id, zone, peer, "127.0.0.1:0")
    }

    /// Starts a keeper that listens for peers at `peer` and for its entry at `entry`.
    pub fn start_keeper_at(&self, id: &str, zone: &str, peer: &str, entry: &str) -> Process {
        let seeds: Vec<String> = self.boxes.iter().map(|b| b.peer().to_string()).collect();
        let text = format!(
            "[box]\nid = {id}\nzone = {zone}\n[platform]\naddr = {}\n[keeper]\nsigners = {}\nseeds = {}\n",
            self.platform.addr("platform"),
            self.key.public(),
            seeds.join(","),
        );
        let peer = format!("keeper.peer-listen={peer}");
        let entry = format!("keeper.entry-listen={entry}");
        let mut settings = self.shape.keeper_settings.clone();
        settings.extend([peer.as_str(), entry.as_str()]);
        let name = format!("keeper-{id}");
        let listeners = ["entry", "peer", "http"];
        self.start_program("sillpin-keeper", &name, &text, &settings, &listeners)
    }

    /// Starts an entry that listens for callers at `listen`.
    pub fn start_entry(&self, id: &str, zone: &str, keeper: SocketAddr, listen: &str) -> Process {
        let text = format!(
            "[box]\nid = {id}\nzone = {zone}\n[fleet]\nsecret = {SECRET}\n[entry]\nkeeper = {keeper}\n"
        );
        let listen = format!("entry.listen={listen}");
        let mut settings = self.shape.entry_settings.clone();
        settings.push(&listen);
        let name = format!("entry-{id}");
        self.start_program(
            "sillpin-entry",
            &name,
            &text,
            &settings,
            &["callers", "http"],
        )
    }

    fn start_program(
        &self,
        bin: &str,
        name: &str,
        text: &str,
        settings: &[&str],
        listeners: &[&str],
    ) -> Process {
        let file = self.dir.path().join(format!("{name}.ini"));
        std::fs::write(&file, text).expect("the test directory is writable");
        let mut args = vec!["--config".to_owned(), file.display().to_string()];
        for setting in settings {
            args.extend(["--set".to_owned(), (*setting).to_owned()]);
        }
        Process::start(self.dir.path(), name, &program(bin), &args, listeners)
    }

    /// Returns the directory of the processes' logs and settings.
    pub fn dir(&self) -> &Path {
        self.dir.path()
    }

    /// Writes a file to the fleet's directory and returns its path.
    pub fn write(&self, name: &str, text: &str) -> PathBuf {
        let path = self.dir.path().join(name);
        std::fs::write(&path, text).expect("the test directory is writable");
        path
    }

    /// Returns a client of the platform's stand-in.
    pub fn platform_client(&self) -> HttpPlatform {
        HttpPlatform::new(self.client.clone(), self.platform.addr("platform"))
    }

    /// Returns the box list of all boxes and targets of the fleet, all with the presence `Live`.
    pub fn box_list(&self) -> BoxList {
        let boxes = self.boxes.iter().map(|b| BoxEntry {
            id: b.id.parse().expect("box names are valid"),
            zone: b.zone.clone(),
            peer_addr: b.peer(),
            presence: Presence::Live,
        });
        BoxList {
            boxes: boxes.collect(),
            targets: self.targets.values().map(|t| t.entry.clone()).collect(),
        }
    }

    /// Publishes the current box list at the platform.
    pub async fn publish(&self) {
        self.publish_list(&self.box_list()).await;
    }

    /// Publishes `list` as the box list at the platform.
    pub async fn publish_list(&self, list: &BoxList) {
        let platform = self.platform.addr("platform");
        let _: Option<()> = self.admin(platform, "/admin/boxes", Some(list)).await;
    }

    async fn write_organisations(&self) {
        let orgs = self.shape.organisations.iter().map(|name| Organisation {
            id: name.parse().expect("organisation names are valid"),
            key_hashes: vec![ops::organisation::hash_key(&api_key(name))],
        });
        let orgs: Vec<Organisation> = orgs.collect();
        for org in orgs {
            let hash = org.key_hashes[0].clone();
            ops::organisation::add_key(&self.platform_client(), org.id, hash)
                .await
                .expect("the platform is up");
        }
    }

    /// Calls a stand-in's control interface; returns `None` if the call fails.
    pub async fn admin<T: Serialize, R: DeserializeOwned>(
        &self,
        peer: SocketAddr,
        path: &str,
        doc: Option<&T>,
    ) -> Option<R> {
        let call = Call {
            step: "administer a stand-in",
            peer,
            method: Method::POST,
            path,
            timeout: ADMIN_TIMEOUT,
        };
        self.client.call_json(call, doc).await.ok()
    }

    /// Sets the faults that the platform's stand-in simulates.
    pub async fn platform_faults(&self, faults: &sillpin_standin::platform::Faults) {
        let platform = self.platform.addr("platform");
        let _: Option<()> = self.admin(platform, "/admin/faults", Some(faults)).await;
    }

    /// Sets the faults that a target's stand-in simulates.
    pub async fn target_faults<T: Serialize>(&self, target: &str, faults: &T) {
        let process = &self.target(target).process;
        let kind = self.target(target).entry.kind.to_string();
        let _: Option<()> = self
            .admin(process.addr(&kind), "/admin/faults", Some(faults))
            .await;
    }

    /// Sets the faults of the proxy in front of a target.
    pub async fn proxy_faults(&self, target: &str, faults: &sillpin_standin::fault::Faults) {
        let proxy = self
            .target(target)
            .proxy
            .as_ref()
            .expect("the target has a proxy");
        let _: Option<()> = self.admin(proxy.addr("fault"), "/", Some(faults)).await;
    }

    /// Returns the target with this id.
    pub fn target(&self, name: &str) -> &TargetProcess {
        let id: TargetId = name.parse().expect("target names are valid");
        &self.targets[&id]
    }

    /// Returns the executions that a plain service counted, by idempotency key.
    pub async fn executions(&self, service: &str) -> BTreeMap<String, u32> {
        let addr = self.target(service).process.addr("service");
        let counted = self.admin(addr, "/admin/executions", None::<&()>).await;
        counted.unwrap_or_default()
    }

    /// Returns the executions that all plain services counted, by idempotency key.
    pub async fn all_executions(&self) -> BTreeMap<String, u32> {
        let mut all = BTreeMap::new();
        for target in self
            .targets
            .values()
            .filter(|t| t.entry.kind == TargetKind::Service)
        {
            for (key, count) in self.executions(target.entry.id.as_str()).await {
                *all.entry(key).or_default() += count;
            }
        }
        all
    }

    /// Signs a bundle and accepts it as the next revision.
    pub async fn accept(&self, bundle: &Bundle) -> Accepted {
        let signed = self.sign(bundle);
        ops::bundle::accept(&self.platform_client(), signed, "tests", None)
            .await
            .expect("no other operator accepts bundles")
    }

    /// Returns the fleet's status as a box's keeper sees it; `None` if the keeper does not respond.
    pub async fn status(&self, entry_box: &EntryBox) -> Option<FleetStatus> {
        ops::fleet::status(entry_box.peer()).await.ok()
    }

    /// Waits until `revision` is in force on a box.
    pub async fn wait_revision(&self, entry_box: &EntryBox, revision: Revision) {
        until("the revision to be in force", || async {
            let status = self.status(entry_box).await?;
            (status.revision >= revision).then_some(())
        })
        .await;
    }

    /// Waits until a box serves a request.
    pub async fn wait_ready(&self, entry_box: &EntryBox) {
        until("the entry to serve a request", || async {
            let got = self.ask(entry_box, "readiness check").await;
            got.is_answered().then_some(())
        })
        .await;
    }

    /// Sends a short request to a box and returns its result.
    pub async fn ask(&self, entry_box: &EntryBox, prompt: &str) -> CallResult {
        let key = api_key(self.shape.organisations[0]);
        let request = CompletionRequest::new(&key, MODEL, prompt, 4);
        caller::call(&self.client, entry_box.callers(), &request).await
    }
}

/// Returns the API key of an organisation of the fleet.
pub fn api_key(organisation: &str) -> String {
    format!("key-{organisation}")
}
