use {
    super::{ChangeSource, Feed, KvStore, feed::Confirmations, view::View},
    crate::{clock::Clock, context::Context},
    jasmine_core::clock::Millis,
    jasmine_platform::{configuration, entries},
    jasmine_store::store::StoreError,
    jasmine_telemetry::log::Line,
    std::rc::Rc,
    tokio::time::sleep,
};

/// Shortest time from one question to the next.
const MIN_INTERVAL: Millis = Millis(50);
/// Time for the question of each VM, so that all of them together ask a thousand times a second at most.
const INTERVAL_PER_VM: Millis = Millis(1);

/// What decisions need to know for sure.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Subject {
    /// The upstreams.
    Upstreams,
    /// The configuration.
    Configuration,
}

impl Subject {
    /// The prefix of its keys.
    const fn prefix(self) -> &'static str {
        match self {
            Self::Upstreams => entries::PREFIX,
            Self::Configuration => configuration::KEY,
        }
    }

    /// As of when it is known.
    const fn confirmations(
        self,
        feed: &Feed,
    ) -> &Confirmations {
        match self {
            Self::Upstreams => feed.upstreams(),
            Self::Configuration => feed.config(),
        }
    }

    /// The event in the log of a question that has failed.
    fn log_failure(
        self,
        revision: u64,
        e: &StoreError,
    ) {
        let line = match self {
            Self::Upstreams => Line::new("upstreams_not_confirmed"),
            Self::Configuration => Line::new("config_not_confirmed"),
        };
        line.with("revision", revision).with("reason", e).info();
    }
}

/// Asks the store for changes of a subject whenever a decision needs to know that this VM has missed none; never returns.
///
/// VMs that follow another one, and those that batch changes, learn of a change up to a second late, and later still
/// after they were suspended or cut off.
pub(super) async fn keep_confirming(
    cx: Rc<Context>,
    store: KvStore,
    feed: Rc<Feed>,
    view: Rc<View>,
    subject: Subject,
) {
    let confirmations = subject.confirmations(&feed);
    // The revision up to which all changes of the subject are known.
    let mut known = 0;
    loop {
        confirmations.requested().await;
        let asked_at = Clock.now();
        let after = feed.revision().max(known);
        match catch_up(&store, &view, subject, after).await {
            Ok(revision) => {
                known = revision.max(after);
                confirmations.set_known_at(asked_at);
            }
            Err(e) => {
                subject.log_failure(after, &e);
                confirmations.set_failed();
            }
        }
        let vms = cx.origins.vms() as u64;
        sleep(MIN_INTERVAL.max(Millis(INTERVAL_PER_VM.0 * vms)).to_std()).await;
    }
}

/// Applies the changes of a subject that this VM doesn't know; returns the revision up to which it knows all of them.
async fn catch_up(
    store: &KvStore,
    view: &Rc<View>,
    subject: Subject,
    after: u64,
) -> Result<u64, StoreError> {
    let batch = store.changes_since(subject.prefix(), after).await?;
    match (batch.compacted, subject) {
        (None, _) => {
            view.apply_all(&batch.events, &ChangeSource::Question).await;
            Ok(batch.revision)
        }
        // Upstreams that have left since then would be missed.
        (Some(_), Subject::Upstreams) => Err(StoreError::OutcomeUnknown("history lost".to_owned())),
        (Some(_), Subject::Configuration) => {
            let page = store.read_page(configuration::KEY, None).await?;
            view.apply_config(&page);
            Ok(page.revision)
        }
    }
}
