//! Organisations and their keys: only hashes of keys are kept.

use crate::{CliError, ExitStatus};
use sillpin_core::OrgId;
use sillpin_platform::{KvRevision, Platform, PlatformError, PlatformFault};
use sillpin_rpc::gossip::{ORGANISATIONS_KEY, Organisation};

/// Bytes of randomness in a key.
const KEY_LEN: usize = 32;

/// Tries before giving up on other operators' changes.
const TRIES: u32 = 8;

/// A new key for an organisation. It is shown once; its hash is kept.
pub fn new_key() -> String {
    let bytes: [u8; KEY_LEN] = rand::random();
    bytes.iter().map(|b| format!("{b:02x}")).collect()
}

/// The hash under which a key is kept.
pub fn hash_key(key: &str) -> String {
    blake3::hash(key.as_bytes()).to_hex().to_string()
}

/// Adds a key's hash to an organisation, which is made if it does not exist.
pub async fn add_key<P: Platform>(platform: &P, org: OrgId, hash: String) -> Result<(), CliError> {
    change(platform, |list| {
        match list.iter_mut().find(|o| o.id == org) {
            Some(known) => known.key_hashes.push(hash.clone()),
            None => list.push(Organisation {
                id: org.clone(),
                key_hashes: vec![hash.clone()],
            }),
        }
    })
    .await
}

/// Takes all keys of an organisation back.
pub async fn revoke_keys<P: Platform>(platform: &P, org: OrgId) -> Result<(), CliError> {
    change(platform, |list| list.retain(|o| o.id != org)).await
}

/// The organisations.
pub async fn list<P: Platform>(platform: &P) -> Result<Vec<Organisation>, CliError> {
    let (list, _) = read(platform).await.map_err(failed)?;
    Ok(list)
}

fn failed(e: PlatformError) -> CliError {
    CliError::caused(ExitStatus::Failed, "the platform did not do it", e)
}

async fn read<P: Platform>(platform: &P) -> Result<(Vec<Organisation>, KvRevision), PlatformError> {
    let entry = platform.get(ORGANISATIONS_KEY).await?;
    let Some(entry) = entry else {
        return Ok((Vec::new(), KvRevision::ABSENT));
    };
    let text = entry.value.unwrap_or_default();
    Ok((
        serde_json::from_str(&text).unwrap_or_default(),
        entry.revision,
    ))
}

/// Changes the list by compare-and-swap. The change is made again when somebody else was first or
/// an answer was lost, so it must bear being made twice.
async fn change<P: Platform>(
    platform: &P,
    change: impl Fn(&mut Vec<Organisation>),
) -> Result<(), CliError> {
    for _ in 0..TRIES {
        let (mut list, revision) = read(platform).await.map_err(failed)?;
        change(&mut list);
        for org in &mut list {
            org.key_hashes.sort();
            org.key_hashes.dedup();
        }
        let text = serde_json::to_string(&list).unwrap_or_default();
        match platform.put(ORGANISATIONS_KEY, &text, revision, None).await {
            Ok(_) => return Ok(()),
            Err(e) if e.fault == PlatformFault::Conflict => {}
            Err(e) if e.fault == PlatformFault::AnswerLost => {}
            Err(e) => return Err(failed(e)),
        }
    }
    Err(CliError::new(
        ExitStatus::Conflict,
        "others change the organisations all the time",
    ))
}
