//! Builds the library that makes system calls fail, and the environment that preloads it into a proxy
//! process.
#![allow(dead_code)]

use std::path::{Path, PathBuf};
use std::process::Command;
use std::sync::OnceLock;

/// The system calls of a process that fail, how often they do, and the offset of its wall clock.
#[derive(Default)]
pub struct SyscallFaults {
    /// Comma-separated `CALL=FAULT` pairs, as `tests/fault_injection/syscall_faults.c` describes.
    pub faults: &'static str,
    /// One call in `rate` fails; with 0 only the first calls fail.
    pub rate: u32,
    /// The number of calls of each kind that fail at the start.
    pub first: u32,
    pub seed: u64,
    /// The offset of the wall clock in seconds, at its first reading and at all later ones.
    pub clock_offset_s: (i64, i64),
}

impl SyscallFaults {
    /// Returns the environment variables for a process that listens on `port`. Injected faults are counted in
    /// a file in `folder`.
    pub fn environment(&self, folder: &Path, port: u16) -> Vec<(&'static str, String)> {
        std::fs::write(count_file(folder), [0; 8]).expect("write the file");
        vec![
            ("LD_PRELOAD", library().display().to_string()),
            ("SYSCALL_FAULTS", self.faults.to_string()),
            ("SYSCALL_FAULTS_RATE", self.rate.to_string()),
            ("SYSCALL_FAULTS_FIRST", self.first.to_string()),
            ("SYSCALL_FAULTS_PORT", port.to_string()),
            ("SYSCALL_FAULTS_SEED", self.seed.to_string()),
            ("SYSCALL_FAULTS_CLOCK", format!("{} {}", self.clock_offset_s.0, self.clock_offset_s.1)),
            ("SYSCALL_FAULTS_COUNT", count_file(folder).display().to_string()),
        ]
    }
}

/// Returns the number of injected faults.
pub fn injected_faults(folder: &Path) -> u64 {
    let bytes = std::fs::read(count_file(folder)).expect("the count file exists");
    u64::from_ne_bytes(bytes.try_into().expect("8 bytes"))
}

fn count_file(folder: &Path) -> PathBuf {
    folder.join("injected-faults")
}

/// Builds the library once, with `cc`, which is also this toolchain's linker.
fn library() -> &'static Path {
    static LIBRARY: OnceLock<PathBuf> = OnceLock::new();
    LIBRARY.get_or_init(|| {
        let source = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/fault_injection/syscall_faults.c");
        let name = format!("syscall_faults-{}.so", std::process::id());
        let library = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
        let built = Command::new("cc")
            .args(["-std=gnu11", "-O2", "-Wall", "-Werror", "-shared", "-fPIC", "-o"])
            .args([library.as_path(), Path::new(source)])
            .arg("-ldl")
            .status();
        assert!(built.is_ok_and(|status| status.success()), "the library is built");
        library
    })
}
