//! In-memory controller behind the operators' HTTP API, without a store or peers.

use {
    actix::prelude::{Actor, Context, Handler},
    jasmine_conf::{
        api::{DaemonState, FleetStatus, VmStatus},
        settings::{OperatorsSettings, TokenDigest},
        tree::{EditLog, Tree},
    },
    jasmine_controller::operators::{
        OperatorsLink, ReadFleet, ReadFleetResult, ReadTree, ReadTreeResult, SubmitEdit,
        SubmitEditResult, SubmitError, TreeView, listen,
    },
    jasmine_core::{
        error::ErrorKind,
        ids::{Epoch, Revision, VmId},
    },
    std::{
        net::{SocketAddr, TcpListener},
        sync::Arc,
    },
};

/// Bearer token accepted by the fake controller.
pub const TOKEN: &str = "operators-token-of-the-tests";

/// In-memory controller with configurable faults.
#[derive(Debug, Default)]
pub struct FakeController {
    tree: Tree,
    log: EditLog,
    lost_replies: u32,
    gateway_lag: Option<u64>,
    drops_all_replies: bool,
    resets_log: bool,
    has_silent_gateway: bool,
}

impl FakeController {
    /// Drops the replies to the first `count` edits after applying them.
    pub fn with_lost_replies(
        mut self,
        count: u32,
    ) -> Self {
        self.lost_replies = count;
        self
    }

    /// Clears the edit log, but not the tree, after each dropped reply.
    pub fn with_log_reset(mut self) -> Self {
        self.resets_log = true;
        self
    }

    /// Drops the replies to all edits, including retries, without applying them.
    pub fn with_all_replies_lost(mut self) -> Self {
        self.drops_all_replies = true;
        self
    }

    /// Keeps the gateway of VM 2 silent permanently.
    pub fn with_silent_gateway(mut self) -> Self {
        self.has_silent_gateway = true;
        self
    }
}

impl Actor for FakeController {
    type Context = Context<Self>;
}

impl Handler<ReadTree> for FakeController {
    type Result = ReadTreeResult;

    fn handle(
        &mut self,
        _: ReadTree,
        _: &mut Self::Context,
    ) -> ReadTreeResult {
        Ok(TreeView {
            tree: self.tree.clone(),
            log: self.log.clone(),
        })
    }
}

impl Handler<SubmitEdit> for FakeController {
    type Result = SubmitEditResult;

    fn handle(
        &mut self,
        SubmitEdit(edit): SubmitEdit,
        _: &mut Self::Context,
    ) -> SubmitEditResult {
        if self.drops_all_replies {
            return Err(SubmitError::Failed(ErrorKind::EditOutcomeUnknown));
        }
        let find_duplicate = self
            .log
            .find_duplicate(&edit)
            .map_err(SubmitError::Refused)?;
        if let Some(accepted) = find_duplicate {
            return Ok(accepted.clone());
        }
        let proposal = self
            .tree
            .propose(&edit, &self.log, 1_000)
            .map_err(SubmitError::Refused)?;
        self.tree = proposal.tree;
        self.log.push(Arc::new(proposal.accepted.clone()));
        if self.lost_replies > 0 {
            self.lost_replies -= 1;
            if self.resets_log {
                self.log = EditLog::new(self.tree.revision());
            }
            return Err(SubmitError::Failed(ErrorKind::EditOutcomeUnknown));
        }
        Ok(proposal.accepted)
    }
}

impl Handler<ReadFleet> for FakeController {
    type Result = ReadFleetResult;

    fn handle(
        &mut self,
        _: ReadFleet,
        _: &mut Self::Context,
    ) -> ReadFleetResult {
        let revision = self.tree.revision();
        let vm = |number, gateway| VmStatus {
            vm: VmId(number),
            data_centre: format!("gt-{number}"),
            leaving: false,
            controller: DaemonState::Up { revision },
            gateway,
            store_up: Some(true),
            epoch: Some(Epoch(1)),
            owned: Some(3),
        };
        let lagging = match self.gateway_lag {
            Some(lag) => DaemonState::Up {
                revision: Revision(revision.0.saturating_sub(lag)),
            },
            None => DaemonState::Silent,
        };
        // The gateway is up to date from the second read on.
        self.gateway_lag = Some(0).filter(|_| !self.has_silent_gateway);
        Ok(FleetStatus {
            asked: VmId(1),
            revision,
            store_up: true,
            vms: vec![vm(1, DaemonState::Up { revision }), vm(2, lagging)],
        })
    }
}

/// Serves a fake controller on a free port.
pub fn serve(fake: FakeController) -> SocketAddr {
    let address = fake.start();
    let link = OperatorsLink {
        read: address.clone().recipient(),
        submit: address.clone().recipient(),
        fleet: address.recipient(),
    };
    let operators = OperatorsSettings {
        token_digests: vec![TokenDigest::of(TOKEN)],
    };
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let at = listener.local_addr().expect("the bound address");
    actix::spawn(listen(listener, link, operators).expect("the listener is bound"));
    at
}
