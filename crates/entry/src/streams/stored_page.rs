use {
    jasmine_core::{
        ids::StreamId,
        streams::{ServiceBuild, StreamPage},
    },
    serde::{Deserialize, Serialize},
    std::collections::BTreeMap,
};

/// Digits of a stream's id.
const ID_DIGITS: usize = 16;

/// A page of streams as it is stored.
#[derive(Clone, Debug)]
#[derive(Serialize, Deserialize)]
struct StoredPage {
    service: String,
    /// The ids of each build's streams, one behind the other in hexadecimal.
    builds: BTreeMap<String, String>,
}

/// Why a stored page can't be read.
#[derive(Debug)]
#[derive(derive_more::Display, derive_more::Error, derive_more::From)]
pub(super) enum PageError {
    /// It isn't JSON of the expected shape.
    #[display("{_0}")]
    Json(serde_json::Error),
    /// The ids of its streams aren't hexadecimal.
    #[display("{_0:?} instead of ids of {ID_DIGITS} hexadecimal digits each")]
    #[from(skip)]
    Ids(#[error(not(source))] String),
}

/// Encodes a page of streams of a service.
pub(super) fn encode_page(
    service: &str,
    page: &StreamPage,
) -> Result<Vec<u8>, PageError> {
    let builds = page.builds.iter().map(|(build, ids)| {
        let ids = ids.iter().map(|id| format!("{:016x}", id.0));
        (build.clone(), ids.collect())
    });
    let stored = StoredPage {
        service: service.to_owned(),
        builds: builds.collect(),
    };
    Ok(serde_json::to_vec(&stored)?)
}

/// Decodes the streams of a page, each with its origin.
pub(super) fn decode_page(value: &[u8]) -> Result<Vec<(StreamId, ServiceBuild)>, PageError> {
    let stored: StoredPage = serde_json::from_slice(value)?;
    let mut streams = Vec::new();
    for (build, ids) in stored.builds {
        let origin = ServiceBuild {
            service: stored.service.clone(),
            build: Some(build).filter(|build| !build.is_empty()),
        };
        for digits in ids.as_bytes().chunks(ID_DIGITS) {
            let id = std::str::from_utf8(digits)
                .ok()
                .filter(|digits| digits.len() == ID_DIGITS)
                .and_then(|digits| u64::from_str_radix(digits, 16).ok());
            let id = id.ok_or_else(|| PageError::Ids(ids.clone()))?;
            streams.push((StreamId(id), origin.clone()));
        }
    }
    Ok(streams)
}
