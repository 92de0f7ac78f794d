//! An in-memory platform whose calls fail according to a script, on the paused clock.

use sillpin_core::target::BoxList;
use sillpin_platform::{
    BoxLister, KvEntry, KvRevision, LeaseId, Platform, PlatformError, PlatformFault, WatchReply,
};
use std::collections::{BTreeMap, VecDeque};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

/// Behaviour of one call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallBehaviour {
    /// Succeeds.
    Normal,
    /// Is refused and has no effect.
    Refused,
    /// Takes effect, but its response is lost.
    ResponseLost,
    /// Its response is lost, and it takes effect this many milliseconds later.
    Late(u64),
    /// Takes effect after this many milliseconds.
    Slow(u64),
}

#[derive(Default)]
struct Kv {
    values: BTreeMap<String, (String, KvRevision)>,
    revision: KvRevision,
}

impl Kv {
    fn put(
        &mut self,
        key: &str,
        value: &str,
        expect: KvRevision,
    ) -> Result<KvRevision, PlatformFault> {
        let current = self
            .values
            .get(key)
            .map_or(KvRevision::ABSENT, |(_, revision)| *revision);
        if current != expect {
            return Err(PlatformFault::Conflict);
        }
        self.revision.0 += 1;
        self.values
            .insert(key.to_owned(), (value.to_owned(), self.revision));
        Ok(self.revision)
    }
}

/// The platform as one keeper sees it: clones share the keys and the script.
#[derive(Clone)]
pub struct ScriptedPlatform {
    kv: Arc<Mutex<Kv>>,
    script: Arc<Mutex<VecDeque<CallBehaviour>>>,
}

impl ScriptedPlatform {
    /// Creates an empty platform whose calls all succeed.
    pub fn new() -> Self {
        Self {
            kv: Arc::default(),
            script: Arc::default(),
        }
    }

    /// Returns a platform with the same keys whose calls follow `script` and succeed after its end.
    pub fn with_script(&self, script: Vec<CallBehaviour>) -> Self {
        Self {
            kv: self.kv.clone(),
            script: Arc::new(Mutex::new(script.into())),
        }
    }

    fn lock(&self) -> MutexGuard<'_, Kv> {
        self.kv.lock().unwrap()
    }

    fn next_behaviour(&self) -> CallBehaviour {
        self.script
            .lock()
            .unwrap()
            .pop_front()
            .unwrap_or(CallBehaviour::Normal)
    }
}

fn failed(fault: PlatformFault) -> PlatformError {
    PlatformError {
        step: "a scripted call",
        peer: ([127, 0, 0, 1], 1).into(),
        fault,
    }
}

impl Platform for ScriptedPlatform {
    async fn get(&self, key: &str) -> Result<Option<KvEntry>, PlatformError> {
        match self.next_behaviour() {
            CallBehaviour::Refused => return Err(failed(PlatformFault::Refused)),
            CallBehaviour::ResponseLost | CallBehaviour::Late(_) => {
                return Err(failed(PlatformFault::AnswerLost));
            }
            CallBehaviour::Slow(ms) => tokio::time::sleep(Duration::from_millis(ms)).await,
            CallBehaviour::Normal => tokio::time::sleep(Duration::from_millis(1)).await,
        }
        let found = self.lock().values.get(key).cloned();
        Ok(found.map(|(value, revision)| KvEntry {
            key: key.to_owned(),
            value: Some(value),
            revision,
        }))
    }

    async fn put(
        &self,
        key: &str,
        value: &str,
        expect: KvRevision,
        _: Option<LeaseId>,
    ) -> Result<KvRevision, PlatformError> {
        match self.next_behaviour() {
            CallBehaviour::Refused => return Err(failed(PlatformFault::Refused)),
            CallBehaviour::ResponseLost => {
                let _ = self.lock().put(key, value, expect);
                return Err(failed(PlatformFault::AnswerLost));
            }
            CallBehaviour::Late(ms) => {
                let (kv, key, value) = (self.kv.clone(), key.to_owned(), value.to_owned());
                tokio::spawn(async move {
                    tokio::time::sleep(Duration::from_millis(ms)).await;
                    let _ = kv.lock().unwrap().put(&key, &value, expect);
                });
                return Err(failed(PlatformFault::AnswerLost));
            }
            CallBehaviour::Slow(ms) => tokio::time::sleep(Duration::from_millis(ms)).await,
            CallBehaviour::Normal => tokio::time::sleep(Duration::from_millis(1)).await,
        }
        self.lock().put(key, value, expect).map_err(failed)
    }

    async fn list(
        &self,
        _: &str,
        _: Option<&str>,
        _: usize,
    ) -> Result<Vec<KvEntry>, PlatformError> {
        Ok(Vec::new())
    }

    async fn delete(&self, _: &str, _: KvRevision) -> Result<(), PlatformError> {
        Err(failed(PlatformFault::Invalid))
    }

    async fn grant_lease(&self, _: Duration) -> Result<LeaseId, PlatformError> {
        Err(failed(PlatformFault::Invalid))
    }

    async fn renew_lease(&self, _: LeaseId) -> Result<(), PlatformError> {
        Err(failed(PlatformFault::Invalid))
    }

    async fn watch(
        &self,
        _: &str,
        _: KvRevision,
        _: Duration,
    ) -> Result<WatchReply, PlatformError> {
        Err(failed(PlatformFault::Invalid))
    }
}

impl BoxLister for ScriptedPlatform {
    async fn box_list(&self) -> Result<BoxList, PlatformError> {
        Err(failed(PlatformFault::Invalid))
    }
}
