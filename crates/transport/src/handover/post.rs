//! Where the next process asks: a Unix socket's file.

use super::Other;
use crate::ProxyEvent;
use async_channel::Sender;
use async_io::{Async, Timer};
use std::io;
use std::os::unix::fs::{MetadataExt, PermissionsExt};
use std::os::unix::net::UnixListener;
use std::path::{Path, PathBuf};
use std::time::Duration;

/// The socket on which the next process asks. Its file goes when this is dropped, unless the next one has put its own
/// in its place.
pub struct Post {
    path: PathBuf,
    inode: u64,
    listener: Async<UnixListener>,
}

impl Drop for Post {
    fn drop(&mut self) {
        if std::fs::metadata(&self.path).is_ok_and(|file| file.ino() == self.inode) {
            let _ = std::fs::remove_file(&self.path);
        }
    }
}

impl Post {
    /// Takes the path over, whoever listened there before.
    pub fn open(path: &Path) -> io::Result<Post> {
        let fresh = path.with_extension(format!("{}.new", std::process::id()));
        let _ = std::fs::remove_file(&fresh);
        let listener = UnixListener::bind(&fresh)?;
        std::fs::set_permissions(&fresh, std::fs::Permissions::from_mode(0o600))?;
        std::fs::rename(&fresh, path)?;
        let inode = std::fs::metadata(path)?.ino();
        Ok(Post { path: path.to_path_buf(), inode, listener: Async::new(listener)? })
    }

    /// Hands on those who ask.
    pub async fn listen(self, events: Sender<ProxyEvent>) {
        loop {
            match self.listener.accept().await {
                Ok((stream, _)) => {
                    if events.send(ProxyEvent::Handover(Other::Asks(stream))).await.is_err() {
                        return;
                    }
                }
                Err(_) => drop(Timer::after(Duration::from_millis(100)).await),
            }
        }
    }
}
