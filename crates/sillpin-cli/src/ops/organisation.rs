//! Organisations and their keys. Only hashes of keys are stored.

use crate::{CliError, ExitStatus};
use sillpin_core::OrgId;
use sillpin_platform::{KvRevision, Platform, PlatformError, PlatformFault};
use sillpin_rpc::gossip::{ORGANISATIONS_KEY, Organisation};

/// Random bytes in a key.
const KEY_LEN: usize = 32;

/// Compare-and-swap attempts before a change fails because of concurrent changes.
const MAX_ATTEMPTS: u32 = 8;

/// Generates a key for an organisation. It is printed once; only its hash is stored.
pub fn new_key() -> String {
    let bytes: [u8; KEY_LEN] = rand::random();
    bytes.iter().map(|b| format!("{b:02x}")).collect()
}

/// Computes the hash that is stored for a key.
pub fn hash_key(key: &str) -> String {
    blake3::hash(key.as_bytes()).to_hex().to_string()
}

/// Adds a key's hash to an organisation, which is created if it does not exist.
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

/// Revokes all keys of an organisation by removing the organisation from the list.
pub async fn revoke_keys<P: Platform>(platform: &P, org: OrgId) -> Result<(), CliError> {
    change(platform, |list| list.retain(|o| o.id != org)).await
}

/// Lists the organisations.
pub async fn list<P: Platform>(platform: &P) -> Result<Vec<Organisation>, CliError> {
    let (list, _) = read(platform).await.map_err(failed)?;
    Ok(list)
}

fn failed(e: PlatformError) -> CliError {
    CliError::caused(ExitStatus::Failed, "the platform request failed", e)
}

/// Reads the list and the revision of its key.
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

/// Changes the list by compare-and-swap. `change` is applied again after a conflict or a lost
/// response, so it must be idempotent (duplicate key hashes are removed here).
async fn change<P: Platform>(
    platform: &P,
    change: impl Fn(&mut Vec<Organisation>),
) -> Result<(), CliError> {
    for _ in 0..MAX_ATTEMPTS {
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
        "the organisations were changed concurrently at every attempt",
    ))
}
