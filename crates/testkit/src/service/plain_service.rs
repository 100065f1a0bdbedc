use {
    crate::server::{self, Running, header, header_list, lost_reply, unix_ms},
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

/// What goes wrong at the service from now on.
#[derive(Clone, Debug, Default)]
#[derive(Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ServiceFaults {
    /// Each call takes this long after its effect, milliseconds.
    pub delay_ms: u64,
    /// So many of the next calls take effect without an answer.
    pub lose_replies: u32,
    /// So many of the next calls are answered with 503 and have no effect.
    pub refuse: u32,
}

/// One call that took effect.
#[derive(Clone, Debug)]
#[derive(Serialize, Deserialize)]
pub struct ServedCall {
    /// The request id it came with.
    pub request_id: String,
    /// The client account it came for.
    pub account: String,
    /// The idempotency key it came with, empty without one.
    pub idempotency_key: String,
    /// Its HTTP method.
    pub method: String,
    /// Its path with the query.
    pub path: String,
    /// Its body as text.
    pub body: String,
    /// All its headers.
    pub headers: Vec<(String, String)>,
    /// When it took effect, milliseconds of Unix time.
    pub at_ms: u64,
}

#[derive(Debug, Default)]
struct Inner {
    faults: ServiceFaults,
    calls: Vec<ServedCall>,
}

#[derive(Debug, Default)]
struct PlainService(Mutex<Inner>);

impl PlainService {
    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Starts a server of a plain service at `address`.
///
/// # Errors
///
/// When the address can't be bound.
pub fn start(address: SocketAddr) -> io::Result<Running> {
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
    let (delay, lost) = {
        let mut inner = service.lock();
        if inner.faults.refuse > 0 {
            inner.faults.refuse -= 1;
            return HttpResponse::ServiceUnavailable().json(json!({"error": "refused"}));
        }
        inner.calls.push(call);
        let lost = inner.faults.lose_replies > 0;
        inner.faults.lose_replies -= u32::from(lost);
        (inner.faults.delay_ms, lost)
    };
    if delay > 0 {
        // Even a sleep of nought would cost the timer's millisecond.
        time::sleep(Duration::from_millis(delay)).await;
    }
    if lost {
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
