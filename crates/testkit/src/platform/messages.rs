use {
    base64::{Engine as _, engine::general_purpose::STANDARD},
    serde::{Deserialize, Deserializer, Serialize, Serializer, de::Error as _},
};

/// Bytes encoded as base64 in JSON.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Blob(pub(super) Vec<u8>);

impl Serialize for Blob {
    fn serialize<S>(
        &self,
        serializer: S,
    ) -> Result<S::Ok, S::Error>
    where
        S: Serializer,
    {
        serializer.serialize_str(&STANDARD.encode(&self.0))
    }
}

impl<'de> Deserialize<'de> for Blob {
    fn deserialize<D>(deserializer: D) -> Result<Self, D::Error>
    where
        D: Deserializer<'de>,
    {
        let text = String::deserialize(deserializer)?;
        STANDARD.decode(text).map(Self).map_err(D::Error::custom)
    }
}

/// A 64-bit integer encoded as a JSON string; a JSON number is accepted too.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Int(pub(super) u64);

impl<'de> Deserialize<'de> for Int {
    fn deserialize<D>(deserializer: D) -> Result<Self, D::Error>
    where
        D: Deserializer<'de>,
    {
        #[derive(Deserialize)]
        #[serde(untagged)]
        enum Either {
            Number(u64),
            Text(String),
        }
        match Either::deserialize(deserializer)? {
            Either::Number(n) => Ok(Self(n)),
            Either::Text(text) => text.parse().map(Self).map_err(D::Error::custom),
        }
    }
}

/// The keys from `key` to `range_end`: only `key` if empty, all following keys if `\0`.
#[derive(Clone, Debug, Default)]
#[derive(Deserialize)]
#[serde(default)]
pub(super) struct RangeReq {
    pub(super) key: Blob,
    #[serde(alias = "rangeEnd")]
    pub(super) range_end: Blob,
    pub(super) limit: Int,
    #[serde(alias = "keysOnly")]
    pub(super) keys_only: bool,
    #[serde(alias = "countOnly")]
    pub(super) count_only: bool,
    #[serde(alias = "startRevision")]
    pub(super) start_revision: Int,
}

impl RangeReq {
    pub(super) fn contains(
        &self,
        key: &[u8],
    ) -> bool {
        match self.range_end.0.as_slice() {
            [] => key == self.key.0,
            [0] => key >= self.key.0.as_slice(),
            end => key >= self.key.0.as_slice() && key < end,
        }
    }
}

#[derive(Clone, Debug, Default)]
#[derive(Deserialize)]
#[serde(default)]
pub(super) struct PutReq {
    pub(super) key: Blob,
    pub(super) value: Blob,
    pub(super) lease: Int,
}

#[derive(Clone, Debug, Default)]
#[derive(Deserialize)]
#[serde(default)]
pub(super) struct CompareReq {
    pub(super) key: Blob,
    pub(super) result: String,
    pub(super) target: String,
    pub(super) version: Int,
    #[serde(alias = "createRevision")]
    pub(super) create_revision: Int,
    #[serde(alias = "modRevision")]
    pub(super) mod_revision: Int,
    pub(super) value: Blob,
}

#[derive(Clone, Debug)]
#[derive(Deserialize)]
pub(super) enum Op {
    #[serde(rename = "request_put", alias = "requestPut")]
    Put(PutReq),
    #[serde(rename = "request_range", alias = "requestRange")]
    Range(RangeReq),
    #[serde(rename = "request_delete_range", alias = "requestDeleteRange")]
    Delete(RangeReq),
}

#[derive(Clone, Debug, Default)]
#[derive(Deserialize)]
#[serde(default)]
pub(super) struct TxnReq {
    pub(super) compare: Vec<CompareReq>,
    pub(super) success: Vec<Op>,
    pub(super) failure: Vec<Op>,
}

#[derive(Clone, Debug, Default)]
#[derive(Deserialize)]
#[serde(default)]
pub(super) struct LeaseReq {
    #[serde(rename = "ID")]
    pub(super) id: Int,
    #[serde(rename = "TTL")]
    pub(super) ttl: Int,
}

#[derive(Clone, Debug)]
#[derive(Deserialize)]
pub(super) struct WatchReq {
    #[serde(alias = "createRequest")]
    pub(super) create_request: RangeReq,
}
