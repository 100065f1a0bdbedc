use {
    super::ListedVm,
    awc::{Client, http::StatusCode},
    jasmine_core::clock::Millis,
    jasmine_http1::checked_connector,
    serde::Deserialize,
    tokio::time::timeout,
};

/// Maximum size of the response body.
const MAX_LIST_BYTES: usize = 4 * 1024 * 1024;

/// Why the VM list could not be read.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(derive_more::Display, derive_more::Error)]
#[display("failed to read the VM list: {_0}")]
pub struct VmListError(#[error(not(source))] pub String);

#[derive(Debug)]
#[derive(Deserialize)]
struct Response {
    vms: Vec<ListedVm>,
}

/// A client of the platform's VM list.
#[derive(Debug)]
pub struct VmList {
    url: String,
    timeout: Millis,
}

impl VmList {
    /// Creates a client for the base URL `base`, such as `http://10.0.0.5:2380`.
    pub fn new(
        base: &str,
        timeout: Millis,
    ) -> Self {
        Self {
            url: format!("{}/vms", base.trim_end_matches('/')),
            timeout,
        }
    }

    /// Reads the current list over a new connection.
    ///
    /// # Errors
    ///
    /// [`VmListError`] if the platform can't be reached or its response isn't a valid list.
    pub async fn read(&self) -> Result<Vec<ListedVm>, VmListError> {
        let client = Client::builder()
            .connector(checked_connector())
            .disable_timeout()
            .finish();
        let read = async {
            let mut res = client
                .get(&self.url)
                .send()
                .await
                .map_err(|e| VmListError(e.to_string()))?;
            if res.status() != StatusCode::OK {
                let reason = format!("status {}, expected 200", res.status().as_u16());
                return Err(VmListError(reason));
            }
            let body = res
                .body()
                .limit(MAX_LIST_BYTES)
                .await
                .map_err(|e| VmListError(e.to_string()))?;
            serde_json::from_slice::<Response>(&body).map_err(|e| VmListError(e.to_string()))
        };
        timeout(self.timeout.to_std(), read)
            .await
            .map_err(|e| VmListError(e.to_string()))?
            .map(|response| response.vms)
    }
}
