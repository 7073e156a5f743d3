//! The owner's inputs beside the job logs: worker registrations and the list of VMs.

use std::{collections::HashSet, rc::Rc, time::Duration};

use cj_sched::{Event, sched::WorkerId};
use cj_types::Clock;
use log::warn;

use crate::{
    follow::{FollowState, Update, follow},
    layout::Layout,
    member::CellMember,
    platform::{Platform, RegistryChange, Topic},
};

/// Time between two reads of the VM list while the scheduler needs it.
const VM_LIST_INTERVAL: Duration = Duration::from_millis(600);

/// Time between two reads of the VM list otherwise.
const VM_LIST_IDLE_INTERVAL: Duration = Duration::from_secs(5);

/// Time between two reads of the registry.
const REGISTRY_READ_INTERVAL: Duration = Duration::from_millis(60);

/// Passes changes of the registry to the scheduler.
pub(crate) async fn follow_registry<P, C>(member: Rc<CellMember<P, C>>, layout: Rc<Layout>)
where
    P: Platform,
    C: Clock + 'static,
{
    let node = &member.node;
    let state = FollowState::default();
    let mut listed: HashSet<WorkerId> = HashSet::new();
    let mut loading: HashSet<WorkerId> = HashSet::new();
    let pause = async || tokio::time::sleep(REGISTRY_READ_INTERVAL).await;
    follow(&node.platform, &node.clock, Topic::Registry, &state, pause, |update| {
        let Update::Record { record, in_order } = update else {
            // A worker that is missing when all keys are loaded again was removed.
            for id in listed.difference(&loading) {
                member.send(Event::Unregistered(id.clone()));
            }
            listed = std::mem::take(&mut loading);
            return;
        };
        match node.platform.registry_change(&record.key, &record.value) {
            Ok(RegistryChange::Registered(registration)) => {
                if layout.cell_of(&registration.labels) != member.id {
                    return;
                }
                let known = if in_order { &mut listed } else { &mut loading };
                known.insert(registration.id.clone());
                member.send(Event::Registered(registration));
            }
            Ok(RegistryChange::Removed(id)) => {
                if listed.remove(&id) {
                    member.send(Event::Unregistered(id));
                }
            }
            Err(error) => {
                warn!(
                    target: "link",
                    "topic=registry key={} offset={} choice=skip cause=\"{error}\"",
                    record.key, record.offset
                );
            }
        }
    })
    .await;
}

/// Passes the list of VMs to the scheduler.
pub(crate) async fn follow_vms<P, C>(member: Rc<CellMember<P, C>>, layout: Rc<Layout>)
where
    P: Platform,
    C: Clock + 'static,
{
    let node = &member.node;
    loop {
        let sent = node.clock.now();
        let listed = match node.platform.list_vms().await {
            Ok(mut rows) => {
                rows.retain(|row| layout.cell_of(&row.labels) == member.id);
                member.send(Event::VmsListed(sent, rows));
                true
            }
            Err(error) => {
                warn!(target: "link", "choice=no_vm_list cause=\"{error}\"");
                false
            }
        };
        let due = sent + if listed { VM_LIST_IDLE_INTERVAL } else { VM_LIST_INTERVAL };
        tokio::time::sleep(VM_LIST_INTERVAL).await;
        while node.clock.now() < due && !member.needs_vm_list.get() {
            tokio::time::sleep(VM_LIST_INTERVAL / 4).await;
        }
    }
}
