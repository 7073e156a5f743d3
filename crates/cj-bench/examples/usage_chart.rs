//! Prints the chart of the buffer benchmark: `cargo run --release -p cj-bench --example usage_chart -- [SEED]`.

use cj_bench::{Options, buffer};
use cj_types::Result;

fn main() -> Result<()> {
    let seed = std::env::args().nth(1).and_then(|s| s.parse().ok()).unwrap_or(1);
    print!("{}", buffer::chart(&Options { seed, workers: None, nodes: None })?);
    Ok(())
}
