//! Configuration of a fake platform: its pools and VMs, its delays and limits.

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

/// Configuration of a pool.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PoolOptions {
    /// Service that the pool's minions answer; none for a pool of workers.
    pub service: Option<ServiceId>,
    /// Availability budget: number of VMs that planned actions must leave live.
    pub min_available: u32,
}

/// Configuration of a VM when the platform starts.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VmOptions {
    /// Id.
    pub vm: VmId,
    /// What it runs.
    pub kind: VmKind,
    /// Initial pool.
    pub pool: PoolId,
    /// Rack.
    pub rack: RackId,
    /// Data centre.
    pub zone: DataCentreId,
    /// Resources of a worker; unused for a minion.
    pub resources: Resources,
}

/// Configuration of a platform.
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
    /// Initial VMs.
    pub vms: Vec<VmOptions>,
    /// Lag of the VM list behind the actual state.
    pub list_lag: Duration,
    /// Lag of the usage reports of workers.
    pub usage_lag: Duration,
    /// Minimum time between a drain operation and the state drained.
    pub drain_time: Duration,
    /// Duration of a reboot.
    pub reboot_time: Duration,
    /// Duration of a pool assignment; a second assignment within this time overlaps with the first.
    pub assign_time: Duration,
    /// Delay between the acceptance of a task and its start.
    pub start_time: Duration,
    /// Maximum number of concurrent requests per minion.
    pub slots: u32,
    /// Mean service time of requests, by service.
    pub service_times: BTreeMap<ServiceId, Duration>,
    /// Mean service time of services that `service_times` doesn't contain.
    pub service_time: Duration,
    /// Maximum factor by which actual sizes and run times of tasks differ from the declared ones, in either direction;
    /// 1 means exact.
    pub estimate_error: f64,
    /// Time after an unplanned failure during which the planner may not have detected it yet; a budget breach in this
    /// time is reported as one with an unnoticed failure.
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
    /// Adds a pool of minions named `<pool>-<n>`, four per rack, with the racks spread over the data centres.
    ///
    /// # Errors
    ///
    /// A name is invalid.
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

    /// Adds a pool of workers named `<pool>-<n>`, four per rack, with the racks spread over the data centres.
    ///
    /// # Errors
    ///
    /// A name is invalid.
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
