//! Writes the code of `schema/operator.proto` to `src/generated/`, or to the
//! folder that the first argument names.

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
