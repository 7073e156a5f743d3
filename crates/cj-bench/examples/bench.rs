//! Runs one benchmark: `cargo run --release -p cj-bench --example bench -- NAME [SEED [WORKERS]]`.

use cj_bench::{BENCHMARKS, Options};
use cj_types::{Error, ErrorKind, Result};

fn main() -> Result<()> {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let usage = |problem: String| {
        let names: Vec<&str> = BENCHMARKS.iter().map(|(name, _)| *name).collect();
        let help = format!("use NAME [SEED [WORKERS]] with one of {}", names.join(", "));
        Error::new(ErrorKind::Usage(problem.into()), help)
    };
    let name = args.first().ok_or_else(|| usage("no benchmark named".into()))?;
    let number = |i: usize| {
        let parsed = args.get(i).map(|text| text.parse::<u64>()).transpose();
        parsed.map_err(|e| usage(e.to_string()))
    };
    let seed = number(1)?.unwrap_or(1);
    let workers = number(2)?.map(|n| n as u32);
    let found = BENCHMARKS.iter().find(|(known, _)| known == name);
    let (_, run) = found.ok_or_else(|| usage(format!("unknown benchmark `{name}`")))?;
    println!("{:#}", run(&Options { seed, workers, nodes: None })?);
    Ok(())
}
