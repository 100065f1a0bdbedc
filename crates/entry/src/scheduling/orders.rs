use {
    super::{SchedulerNode, local_scheduler::EngineTask},
    crate::{
        metrics::EntryMetrics,
        upstream::{CallError, HttpCall, Pool},
    },
    jasmine_core::{
        clock::Millis,
        ids::{AdapterVersion, ModelId, UpstreamId},
        scheduler::{Order, OrderResult},
    },
    jasmine_platform::{
        engine::{
            EngineOrder, EngineReport, ORDER_TARGET, OrderKind, OrderResponse, REPORT_TARGET,
            decode_order_status, decode_report, encode_order,
        },
        headers::write_expected_upstream,
    },
    jasmine_telemetry::log::Line,
    std::{net::SocketAddr, rc::Rc},
    tokio::{sync::mpsc, task::spawn_local},
};

/// Timeout of an order or a report; leaves time for one TCP retransmission.
const CALL_TIMEOUT: Millis = Millis(250);

/// A call to an engine.
#[derive(Clone, Copy, Debug)]
enum EngineCall<'a> {
    /// An order with this body.
    Order(&'a [u8]),
    /// The question for its report.
    Report,
}

/// Everything needed to send orders to engines.
#[derive(Clone, Debug)]
pub struct OrderContext {
    /// Supplies the fencing token and receives the results.
    pub scheduling: Rc<SchedulerNode>,
    /// Connections to upstreams, for orders as long as they have carried nothing else.
    pub pool: Rc<Pool>,
    /// Connections that carry reports only: one that comes twice is no more than an old one.
    pub report_pool: Rc<Pool>,
    /// Counts orders by result.
    pub metrics: Rc<EntryMetrics>,
}

/// Sends the scheduler's engine tasks concurrently and reports their results back; ends when the channel closes.
pub async fn run_engine_tasks(
    cx: OrderContext,
    mut tasks: mpsc::UnboundedReceiver<EngineTask>,
) {
    while let Some(task) = tasks.recv().await {
        let cx = cx.clone();
        spawn_local(async move {
            match task {
                EngineTask::Order(upstream, order, after_seq) => {
                    let end = cx.order(upstream, order, after_seq).await;
                    cx.metrics.order(end);
                    cx.scheduling
                        .local_scheduler
                        .order_ended(upstream, order, end);
                }
                EngineTask::Report(upstream) => {
                    let report = cx.report(upstream).await;
                    let local_scheduler = &cx.scheduling.local_scheduler;
                    local_scheduler.report(upstream, report.as_ref());
                }
            }
        });
    }
}

impl OrderContext {
    /// Creates the context of orders over connections of `pool`.
    pub fn new(
        scheduling: Rc<SchedulerNode>,
        pool: Rc<Pool>,
        metrics: Rc<EntryMetrics>,
    ) -> Self {
        Self {
            scheduling,
            report_pool: Rc::new(pool.separate()),
            pool,
            metrics,
        }
    }

    async fn order(
        &self,
        upstream: UpstreamId,
        order: Order,
        after_seq: u64,
    ) -> OrderResult {
        let target = self.scheduling.local_scheduler.upstream(upstream);
        let (Some((id, address)), Some(fence)) = (target, self.scheduling.fence_for_order()) else {
            return OrderResult::Unsent;
        };
        let order = self.engine_order(order, after_seq, fence);
        let answer = self
            .call(&id, address, EngineCall::Order(&encode_order(&order)))
            .await;
        let end = match answer {
            Err(CallError::NotSent) => OrderResult::Unsent,
            Err(CallError::NoResponse(_)) => OrderResult::Lost,
            Ok((status, _)) => self.order_end(decode_order_status(status)),
        };
        Line::new("order_given")
            .with("upstream", &id)
            .with("op", format!("{:?}", order.kind))
            .with("adapter", order.adapter.as_deref().unwrap_or("-"))
            .with("after_seq", after_seq)
            .with("fence", fence)
            .with("end", format!("{end:?}"))
            .info();
        end
    }

    fn order_end(
        &self,
        answer: OrderResponse,
    ) -> OrderResult {
        match answer {
            OrderResponse::Accepted => OrderResult::Accepted,
            OrderResponse::Holds => OrderResult::Holds,
            OrderResponse::Conflict => OrderResult::Conflict,
            OrderResponse::OtherUpstream => OrderResult::OtherUpstream,
            OrderResponse::Refused(_) => OrderResult::Refused,
            // Another VM was elected: further orders under this token would be refused too.
            OrderResponse::Fenced => {
                self.scheduling
                    .step_down("an engine has seen a higher fencing token");
                OrderResult::Refused
            }
        }
    }

    fn engine_order(
        &self,
        order: Order,
        after_seq: u64,
        fence: jasmine_core::ids::Fence,
    ) -> EngineOrder {
        let names = self.scheduling.local_scheduler.names();
        let build =
            |kind, model: ModelId, adapter: Option<AdapterVersion>, announced: bool| EngineOrder {
                kind,
                model: names.model_name(model).to_string(),
                adapter: adapter.map(|adapter| names.adapter_name(adapter.adapter)),
                version: adapter.filter(|_| announced).map(|adapter| adapter.version),
                after_seq,
                holder: self.scheduling.me().to_owned(),
                fence,
            };
        match order {
            Order::Load {
                model,
                adapter,
                announced,
            } => build(OrderKind::Load, model, Some(adapter), announced),
            Order::Unload { model, adapter } => {
                build(OrderKind::Unload, model, Some(adapter), false)
            }
            Order::LoadModel(model) => build(OrderKind::Load, model, None, false),
        }
    }

    async fn report(
        &self,
        upstream: UpstreamId,
    ) -> Option<EngineReport> {
        let (id, address) = self.scheduling.local_scheduler.upstream(upstream)?;
        let (status, body) = self
            .call(&id, address, EngineCall::Report)
            .await
            .inspect_err(|e| {
                Line::new("report_failed")
                    .with("upstream", &id)
                    .with("reason", e)
                    .info();
            })
            .ok()?;
        let report = decode_report(status, &body).inspect_err(|e| {
            Line::new("report_unreadable")
                .with("upstream", &id)
                .with("status", status)
                .with("reason", e)
                .warn();
        });
        report.ok()
    }

    async fn call(
        &self,
        id: &str,
        address: SocketAddr,
        call: EngineCall<'_>,
    ) -> Result<(u16, bytes::Bytes), CallError> {
        let mut headers = String::new();
        write_expected_upstream(id, &mut headers);
        let (method, target, body, pool) = match call {
            EngineCall::Order(body) => ("POST", ORDER_TARGET, body, &self.pool),
            EngineCall::Report => ("GET", REPORT_TARGET, &[][..], &self.report_pool),
        };
        let is_order = matches!(call, EngineCall::Order(_));
        let call = HttpCall {
            address,
            method,
            target,
            headers: &headers,
            body,
            timeout: CALL_TIMEOUT,
            requires_new_connection: is_order,
        };
        call.send(pool).await
    }
}
