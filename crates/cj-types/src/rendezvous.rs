//! Rendezvous (highest random weight) hashing, which picks the owner of a key without coordination.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Weight of `member` for `key`, the same on all nodes.
pub fn weight(key: &[u8], member: &[u8]) -> u64 {
    xxh3_64_with_seed(member, xxh3_64_with_seed(key, 0))
}

/// The member with the highest weight for `key`, or `None` when there are no members. XXH3 is stable across versions and
/// platforms, so all nodes pick the same owner.
pub fn owner<'a, I>(key: &[u8], members: I) -> Option<&'a str>
where
    I: IntoIterator<Item = &'a str>,
{
    let seed = xxh3_64_with_seed(key, 0);
    members.into_iter().max_by_key(|m| (xxh3_64_with_seed(m.as_bytes(), seed), *m))
}
