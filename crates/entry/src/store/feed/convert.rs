//! Conversion of store changes to and from RPC messages between VMs.

use {
    super::FeedReply,
    jasmine_core::{clock::Millis, feed::SourceFailure},
    jasmine_store::store::{KeyValue, WatchEvent},
    jasmine_wire::{
        link::{Link, LinkError},
        scheduler_capnp::{FeedState, change, scheduler},
    },
};

/// Wire value of `since_recovery` if the store didn't recover recently, in milliseconds.
const NO_RECENT_RECOVERY: u32 = u32::MAX;

/// Requests the changes after a revision from a VM, which may hold the request for `wait`.
///
/// # Errors
///
/// [`LinkError`].
pub(in crate::store) async fn ask_peer(
    link: &Link<scheduler::Client>,
    after: u64,
    minor_after: Option<u64>,
    wait: Millis,
) -> Result<FeedReply, LinkError> {
    link.call(wait, |client| async move {
        let mut req = client.changes_request();
        req.get().set_after(after);
        req.get().set_minor_after(minor_after.unwrap_or_default());
        req.get().set_wait_ms(wait.0 as u32);
        let res = req.send().promise.await?;
        read_reply(res.get()?)
    })
    .await
}

/// Writes the reply to [`ask_peer`].
pub(crate) fn write_reply(
    mut to: scheduler::changes_results::Builder<'_>,
    reply: &FeedReply,
) {
    match reply {
        FeedReply::Unknown(SourceFailure::Stale) => to.set_state(FeedState::Stale),
        FeedReply::Unknown(SourceFailure::HistoryGone) => to.set_state(FeedState::HistoryGone),
        FeedReply::Unknown(SourceFailure::NotReading | SourceFailure::Unreachable) => {
            to.set_state(FeedState::NotReading);
        }
        FeedReply::Changes {
            revision,
            since_recovery,
            answered_ago,
            events,
        } => {
            to.set_state(FeedState::Current);
            to.set_revision(*revision);
            to.set_answered_ago_ms(answered_ago.0 as u32);
            to.set_since_back_ms(since_recovery.map_or(NO_RECENT_RECOVERY, |ms| ms.0 as u32));
            let mut list = to.init_changes(events.len() as u32);
            for (at, event) in events.iter().enumerate() {
                write_change(list.reborrow().get(at as u32), event);
            }
        }
    }
}

fn read_reply(from: scheduler::changes_results::Reader<'_>) -> Result<FeedReply, capnp::Error> {
    let failure = match from.get_state()? {
        FeedState::Current => None,
        FeedState::Stale => Some(SourceFailure::Stale),
        FeedState::NotReading => Some(SourceFailure::NotReading),
        FeedState::HistoryGone => Some(SourceFailure::HistoryGone),
    };
    if let Some(failure) = failure {
        return Ok(FeedReply::Unknown(failure));
    }
    let since_recovery = match from.get_since_back_ms() {
        NO_RECENT_RECOVERY => None,
        ms => Some(Millis(ms.into())),
    };
    let events: Result<Vec<WatchEvent>, capnp::Error> =
        from.get_changes()?.iter().map(read_change).collect();
    Ok(FeedReply::Changes {
        revision: from.get_revision(),
        since_recovery,
        answered_ago: Millis(from.get_answered_ago_ms().into()),
        events: events?,
    })
}

fn write_change(
    mut to: change::Builder<'_>,
    event: &WatchEvent,
) {
    let (WatchEvent::Put(kv) | WatchEvent::Delete(kv)) = event;
    to.set_deleted(matches!(event, WatchEvent::Delete(_)));
    to.set_key(&kv.key);
    to.set_value(&kv.value);
    to.set_create_revision(kv.create_revision);
    to.set_revision(kv.mod_revision);
    to.set_lease(kv.lease);
}

fn read_change(from: change::Reader<'_>) -> Result<WatchEvent, capnp::Error> {
    let kv = KeyValue {
        key: from.get_key()?.to_string()?,
        value: from.get_value()?.to_vec(),
        create_revision: from.get_create_revision(),
        mod_revision: from.get_revision(),
        lease: from.get_lease(),
    };
    Ok(if from.get_deleted() {
        WatchEvent::Delete(kv)
    } else {
        WatchEvent::Put(kv)
    })
}
