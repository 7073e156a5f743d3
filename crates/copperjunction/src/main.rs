//! Operator command line of copperjunction.

fn main() {}
