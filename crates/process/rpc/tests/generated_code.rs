//! The committed code equals the code that is generated from the schema.

use std::fs;
use std::path::Path;

#[test]
fn generated_code_is_up_to_date() {
    let package = Path::new(env!("CARGO_MANIFEST_DIR"));
    let out = Path::new(env!("CARGO_TARGET_TMPDIR")).join("generated");
    fs::create_dir_all(&out).expect("the output folder can be created");
    let files = protox::compile(["operator.proto"], [package.join("../../../schema")])
        .expect("the schema compiles");
    tonic_prost_build::configure().out_dir(&out).compile_fds(files).expect("the code is generated");
    let name = "heatherseam.operator.v1.rs";
    let generated = fs::read_to_string(out.join(name)).expect("the generated code can be read");
    let committed = fs::read_to_string(package.join("src/generated").join(name))
        .expect("the committed code can be read");
    assert!(
        generated == committed,
        "src/generated/{name} is out of date: run `cargo run -p rpc --example generate`"
    );
}
