use {
    super::HoldingsWriter,
    crate::{fleet::FleetMirror, rights::LoadBudget},
    jasmine_core::{
        ids::{Epoch, Holder, Role},
        rights::Right,
    },
    jasmine_telemetry::log::Line,
    std::{
        cell::{Cell, RefCell},
        rc::Rc,
    },
};

/// Carries this controller's own rights over to each new epoch.
#[derive(Debug)]
pub struct EpochFollower {
    me: Holder,
    fleet: Rc<RefCell<FleetMirror>>,
    budget: Rc<LoadBudget>,
    holdings: Rc<HoldingsWriter>,
    reported: Cell<Option<Epoch>>,
}

impl EpochFollower {
    /// Creates a follower that has not reported any rights.
    pub const fn new(
        me: Holder,
        fleet: Rc<RefCell<FleetMirror>>,
        budget: Rc<LoadBudget>,
        holdings: Rc<HoldingsWriter>,
    ) -> Self {
        Self {
            me,
            fleet,
            budget,
            holdings,
            reported: Cell::new(None),
        }
    }

    /// Enters the newest epoch, reports the rights held and applies the granted ones.
    pub async fn step(&self) {
        self.set_peers();
        let Some((epoch, is_member, grants)) = self.newest_epoch() else {
            return;
        };
        match (is_member, self.budget.epoch()) {
            (false, Some(entered)) if entered < epoch => {
                // The epoch excluded this run as gone and redistributed its rights.
                Line::new("rights_forfeited").with("epoch", epoch).warn();
                self.budget.discard_all();
                return;
            }
            (false, _) => return,
            (true, _) => {}
        }
        let Some(held) = self.budget.enter(epoch) else {
            return;
        };
        if self.reported.get() != Some(epoch) {
            match self.holdings.report(epoch, self.me, held).await {
                Ok(()) => self.reported.set(Some(epoch)),
                Err(e) => {
                    Line::new("holdings_not_reported")
                        .with("epoch", epoch)
                        .with("error", e)
                        .warn();
                }
            }
        }
        self.budget.apply_grants(epoch, &grants);
    }

    fn newest_epoch(&self) -> Option<(Epoch, bool, Vec<Right>)> {
        let fleet = self.fleet.borrow();
        let record = &fleet.epoch.as_ref()?.value;
        let grants = record.grants_for(self.me).to_vec();
        Some((record.epoch, record.is_member(self.me), grants))
    }

    fn set_peers(&self) {
        let fleet = self.fleet.borrow();
        let peers = fleet.members.values().map(|member| Holder {
            vm: member.vm,
            role: Role::Controller,
            incarnation: member.controller.incarnation,
        });
        self.budget.set_peers(peers);
    }
}
