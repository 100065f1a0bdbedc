use {
    super::attempt::Attempt,
    crate::{CtlError, cli::GlobalArgs},
    awc::{Client, ClientRequest, Connector, http::Method},
    jasmine_conf::{
        api::{EditProgress, EditResponse, ErrorBody, FleetStatus, History, TreePage},
        tree::{AcceptedEdit, Edit, EditId, Explanation, Path, Setting},
    },
    jasmine_core::error::ErrorKind,
    serde::de::DeserializeOwned,
    std::time::Duration,
};

/// Bytes that an answer may have.
const MAX_ANSWER: usize = 64 << 20;
/// How often all controllers are asked in turn before an edit's outcome is left open.
const ROUNDS: usize = 3;
/// Pause between two rounds.
const BETWEEN_ROUNDS: Duration = Duration::from_millis(500);
/// How long a controller may take to accept a connection.
const CONNECT: Duration = Duration::from_secs(2);

/// The operators' HTTP of whichever controller answers.
pub struct Api {
    controllers: Vec<String>,
    token: String,
    client: Client,
}

impl std::fmt::Debug for Api {
    /// Leaves the token out: debug output ends up in logs.
    fn fmt(
        &self,
        f: &mut std::fmt::Formatter<'_>,
    ) -> std::fmt::Result {
        f.debug_struct("Api")
            .field("controllers", &self.controllers)
            .finish_non_exhaustive()
    }
}

impl Api {
    /// A client of the controllers that the command line names.
    pub fn new(args: &GlobalArgs) -> Self {
        let client = Client::builder()
            .connector(Connector::new().timeout(CONNECT.min(args.timeout)))
            .timeout(args.timeout)
            .finish();
        Self {
            controllers: args.controllers.clone(),
            token: args.token.clone(),
            client,
        }
    }

    /// One page of the nodes at and below a path.
    ///
    /// # Errors
    ///
    /// [`CtlError`] where no controller answers or the answer is an error; so for all questions.
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

    /// Where a value comes from.
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

    /// The newest edits about a path.
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

    /// All VMs.
    ///
    /// # Errors
    ///
    /// As [`Self::tree`].
    pub async fn fleet(&self) -> Result<FleetStatus, CtlError> {
        self.get("/v1/fleet").await
    }

    /// One accepted edit.
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

    /// How far an edit is in force.
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

    /// Sends an edit until one controller says what became of it.
    ///
    /// An answer can be lost after the edit has taken effect, and an operator told "failed" would do it
    /// again. The same edit, with its id and base, goes to the next controller instead: the id makes
    /// sure that it takes effect once, and whoever has it already answers with its record.
    ///
    /// # Errors
    ///
    /// [`CtlError::OutcomeUnknown`] where no controller could tell; else as [`Self::tree`].
    pub async fn submit(
        &self,
        edit: &Edit,
        dry_run: bool,
    ) -> Result<EditResponse, CtlError> {
        let path = format!("/v1/edits?dry_run={dry_run}");
        let mut tried = Vec::new();
        let mut may_have_run = false;
        let mut last = None;
        for round in 0..ROUNDS {
            if round > 0 {
                actix_web::rt::time::sleep(BETWEEN_ROUNDS).await;
            }
            for controller in &self.controllers {
                let req = self.request(Method::POST, controller, &path);
                let attempt = match finish(req.send_json(edit).await).await {
                    Ok(answer) => return Ok(answer),
                    Err(attempt) => attempt,
                };
                may_have_run |= attempt.may_have_run() && !dry_run;
                match attempt {
                    // Refused for good: the controller has looked for the id among all that was
                    // accepted since the base, unless it can't look back that far.
                    Attempt::Refused(body) if is_final(&body, may_have_run) => {
                        return Err(CtlError::from(body));
                    }
                    attempt => {
                        tried.push(format!("{controller}: {}", attempt.reason()));
                        last = Some(attempt);
                    }
                }
            }
        }
        match last {
            _ if may_have_run => Err(CtlError::OutcomeUnknown {
                id: edit.id.clone(),
                tried,
            }),
            Some(Attempt::Refused(body)) => Err(CtlError::from(body)),
            _ => Err(CtlError::Unreachable { tried }),
        }
    }

    async fn get<T>(
        &self,
        path: &str,
    ) -> Result<T, CtlError>
    where
        T: DeserializeOwned,
    {
        let mut tried = Vec::new();
        for controller in &self.controllers {
            let req = self.request(Method::GET, controller, path);
            match finish(req.send().await).await {
                Ok(answer) => return Ok(answer),
                Err(Attempt::Garbled(reason)) => {
                    return Err(CtlError::BadAnswer {
                        controller: controller.clone(),
                        reason,
                    });
                }
                Err(Attempt::Refused(body)) if !is_passing(&body) => {
                    return Err(CtlError::from(body));
                }
                Err(attempt) => tried.push(format!("{controller}: {}", attempt.reason())),
            }
        }
        Err(CtlError::Unreachable { tried })
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

/// Whether another controller, or the same one later, may answer otherwise.
fn is_passing(body: &ErrorBody) -> bool {
    Attempt::Refused(Box::new(body.clone())).is_worth_another()
}

/// Whether a refusal of an edit settles what became of it.
fn is_final(
    body: &ErrorBody,
    may_have_run: bool,
) -> bool {
    let in_doubt = may_have_run && looks_back_too_little(body);
    !in_doubt && !is_passing(body)
}

/// Whether a controller refused the base alone, because its log begins later.
fn looks_back_too_little(body: &ErrorBody) -> bool {
    body.kind() == Some(ErrorKind::EditConflict) && body.error.conflicts.is_empty()
}

type Sent<S> = Result<awc::ClientResponse<S>, awc::error::SendRequestError>;

async fn finish<S, T>(sent: Sent<S>) -> Result<T, Attempt>
where
    S: futures::Stream<Item = Result<bytes::Bytes, awc::error::PayloadError>> + Unpin,
    T: DeserializeOwned,
{
    let mut res = sent?;
    let body = res
        .body()
        .limit(MAX_ANSWER)
        .await
        .map_err(|e| Attempt::Lost(e.to_string()))?;
    if res.status().is_success() {
        return serde_json::from_slice(&body).map_err(|e| Attempt::Garbled(e.to_string()));
    }
    match serde_json::from_slice(&body) {
        Ok(error) => Err(Attempt::Refused(Box::new(error))),
        Err(_) => Err(Attempt::Garbled(format!("status {}", res.status()))),
    }
}
