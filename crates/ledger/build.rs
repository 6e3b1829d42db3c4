//! Generates the code for `proto/usage.proto`; protox replaces an installed `protoc`.

fn main() -> Result<(), Box<dyn std::error::Error>> {
    println!("cargo:rerun-if-changed=proto/usage.proto");
    let files = protox::compile(["usage.proto"], ["proto"])?;
    tonic_prost_build::configure().compile_fds(files)?;
    Ok(())
}
