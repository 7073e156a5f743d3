//! What the owner follows beside the jobs: registrations of workers, and the list of VMs.

use std::{collections::HashSet, rc::Rc, time::Duration};

use cj_sched::{Event, sched::WorkerId};
use cj_types::Clock;
use log::warn;

use crate::{
    follow::{Link, Update, follow},
    layout::Layout,
    member::CellMember,
    platform::{Platform, RegistryChange, Topic},
};

/// Time between two reads of the list of VMs while it is needed.
const VMS_GAP: Duration = Duration::from_millis(600);

/// Time between two reads of the list of VMs otherwise.
const VMS_IDLE_GAP: Duration = Duration::from_secs(5);

/// Time between two reads of the registry.
const REGISTRY_PAUSE: Duration = Duration::from_millis(60);

/// Hands changes of the registry to the scheduler.
pub(crate) async fn follow_registry<P, C>(member: Rc<CellMember<P, C>>, layout: Rc<Layout>)
where
    P: Platform,
    C: Clock + 'static,
{
    let node = &member.node;
    let link = Link::default();
    let mut listed: HashSet<WorkerId> = HashSet::new();
    let mut loading: HashSet<WorkerId> = HashSet::new();
    let pause = async || tokio::time::sleep(REGISTRY_PAUSE).await;
    follow(&node.platform, &node.clock, Topic::Registry, &link, pause, |update| {
        let Update::Record { record, in_order } = update else {
            // A worker without a record in a new reading of all keys is gone.
            for id in listed.difference(&loading) {
                member.send(Event::Unregistered(id.clone()));
            }
            listed = std::mem::take(&mut loading);
            return;
        };
        match node.platform.registry_change(&record.key, &record.value) {
            Ok(RegistryChange::Reported(report)) => {
                if layout.cell_of(&report.labels) != member.id {
                    return;
                }
                let known = if in_order { &mut listed } else { &mut loading };
                known.insert(report.id.clone());
                member.send(Event::Registered(report));
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

/// Hands the list of VMs to the scheduler.
pub(crate) async fn follow_vms<P, C>(member: Rc<CellMember<P, C>>, layout: Rc<Layout>)
where
    P: Platform,
    C: Clock + 'static,
{
    let node = &member.node;
    loop {
        let sent = node.clock.now();
        let listed = match node.platform.vms().await {
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
        let due = sent + if listed { VMS_IDLE_GAP } else { VMS_GAP };
        tokio::time::sleep(VMS_GAP).await;
        while node.clock.now() < due && !member.wants_vms.get() {
            tokio::time::sleep(VMS_GAP / 4).await;
        }
    }
}
