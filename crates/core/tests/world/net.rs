use {
    super::Request,
    jasmine_core::{
        ids::Holder,
        ownership::{AcquireOutcome, OwnerAction, OwnerEvent},
        placement::Instance,
        routing::{EngineView, RequestOutcome},
    },
};

/// A message in transit.
#[derive(Clone)]
pub enum Message {
    ToOwner(usize, OwnerEvent),
    Order(usize, OwnerAction),
    Reply {
        to: Holder,
        ask: u64,
        outcome: AcquireOutcome,
    },
    PollReply {
        to: Holder,
        views: Vec<EngineView>,
        recalls: Vec<Instance>,
    },
    Recall(Holder, Instance),
    Request {
        from: Holder,
        instance: Instance,
        request: Request,
    },
    Response {
        to: Holder,
        instance: Instance,
        finish: RequestOutcome,
        request: Request,
    },
}
