//! Making, checking, signing and accepting bundles.
//!
//! Accepting creates the next revision if it is absent. Of two operators who race, one creates it;
//! the other's creation fails, and is told whose bundle has the number. When an answer is lost, the
//! revision is read back: the act's token says whose it is.

use crate::{CliError, ExitStatus};
use sillpin_bundle::signed::REVISION_PREFIX;
use sillpin_bundle::{Accepted, Bundle, SignedBundle, SignerKey, revision_key};
use sillpin_core::Revision;
use sillpin_platform::{KvEntry, KvRevision, Platform, PlatformError, PlatformFault};
use std::time::Duration;

/// Revisions kept in the log; older ones are deleted after an acceptance.
pub const KEPT_REVISIONS: usize = 32;

/// Tries to settle an acceptance whose answer was lost, and the pause between them.
const SETTLE_TRIES: u32 = 20;
const SETTLE_PAUSE: Duration = Duration::from_millis(250);

/// A bundle with default policies, to start from.
pub fn new_bundle(name: &str) -> Bundle {
    Bundle {
        name: name.to_owned(),
        ..Bundle::default()
    }
}

/// Checks a bundle's text; the error lists every fault.
pub fn check(text: &str) -> Result<Bundle, CliError> {
    let refused = |e: &dyn std::fmt::Display| {
        CliError::new(ExitStatus::Refused, format!("the bundle is refused: {e}"))
    };
    let bundle = Bundle::from_json(text).map_err(|e| refused(&e))?;
    let faults = bundle.check();
    if faults.is_empty() {
        return Ok(bundle);
    }
    let lines: Vec<String> = faults.iter().map(|f| format!("\n  {f}")).collect();
    Err(refused(&lines.concat()))
}

/// Signs a bundle's text.
pub fn sign(text: &str, key_pem: &str) -> Result<SignedBundle, CliError> {
    check(text)?;
    let failed = |e| CliError::caused(ExitStatus::Refused, "cannot sign the bundle", e);
    let key = SignerKey::from_pem(key_pem).map_err(failed)?;
    SignedBundle::sign(text, &key).map_err(failed)
}

/// Reads a signed bundle.
pub fn parse_signed(text: &str) -> Result<SignedBundle, CliError> {
    serde_json::from_str(text)
        .map_err(|e| CliError::caused(ExitStatus::Refused, "the file is no signed bundle", e))
}

fn platform_failed(e: PlatformError) -> CliError {
    CliError::caused(ExitStatus::Failed, "the platform did not do it", e)
}

fn parse_accepted(entry: &KvEntry) -> Option<Accepted> {
    serde_json::from_str(entry.value.as_deref()?).ok()
}

/// The log of accepted revisions, oldest first.
pub async fn log<P: Platform>(platform: &P) -> Result<Vec<Accepted>, CliError> {
    let entries = platform.list(REVISION_PREFIX, None, usize::MAX).await;
    let entries = entries.map_err(platform_failed)?;
    Ok(entries.iter().filter_map(parse_accepted).collect())
}

/// Accepts a signed bundle as the next revision. With `expect`, only if that is the revision in
/// force now.
pub async fn accept<P: Platform>(
    platform: &P,
    bundle: SignedBundle,
    operator: &str,
    expect: Option<Revision>,
) -> Result<Accepted, CliError> {
    let log = log(platform).await?;
    let current = log.last().map(|a| a.revision).unwrap_or_default();
    if let Some(expected) = expect.filter(|expected| *expected != current) {
        let what = format!("revision {current} is in force, not {expected}");
        return Err(CliError::new(ExitStatus::Conflict, what));
    }
    let accepted = Accepted {
        revision: current.next(),
        bundle,
        operator: operator.to_owned(),
        token: uuid::Uuid::now_v7().to_string(),
    };
    create(platform, &accepted).await?;
    prune(platform).await;
    Ok(accepted)
}

async fn create<P: Platform>(platform: &P, accepted: &Accepted) -> Result<(), CliError> {
    let key = revision_key(accepted.revision);
    let text = serde_json::to_string(accepted)
        .map_err(|e| CliError::caused(ExitStatus::Failed, "cannot write the revision", e))?;
    match platform.put(&key, &text, KvRevision::ABSENT, None).await {
        Ok(_) => Ok(()),
        Err(e) if e.fault == PlatformFault::Conflict => settle(platform, accepted).await,
        Err(e) if e.fault == PlatformFault::AnswerLost => settle(platform, accepted).await,
        Err(e) => Err(platform_failed(e)),
    }
}

/// Reads back whose the revision is.
async fn settle<P: Platform>(platform: &P, accepted: &Accepted) -> Result<(), CliError> {
    let key = revision_key(accepted.revision);
    for _ in 0..SETTLE_TRIES {
        if let Ok(Some(entry)) = platform.get(&key).await {
            let found = parse_accepted(&entry);
            return match found {
                Some(found) if found.token == accepted.token => Ok(()),
                Some(found) => Err(taken(&found)),
                None => Err(CliError::new(
                    ExitStatus::Failed,
                    "the revision is unreadable",
                )),
            };
        }
        tokio::time::sleep(SETTLE_PAUSE).await;
    }
    let what = "the platform's answer was lost; the bundle may come into force: see `sillpin bundle status`";
    Err(CliError::new(ExitStatus::Unknown, what))
}

fn taken(found: &Accepted) -> CliError {
    let what = format!(
        "revision {} was accepted by {} (digest {})",
        found.revision,
        found.operator,
        found.bundle.digest.short()
    );
    CliError::new(ExitStatus::Conflict, what)
}

/// Deletes revisions that are no longer needed. The newest stay, so no number is used twice.
async fn prune<P: Platform>(platform: &P) {
    let Ok(entries) = platform.list(REVISION_PREFIX, None, usize::MAX).await else {
        return;
    };
    let old = entries.len().saturating_sub(KEPT_REVISIONS);
    for entry in &entries[..old] {
        let _ = platform.delete(&entry.key, entry.revision).await;
    }
}
