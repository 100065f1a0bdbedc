use {
    capnp::Error,
    jasmine_conf::tree::{Edit, EditId, EditLog, Tree, TreeBody},
    jasmine_core::{ids::Revision, rights::FULL_SHARE},
    jasmine_testkit::client::post_json,
    jasmine_wire::{
        convert::{read_peer, read_rights, write_right},
        jasmine_capnp::{AcquireOutcome, ClaimOutcome, controller, rights_holder},
        link::serve,
    },
    serde_json::{Value, json},
    std::{
        collections::BTreeMap,
        net::{IpAddr, SocketAddr, TcpListener},
        rc::Rc,
        sync::{Arc, Mutex, MutexGuard, PoisonError},
        time::{Duration, Instant},
    },
    tokio::time::sleep,
};

/// Fencing token of all engines and instances.
const FENCING_TOKEN: u64 = 7;

/// Interval at which a held configuration poll checks for a change.
const CHANGE_CHECK_INTERVAL: Duration = Duration::from_millis(10);

/// Responses of the fake controller, and a record of the requests to it.
#[derive(Debug, Default)]
pub struct ControllerState {
    /// Configuration tree returned to gateways.
    pub tree: Tree,
    /// Milliseconds since the store confirmed the configuration; with `None`, config polls get no response.
    pub fresh_ms: Option<u64>,
    /// Delay of each response to a config poll, as of a busy controller.
    pub config_delay: Duration,
    /// Whether the store accepts claims.
    pub accepts_claims: bool,
    /// Delay of storing the response of a claimed call.
    pub claim_store_delay: Duration,
    /// Addresses of the engines by upstream number.
    pub engines: BTreeMap<u32, SocketAddr>,
    /// Boot number of the engines, which changes with a restart.
    pub boot: u64,
    /// Number of upstream polls.
    pub upstream_polls: u64,
    /// Number of upstream polls that request all engines (sequence number 0).
    pub full_upstream_polls: u64,
    /// Names of the instances whose load was requested.
    pub loaded_instances: Vec<String>,
    /// Claims by digest of the idempotency key.
    pub claims: BTreeMap<Vec<u8>, Claimed>,
    /// Accounts whose rights the gateway released when it left.
    pub released_accounts: Vec<u32>,
    /// Controller addresses of other VMs.
    pub other_vms: BTreeMap<u32, SocketAddr>,
    /// Whether a newer membership epoch excludes the gateway.
    pub is_excluded_from_epoch: bool,
    /// Share of each account's rights that is granted; `None` for [`FULL_SHARE`].
    pub share: Option<u64>,
}

/// Fingerprint of a claimed call, and its response once stored.
type Claimed = (Vec<u8>, Option<Vec<u8>>);

/// A fake controller on its own thread.
#[derive(Clone, Debug)]
pub struct FakeController {
    /// Address of the RPC server.
    pub address: SocketAddr,
    state: Arc<Mutex<ControllerState>>,
}

impl FakeController {
    /// Starts the controller on a free port of `host`; it runs until the test process exits.
    pub fn start(
        host: IpAddr,
        state: ControllerState,
    ) -> Self {
        let listener = TcpListener::bind((host, 0)).expect("a free port");
        listener.set_nonblocking(true).expect("a socket");
        let address = listener.local_addr().expect("an address");
        let state = Arc::new(Mutex::new(state));
        let shared = Arc::clone(&state);
        std::thread::spawn(move || {
            actix_rt::System::new().block_on(async move {
                let listener = tokio::net::TcpListener::from_std(listener).expect("a socket");
                let server = Server {
                    state: shared,
                    address,
                };
                let client: controller::Client = capnp_rpc::new_client(server);
                serve(listener, client.client).await;
            });
        });
        Self { address, state }
    }

    /// Locks the state.
    pub fn state(&self) -> MutexGuard<'_, ControllerState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Applies an edit to the configuration.
    pub fn edit(
        &self,
        ops: Value,
    ) {
        edit(&mut self.state().tree, ops);
    }
}

/// Applies an edit to a tree.
pub fn edit(
    tree: &mut Tree,
    ops: Value,
) {
    let edit = Edit {
        id: EditId::random(),
        author: "test".to_owned(),
        base: tree.revision(),
        ops: serde_json::from_value(ops).expect("ops"),
    };
    let log = EditLog::new(tree.revision());
    *tree = tree.propose(&edit, &log, 0).expect("an allowed edit").tree;
}

#[derive(Clone)]
struct Server {
    state: Arc<Mutex<ControllerState>>,
    address: SocketAddr,
}

impl Server {
    fn state(&self) -> MutexGuard<'_, ControllerState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl rights_holder::Server for Server {}

impl controller::Server for Server {
    async fn poll_config(
        self: Rc<Self>,
        params: controller::PollConfigParams,
        mut results: controller::PollConfigResults,
    ) -> Result<(), Error> {
        let params = params.get()?;
        let have = Revision(params.get_have());
        // A time, not a number of sleeps, which take longer on a busy machine: the gateway gives the poll up.
        let hold_until = Instant::now() + Duration::from_millis(params.get_wait_ms().into());
        while self.state().fresh_ms.is_none()
            || (Instant::now() < hold_until && self.state().tree.revision() == have)
        {
            sleep(CHANGE_CHECK_INTERVAL).await;
        }
        let config_delay = self.state().config_delay;
        sleep(config_delay).await;
        let state = self.state();
        let mut answer = results.get();
        answer.set_fresh_ms(state.fresh_ms.unwrap_or_default());
        answer.set_revision(state.tree.revision().0);
        if state.tree.revision() != have {
            let body = serde_json::to_vec(&TreeBody::from(&state.tree)).expect("JSON");
            answer.set_body(&body);
            answer.set_full(true);
        }
        Ok(())
    }

    async fn poll_fleet(
        self: Rc<Self>,
        params: controller::PollFleetParams,
        mut results: controller::PollFleetResults,
    ) -> Result<(), Error> {
        let params = params.get()?;
        let from = read_peer(params.get_from()?)?;
        let gateway = params.get_peer_address()?.to_string()?;
        sleep(Duration::from_millis(if params.get_have() > 0 {
            100
        } else {
            0
        }))
        .await;
        let state = self.state();
        let mut answer = results.get();
        // Each response reports everything as changed, since `state` has no sequence number.
        answer.set_seq(params.get_have() + 1);
        let mut members = answer
            .reborrow()
            .init_members(1 + state.other_vms.len() as u32);
        let mut own = members.reborrow().get(0);
        own.set_vm(from.vm.0);
        own.set_controller_address(self.address.to_string());
        own.set_gateway_address(gateway);
        own.set_gateway_incarnation(from.incarnation.0);
        for (i, (vm, address)) in (1..).zip(&state.other_vms) {
            let mut other = members.reborrow().get(i);
            other.set_vm(*vm);
            other.set_controller_address(address.to_string());
        }
        let mut owners = answer.reborrow().init_owners(state.engines.len() as u32);
        for (i, &upstream) in (0..).zip(state.engines.keys()) {
            let mut owner = owners.reborrow().get(i);
            owner.set_upstream(upstream);
            owner.set_vm(from.vm.0);
            owner.set_fence(FENCING_TOKEN);
        }
        let fleet = state.tree.resolve();
        let accounts: Vec<_> = fleet.accounts.iter().collect();
        let mut epoch = answer.init_epoch();
        // The first poll gets no epoch.
        epoch.set_epoch(u64::from(
            params.get_have() > 0 && !state.is_excluded_from_epoch,
        ));
        epoch.set_newest(1 + u64::from(state.is_excluded_from_epoch));
        let share = state.share.unwrap_or(FULL_SHARE);
        if state.is_excluded_from_epoch {
            return Ok(());
        }
        let mut grants = epoch.init_grants(accounts.len() as u32);
        for (i, account) in (0..).zip(accounts) {
            let right = jasmine_core::rights::Right {
                account: account.id,
                rate_share: share,
                burst_share: share,
                tokens: account.burst * 1000,
            };
            write_right(grants.reborrow().get(i), &right);
        }
        Ok(())
    }

    async fn report_holdings(
        self: Rc<Self>,
        _params: controller::ReportHoldingsParams,
        _results: controller::ReportHoldingsResults,
    ) -> Result<(), Error> {
        Ok(())
    }

    async fn poll_upstreams(
        self: Rc<Self>,
        params: controller::PollUpstreamsParams,
        mut results: controller::PollUpstreamsResults,
    ) -> Result<(), Error> {
        let have = params.get()?.get_have();
        sleep(Duration::from_millis(if have > 0 { 100 } else { 0 })).await;
        let mut state = self.state();
        state.upstream_polls += 1;
        state.full_upstream_polls += u64::from(have == 0);
        // Like the real controller, reports each change once.
        let seq = state.boot * 1000 + state.engines.len() as u64;
        let mut answer = results.get();
        answer.set_seq(seq);
        if have == seq {
            return Ok(());
        }
        let mut views = answer.init_engines(state.engines.len() as u32);
        for (i, &upstream) in (0..).zip(state.engines.keys()) {
            let mut view = views.reborrow().get(i);
            view.set_upstream(upstream);
            view.set_owner_fence(FENCING_TOKEN);
            view.set_healthy(true);
            view.set_boot(state.boot);
        }
        Ok(())
    }

    async fn acquire(
        self: Rc<Self>,
        params: controller::AcquireParams,
        mut results: controller::AcquireResults,
    ) -> Result<(), Error> {
        let params = params.get()?;
        let (adapter, version) = (params.get_adapter(), params.get_version());
        let name = format!("{adapter}-{version}-{FENCING_TOKEN}");
        let (engine, weights) = {
            let state = self.state();
            let fleet = state.tree.resolve();
            let adapter_settings = fleet.adapters.get(jasmine_core::ids::AdapterId(adapter));
            let weights = adapter_settings
                .map(|adapter_settings| adapter_settings.versions[&version].weights.clone());
            (
                state.engines[&params.get_upstream()],
                weights.unwrap_or_default(),
            )
        };
        let order = json!({"instance": name, "weights": weights, "fence": FENCING_TOKEN});
        let loaded = post_json(engine, "/v1/load_adapter", order).await;
        let is_loaded = loaded.is_ok_and(|answer| answer["loaded"] == json!(true));
        self.state().loaded_instances.push(name);
        let mut answer = results.get();
        answer.set_owner_fence(FENCING_TOKEN);
        if !is_loaded {
            answer.set_outcome(AcquireOutcome::LoadFailed);
            answer.set_retry_ms(1000);
            return Ok(());
        }
        answer.set_outcome(AcquireOutcome::Granted);
        let mut instance = answer.init_instance();
        instance.set_upstream(params.get_upstream());
        instance.set_adapter(adapter);
        instance.set_version(version);
        instance.set_fence(FENCING_TOKEN);
        Ok(())
    }

    async fn release(
        self: Rc<Self>,
        _params: controller::ReleaseParams,
        _results: controller::ReleaseResults,
    ) -> Result<(), Error> {
        Ok(())
    }

    async fn claim(
        self: Rc<Self>,
        params: controller::ClaimParams,
        mut results: controller::ClaimResults,
    ) -> Result<(), Error> {
        let params = params.get()?;
        let (key, fingerprint) = (
            params.get_key()?.to_vec(),
            params.get_fingerprint()?.to_vec(),
        );
        let mut state = self.state();
        let mut answer = results.get();
        let outcome = match state.claims.get(&key) {
            _ if !state.accepts_claims => ClaimOutcome::Unavailable,
            None => ClaimOutcome::Fresh,
            Some((first, _)) if *first != fingerprint => ClaimOutcome::Mismatch,
            Some((_, None)) => ClaimOutcome::Running,
            Some((_, Some(stored))) => {
                answer.set_answer(stored);
                ClaimOutcome::Done
            }
        };
        answer.set_outcome(outcome);
        if state.accepts_claims {
            state.claims.entry(key).or_insert((fingerprint, None));
        }
        Ok(())
    }

    async fn finish_claim(
        self: Rc<Self>,
        params: controller::FinishClaimParams,
        mut results: controller::FinishClaimResults,
    ) -> Result<(), Error> {
        let params = params.get()?;
        let (key, answer) = (params.get_key()?.to_vec(), params.get_answer()?.to_vec());
        let claim_store_delay = self.state().claim_store_delay;
        sleep(claim_store_delay).await;
        let mut state = self.state();
        if answer.is_empty() {
            state.claims.remove(&key);
        } else if let Some(claim) = state.claims.get_mut(&key) {
            claim.1 = Some(answer);
        }
        results.get().set_stored(true);
        Ok(())
    }

    async fn status(
        self: Rc<Self>,
        _params: controller::StatusParams,
        _results: controller::StatusResults,
    ) -> Result<(), Error> {
        Ok(())
    }

    async fn leave(
        self: Rc<Self>,
        params: controller::LeaveParams,
        _results: controller::LeaveResults,
    ) -> Result<(), Error> {
        let rights = read_rights(params.get()?.get_holdings()?);
        self.state().released_accounts = rights.iter().map(|right| right.account.0).collect();
        Ok(())
    }
}
