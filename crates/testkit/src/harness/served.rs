use {
    super::{cluster::Cluster, poll::poll},
    crate::client::Call,
    std::time::Duration,
};

/// Timeout of a single attempt.
const ATTEMPT_TIMEOUT: Duration = Duration::from_secs(5);

/// Retries a chat of account `clinic` until it succeeds; returns the time taken.
///
/// # Panics
///
/// When no chat succeeds within `timeout`; the message contains the last answer.
pub async fn wait_until_served(
    cluster: &Cluster,
    vm: u32,
    model: &str,
    timeout: Duration,
) -> Duration {
    let mut call = Call::chat(
        cluster.caller_address(vm),
        cluster.key("clinic"),
        model,
        "hi",
        16,
        true,
    );
    call.timeout = ATTEMPT_TIMEOUT;
    let check = || async {
        match call.send().await {
            Ok(answer) if answer.is_complete() => Ok(()),
            Ok(answer) => Err(format!("{} {}", answer.status, answer.code())),
            Err(e) => Err(e.to_string()),
        }
    };
    let condition = format!("{model} at VM {vm}");
    match poll(&condition, timeout, check).await {
        Ok((elapsed, ())) => elapsed,
        Err(e) => panic!("{e}"),
    }
}
