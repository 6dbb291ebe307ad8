//! The committed code is what the schema gives now.

use std::fs;
use std::path::Path;

#[test]
fn is_current() {
    let package = Path::new(env!("CARGO_MANIFEST_DIR"));
    let out = Path::new(env!("CARGO_TARGET_TMPDIR")).join("generated");
    fs::create_dir_all(&out).expect("the folder for the fresh code");
    let files = protox::compile(["operator.proto"], [package.join("../../../schema")])
        .expect("the schema compiles");
    tonic_prost_build::configure().out_dir(&out).compile_fds(files).expect("code is made");
    let name = "heatherseam.operator.v1.rs";
    let fresh = fs::read_to_string(out.join(name)).expect("fresh code");
    let committed =
        fs::read_to_string(package.join("src/generated").join(name)).expect("committed code");
    assert!(
        fresh == committed,
        "src/generated/{name} is not current: run `cargo run -p rpc --example generate`"
    );
}
