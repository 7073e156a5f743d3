//! What a platform consists of and how fast it is.

use std::{collections::BTreeMap, time::Duration};

use serde::{Deserialize, Serialize};

use cj_types::{DataCentreId, PoolId, RackId, Resources, Result, ServiceId, VmId};

use crate::log::LogOptions;

/// Number of VMs in one rack.
const RACK_SIZE: usize = 4;

/// What a VM runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum VmKind {
    /// An upstream that answers requests of one service.
    Minion,
    /// A machine that runs tasks under leases.
    Worker,
}

/// A pool as the platform knows it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PoolOptions {
    /// Service that the pool's minions answer; none for a pool of workers.
    pub service: Option<ServiceId>,
    /// Availability budget: planned actions must leave this many VMs live.
    pub min_available: u32,
}

/// A VM at the start.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VmOptions {
    /// Name.
    pub vm: VmId,
    /// What it runs.
    pub kind: VmKind,
    /// Pool at the start.
    pub pool: PoolId,
    /// Rack.
    pub rack: RackId,
    /// Data centre.
    pub zone: DataCentreId,
    /// Resources of a worker.
    pub resources: Resources,
}

/// What the platform consists of and how fast it is.
#[derive(Clone, Debug)]
pub struct PlatformOptions {
    /// The log.
    pub log: LogOptions,
    /// Port of the log on loopback; 0 picks a free one.
    pub log_port: u16,
    /// Port of VM control on loopback; 0 picks a free one.
    pub vm_port: u16,
    /// Port of fault injection and counters on loopback; 0 picks a free one.
    pub control_port: u16,
    /// Pools by name.
    pub pools: BTreeMap<PoolId, PoolOptions>,
    /// VMs at the start.
    pub vms: Vec<VmOptions>,
    /// Age of the state that the VM list shows.
    pub list_lag: Duration,
    /// Age of the usage that workers report.
    pub usage_lag: Duration,
    /// Shortest time from a drain to a drained VM.
    pub drain_time: Duration,
    /// Time that a reboot takes.
    pub reboot_time: Duration,
    /// Time in which a VM changes its pool; a second assignment within it overlaps with the first.
    pub assign_time: Duration,
    /// Time from the acceptance of a task to its start.
    pub start_time: Duration,
    /// Concurrent requests per minion.
    pub slots: u32,
    /// Mean service time of requests, by service.
    pub service_times: BTreeMap<ServiceId, Duration>,
    /// Mean service time of the other services.
    pub service_time: Duration,
    /// Largest factor by which the declared sizes and run times of tasks are wrong in either direction; 1 is exact.
    pub estimate_error: f64,
    /// Time after an unplanned failure in which a planned action may still count the failed VM as available.
    pub failure_notice: Duration,
}

impl Default for PlatformOptions {
    fn default() -> Self {
        PlatformOptions {
            log: LogOptions::default(),
            log_port: 0,
            vm_port: 0,
            control_port: 0,
            pools: BTreeMap::new(),
            vms: Vec::new(),
            list_lag: Duration::from_millis(500),
            usage_lag: Duration::from_secs(1),
            drain_time: Duration::from_millis(300),
            reboot_time: Duration::from_millis(700),
            assign_time: Duration::from_millis(100),
            start_time: Duration::from_millis(20),
            slots: 8,
            service_times: BTreeMap::new(),
            service_time: Duration::from_millis(20),
            estimate_error: 1.0,
            failure_notice: Duration::from_secs(3),
        }
    }
}

impl PlatformOptions {
    /// Adds a pool of minions named `<pool>-<n>`, spread over the data centres, four to a rack. Fails on invalid names.
    pub fn with_minions(
        self,
        pool: &str,
        service: &str,
        count: usize,
        min_available: u32,
        zones: &[&str],
    ) -> Result<Self> {
        let pool_options = PoolOptions { service: Some(service.parse()?), min_available };
        self.with_pool(pool, pool_options, VmKind::Minion, count, zones, Resources::default())
    }

    /// Adds a pool of workers named `<pool>-<n>`, spread over the data centres, four to a rack. Fails on invalid names.
    pub fn with_workers(
        self,
        pool: &str,
        count: usize,
        min_available: u32,
        zones: &[&str],
        resources: Resources,
    ) -> Result<Self> {
        let pool_options = PoolOptions { service: None, min_available };
        self.with_pool(pool, pool_options, VmKind::Worker, count, zones, resources)
    }

    fn with_pool(
        mut self,
        pool: &str,
        pool_options: PoolOptions,
        kind: VmKind,
        count: usize,
        zones: &[&str],
        resources: Resources,
    ) -> Result<Self> {
        let id: PoolId = pool.parse()?;
        for index in 0..count {
            let rack = index / RACK_SIZE;
            let zone = zones.get(rack % zones.len().max(1)).copied().unwrap_or("dc-1");
            self.vms.push(VmOptions {
                vm: format!("{pool}-{index}").parse()?,
                kind,
                pool: id.clone(),
                rack: format!("{zone}-{pool}-r{rack}").parse()?,
                zone: zone.parse()?,
                resources,
            });
        }
        self.pools.insert(id, pool_options);
        Ok(self)
    }
}
