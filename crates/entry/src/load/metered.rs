use {
    super::{WorkMeter, WorkPart},
    std::{future::poll_fn, pin::pin, rc::Rc},
};

/// Runs a future whose processor time counts for a part.
pub async fn metered<F>(
    meter: Rc<WorkMeter>,
    part: WorkPart,
    f: F,
) -> F::Output
where
    F: Future,
{
    let mut f = pin!(f);
    poll_fn(|cx| {
        let _step = meter.enter(part);
        f.as_mut().poll(cx)
    })
    .await
}
