//! All stand-ins of one platform in one process.

use std::net::SocketAddr;

use actix_http::{Method, StatusCode};
use actix_rt::Arbiter;

use cj_types::Result;

use crate::{
    faults::{Fault, Faults},
    http::{Call, Reply, Server},
    log::{Log, LogOptions},
};

/// What the platform consists of.
#[derive(Clone, Debug, Default)]
pub struct PlatformOptions {
    /// The log.
    pub log: LogOptions,
    /// Port of the log on loopback; 0 picks a free one.
    pub log_port: u16,
    /// Port of the fault switches on loopback; 0 picks a free one.
    pub control_port: u16,
}

/// A running platform. It serves on a thread of its own; the handle may be used from any thread.
pub struct Platform {
    arbiter: Arbiter,
    faults: Faults,
    log: Log,
    log_server: Server,
    control_server: Server,
}

impl Platform {
    /// Starts all stand-ins on loopback ports. Must be called inside an actix-rt system. Fails when a port is taken.
    pub fn start(options: PlatformOptions) -> Result<Self> {
        let arbiter = Arbiter::new();
        let faults = Faults::default();
        let log = Log::new(options.log, faults.clone());
        let log_server = Server::start(arbiter.handle(), options.log_port, log.handler())?;
        let (control_log, control_faults) = (log.clone(), faults.clone());
        let control_server = Server::start(
            arbiter.handle(),
            options.control_port,
            std::sync::Arc::new(move |call| {
                let (log, faults) = (control_log.clone(), control_faults.clone());
                Box::pin(async move { Some(control(&call, &log, &faults)) })
            }),
        )?;
        Ok(Platform { arbiter, faults, log, log_server, control_server })
    }

    /// Address of the log.
    pub fn log_address(&self) -> SocketAddr {
        self.log_server.address()
    }

    /// Address of the fault switches (`POST /v1/faults`).
    pub fn control_address(&self) -> SocketAddr {
        self.control_server.address()
    }

    /// The fault switches.
    pub fn faults(&self) -> &Faults {
        &self.faults
    }

    /// Sets a fault switch.
    pub fn inject(&self, fault: &Fault) {
        apply(fault, &self.log, &self.faults);
    }

    /// The log, for counters.
    pub fn log(&self) -> &Log {
        &self.log
    }

    /// Closes all connections and ends the platform's thread.
    pub fn stop(self) {
        self.log_server.kill();
        self.control_server.kill();
        self.arbiter.stop();
        let _ = self.arbiter.join();
    }
}

fn apply(fault: &Fault, log: &Log, faults: &Faults) {
    faults.set(fault);
    match fault {
        Fault::LogDown { .. } => log.interrupt(),
        Fault::LogForgets { keep } => log.keep(*keep),
        _ => {}
    }
}

fn control(call: &Call, log: &Log, faults: &Faults) -> Reply {
    if call.method != Method::POST || call.path != "/v1/faults" {
        return Reply::error(StatusCode::NOT_FOUND, "use POST /v1/faults");
    }
    match serde_json::from_slice::<Fault>(&call.body) {
        Ok(fault) => {
            apply(&fault, log, faults);
            Reply::json(StatusCode::OK, &fault)
        }
        Err(error) => Reply::error(StatusCode::BAD_REQUEST, &error.to_string()),
    }
}
