use {
    super::{
        admit::IncomingRequest,
        answers::{REQUEST_ID, error_response},
        completions::has_access,
    },
    actix_web::{HttpRequest, HttpResponse},
    jasmine_conf::fleet::Fleet,
    jasmine_core::ids::AccountId,
    serde_json::{Value, json},
};

/// `GET /v1/models`
pub(super) async fn list(req: HttpRequest) -> HttpResponse {
    let Some(incoming) = IncomingRequest::new(&req) else {
        return HttpResponse::InternalServerError().finish();
    };
    match incoming.authenticate(&req) {
        Ok(caller) => HttpResponse::Ok()
            .insert_header((REQUEST_ID, incoming.name.as_str()))
            .json(json!({
                "object": "list",
                "data": models(&caller.fleet, caller.account.id),
            })),
        Err(problem) => error_response(&incoming.worker.shared, &incoming.name, "", &problem),
    }
}

/// Lists the base models, then the adapters with a live version and all adapter versions.
fn models(
    fleet: &Fleet,
    account: AccountId,
) -> Vec<Value> {
    let to_json = |id: String| json!({"id": id, "object": "model", "owned_by": "jasminespan"});
    let bases = fleet.models.iter().map(|model| model.name.clone());
    let adapters = fleet
        .adapters
        .iter()
        .filter(|adapter| has_access(&adapter.access, account))
        .flat_map(|adapter| {
            let live = adapter.live.map(|_| adapter.name.clone());
            let versions = adapter.versions.keys();
            live.into_iter()
                .chain(versions.map(move |version| format!("{}@{version}", adapter.name)))
        });
    bases.chain(adapters).map(to_json).collect()
}
