//! Client accounts: their configuration, their keys, and the records of their jobs.

use cj_sched::{
    Access, Account, AccountCap, Accounts, JobKey, JobSpec, KeyDigest, Record, StepSpec,
    Submission, Weight, account::MAX_ACCOUNTS, codec,
};
use cj_types::{Accelerators, AccountId, Mebibytes, Millicores, Resources, ServiceId, UnixMillis};

fn account(name: &str) -> Account {
    let id = AccountId::try_from(name).unwrap();
    Account { id, weight: Weight::DEFAULT, cap: AccountCap::UNLIMITED }
}

fn resources(cores: u32, memory: u32) -> Resources {
    Resources { cores: Millicores(cores), memory: Mebibytes(memory), accelerators: Accelerators(0) }
}

/// Guards against a key that opens two accounts, and against a configuration without bound.
#[test]
fn a_key_belongs_to_one_account() {
    let mut accounts = Accounts::default();
    let key = KeyDigest::of(b"key");
    accounts.add(account("red"), [key, key]).unwrap();
    assert_eq!(accounts.shared_keys(), 0, "the same key twice in one account");
    accounts.add(account("blue"), [key]).unwrap();
    assert_eq!(accounts.by_key(key).unwrap().id.as_str(), "red");
    assert_eq!(accounts.shared_keys(), 1);
    assert!(accounts.add(account("blue"), []).is_err(), "the name is taken");
    for number in accounts.len()..MAX_ACCOUNTS {
        accounts.add(account(&format!("a{number}")), []).unwrap();
    }
    assert!(accounts.add(account("one-too-many"), []).is_err());
}

/// Guards against keys and their digests in log lines and panics.
#[test]
fn keys_are_not_printed() {
    let mut accounts = Accounts::default();
    accounts.add(account("red"), [KeyDigest::of(b"hushhush")]).unwrap();
    let digest = blake3::Hasher::new_derive_key("copperjunction client account key")
        .update(b"hushhush")
        .finalize();
    let printed = format!("{accounts:?}");
    assert!(!printed.contains("hushhush") && !printed.contains(&*digest.to_hex()), "{printed}");
}

#[test]
fn weights_are_positive_numbers() {
    for weight in [0.0, -1.0, f64::NAN, f64::INFINITY, 1e300] {
        assert!(Weight::try_from(weight).is_err(), "{weight}");
    }
    assert_eq!(Weight::try_from(2.5).unwrap().value(), 2.5);
}

/// Guards against a cap of 0 that stops an account, although it means no limit, and against shares that exceed the cap.
#[test]
fn caps_limit_each_resource_by_itself() {
    let cap = AccountCap::from_limits(1_000, 0, 0);
    assert_eq!(cap.room(resources(400, 70_000)).cores, Millicores(600));
    assert!(resources(600, 1 << 30).fits(cap.room(resources(400, 70_000))));
    assert!(cap.is_half_free(resources(500, 70_000)) && !cap.is_half_free(resources(501, 0)));
    assert_eq!(cap.divided_by(3).limits().cores, Millicores(333));
    assert!(AccountCap::from_limits(0, 0, 0).divided_by(3).is_unlimited());
    assert!(AccountCap::from_limits(1 << 40, 0, 0).is_unlimited(), "beyond what a fleet has");
}

#[test]
fn access_is_limited_to_jobs_of_the_account() {
    let [red, blue] = ["red", "blue"].map(|name| AccountId::try_from(name).unwrap());
    let access = Access::Account(red.clone());
    assert!(access.allows("q", Some(&red)) && access.allows("q", None));
    assert!(!access.allows("q", Some(&blue)));
    assert!(Access::Open.allows("q", Some(&red)));
    // A job of an account is visible through a public queue only if it was submitted there.
    let public = Access::PublicQueue("q".into());
    assert!(public.allows("q", Some(&red)) && public.allows("other", None));
    assert!(!public.allows("other", Some(&red)));
}

/// Guards against jobs that are lost in an upgrade, because their records were stored before accounts existed.
#[test]
fn submissions_of_earlier_releases_can_be_read() {
    let submission = Submission {
        queue: "q".into(),
        service: ServiceId::try_from("s").unwrap(),
        priority: 0,
        max_attempts: 2,
        objective: Default::default(),
        received_at: UnixMillis(5),
        spec: JobSpec { text: "t".into(), steps: vec![StepSpec::default()], schedule: None },
        account: None,
    };
    let record = |account| {
        Record::Submission(JobKey(1), Box::new(Submission { account, ..submission.clone() }))
    };
    let (key, value) = codec::entry(&record(None));
    let (last, earlier) = value.split_last().unwrap();
    assert_eq!(*last, 0, "the absent account is the last byte");
    assert_eq!(codec::decode(&key, earlier).unwrap(), record(None));
    assert!(codec::decode(&key, &earlier[..earlier.len() - 1]).is_err(), "a truncated record");

    let with_account = record(Some(AccountId::try_from("red").unwrap()));
    let (key, value) = codec::entry(&with_account);
    assert_eq!(codec::decode(&key, &value).unwrap(), with_account);
    assert!(codec::decode(&key, &value[..value.len() - 1]).is_err(), "a truncated record");
}
