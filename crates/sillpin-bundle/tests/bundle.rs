//! Signing, verifying and validating bundles.

use sillpin_bundle::{Bundle, SignError, SignedBundle, SignerKey};

fn bundle_text() -> String {
    let bundle = Bundle {
        name: "first".to_owned(),
        ..Bundle::default()
    };
    serde_json::to_string(&bundle).unwrap()
}

#[test]
fn a_signed_bundle_verifies_with_its_key_only() {
    let key = SignerKey::generate();
    let signed = SignedBundle::sign(&bundle_text(), &key).unwrap();
    assert_eq!(signed.verify(&[key.public()]).unwrap().name, "first");
    let other = SignerKey::generate();
    let refused = signed.verify(&[other.public()]);
    assert!(matches!(refused, Err(SignError::Untrusted(_))));
}

#[test]
fn a_changed_text_does_not_verify() {
    let key = SignerKey::generate();
    let mut signed = SignedBundle::sign(&bundle_text(), &key).unwrap();
    signed.text = signed.text.replace("first", "other");
    let refused = signed.verify(&[key.public()]);
    assert!(matches!(refused, Err(SignError::Digest)));
    signed.digest = sillpin_bundle::Digest::of(&signed.text);
    let refused = signed.verify(&[key.public()]);
    assert!(matches!(refused, Err(SignError::Signature)));
}

#[test]
fn a_key_round_trips_through_pem() {
    let key = SignerKey::generate();
    let again = SignerKey::from_pem(&key.to_pem().unwrap()).unwrap();
    assert_eq!(key.public(), again.public());
}

#[test]
fn invalid_limits_are_refused_with_their_field() {
    let mut bundle: Bundle = serde_json::from_str(&bundle_text()).unwrap();
    bundle.control.limits.max_attempts = 0;
    bundle.control.placement.first_token_weight = 0;
    let errors: Vec<String> = bundle.check().iter().map(ToString::to_string).collect();
    assert_eq!(
        errors,
        [
            "control.placement.first_token_weight: must be at least 1, or a busy engine looks as \
             good as an idle one",
            "control.limits.max_attempts: must be from 1 to 8",
        ]
    );
}

#[test]
fn unknown_fields_are_refused() {
    let text = bundle_text().replace("\"name\"", "\"nmae\"");
    let error = Bundle::from_json(&text).unwrap_err();
    assert!(
        error.to_string().contains("unknown field `nmae`"),
        "{error}"
    );
}
