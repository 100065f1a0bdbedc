use {
    super::{
        answer::{answer, prompt_of},
        api::wait_while_hung,
        record::EndReason,
        state::{Engine, Job},
        stream_body::{StreamReader, finish_reason, usage},
    },
    crate::server::{header, lost_reply},
    actix_web::{
        HttpRequest, HttpResponse,
        web::{Data, Json, Path, Query},
    },
    futures::stream,
    serde::Deserialize,
    serde_json::{Value, json},
};

/// Default limit of the answer length, in tokens.
const DEFAULT_MAX_TOKENS: u64 = 256;

/// Query parameters of a resumed stream.
#[derive(Debug)]
#[derive(Deserialize)]
pub(super) struct ResumeQuery {
    #[serde(default)]
    offset: u32,
}

pub(super) async fn generate(
    engine: Data<Engine>,
    req: HttpRequest,
    Json(body): Json<Value>,
) -> HttpResponse {
    wait_while_hung(&engine).await;
    let (name, source, answer_id) = {
        let mut state = engine.lock();
        let instance = body["model"].as_str().unwrap_or_default().to_owned();
        let weights = match state.instances.get(&instance) {
            Some(weights) => weights.clone(),
            None if instance == engine.cfg.model => String::new(),
            None => {
                let code = json!({"error": {"code": "instance_not_loaded", "message": instance}});
                return HttpResponse::NotFound().json(code);
            }
        };
        let name = state.enqueue(&engine.cfg, job(&req, &body, instance, weights));
        let source = if state.faults.crossed_answers == 0 {
            name.clone()
        } else {
            state.faults.crossed_answers -= 1;
            let mut other = state.streams[&name].job.clone();
            "another-account".clone_into(&mut other.account);
            "another-request".clone_into(&mut other.request_id);
            other.prompt.push_str(" of another");
            state.enqueue(&engine.cfg, other)
        };
        let answer_id = state.streams[&source].job.request_id.clone();
        (name, source, answer_id)
    };
    let reader = StreamReader::new(engine.clone().into_inner(), name.clone(), source.clone(), 0);
    match body["stream"].as_bool() {
        Some(true) => streaming_response(reader, &name, &answer_id),
        _ => complete_response(&engine, reader, &name, &source).await,
    }
}

fn job(
    req: &HttpRequest,
    body: &Value,
    instance: String,
    weights: String,
) -> Job {
    let token_limit = body["max_tokens"]
        .as_u64()
        .or(body["max_completion_tokens"].as_u64());
    let priority = match header(req, "x-priority").as_str() {
        "high" => 0,
        "low" => 2,
        _ => 1,
    };
    Job {
        request_id: header(req, "x-request-id"),
        account: header(req, "x-client-account"),
        instance,
        weights,
        chat: req.path().starts_with("/v1/chat"),
        prompt: prompt_of(body),
        priority,
        max_tokens: token_limit.unwrap_or(DEFAULT_MAX_TOKENS).max(1) as u32,
        made: 0,
    }
}

fn streaming_response(
    reader: StreamReader,
    name: &str,
    answer_id: &str,
) -> HttpResponse {
    let weights = reader.weights();
    HttpResponse::Ok()
        .content_type("text/event-stream")
        .insert_header(("x-request-id", answer_id))
        .insert_header(("x-stream", name))
        .insert_header(("x-adapter", weights))
        .streaming(stream::unfold(reader, StreamReader::next_chunk))
}

async fn complete_response(
    engine: &Engine,
    mut reader: StreamReader,
    name: &str,
    source: &str,
) -> HttpResponse {
    let ended = reader.wait_ended().await;
    let state = engine.lock();
    let Some(stream) = state
        .streams
        .get(source)
        .filter(|_| ended == Some(EndReason::Done))
    else {
        return lost_reply();
    };
    let job = &stream.job;
    let text = answer(&job.weights, &job.prompt, job.max_tokens).concat();
    let reason = finish_reason(stream);
    let (object, choice) = if job.chat {
        let message = json!({"role": "assistant", "content": text});
        (
            "chat.completion",
            json!({"index": 0, "message": message, "finish_reason": reason}),
        )
    } else {
        (
            "text_completion",
            json!({"index": 0, "text": text, "finish_reason": reason}),
        )
    };
    let mut usage = usage(stream);
    usage["completion_tokens"] = json!(stream.len);
    HttpResponse::Ok()
        .insert_header(("x-request-id", job.request_id.as_str()))
        .insert_header(("x-stream", name))
        .insert_header(("x-adapter", job.weights.as_str()))
        .json(json!({
            "id": job.request_id,
            "object": object,
            "created": 0,
            "model": job.instance,
            "choices": [choice],
            "usage": usage,
        }))
}

pub(super) async fn resume(
    engine: Data<Engine>,
    name: Path<String>,
    Query(from): Query<ResumeQuery>,
) -> HttpResponse {
    wait_while_hung(&engine).await;
    let known = engine
        .lock()
        .streams
        .get(name.as_str())
        .map(|stream| stream.job.request_id.clone());
    let Some(request_id) = known else {
        return HttpResponse::NotFound().json(json!({"error": {"code": "stream_unknown"}}));
    };
    let name = name.into_inner();
    let reader = StreamReader::new(engine.into_inner(), name.clone(), name.clone(), from.offset);
    streaming_response(reader, &name, &request_id)
}

pub(super) async fn cancel(
    engine: Data<Engine>,
    name: Path<String>,
) -> HttpResponse {
    wait_while_hung(&engine).await;
    let open = engine.lock().end(&name, EndReason::Cancelled);
    engine.tick.send_replace(());
    if open {
        HttpResponse::Ok().json(json!({"cancelled": true}))
    } else {
        HttpResponse::NotFound().json(json!({"error": {"code": "stream_unknown"}}))
    }
}
