//! The library that makes system calls fail, built once and preloaded into processes of the program.
#![allow(dead_code)]

use std::path::{Path, PathBuf};
use std::process::Command;
use std::sync::OnceLock;

/// Which calls of a process fail, and how often; and by how much its wall clock is off.
#[derive(Default)]
pub struct SyscallFaults {
    /// `CALL=FAULT` with commas, as `tests/fault_injection/syscall_faults.c` explains.
    pub faults: &'static str,
    /// One call in so many fails; 0 for none but the first ones.
    pub rate: u32,
    /// So many calls of each kind fail first.
    pub first: u32,
    pub seed: u64,
    /// So many seconds is the wall clock ahead at its first reading, and at all later ones.
    pub clock_ahead: (i64, i64),
}

impl SyscallFaults {
    /// The environment of a process that listens at `port` and whose calls fail so. Injected faults are counted in
    /// `folder`.
    pub fn environment(&self, folder: &Path, port: u16) -> Vec<(&'static str, String)> {
        std::fs::write(count_file(folder), [0; 8]).expect("written");
        vec![
            ("LD_PRELOAD", library().display().to_string()),
            ("SYSCALL_FAULTS", self.faults.to_string()),
            ("SYSCALL_FAULTS_RATE", self.rate.to_string()),
            ("SYSCALL_FAULTS_FIRST", self.first.to_string()),
            ("SYSCALL_FAULTS_PORT", port.to_string()),
            ("SYSCALL_FAULTS_SEED", self.seed.to_string()),
            ("SYSCALL_FAULTS_CLOCK", format!("{} {}", self.clock_ahead.0, self.clock_ahead.1)),
            ("SYSCALL_FAULTS_COUNT", count_file(folder).display().to_string()),
        ]
    }
}

/// How many faults were injected.
pub fn injected(folder: &Path) -> u64 {
    let bytes = std::fs::read(count_file(folder)).expect("it was counted");
    u64::from_ne_bytes(bytes.try_into().expect("8 bytes"))
}

fn count_file(folder: &Path) -> PathBuf {
    folder.join("injected-faults")
}

/// Builds the library with the C compiler that the linker of this toolchain is, too.
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
