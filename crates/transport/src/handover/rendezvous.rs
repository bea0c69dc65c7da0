//! The Unix socket on which a running process accepts handover requests.

use super::HandoverEvent;
use crate::ProxyEvent;
use async_channel::Sender;
use async_io::{Async, Timer};
use std::fs::{self, Permissions};
use std::io;
use std::net::SocketAddr;
use std::os::unix::fs::{MetadataExt, PermissionsExt};
use std::os::unix::net::UnixListener;
use std::path::{Path, PathBuf};
use std::time::Duration;

/// The mode of the socket file: only the same user may connect.
const FILE_MODE: u32 = 0o600;
/// The delay after a failed accept.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(100);

/// The socket on which a running process accepts handover requests. Its file is removed when this is dropped,
/// unless another process has replaced the file with its own.
pub struct RendezvousSocket {
    path: PathBuf,
    inode: u64,
    listener: Async<UnixListener>,
}

/// Returns the path, in `$TMPDIR`, of the rendezvous socket of the proxy that listens on an address.
pub fn socket_path(listen: SocketAddr) -> PathBuf {
    std::env::temp_dir().join(format!("wharfplank-{}-{}.sock", listen.ip(), listen.port()))
}

impl RendezvousSocket {
    /// Listens on a path, replacing the socket of any process that listened there before.
    pub fn bind(path: &Path) -> io::Result<RendezvousSocket> {
        let temporary = path.with_extension(format!("{}.new", std::process::id()));
        // Usually there is no such file, and removing it fails.
        let _ = fs::remove_file(&temporary);
        let listener = UnixListener::bind(&temporary)?;
        fs::set_permissions(&temporary, Permissions::from_mode(FILE_MODE))?;
        fs::rename(&temporary, path)?;
        let inode = fs::metadata(path)?.ino();
        Ok(RendezvousSocket { path: path.to_path_buf(), inode, listener: Async::new(listener)? })
    }

    /// Reports each request as an event, until the receiver of the events is dropped.
    pub async fn accept_requests(self, events: Sender<ProxyEvent>) {
        loop {
            let Ok((stream, _)) = self.listener.accept().await else {
                Timer::after(ACCEPT_RETRY_DELAY).await;
                continue;
            };
            let event = ProxyEvent::Handover(HandoverEvent::Requested(stream));
            if events.send(event).await.is_err() {
                return;
            }
        }
    }
}

impl Drop for RendezvousSocket {
    fn drop(&mut self) {
        let is_own_file = fs::metadata(&self.path).is_ok_and(|file| file.ino() == self.inode);
        if is_own_file {
            // If the file cannot be removed, connecting to it is refused, and a new process assumes that no
            // proxy runs.
            let _ = fs::remove_file(&self.path);
        }
    }
}
