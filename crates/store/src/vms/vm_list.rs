use {
    super::ListedVm, awc::Client, jasmine_core::clock::Millis, serde::Deserialize,
    tokio::time::timeout,
};

/// The largest list taken, in bytes.
const MAX_LIST: usize = 4 * 1024 * 1024;

/// Why the list could not be read.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(derive_more::Display, derive_more::Error)]
#[display("list of VMs not read: {_0}")]
pub struct VmListError(#[error(not(source))] pub String);

#[derive(Debug)]
#[derive(Deserialize)]
struct Answer {
    vms: Vec<ListedVm>,
}

/// A client of the list of VMs.
#[derive(Debug)]
pub struct VmList {
    url: String,
    timeout: Millis,
}

impl VmList {
    /// A client of the list under `base`, such as `http://10.0.0.5:2380`.
    pub fn new(
        base: &str,
        timeout: Millis,
    ) -> Self {
        Self {
            url: format!("{}/vms", base.trim_end_matches('/')),
            timeout,
        }
    }

    /// The list as the platform has it now, over a fresh connection.
    ///
    /// # Errors
    ///
    /// [`VmListError`] where the platform can't be reached or its answer isn't a list.
    pub async fn read(&self) -> Result<Vec<ListedVm>, VmListError> {
        let client = Client::builder().disable_timeout().finish();
        let read = async {
            let mut res = client
                .get(&self.url)
                .send()
                .await
                .map_err(|e| VmListError(e.to_string()))?;
            let body = res
                .body()
                .limit(MAX_LIST)
                .await
                .map_err(|e| VmListError(e.to_string()))?;
            serde_json::from_slice::<Answer>(&body).map_err(|e| VmListError(e.to_string()))
        };
        timeout(self.timeout.to_std(), read)
            .await
            .map_err(|e| VmListError(e.to_string()))?
            .map(|answer| answer.vms)
    }
}
