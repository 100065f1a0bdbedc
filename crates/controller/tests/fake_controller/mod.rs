//! A tree behind the operators' HTTP, without a store or peers.

use {
    actix::prelude::{Actor, Context, Handler},
    jasmine_conf::{
        api::{DaemonState, FleetStatus, VmStatus},
        settings::{OperatorsSettings, TokenDigest},
        tree::{EditLog, Tree},
    },
    jasmine_controller::operators::{
        FleetAnswer, OperatorsLink, ReadFleet, ReadTree, SubmitAnswer, SubmitEdit, SubmitError,
        TreeAnswer, TreeView, listen,
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

/// The token that the operators of these tests present.
pub const TOKEN: &str = "operators-token-of-the-tests";

/// A controller with nothing behind it.
#[derive(Debug, Default)]
pub struct FakeController {
    tree: Tree,
    log: EditLog,
    lost_answers: u32,
    gateway_lag: Option<u64>,
    answers_nothing: bool,
    forgets_the_log: bool,
    stays_silent: bool,
}

impl FakeController {
    /// Loses this many answers to edits after the edit has taken effect.
    pub fn losing_answers(
        mut self,
        count: u32,
    ) -> Self {
        self.lost_answers = count;
        self
    }

    /// Starts anew after a lost answer, with the tree and without the log of edits.
    pub fn forgetting_the_log(mut self) -> Self {
        self.forgets_the_log = true;
        self
    }

    /// Loses every answer to an edit, also to one sent again.
    pub fn answering_nothing(mut self) -> Self {
        self.answers_nothing = true;
        self
    }

    /// Leaves the gateway of VM 2 silent for good.
    pub fn with_silent_gateway(mut self) -> Self {
        self.stays_silent = true;
        self
    }
}

impl Actor for FakeController {
    type Context = Context<Self>;
}

impl Handler<ReadTree> for FakeController {
    type Result = TreeAnswer;

    fn handle(
        &mut self,
        _: ReadTree,
        _: &mut Self::Context,
    ) -> TreeAnswer {
        Ok(TreeView {
            tree: self.tree.clone(),
            log: self.log.clone(),
        })
    }
}

impl Handler<SubmitEdit> for FakeController {
    type Result = SubmitAnswer;

    fn handle(
        &mut self,
        SubmitEdit(edit): SubmitEdit,
        _: &mut Self::Context,
    ) -> SubmitAnswer {
        if self.answers_nothing {
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
        if self.lost_answers > 0 {
            self.lost_answers -= 1;
            if self.forgets_the_log {
                self.log = EditLog::new(self.tree.revision());
            }
            return Err(SubmitError::Failed(ErrorKind::EditOutcomeUnknown));
        }
        Ok(proposal.accepted)
    }
}

impl Handler<ReadFleet> for FakeController {
    type Result = FleetAnswer;

    fn handle(
        &mut self,
        _: ReadFleet,
        _: &mut Self::Context,
    ) -> FleetAnswer {
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
        // Asked again, the gateway has caught up.
        self.gateway_lag = Some(0).filter(|_| !self.stays_silent);
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
