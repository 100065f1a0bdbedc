use {
    super::ControllerContext,
    crate::{
        config::EditSubmitError,
        fleet::MemberRecord,
        operators::{
            OperatorsLink, ReadFleet, ReadFleetResult, ReadTree, ReadTreeResult, SubmitEdit,
            SubmitEditResult, SubmitError, TreeView,
        },
        peers::PeerStatus,
    },
    actix::{Actor, Addr, Context, Handler, ResponseFuture},
    futures::{StreamExt, stream},
    jasmine_conf::api::{DaemonState, FleetStatus, VmStatus},
    jasmine_core::{error::ErrorKind, ids::Revision},
    std::rc::Rc,
};

/// Concurrent status requests to other controllers.
const MAX_CONCURRENT_STATUS_CALLS: usize = 32;

/// Serves requests of the operators' HTTP threads from the controller's thread.
#[derive(Debug)]
pub struct OperatorsActor {
    cx: Rc<ControllerContext>,
}

impl OperatorsActor {
    /// Creates an actor that reads this controller's state.
    pub const fn new(cx: Rc<ControllerContext>) -> Self {
        Self { cx }
    }

    /// Recipients for the operators' HTTP handlers.
    pub fn link(addr: &Addr<Self>) -> OperatorsLink {
        OperatorsLink {
            read: addr.clone().recipient(),
            submit: addr.clone().recipient(),
            fleet: addr.clone().recipient(),
        }
    }
}

impl Actor for OperatorsActor {
    type Context = Context<Self>;
}

impl Handler<ReadTree> for OperatorsActor {
    type Result = ReadTreeResult;

    fn handle(
        &mut self,
        _: ReadTree,
        _: &mut Self::Context,
    ) -> Self::Result {
        let (tree, log) = self.cx.config.tree().ok_or(ErrorKind::ConfigUnavailable)?;
        Ok(TreeView { tree, log })
    }
}

impl Handler<SubmitEdit> for OperatorsActor {
    type Result = ResponseFuture<SubmitEditResult>;

    fn handle(
        &mut self,
        SubmitEdit(edit): SubmitEdit,
        _: &mut Self::Context,
    ) -> Self::Result {
        let edits = Rc::clone(&self.cx.edits);
        Box::pin(async move {
            edits.submit(&edit).await.map_err(|e| match e {
                EditSubmitError::Refused(e) => SubmitError::Refused(e),
                e => SubmitError::Failed(e.kind()),
            })
        })
    }
}

impl Handler<ReadFleet> for OperatorsActor {
    type Result = ResponseFuture<ReadFleetResult>;

    fn handle(
        &mut self,
        _: ReadFleet,
        _: &mut Self::Context,
    ) -> Self::Result {
        let cx = Rc::clone(&self.cx);
        Box::pin(async move { Ok(fleet_status(&cx).await) })
    }
}

async fn fleet_status(cx: &ControllerContext) -> FleetStatus {
    let members: Vec<_> = cx.fleet.borrow().members.values().cloned().collect();
    let mut vms: Vec<_> = stream::iter(members)
        .map(|member| async move {
            let status = peer_status(cx, &member).await;
            vm_status(member, status)
        })
        .buffer_unordered(MAX_CONCURRENT_STATUS_CALLS)
        .collect()
        .await;
    vms.sort_by_key(|status| status.vm);
    FleetStatus {
        asked: cx.me.vm,
        revision: cx.config.revision(),
        store_up: cx.is_store_up(),
        vms,
    }
}

async fn peer_status(
    cx: &ControllerContext,
    member: &MemberRecord,
) -> Option<PeerStatus> {
    if member.vm != cx.me.vm {
        return cx.links.status(member.vm).await.ok();
    }
    let own = cx.status();
    Some(PeerStatus {
        revision: own.revision,
        gateway_revision: own.gateway_revision,
        epoch: own.epoch,
        store_up: own.store_up,
        owned: own.owned,
        leaving: own.leaving,
    })
}

fn vm_status(
    member: MemberRecord,
    status: Option<PeerStatus>,
) -> VmStatus {
    let gateway = match (member.gateway, status) {
        (None, _) => DaemonState::Absent,
        (Some(_), Some(status)) if status.gateway_revision > Revision(0) => DaemonState::Up {
            revision: status.gateway_revision,
        },
        (Some(_), _) => DaemonState::Silent,
    };
    VmStatus {
        vm: member.vm,
        data_centre: member.data_centre,
        leaving: member.leaving,
        controller: status.map_or(DaemonState::Silent, |status| DaemonState::Up {
            revision: status.revision,
        }),
        gateway,
        store_up: status.map(|status| status.store_up),
        epoch: status.map(|status| status.epoch),
        owned: status.map(|status| status.owned),
    }
}
