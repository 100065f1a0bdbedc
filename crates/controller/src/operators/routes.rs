use {
    super::{
        ApiError, OperatorsLink, ReadFleet, ReadTree, SubmitEdit, TreeView,
        guard::guard,
        queries::{self, HistoryQuery, TreeQuery},
    },
    actix_web::{
        App, HttpRequest, HttpResponse, HttpServer,
        dev::Server,
        error::PayloadError,
        middleware::from_fn,
        web::{self, Bytes, Data, Path as UrlPath, PayloadConfig},
    },
    jasmine_conf::{
        api::{EditProgress, EditResponse},
        settings::OperatorsSettings,
        tree::{Edit, EditId, MAX_EDIT_BYTES, Path, Setting},
    },
    jasmine_core::error::ErrorKind,
    serde::{Deserialize, de::DeserializeOwned},
    std::{
        net::TcpListener,
        time::{Duration, SystemTime, UNIX_EPOCH},
    },
};

/// Timeout for receiving the head of a request.
const REQUEST_HEAD_TIMEOUT: Duration = Duration::from_secs(10);
/// Worker threads of the HTTP server.
const WORKER_THREADS: usize = 1;
/// Largest request body: an edit of maximum size plus whitespace in its JSON.
const MAX_BODY_BYTES: usize = 2 * MAX_EDIT_BYTES;

type HandlerResult = Result<HttpResponse, ApiError>;

/// Starts the operators' HTTP server on a bound listener.
///
/// # Errors
///
/// The I/O error if the listener can't be used.
pub fn listen(
    listener: TcpListener,
    link: OperatorsLink,
    operators: OperatorsSettings,
) -> std::io::Result<Server> {
    let server = HttpServer::new(move || {
        let (link, operators) = (link.clone(), operators.clone());
        App::new().configure(move |cfg| configure(cfg, link, operators))
    })
    .workers(WORKER_THREADS)
    .client_request_timeout(REQUEST_HEAD_TIMEOUT)
    .disable_signals()
    .listen(listener)?;
    Ok(server.run())
}

/// Registers the operators' routes in an application.
pub fn configure(
    cfg: &mut web::ServiceConfig,
    link: OperatorsLink,
    operators: OperatorsSettings,
) {
    let scope = web::scope("")
        .wrap(from_fn(guard))
        .app_data(Data::new(link))
        .app_data(Data::new(operators))
        .app_data(PayloadConfig::new(MAX_BODY_BYTES))
        .route("/v1/tree", web::get().to(get_tree))
        .route("/v1/explain", web::get().to(get_explain))
        .route("/v1/history", web::get().to(get_history))
        .route("/v1/edits", web::post().to(post_edit))
        .route("/v1/edits/{id}", web::get().to(get_edit))
        .route("/v1/fleet", web::get().to(get_fleet))
        .route("/v1/fleet/edit/{id}", web::get().to(get_progress))
        .default_service(web::to(no_such_route));
    cfg.service(scope);
}

/// Query parameters of the explain route.
#[derive(Debug)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct ExplainQuery {
    path: Path,
    setting: Setting,
}

/// Query parameters of the edit route.
#[derive(Debug, Default)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct EditQuery {
    #[serde(default)]
    dry_run: bool,
}

async fn get_tree(
    req: HttpRequest,
    link: Data<OperatorsLink>,
) -> HandlerResult {
    let query: TreeQuery = parse_query(&req)?;
    let view = link.read.send(ReadTree).await??;
    Ok(HttpResponse::Ok().json(queries::tree_page(&view.tree, &query)?))
}

async fn get_explain(
    req: HttpRequest,
    link: Data<OperatorsLink>,
) -> HandlerResult {
    let query: ExplainQuery = parse_query(&req)?;
    let view = link.read.send(ReadTree).await??;
    let explanation = view
        .tree
        .explain(&query.path, query.setting)
        .map_err(|e| ApiError::of_read(&e))?;
    Ok(HttpResponse::Ok().json(explanation))
}

async fn get_history(
    req: HttpRequest,
    link: Data<OperatorsLink>,
) -> HandlerResult {
    let query: HistoryQuery = parse_query(&req)?;
    let view = link.read.send(ReadTree).await??;
    Ok(HttpResponse::Ok().json(queries::history(&view, &query)))
}

async fn post_edit(
    req: HttpRequest,
    body: Result<Bytes, actix_web::Error>,
    link: Data<OperatorsLink>,
) -> HandlerResult {
    let query: EditQuery = parse_query(&req)?;
    let body = body.map_err(|e| body_error(&e))?;
    let edit: Edit = serde_json::from_slice(&body).map_err(|e| bad_request(&e))?;
    let accepted = if query.dry_run {
        dry_run(&link, &edit).await?
    } else {
        link.submit.send(SubmitEdit(edit)).await??
    };
    Ok(HttpResponse::Ok().json(EditResponse {
        revision: accepted.revision,
        dry_run: query.dry_run,
        accepted,
    }))
}

/// Validates an edit against the current tree without writing it.
async fn dry_run(
    link: &OperatorsLink,
    edit: &Edit,
) -> Result<jasmine_conf::tree::AcceptedEdit, ApiError> {
    let TreeView { tree, log } = link.read.send(ReadTree).await??;
    let now = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    let proposal = tree.propose(edit, &log, now.as_millis() as u64)?;
    Ok(proposal.accepted)
}

async fn get_edit(
    id: UrlPath<String>,
    link: Data<OperatorsLink>,
) -> HandlerResult {
    let id = EditId::parse(&id)?;
    let view = link.read.send(ReadTree).await??;
    let accepted = view.log.find(&id).ok_or_else(|| no_such_edit(&id))?;
    Ok(HttpResponse::Ok().json(accepted))
}

async fn get_fleet(link: Data<OperatorsLink>) -> HandlerResult {
    let fleet = link.fleet.send(ReadFleet).await??;
    Ok(HttpResponse::Ok().json(fleet))
}

async fn get_progress(
    id: UrlPath<String>,
    link: Data<OperatorsLink>,
) -> HandlerResult {
    let id = EditId::parse(&id)?;
    let view = link.read.send(ReadTree).await??;
    let revision = view
        .log
        .find(&id)
        .map(|accepted| accepted.revision)
        .ok_or_else(|| no_such_edit(&id))?;
    let fleet = link.fleet.send(ReadFleet).await??;
    Ok(HttpResponse::Ok().json(EditProgress::of(id, revision, &fleet)))
}

async fn no_such_route() -> HandlerResult {
    Err(ApiError::from(ErrorKind::NotFound))
}

fn parse_query<Q>(req: &HttpRequest) -> Result<Q, ApiError>
where
    Q: DeserializeOwned,
{
    web::Query::<Q>::from_query(req.query_string())
        .map(web::Query::into_inner)
        .map_err(|e| ApiError::new(ErrorKind::BadRequest, e.to_string()))
}

fn bad_request(e: &serde_json::Error) -> ApiError {
    ApiError::new(
        ErrorKind::BadRequest,
        format!("the body is not a valid edit: {e}"),
    )
}

fn no_such_edit(id: &EditId) -> ApiError {
    ApiError::new(
        ErrorKind::NotFound,
        format!("edit {id} is not in the log of the newest edits"),
    )
}

fn body_error(e: &actix_web::Error) -> ApiError {
    match e.as_error::<PayloadError>() {
        Some(PayloadError::Overflow) => ApiError::new(
            ErrorKind::BodyTooLarge,
            format!("the edit exceeds {MAX_EDIT_BYTES} bytes: split it"),
        ),
        _ => ApiError::new(
            ErrorKind::BadRequest,
            "the request body could not be read".to_owned(),
        ),
    }
}
