//! Complete demonstrations with fake nodes.

use std::{sync::Arc, time::Duration};

use cj_demo::{DemoOptions, FaultKind, Report, Site, SiteSize, run};
use cj_standin::Platform;

use crate::fake::{FakeNode, NodeFault, SHORT_DURATION};

async fn run_demo(fault: NodeFault, faults: Vec<FaultKind>) -> Report {
    let size = SiteSize { minions: 2, workers: 2, spare: 1, slack: 1 };
    let mut site = Site::new(size, 7).expect("a site");
    site.platform.service_time = Duration::from_millis(5);
    site.platform.service_times.clear();
    let platform = Arc::new(Platform::start(site.platform.clone()).expect("platform"));
    let options = DemoOptions {
        nodes: 2,
        duration: SHORT_DURATION,
        settle_timeout: SHORT_DURATION,
        warm_up: Duration::ZERO,
        faults,
        burst_duration: Duration::ZERO,
        publish_interval: Duration::from_millis(100),
        wave: false,
        seed: 7,
    };
    let node = FakeNode::new(platform.clone(), fault);
    let start_node = move |_| std::future::ready(node.start());
    let report = run(site, options, platform.clone(), start_node).await.expect("a report");
    platform.stop();
    report
}

/// Guards against checks that fail for a correct node, and against a run with too little work for the checks to mean
/// anything.
#[actix_rt::test]
async fn a_correct_node_passes() {
    let report = run_demo(NodeFault::None, Vec::new()).await;
    assert!(report.ok, "{report}");
    assert!(report.settings_measured > 70, "{report}");
    for (name, counts) in &report.workloads {
        assert!(counts.done > 0 && counts.done == counts.sent, "{name}: {counts:?}");
    }
}

/// Guards against counting a rejected publication as in force, and against a publisher that keeps using an outdated
/// version.
#[actix_rt::test]
async fn later_versions_are_found_out() {
    let report = run_demo(NodeFault::LaterVersions, Vec::new()).await;
    assert!(report.ok, "{report}");
    assert!(report.settings_rejected > 70 && report.settings_measured > 70, "{report}");
}

/// Guards against checks that never fail: each fault of a node must show in its own counter.
#[actix_rt::test]
async fn flaws_are_found() {
    type Counter = fn(&Report) -> u64;
    let table: [(NodeFault, &str, Counter); 6] = [
        (NodeFault::RunsTwice, "readings", |r| r.doubled),
        (NodeFault::RefusesAfterRun, "yields", |r| r.false_refusals),
        (NodeFault::ForgetsJobs, "separations", |r| r.lost),
        (NodeFault::ForeignAnswers, "proofs", |r| r.wrong_answers),
        (NodeFault::ShortAnswers, "tallies", |r| r.wrong_answers),
        (NodeFault::RevertsSettings, "", |r| r.settings_reverted),
    ];
    let reports = table.iter().map(|(fault, ..)| run_demo(*fault, Vec::new()));
    let reports = futures::future::join_all(reports).await;
    for ((fault, workload, counter), report) in table.iter().zip(reports) {
        assert!(counter(&report) > 0, "{fault:?} was not found\n{report}");
        assert!(!report.ok, "{fault:?}\n{report}");
        if let Some(counts) = report.workloads.get(*workload) {
            let found = [counts.doubled, counts.false_refusals, counts.lost, counts.wrong_answers];
            assert!(
                found.iter().sum::<u64>() > 0,
                "{fault:?} was not found in {workload}\n{report}"
            );
        }
    }
}

/// Guards against faults that are scheduled but never injected or never ended.
#[actix_rt::test]
async fn all_faults_are_injected_and_ended() {
    let kinds = FaultKind::parse_list("all").expect("names");
    let report = run_demo(NodeFault::None, kinds).await;
    // `lost-answers` injects two faults of the platform, and `upstream-killed` kills a minion and a worker.
    assert_eq!(report.faults_injected, 2 * (11 + 2), "{report}");
    assert_eq!(report.faults.len(), 22);
    assert!(report.done > 0, "{report}");
}
