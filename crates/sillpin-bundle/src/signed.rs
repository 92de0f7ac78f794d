//! Digest and signature of a bundle, and the record of an accepted revision.

use crate::bundle::{Bundle, BundleError};
use base64::Engine as _;
use base64::engine::general_purpose::STANDARD as BASE64;
use derive_more::{Display, Error, From};
use ed25519_dalek::pkcs8::spki::der::pem::LineEnding;
use ed25519_dalek::pkcs8::{DecodePrivateKey, EncodePrivateKey};
use ed25519_dalek::{Signature, Signer, SigningKey, VerifyingKey};
use serde::{Deserialize, Serialize};
use sillpin_core::Revision;
use std::str::FromStr;

/// Key prefix of the log of accepted bundles in the platform's store.
pub const REVISION_PREFIX: &str = "bundles/";

/// Returns the key of a revision in the platform's store. The number is zero-padded, so keys sort in
/// the order of revisions.
pub fn revision_key(revision: Revision) -> String {
    format!("{REVISION_PREFIX}{:020}", revision.0)
}

/// BLAKE3 of a bundle's JSON text, in hexadecimal; it identifies the bundle.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Display, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Digest(String);

impl Digest {
    /// Computes the digest of `text`.
    pub fn of(text: &str) -> Self {
        Self(blake3::hash(text.as_bytes()).to_hex().to_string())
    }

    /// Returns the first 12 digits, for display.
    pub fn short(&self) -> &str {
        self.0.get(..12).unwrap_or(&self.0)
    }
}

/// Error of signing or verifying a bundle.
#[derive(Debug, Display, Error, From)]
pub enum SignError {
    /// A key cannot be decoded.
    #[display("key cannot be decoded")]
    #[from(skip)]
    Key,
    /// The signature was not made by the named key, or not over this text.
    #[display("signature does not verify")]
    #[from(skip)]
    Signature,
    /// The signer's key is not in the list of trusted keys.
    #[display("signed by a key that is not trusted: {_0}")]
    #[from(skip)]
    Untrusted(#[error(not(source))] String),
    /// The digest does not match the text.
    #[display("digest does not match the text")]
    #[from(skip)]
    Digest,
    /// The text is not a valid bundle.
    #[display("{_0}")]
    Bundle(BundleError),
}

/// An operator's private key.
pub struct SignerKey(SigningKey);

impl SignerKey {
    /// Generates a random key.
    pub fn generate() -> Self {
        let seed: [u8; 32] = rand::random();
        Self(SigningKey::from_bytes(&seed))
    }

    /// Decodes a key from PKCS#8 PEM.
    pub fn from_pem(pem: &str) -> Result<Self, SignError> {
        let key = SigningKey::from_pkcs8_pem(pem);
        key.map(Self).map_err(|_| SignError::Key)
    }

    /// Encodes the key as PKCS#8 PEM.
    pub fn to_pem(&self) -> Result<String, SignError> {
        let pem = self.0.to_pkcs8_pem(LineEnding::LF);
        pem.map(|pem| pem.to_string()).map_err(|_| SignError::Key)
    }

    /// Returns the public key, in the form that settings list it in.
    pub fn public(&self) -> TrustedKey {
        TrustedKey(self.0.verifying_key())
    }
}

/// An operator's public key; its text form is base64.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TrustedKey(VerifyingKey);

impl std::fmt::Display for TrustedKey {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(&BASE64.encode(self.0.as_bytes()))
    }
}

impl FromStr for TrustedKey {
    type Err = SignError;

    fn from_str(s: &str) -> Result<Self, SignError> {
        let bytes = BASE64.decode(s).map_err(|_| SignError::Key)?;
        let bytes = bytes.try_into().map_err(|_| SignError::Key)?;
        let key = VerifyingKey::from_bytes(&bytes);
        key.map(Self).map_err(|_| SignError::Key)
    }
}

/// A bundle's text with its digest and signature.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SignedBundle {
    /// The bundle as JSON, byte for byte as it was signed.
    pub text: String,
    /// Digest of `text`.
    pub digest: Digest,
    /// The signer's public key, in base64.
    pub signer: String,
    /// The signature over `text`, in base64.
    pub signature: String,
}

impl SignedBundle {
    /// Signs a bundle. Fails with the first error if the bundle is not valid.
    pub fn sign(text: &str, key: &SignerKey) -> Result<Self, SignError> {
        let bundle = Bundle::from_json(text)?;
        if let Some(error) = bundle.check().into_iter().next() {
            return Err(error.into());
        }
        Ok(Self {
            text: text.to_owned(),
            digest: Digest::of(text),
            signer: key.public().to_string(),
            signature: BASE64.encode(key.0.sign(text.as_bytes()).to_bytes()),
        })
    }

    /// Verifies that a trusted key signed the bundle and that the digest matches, then parses the bundle.
    pub fn verify(&self, trusted: &[TrustedKey]) -> Result<Bundle, SignError> {
        let signer: TrustedKey = self.signer.parse()?;
        if !trusted.contains(&signer) {
            return Err(SignError::Untrusted(self.signer.clone()));
        }
        if Digest::of(&self.text) != self.digest {
            return Err(SignError::Digest);
        }
        let signature = BASE64.decode(&self.signature);
        let signature = signature.map_err(|_| SignError::Signature)?;
        let signature = Signature::from_slice(&signature).map_err(|_| SignError::Signature)?;
        signer
            .0
            .verify_strict(self.text.as_bytes(), &signature)
            .map_err(|_| SignError::Signature)?;
        Ok(Bundle::from_json(&self.text)?)
    }
}

/// An accepted revision, as stored in the platform's store.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Accepted {
    /// Number of the revision in the log.
    pub revision: Revision,
    /// The accepted bundle.
    pub bundle: SignedBundle,
    /// Operator who accepted the bundle, as given on the command line.
    pub operator: String,
    /// Unique to this acceptance: after a lost response, reading the key back shows whether this write or
    /// another one created the revision.
    pub token: String,
}
