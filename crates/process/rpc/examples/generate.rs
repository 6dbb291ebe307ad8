//! Generates the code of `schema/operator.proto` into `src/generated/`, or into the
//! folder given as the first argument.

use std::path::Path;
use std::path::PathBuf;

fn main() -> Result<(), Box<dyn std::error::Error>> {
    let package = Path::new(env!("CARGO_MANIFEST_DIR"));
    let out = std::env::args().nth(1).map_or_else(|| package.join("src/generated"), PathBuf::from);
    let schema = package.join("../../../schema");
    let files = protox::compile(["operator.proto"], [schema])?;
    tonic_prost_build::configure().out_dir(out).compile_fds(files)?;
    Ok(())
}
