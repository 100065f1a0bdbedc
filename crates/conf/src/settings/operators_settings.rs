use {
    super::Problem,
    crate::hex,
    serde::{Deserialize, Serialize},
    sha2::{Digest, Sha256},
};

/// SHA-256 of an operators' token, 64 hex digits; the token itself is in no file of the system.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[derive(derive_more::Display)]
#[serde(transparent)]
pub struct TokenDigest(String);

impl TokenDigest {
    /// The digest of a token as an operator presents it.
    pub fn of(token: &str) -> Self {
        Self(hex::encode(&Sha256::digest(token.as_bytes())))
    }

    /// Whether this is the digest of `token`, compared without an early exit.
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

/// Who may edit the tree.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OperatorsSettings {
    /// Digests of the tokens that operators may present.
    pub token_digests: Vec<TokenDigest>,
}

impl OperatorsSettings {
    /// Whether `token` is one of the operators'.
    pub fn accepts(
        &self,
        token: &str,
    ) -> bool {
        self.token_digests
            .iter()
            .any(|digest| digest.matches(token))
    }

    /// Refuses digests that are none.
    pub(super) fn check(&self) -> Result<(), Problem> {
        let malformed = self
            .token_digests
            .iter()
            .enumerate()
            .find(|(_, digest)| !digest.is_well_formed());
        match malformed {
            None => Ok(()),
            Some((i, digest)) => Err(Problem {
                key: format!("operators.token_digests[{i}]"),
                value: format!("{:?}", digest.0),
                allowed: "64 lower-case hex digits, the SHA-256 of a token".to_owned(),
            }),
        }
    }
}
