//! Callers' keys and operators' tokens, which are stored only as digests.

use jasmine_conf::{
    fleet::{IssuedKey, KEY_PREFIX, KeyDigest},
    settings::{OperatorsSettings, TokenDigest},
};

#[test]
fn a_key_is_random_and_recognisable() {
    let (one, other) = (IssuedKey::random(), IssuedKey::random());
    assert_ne!(one.reveal(), other.reveal());
    assert!(one.reveal().starts_with(KEY_PREFIX));
    assert_eq!(one.reveal().len(), KEY_PREFIX.len() + 48);
    assert_eq!(one.digest(), KeyDigest::of(one.reveal()));
}

#[test]
fn a_key_is_not_in_debug_output() {
    // Guards against leaking the key into logs.
    let key = IssuedKey::random();
    assert!(!format!("{key:?}").contains(key.reveal()));
}

#[test]
fn a_digest_is_text_and_back() {
    let digest = KeyDigest::of("jsk_00");
    let text = String::from(digest);
    assert_eq!(text.len(), 64);
    assert_eq!(KeyDigest::try_from(text.clone()), Ok(digest));
    assert_eq!(
        serde_json::to_string(&digest).unwrap(),
        format!("\"{text}\"")
    );
    for wrong in [&text[1..], &text.to_uppercase(), &format!("{text}0"), "é"] {
        assert!(KeyDigest::try_from(wrong.to_owned()).is_err(), "{wrong}");
    }
}

#[test]
fn only_the_operators_tokens_are_accepted() {
    let operators = OperatorsSettings {
        token_digests: vec![TokenDigest::of("old"), TokenDigest::of("new")],
    };
    assert!(operators.accepts("old") && operators.accepts("new"));
    assert!(!operators.accepts("") && !operators.accepts("new "));
    let nobody = OperatorsSettings {
        token_digests: Vec::new(),
    };
    assert!(!nobody.accepts(""));
}
