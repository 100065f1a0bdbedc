use {
    super::call_error::CallError,
    crate::{CtlError, cli::GlobalArgs},
    awc::{Client, ClientRequest, http::Method},
    jasmine_conf::{
        api::{EditProgress, EditResponse, ErrorBody, FleetStatus, History, TreePage},
        tree::{AcceptedEdit, Edit, EditId, Explanation, Path, Setting},
    },
    jasmine_core::error::ErrorKind,
    jasmine_http1::checked_connector,
    serde::de::DeserializeOwned,
    std::time::Duration,
};

/// Upper bound of a response body.
const MAX_RESPONSE_BYTES: usize = 64 << 20;
/// Rounds over all controllers before an edit's outcome is reported as unknown.
const MAX_SUBMIT_ROUNDS: usize = 3;
const SUBMIT_RETRY_DELAY: Duration = Duration::from_millis(500);
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// Client of the operator API; tries the controllers in turn.
pub struct ApiClient {
    controllers: Vec<String>,
    token: String,
    client: Client,
}

impl std::fmt::Debug for ApiClient {
    /// Omits the token, as debug output may be logged.
    fn fmt(
        &self,
        f: &mut std::fmt::Formatter<'_>,
    ) -> std::fmt::Result {
        f.debug_struct("ApiClient")
            .field("controllers", &self.controllers)
            .finish_non_exhaustive()
    }
}

impl ApiClient {
    /// Creates a client of the controllers given on the command line.
    pub fn new(args: &GlobalArgs) -> Self {
        let client = Client::builder()
            .connector(checked_connector().timeout(CONNECT_TIMEOUT.min(args.timeout)))
            .timeout(args.timeout)
            .finish();
        Self {
            controllers: args.controllers.clone(),
            token: args.token.clone(),
            client,
        }
    }

    /// Fetches one page of the nodes at and below a path.
    ///
    /// # Errors
    ///
    /// [`CtlError`] if no controller could be reached or the response is an error.
    pub async fn tree(
        &self,
        path: &Path,
        depth: Option<u16>,
        after: Option<&Path>,
    ) -> Result<TreePage, CtlError> {
        let depth = depth.map_or_else(String::new, |depth| format!("&depth={depth}"));
        let after = after.map_or_else(String::new, |after| format!("&after={after}"));
        self.get(&format!("/v1/tree?path={path}{depth}{after}"))
            .await
    }

    /// Fetches a setting's value in force and the level that it comes from.
    ///
    /// # Errors
    ///
    /// As [`Self::tree`].
    pub async fn explain(
        &self,
        path: &Path,
        setting: Setting,
    ) -> Result<Explanation, CtlError> {
        self.get(&format!("/v1/explain?path={path}&setting={setting}"))
            .await
    }

    /// Fetches the newest edits that touch a path.
    ///
    /// # Errors
    ///
    /// As [`Self::tree`].
    pub async fn history(
        &self,
        path: &Path,
        limit: u16,
    ) -> Result<History, CtlError> {
        self.get(&format!("/v1/history?path={path}&limit={limit}"))
            .await
    }

    /// Fetches the state of all VMs.
    ///
    /// # Errors
    ///
    /// As [`Self::tree`].
    pub async fn fleet(&self) -> Result<FleetStatus, CtlError> {
        self.get("/v1/fleet").await
    }

    /// Fetches an accepted edit.
    ///
    /// # Errors
    ///
    /// As [`Self::tree`].
    pub async fn edit(
        &self,
        id: &EditId,
    ) -> Result<AcceptedEdit, CtlError> {
        self.get(&format!("/v1/edits/{id}")).await
    }

    /// Fetches on which VMs an edit is in force.
    ///
    /// # Errors
    ///
    /// As [`Self::tree`].
    pub async fn progress(
        &self,
        id: &EditId,
    ) -> Result<EditProgress, CtlError> {
        self.get(&format!("/v1/fleet/edit/{id}")).await
    }

    /// Submits an edit, retrying until a controller reports the outcome.
    ///
    /// The response can be lost after the edit was applied. Retrying with the same id and base is
    /// idempotent: a controller that has already accepted the edit returns the existing record.
    ///
    /// # Errors
    ///
    /// [`CtlError::OutcomeUnknown`] if no controller could report the outcome; otherwise as [`Self::tree`].
    pub async fn submit(
        &self,
        edit: &Edit,
        dry_run: bool,
    ) -> Result<EditResponse, CtlError> {
        let path = format!("/v1/edits?dry_run={dry_run}");
        let mut failures = Vec::new();
        let mut may_have_run = false;
        let mut last = None;
        for round in 0..MAX_SUBMIT_ROUNDS {
            if round > 0 {
                actix_web::rt::time::sleep(SUBMIT_RETRY_DELAY).await;
            }
            for controller in &self.controllers {
                let req = self.request(Method::POST, controller, &path);
                let call_error = match read_response(req.send_json(edit).await).await {
                    Ok(answer) => return Ok(answer),
                    Err(call_error) => call_error,
                };
                may_have_run |= call_error.may_have_run() && !dry_run;
                match call_error {
                    // Final: the controller has searched its log since the base for the id, unless
                    // its log begins after the base.
                    CallError::ErrorResponse(body) if is_final(&body, may_have_run) => {
                        return Err(CtlError::from(body));
                    }
                    call_error => {
                        failures.push(format!("{controller}: {}", call_error.reason()));
                        last = Some(call_error);
                    }
                }
            }
        }
        match last {
            _ if may_have_run => Err(CtlError::OutcomeUnknown {
                id: edit.id.clone(),
                failures,
            }),
            Some(CallError::ErrorResponse(body)) => Err(CtlError::from(body)),
            _ => Err(CtlError::Unreachable { failures }),
        }
    }

    async fn get<T>(
        &self,
        path: &str,
    ) -> Result<T, CtlError>
    where
        T: DeserializeOwned,
    {
        let mut failures = Vec::new();
        for controller in &self.controllers {
            let req = self.request(Method::GET, controller, path);
            match read_response(req.send().await).await {
                Ok(answer) => return Ok(answer),
                Err(CallError::InvalidResponse(reason)) => {
                    return Err(CtlError::InvalidResponse {
                        controller: controller.clone(),
                        reason,
                    });
                }
                Err(CallError::ErrorResponse(body)) if !is_transient(&body) => {
                    return Err(CtlError::from(body));
                }
                Err(call_error) => failures.push(format!("{controller}: {}", call_error.reason())),
            }
        }
        Err(CtlError::Unreachable { failures })
    }

    fn request(
        &self,
        method: Method,
        controller: &str,
        path: &str,
    ) -> ClientRequest {
        self.client
            .request(method, format!("{controller}{path}"))
            .bearer_auth(&self.token)
    }
}

/// Whether a retry, on this or another controller, may succeed.
fn is_transient(body: &ErrorBody) -> bool {
    CallError::ErrorResponse(Box::new(body.clone())).is_retryable()
}

/// Whether an error response settles the outcome of an edit.
fn is_final(
    body: &ErrorBody,
    may_have_run: bool,
) -> bool {
    let may_be_accepted = may_have_run && is_base_too_old(body);
    !may_be_accepted && !is_transient(body)
}

/// Whether the edit was refused only because the controller's log begins after the base.
fn is_base_too_old(body: &ErrorBody) -> bool {
    body.kind() == Some(ErrorKind::EditConflict) && body.error.conflicts.is_empty()
}

type SendResult<S> = Result<awc::ClientResponse<S>, awc::error::SendRequestError>;

async fn read_response<S, T>(send_result: SendResult<S>) -> Result<T, CallError>
where
    S: futures::Stream<Item = Result<bytes::Bytes, awc::error::PayloadError>> + Unpin,
    T: DeserializeOwned,
{
    let mut res = send_result?;
    let body = res
        .body()
        .limit(MAX_RESPONSE_BYTES)
        .await
        .map_err(|e| CallError::ResponseLost(e.to_string()))?;
    if res.status().is_success() {
        return serde_json::from_slice(&body)
            .map_err(|e| CallError::InvalidResponse(e.to_string()));
    }
    match serde_json::from_slice(&body) {
        Ok(error) => Err(CallError::ErrorResponse(Box::new(error))),
        Err(_) => Err(CallError::InvalidResponse(format!(
            "status {}",
            res.status()
        ))),
    }
}
