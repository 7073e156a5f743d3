//! Prints the report of one benchmark: `cargo run --release -p cj-bench --example report -- NAME [SEED]`.

use cj_bench::{BENCHMARKS, Options};

fn main() {
    let mut args = std::env::args().skip(1);
    let name = args.next().unwrap_or_default();
    let seed = args.next().and_then(|s| s.parse().ok()).unwrap_or(1);
    let Some((_, run)) = BENCHMARKS.iter().find(|(n, _)| *n == name) else {
        let names: Vec<_> = BENCHMARKS.iter().map(|(n, _)| *n).collect();
        eprintln!("unknown benchmark `{name}`; use one of {}", names.join(", "));
        std::process::exit(2);
    };
    match run(&Options { seed, workers: None, nodes: None }) {
        Ok(report) => println!("{report:#}"),
        Err(error) => eprintln!("{error}"),
    }
}
