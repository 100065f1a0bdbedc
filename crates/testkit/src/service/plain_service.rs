use {
    crate::server::{self, RunningServer, header, header_list, lost_reply, unix_ms},
    actix_web::{
        HttpRequest, HttpResponse,
        web::{self, Bytes, Data, Json},
    },
    serde::{Deserialize, Serialize},
    serde_json::json,
    std::{
        future, io,
        net::SocketAddr,
        sync::{Mutex, MutexGuard, PoisonError},
        time::Duration,
    },
    tokio::time,
};

/// Faults injected into the service.
#[derive(Clone, Debug, Default)]
#[derive(Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ServiceFaults {
    /// Delay of each response after the call took effect, in milliseconds.
    pub delay_ms: u64,
    /// Number of next calls that take effect but get no response.
    pub lose_replies: u32,
    /// Number of next calls refused with 503.
    pub refuse: u32,
}

/// One call that took effect.
#[derive(Clone, Debug)]
#[derive(Serialize, Deserialize)]
pub struct ServedCall {
    /// Request id from the `x-request-id` header.
    pub request_id: String,
    /// Client account from the `x-client-account` header.
    pub account: String,
    /// Idempotency key, empty if absent.
    pub idempotency_key: String,
    /// HTTP method.
    pub method: String,
    /// Path with the query.
    pub path: String,
    /// Request body as text.
    pub body: String,
    /// All request headers.
    pub headers: Vec<(String, String)>,
    /// When it took effect, in milliseconds of Unix time.
    pub at_ms: u64,
}

#[derive(Debug, Default)]
struct State {
    faults: ServiceFaults,
    calls: Vec<ServedCall>,
}

#[derive(Debug, Default)]
struct PlainService(Mutex<State>);

impl PlainService {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Starts a fake service that listens on `address`.
///
/// # Errors
///
/// When the address can't be bound.
pub fn start(address: SocketAddr) -> io::Result<RunningServer> {
    let service = Data::new(PlainService::default());
    let routes = move |cfg: &mut web::ServiceConfig| {
        cfg.app_data(Data::clone(&service))
            .route("/stand-in/fault", web::post().to(set_faults))
            .route("/stand-in/record", web::get().to(record))
            .default_service(web::to(serve));
    };
    server::start(address, routes, || future::ready(()))
}

async fn serve(
    service: Data<PlainService>,
    req: HttpRequest,
    body: Bytes,
) -> HttpResponse {
    let call = ServedCall {
        request_id: header(&req, "x-request-id"),
        account: header(&req, "x-client-account"),
        idempotency_key: header(&req, "idempotency-key"),
        method: req.method().to_string(),
        path: req.uri().to_string(),
        body: String::from_utf8_lossy(&body).into_owned(),
        headers: header_list(&req),
        at_ms: unix_ms(),
    };
    let answer = json!({
        "method": call.method,
        "path": call.path,
        "account": call.account,
        "request_id": call.request_id,
    });
    let (delay, drop_reply) = {
        let mut state = service.lock();
        if state.faults.refuse > 0 {
            state.faults.refuse -= 1;
            return HttpResponse::ServiceUnavailable().json(json!({"error": "refused"}));
        }
        state.calls.push(call);
        let drop_reply = state.faults.lose_replies > 0;
        state.faults.lose_replies -= u32::from(drop_reply);
        (state.faults.delay_ms, drop_reply)
    };
    if delay > 0 {
        // A zero sleep would still take up to 1 ms.
        time::sleep(Duration::from_millis(delay)).await;
    }
    if drop_reply {
        lost_reply()
    } else {
        HttpResponse::Ok().json(answer)
    }
}

async fn set_faults(
    service: Data<PlainService>,
    Json(faults): Json<ServiceFaults>,
) -> HttpResponse {
    service.lock().faults = faults;
    HttpResponse::NoContent().finish()
}

async fn record(service: Data<PlainService>) -> HttpResponse {
    HttpResponse::Ok().json(&service.lock().calls)
}
