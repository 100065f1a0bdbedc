use {
    crate::{session::LeaseSession, shared::SharedParts},
    futures::future::join_all,
    jasmine_core::{clock::Millis, ids::VmId},
    rand::seq::IndexedRandom,
    std::rc::Rc,
};

/// Controllers that are asked whether they reach the store.
const ASKED: usize = 5;

/// For how long their word is good.
const EXTENSION: Millis = Millis(3_000);

/// Lets an owner go on giving orders while the store is out for everybody.
///
/// A lease can't be renewed in an outage, and without it an adapter that isn't loaded would stay so
/// until the store is back. But then nobody else can become the owner either. What this must not be
/// mistaken for is one VM that is cut off or was frozen while the others move on: so the other
/// controllers are asked, and any one that reaches the store, or too few that answer, ends it. Should
/// a whole part of the fleet be cut off together, the rules of the owner's machine still hold: late
/// loads have names that nobody routes to, and unloads need the word of each holder.
#[derive(Debug)]
pub struct OutageLease {
    shared: SharedParts,
    session: Rc<LeaseSession>,
}

impl OutageLease {
    /// An extension of the session's lease.
    pub const fn new(
        shared: SharedParts,
        session: Rc<LeaseSession>,
    ) -> Self {
        Self { shared, session }
    }

    /// Until when orders may be given, by this process's own clock.
    pub async fn until(&self) -> Millis {
        let held = self.session.until();
        // Without a lease that was never seen to end there is nothing to go on with.
        if self.session.sure().is_some() || self.session.id().is_none() {
            return held;
        }
        let asked = self.shared.clock.now();
        if self.is_out_for_all().await {
            return asked + EXTENSION;
        }
        held
    }

    async fn is_out_for_all(&self) -> bool {
        let others: Vec<VmId> = {
            let fleet = self.shared.fleet.borrow();
            let vms = fleet.members.keys().copied();
            vms.filter(|&vm| vm != self.shared.me.vm).collect()
        };
        let asked: Vec<VmId> = others
            .choose_multiple(&mut rand::rng(), ASKED)
            .copied()
            .collect();
        let answers = join_all(asked.iter().map(|&vm| self.shared.links.status(vm))).await;
        let answered: Vec<_> = answers.into_iter().flatten().collect();
        answered.len() * 2 >= asked.len() && answered.iter().all(|status| !status.store_up)
    }
}
