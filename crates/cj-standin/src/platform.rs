//! Runs all fakes of one platform in one process, and its control interface.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use actix_http::{Method, StatusCode};
use actix_rt::{Arbiter, ArbiterHandle};

use cj_types::{PoolId, Result, VmId};

use crate::{
    faults::{Fault, Faults},
    fleet::{self, Fleet, VmRow},
    http::{Call, Handler, Reply, Server, lock},
    log::Log,
    minion,
    observed::Observed,
    options::{PlatformOptions, VmKind},
    worker,
};

/// Interval at which usage is sampled and the tasks of all workers are advanced.
const TICK_INTERVAL: Duration = Duration::from_millis(100);

/// State shared by all fakes of a platform.
pub(crate) struct Shared {
    pub(crate) options: PlatformOptions,
    pub(crate) faults: Faults,
    pub(crate) fleet: Mutex<Fleet>,
    log: Log,
    servers: Mutex<BTreeMap<VmId, Server>>,
}

impl Shared {
    /// Closes a VM's connections and returns it to service after the reboot time.
    pub(crate) fn reboot(self: &Arc<Self>, vm: VmId) {
        self.kill_server(&vm);
        let shared = self.clone();
        actix_rt::spawn(async move {
            tokio::time::sleep(shared.options.reboot_time).await;
            if lock(&shared.fleet).bring_up(&vm, true) {
                shared.restart_server(&vm);
            }
        });
    }

    fn kill_server(&self, vm: &VmId) {
        if let Some(server) = lock(&self.servers).get(vm) {
            server.kill();
        }
    }

    fn restart_server(&self, vm: &VmId) {
        if let Some(server) = lock(&self.servers).get(vm) {
            server.restart();
        }
    }

    fn inject(&self, fault: &Fault) {
        log::info!("fault injection: {fault:?}");
        self.faults.set(fault);
        match fault {
            Fault::LogDown { .. } => self.log.wake_readers(),
            Fault::LogForgets { keep } => self.log.retain_newest(*keep),
            Fault::Kill { vm } => {
                lock(&self.fleet).take_down(vm, false);
                self.kill_server(vm);
            }
            Fault::Restart { vm } if lock(&self.fleet).bring_up(vm, false) => {
                self.restart_server(vm);
            }
            _ => {}
        }
    }

    fn observed(&self) -> Observed {
        self.tick(Instant::now());
        let fleet = lock(&self.fleet);
        let mut observed = fleet.observed.clone();
        let pools = fleet.vms.iter().map(|(id, vm)| (id.clone(), vm.row.pool.clone()));
        observed.assignments = pools.collect();
        let injected = self.faults.active().injected;
        observed.faults_injected = injected.into_iter().map(|(k, v)| (k.to_owned(), v)).collect();
        observed.log_appends = self.log.appends();
        observed.log_bytes = self.log.bytes();
        observed.lost_answers = self.log.lost_answers();
        observed
    }

    fn tick(&self, now: Instant) {
        let fleet = &mut *lock(&self.fleet);
        for (id, vm) in fleet.vms.iter_mut().filter(|(_, vm)| vm.row.kind == VmKind::Worker) {
            vm.worker.advance(now, &mut fleet.observed.executions);
            vm.worker.sample(id, now, self.options.usage_lag);
        }
        let lag = self.faults.read(|active| active.list_lag).unwrap_or_default();
        // Keeps at least 120 s of history, because a later fault may set a longer lag of the list.
        let lag = lag.max(self.options.list_lag).max(Duration::from_secs(120));
        if let Some(oldest) = now.checked_sub(lag) {
            fleet.prune(oldest);
        }
    }
}

/// A running platform. It serves on its own thread; the handle can be used from any thread.
pub struct Platform {
    arbiter: Mutex<Option<Arbiter>>,
    shared: Arc<Shared>,
    log_server: Server,
    vm_server: Server,
    control_server: Server,
}

impl Platform {
    /// Starts all fakes on loopback ports. Must be called inside an actix-rt system.
    ///
    /// # Errors
    ///
    /// A port can't be bound.
    pub fn start(options: PlatformOptions) -> Result<Self> {
        let arbiter = Arbiter::new();
        let handle = arbiter.handle();
        let faults = Faults::default();
        let shared = Arc::new(Shared {
            log: Log::new(options.log.clone(), faults.clone()),
            fleet: Mutex::new(Fleet::new(&options)),
            servers: Mutex::default(),
            faults,
            options,
        });
        start_vms(&shared, &handle)?;
        let options = &shared.options;
        let serve = |port, handler| Server::start(&handle, port, handler);
        let log_server = serve(options.log_port, shared.log.handler())?;
        let vm_server = serve(options.vm_port, fleet::handler(shared.clone()))?;
        let control_server = serve(options.control_port, control_handler(shared.clone()))?;
        let ticking = shared.clone();
        handle.spawn(async move {
            loop {
                tokio::time::sleep(TICK_INTERVAL).await;
                ticking.tick(Instant::now());
            }
        });
        let arbiter = Mutex::new(Some(arbiter));
        Ok(Platform { arbiter, shared, log_server, vm_server, control_server })
    }

    /// Address of the log.
    pub fn log_address(&self) -> SocketAddr {
        self.log_server.address()
    }

    /// Address of VM control.
    pub fn vm_address(&self) -> SocketAddr {
        self.vm_server.address()
    }

    /// Address of fault injection (`POST /v1/faults`) and of the counters (`GET /v1/observed`).
    pub fn control_address(&self) -> SocketAddr {
        self.control_server.address()
    }

    /// Current state of all VMs, without the lag of the list.
    pub fn vms(&self) -> Vec<VmRow> {
        lock(&self.shared.fleet).list(Duration::ZERO)
    }

    /// The active faults.
    pub fn faults(&self) -> &Faults {
        &self.shared.faults
    }

    /// Starts or ends a fault.
    pub fn inject(&self, fault: &Fault) {
        self.shared.inject(fault);
    }

    /// Everything recorded so far.
    pub fn observed(&self) -> Observed {
        self.shared.observed()
    }

    /// Changes the availability budget of a pool, to follow a settings change.
    pub fn set_budget(&self, pool: &PoolId, min_available: u32) {
        lock(&self.shared.fleet).set_budget(pool, min_available);
    }

    /// The log.
    pub fn log(&self) -> &Log {
        &self.shared.log
    }

    /// Closes all connections and stops the platform's thread. The counters stay readable.
    pub fn stop(&self) {
        self.log_server.kill();
        self.vm_server.kill();
        self.control_server.kill();
        let servers = std::mem::take(&mut *lock(&self.shared.servers));
        servers.values().for_each(Server::kill);
        if let Some(arbiter) = lock(&self.arbiter).take() {
            arbiter.stop();
            let _ = arbiter.join();
        }
    }
}

fn start_vms(shared: &Arc<Shared>, arbiter: &ArbiterHandle) -> Result<()> {
    for options in &shared.options.vms {
        let handler = match options.kind {
            VmKind::Minion => minion::handler(shared.clone(), options.vm.clone()),
            VmKind::Worker => worker::handler(shared.clone(), options.vm.clone()),
        };
        let server = Server::start(arbiter, 0, handler)?;
        lock(&shared.fleet).add(options, server.address(), &shared.options);
        lock(&shared.servers).insert(options.vm.clone(), server);
    }
    lock(&shared.fleet).count_available();
    Ok(())
}

fn control_handler(shared: Arc<Shared>) -> Handler {
    Arc::new(move |call| {
        let shared = shared.clone();
        Box::pin(async move { Some(control(&shared, &call)) })
    })
}

fn control(shared: &Shared, call: &Call) -> Reply {
    match (&call.method, call.path.as_str()) {
        (&Method::GET, "/v1/observed") => Reply::json(StatusCode::OK, &shared.observed()),
        (&Method::POST, "/v1/faults") => match serde_json::from_slice::<Fault>(&call.body) {
            Ok(fault) => {
                shared.inject(&fault);
                Reply::json(StatusCode::OK, &fault)
            }
            Err(error) => Reply::error(StatusCode::BAD_REQUEST, &error.to_string()),
        },
        _ => Reply::error(StatusCode::NOT_FOUND, "use POST /v1/faults or GET /v1/observed"),
    }
}
