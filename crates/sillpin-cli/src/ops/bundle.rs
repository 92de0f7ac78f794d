//! Creating, checking, signing and accepting bundles.
//!
//! Accepting creates the key of the next revision if it is absent. When two operators accept at the
//! same time, one creates it; the other gets a conflict error that names the first. When a response is
//! lost, the revision is read back: its token shows which operator's write created it.

use crate::{CliError, ExitStatus};
use sillpin_bundle::signed::REVISION_PREFIX;
use sillpin_bundle::{Accepted, Bundle, SignedBundle, SignerKey, revision_key};
use sillpin_core::Revision;
use sillpin_platform::{KvEntry, KvRevision, Platform, PlatformError, PlatformFault};
use std::time::Duration;

/// Revisions retained in the log; older ones are deleted after each acceptance.
pub const RETAINED_REVISIONS: usize = 32;

/// Attempts to read a revision back after a lost response or a conflict, and the delay between them.
const READ_BACK_ATTEMPTS: u32 = 20;
const READ_BACK_INTERVAL: Duration = Duration::from_millis(250);

/// Returns a bundle with default policies, as a starting point for operators.
pub fn new_bundle(name: &str) -> Bundle {
    Bundle {
        name: name.to_owned(),
        ..Bundle::default()
    }
}

/// Parses and validates a bundle; the error lists all validation errors.
pub fn check(text: &str) -> Result<Bundle, CliError> {
    let refused = |e: &dyn std::fmt::Display| {
        CliError::new(ExitStatus::Refused, format!("the bundle is refused: {e}"))
    };
    let bundle = Bundle::from_json(text).map_err(|e| refused(&e))?;
    let errors = bundle.check();
    if errors.is_empty() {
        return Ok(bundle);
    }
    let lines: Vec<String> = errors.iter().map(|f| format!("\n  {f}")).collect();
    Err(refused(&lines.concat()))
}

/// Validates and signs a bundle's text with a key in PKCS#8 PEM.
pub fn sign(text: &str, key_pem: &str) -> Result<SignedBundle, CliError> {
    check(text)?;
    let failed = |e| CliError::caused(ExitStatus::Refused, "cannot sign the bundle", e);
    let key = SignerKey::from_pem(key_pem).map_err(failed)?;
    SignedBundle::sign(text, &key).map_err(failed)
}

/// Parses a signed bundle from JSON.
pub fn parse_signed(text: &str) -> Result<SignedBundle, CliError> {
    serde_json::from_str(text)
        .map_err(|e| CliError::caused(ExitStatus::Refused, "the file is not a signed bundle", e))
}

fn platform_failed(e: PlatformError) -> CliError {
    CliError::caused(ExitStatus::Failed, "the platform request failed", e)
}

fn parse_accepted(entry: &KvEntry) -> Option<Accepted> {
    serde_json::from_str(entry.value.as_deref()?).ok()
}

/// Returns the log of accepted revisions, oldest first. Unreadable entries are left out.
pub async fn log<P: Platform>(platform: &P) -> Result<Vec<Accepted>, CliError> {
    let entries = platform.list(REVISION_PREFIX, None, usize::MAX).await;
    let entries = entries.map_err(platform_failed)?;
    Ok(entries.iter().filter_map(parse_accepted).collect())
}

/// Accepts a signed bundle as the next revision. With `expect`, fails unless that is the newest
/// revision.
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

/// Creates the key of a new revision.
async fn create<P: Platform>(platform: &P, accepted: &Accepted) -> Result<(), CliError> {
    let key = revision_key(accepted.revision);
    let text = serde_json::to_string(accepted)
        .map_err(|e| CliError::caused(ExitStatus::Failed, "cannot write the revision", e))?;
    match platform.put(&key, &text, KvRevision::ABSENT, None).await {
        Ok(_) => Ok(()),
        Err(e) if e.fault == PlatformFault::Conflict => read_back(platform, accepted).await,
        Err(e) if e.fault == PlatformFault::AnswerLost => read_back(platform, accepted).await,
        Err(e) => Err(platform_failed(e)),
    }
}

/// Reads the revision back to find out whether `accepted` or another operator's bundle has its number.
async fn read_back<P: Platform>(platform: &P, accepted: &Accepted) -> Result<(), CliError> {
    let key = revision_key(accepted.revision);
    for _ in 0..READ_BACK_ATTEMPTS {
        if let Ok(Some(entry)) = platform.get(&key).await {
            let found = parse_accepted(&entry);
            return match found {
                Some(found) if found.token == accepted.token => Ok(()),
                Some(found) => Err(conflict(&found)),
                None => Err(CliError::new(
                    ExitStatus::Failed,
                    "the revision is unreadable",
                )),
            };
        }
        tokio::time::sleep(READ_BACK_INTERVAL).await;
    }
    let what = "no response from the platform; the bundle may still come into force: see `sillpin bundle status`";
    Err(CliError::new(ExitStatus::Unknown, what))
}

/// The error for a revision that another operator created.
fn conflict(found: &Accepted) -> CliError {
    let what = format!(
        "revision {} was accepted by {} (digest {})",
        found.revision,
        found.operator,
        found.bundle.digest.short()
    );
    CliError::new(ExitStatus::Conflict, what)
}

/// Deletes the oldest revisions. The newest are retained, so that no revision number is reused.
async fn prune<P: Platform>(platform: &P) {
    let Ok(entries) = platform.list(REVISION_PREFIX, None, usize::MAX).await else {
        return;
    };
    let old = entries.len().saturating_sub(RETAINED_REVISIONS);
    for entry in &entries[..old] {
        let _ = platform.delete(&entry.key, entry.revision).await;
    }
}
