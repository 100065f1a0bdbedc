use {
    actix_web::{App, HttpServer, dev::ServerHandle, rt::System, web},
    futures::executor::block_on,
    std::{
        io,
        net::{SocketAddr, TcpListener},
        sync::mpsc,
        thread::{self, JoinHandle},
    },
};

/// Maximum size of a request body, in bytes.
const MAX_BODY_BYTES: usize = 8 << 20;

/// Handle of a running stand-in; dropping it stops the server and closes its connections.
#[derive(Debug)]
pub struct RunningServer {
    address: SocketAddr,
    handle: ServerHandle,
    thread: Option<JoinHandle<()>>,
}

impl RunningServer {
    /// Listen address.
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Blocks until the server stops.
    pub fn wait(mut self) {
        if let Some(thread) = self.thread.take() {
            drop(thread.join());
        }
    }
}

impl Drop for RunningServer {
    fn drop(&mut self) {
        if let Some(thread) = self.thread.take() {
            block_on(self.handle.stop(false));
            drop(thread.join());
        }
    }
}

/// Serves `routes` at `address` and runs the `background` task, on a new thread.
pub(crate) fn start<R, B, F>(
    address: SocketAddr,
    routes: R,
    background: B,
) -> io::Result<RunningServer>
where
    R: Fn(&mut web::ServiceConfig) + Clone + Send + 'static,
    B: FnOnce() -> F + Send + 'static,
    F: Future<Output = ()> + 'static,
{
    let listener = TcpListener::bind(address)?;
    let bound = listener.local_addr()?;
    let (tx, rx) = mpsc::channel();
    let thread = thread::spawn(move || {
        System::new().block_on(async move {
            let app = move || {
                App::new()
                    .app_data(web::PayloadConfig::new(MAX_BODY_BYTES))
                    .app_data(
                        web::JsonConfig::default()
                            .limit(MAX_BODY_BYTES)
                            .content_type_required(false),
                    )
                    .configure(routes.clone())
            };
            let server = HttpServer::new(app)
                .workers(1)
                .backlog(1024)
                .listen(listener);
            match server {
                Ok(server) => {
                    let server = server.shutdown_timeout(0).run();
                    drop(tx.send(Ok(server.handle())));
                    actix_web::rt::spawn(background());
                    drop(server.await);
                }
                Err(e) => drop(tx.send(Err(e))),
            }
        });
    });
    let handle = rx.recv().map_err(io::Error::other)??;
    Ok(RunningServer {
        address: bound,
        handle,
        thread: Some(thread),
    })
}
