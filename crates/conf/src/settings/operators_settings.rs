use {
    super::InvalidSetting,
    crate::hex,
    serde::{Deserialize, Serialize},
    sha2::{Digest, Sha256},
};

/// The SHA-256 digest of an operator's token, 64 hex digits, stored instead of the token.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[derive(derive_more::Display)]
#[serde(transparent)]
pub struct TokenDigest(String);

impl TokenDigest {
    /// Computes the digest of a plain-text token.
    pub fn of(token: &str) -> Self {
        Self(hex::encode(&Sha256::digest(token.as_bytes())))
    }

    /// Whether this is the digest of `token`, compared without an early exit to prevent timing attacks.
    pub fn matches(
        &self,
        token: &str,
    ) -> bool {
        let other = Self::of(token);
        let differing = self
            .0
            .bytes()
            .zip(other.0.bytes())
            .fold(0, |sum, (a, b)| sum | (a ^ b));
        self.0.len() == other.0.len() && differing == 0
    }

    fn is_well_formed(&self) -> bool {
        hex::decode_32(&self.0).is_some()
    }
}

/// Authentication of operators, who may edit the tree.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OperatorsSettings {
    /// Digests of the accepted tokens.
    pub token_digests: Vec<TokenDigest>,
}

impl OperatorsSettings {
    /// Whether `token` is an accepted token.
    pub fn accepts(
        &self,
        token: &str,
    ) -> bool {
        self.token_digests
            .iter()
            .any(|digest| digest.matches(token))
    }

    /// Checks that all digests are well-formed.
    pub(super) fn validate(&self) -> Result<(), InvalidSetting> {
        let malformed = self
            .token_digests
            .iter()
            .enumerate()
            .find(|(_, digest)| !digest.is_well_formed());
        match malformed {
            None => Ok(()),
            Some((i, digest)) => Err(InvalidSetting {
                key: format!("operators.token_digests[{i}]"),
                value: format!("{:?}", digest.0),
                allowed: "64 lower-case hex digits, the SHA-256 of a token".to_owned(),
            }),
        }
    }
}
