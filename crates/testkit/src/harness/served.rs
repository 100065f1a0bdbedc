use {
    super::{cluster::Cluster, poll::poll},
    crate::client::Call,
    std::time::Duration,
};

/// How long one try may take.
const TRY_BOUND: Duration = Duration::from_secs(5);

/// How long until a chat of the account `clinic` with this model comes back whole at this VM.
///
/// # Panics
///
/// When none does within `bound`: with the answer that came last.
pub async fn served_within(
    cluster: &Cluster,
    vm: u32,
    model: &str,
    bound: Duration,
) -> Duration {
    let mut call = Call::chat(
        cluster.callers(vm),
        cluster.key("clinic"),
        model,
        "hi",
        16,
        true,
    );
    call.timeout = TRY_BOUND;
    let look = || async {
        match call.send().await {
            Ok(answer) if answer.is_whole() => Ok(()),
            Ok(answer) => Err(format!("{} {}", answer.status, answer.code())),
            Err(e) => Err(e.to_string()),
        }
    };
    let wanted = format!("{model} at VM {vm}");
    match poll(&wanted, bound, look).await {
        Ok((took, ())) => took,
        Err(e) => panic!("{e}"),
    }
}
