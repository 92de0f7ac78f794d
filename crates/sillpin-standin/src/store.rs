//! A store for KV cache blocks: objects are written, sealed, read and freed, with a limited capacity and link rate.

use crate::query::param;
use crate::{Response, ok, status};
use bytes::Bytes;
use hyper::{Method, Request, StatusCode};
use serde::{Deserialize, Serialize};
use sillpin_core::{LoadReport, Presence, Share, Tokens};
use sillpin_http::IncomingBody;
use sillpin_http::body::read_json;
use sillpin_http::{Body, read_limited};
use sillpin_targets::store::{Seal, SealedObject};
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;
use tokio::time::Instant;

/// Maximum length of an object, in bytes.
const MAX_OBJECT_LEN: usize = 16 << 20;

/// Size and speed of a store.
#[derive(Debug, Clone, Copy)]
pub struct StoreShape {
    /// Size of the memory tier, in bytes; the least recently used objects beyond it are on disk.
    pub memory: usize,
    /// Size of both tiers together, in bytes; a write that would exceed it is refused.
    pub capacity: usize,
    /// Rate of the link in bytes per second, for both directions together.
    pub link_rate: u64,
    /// Additional duration of a read from disk.
    pub disk_delay: Duration,
}

/// Faults set at run time.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct StoreFaults {
    /// Flip one bit of every object read.
    pub flip_bit: bool,
    /// Truncate every object read to half its length.
    pub truncate: bool,
    /// Serve objects that are not sealed, or that were freed.
    pub careless: bool,
}

/// Counters of the store.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoreCounters {
    /// Number of objects in the store.
    pub objects: u64,
    /// Bytes of all objects in the store.
    pub held: u64,
    /// Bytes received and sent over the link.
    pub link_bytes: u64,
}

struct Object {
    data: Bytes,
    seal: Option<Seal>,
    last_use: u64,
}

#[derive(Default)]
struct State {
    objects: BTreeMap<String, Object>,
    freed: BTreeMap<String, Bytes>,
    faults: StoreFaults,
    counters: StoreCounters,
    clock: u64,
    link_free_at: Option<Instant>,
    reports: u64,
}

/// The stand-in. Clones share their state.
#[derive(Clone)]
pub struct StoreStandin {
    shape: StoreShape,
    state: Arc<Mutex<State>>,
}

impl StoreStandin {
    /// Creates an empty store.
    pub fn new(shape: StoreShape) -> Self {
        Self {
            shape,
            state: Arc::default(),
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// Handles one HTTP request.
    pub async fn handle(self, req: Request<IncomingBody>) -> Response {
        let path = req.uri().path().to_owned();
        match path.as_str() {
            "/admin/faults" => match read_json(req.into_body(), 4096).await {
                Ok(faults) => {
                    self.lock().faults = faults;
                    status(StatusCode::OK)
                }
                Err(_) => status(StatusCode::BAD_REQUEST),
            },
            "/admin/counters" => ok(&self.lock().counters),
            "/v1/load" => ok(&self.load()),
            "/v1/objects" => ok(&self.list(req.uri().query())),
            _ => self.object(&path, req).await,
        }
    }

    async fn object(&self, path: &str, req: Request<IncomingBody>) -> Response {
        let Some(name) = path.strip_prefix("/v1/objects/") else {
            return status(StatusCode::NOT_FOUND);
        };
        match (req.method().clone(), name.strip_suffix("/seal")) {
            (Method::POST, Some(name)) => self.seal(name, req).await,
            (Method::PUT, None) => self.write(name, req).await,
            (Method::GET, None) => self.read(name).await,
            (Method::DELETE, None) => self.free(name),
            _ => status(StatusCode::METHOD_NOT_ALLOWED),
        }
    }

    fn load(&self) -> LoadReport {
        let mut state = self.lock();
        state.reports += 1;
        let used = state.counters.held as f64 / self.shape.capacity.max(1) as f64;
        let units = (used * f64::from(Share::WHOLE_UNITS)) as u16;
        LoadReport {
            sequence: state.reports,
            presence: Presence::Live,
            running: 0,
            slots: 0,
            waiting: 0,
            waiting_tokens: Tokens(0),
            version: None,
            block_micros: 0,
            cache_blocks: 0,
            fill: Share::try_from(units).unwrap_or(Share::WHOLE),
        }
    }

    fn list(&self, query: Option<&str>) -> Vec<SealedObject> {
        let after: String = param(query, "after").unwrap_or_default();
        let limit = param(query, "limit").unwrap_or(usize::MAX);
        let state = self.lock();
        let following = state.objects.iter().filter(|(name, _)| **name > after);
        following.filter_map(sealed_object).take(limit).collect()
    }

    async fn write(&self, name: &str, req: Request<IncomingBody>) -> Response {
        let Ok(data) = read_limited(req.into_body(), MAX_OBJECT_LEN).await else {
            return status(StatusCode::BAD_REQUEST);
        };
        self.use_link(data.len()).await;
        let mut state = self.lock();
        if state.counters.held as usize + data.len() > self.shape.capacity {
            return status(StatusCode::INSUFFICIENT_STORAGE);
        }
        if state.objects.contains_key(name) || state.freed.contains_key(name) {
            return status(StatusCode::CONFLICT);
        }
        state.counters.held += data.len() as u64;
        state.counters.objects += 1;
        state.clock += 1;
        let last_use = state.clock;
        let object = Object {
            data,
            seal: None,
            last_use,
        };
        state.objects.insert(name.to_owned(), object);
        status(StatusCode::OK)
    }

    async fn seal(&self, name: &str, req: Request<IncomingBody>) -> Response {
        let Ok(seal) = read_json::<Seal, _>(req.into_body(), 4096).await else {
            return status(StatusCode::BAD_REQUEST);
        };
        let mut state = self.lock();
        let Some(object) = state.objects.get_mut(name) else {
            return status(StatusCode::NOT_FOUND);
        };
        let checksum = blake3::hash(&object.data).to_hex();
        if seal.len.0 != object.data.len() as u64 || seal.checksum != checksum.as_str() {
            return status(StatusCode::CONFLICT);
        }
        object.seal = Some(seal);
        status(StatusCode::OK)
    }

    async fn read(&self, name: &str) -> Response {
        let Some((data, faults, on_disk)) = self.find(name) else {
            return status(StatusCode::NOT_FOUND);
        };
        if on_disk {
            tokio::time::sleep(self.shape.disk_delay).await;
        }
        self.use_link(data.len()).await;
        hyper::Response::new(Body::full(corrupt(data, &faults)))
    }

    fn find(&self, name: &str) -> Option<(Bytes, StoreFaults, bool)> {
        let mut state = self.lock();
        let faults = state.faults.clone();
        let Some(object) = state.objects.get(name) else {
            let freed = state.freed.get(name).cloned();
            return freed
                .filter(|_| faults.careless)
                .map(|data| (data, faults, false));
        };
        if object.seal.is_none() && !faults.careless {
            return None;
        }
        let data = object.data.clone();
        let on_disk = self.is_on_disk(&state, object.last_use);
        state.clock += 1;
        let now = state.clock;
        if let Some(object) = state.objects.get_mut(name) {
            object.last_use = now;
        }
        Some((data, faults, on_disk))
    }

    /// The most recently used objects that fit are in the memory tier, all others on disk.
    fn is_on_disk(&self, state: &State, last_use: u64) -> bool {
        let newer = state.objects.values().filter(|o| o.last_use > last_use);
        let newer_len: usize = newer.map(|o| o.data.len()).sum();
        newer_len > self.shape.memory
    }

    fn free(&self, name: &str) -> Response {
        let mut state = self.lock();
        let Some(object) = state.objects.remove(name) else {
            return status(StatusCode::NOT_FOUND);
        };
        state.counters.held -= object.data.len() as u64;
        state.counters.objects -= 1;
        state.freed.insert(name.to_owned(), object.data);
        status(StatusCode::OK)
    }

    /// Waits until the link has transferred `len` bytes after all earlier transfers.
    async fn use_link(&self, len: usize) {
        let done = {
            let mut state = self.lock();
            state.counters.link_bytes += len as u64;
            let now = Instant::now();
            let start = state.link_free_at.filter(|free| *free > now).unwrap_or(now);
            let time = Duration::from_secs_f64(len as f64 / self.shape.link_rate as f64);
            *state.link_free_at.insert(start + time)
        };
        tokio::time::sleep_until(done).await;
    }
}

fn sealed_object((name, object): (&String, &Object)) -> Option<SealedObject> {
    let (block, generation) = name.split_once('.')?;
    Some(SealedObject {
        block: block.parse().ok()?,
        generation: generation.parse().ok()?,
        seal: object.seal.clone()?,
    })
}

fn corrupt(data: Bytes, faults: &StoreFaults) -> Bytes {
    let mut data = data.to_vec();
    if faults.truncate {
        data.truncate(data.len() / 2);
    }
    if let Some(byte) = data.first_mut().filter(|_| faults.flip_bit) {
        *byte ^= 1;
    }
    data.into()
}
