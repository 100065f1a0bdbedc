use {
    super::{idle_reader::IdleReader, vat_network},
    capnp::capability::Client,
    capnp_rpc::{RpcSystem, rpc_twoparty_capnp::Side},
    futures::future::LocalBoxFuture,
    jasmine_core::clock::Millis,
    std::{cell::Cell, rc::Rc},
    tokio::{
        net::{TcpListener, TcpStream},
        task::spawn_local,
    },
};

/// Maximum number of open connections; further ones are closed on accept.
const MAX_CONNECTIONS: usize = 2048;

/// Closes connections on which nothing has arrived for this long.
const IDLE_TIMEOUT: Millis = Millis(60_000);

/// Delay after a failed accept, usually caused by a lack of file descriptors.
const ACCEPT_RETRY_DELAY: Millis = Millis(50);

/// Serves `bootstrap` on every accepted connection until the future is dropped.
///
/// Must run inside a [`tokio::task::LocalSet`], such as the actix runtime.
pub async fn serve(
    listener: TcpListener,
    bootstrap: Client,
) {
    serve_with(listener, bootstrap, |connection| connection).await;
}

/// Does the same; `wrap` is given the future of each connection and returns the one that is run.
pub async fn serve_with<W, F>(
    listener: TcpListener,
    bootstrap: Client,
    wrap: W,
) where
    W: Fn(LocalBoxFuture<'static, ()>) -> F,
    F: Future<Output = ()> + 'static,
{
    let open = Rc::new(Cell::new(0_usize));
    loop {
        match listener.accept().await {
            Ok(_) if open.get() >= MAX_CONNECTIONS => {}
            Ok((stream, _)) => {
                let counted = Rc::clone(&open);
                let client = bootstrap.clone();
                open.set(open.get() + 1);
                let served = wrap(Box::pin(serve_connection(stream, client)));
                spawn_local(async move {
                    served.await;
                    counted.set(counted.get() - 1);
                });
            }
            Err(_) => tokio::time::sleep(ACCEPT_RETRY_DELAY.to_std()).await,
        }
    }
}

async fn serve_connection(
    stream: TcpStream,
    bootstrap: Client,
) {
    if stream.set_nodelay(true).is_err() {
        return;
    }
    let (reader, writer) = stream.into_split();
    let reader = IdleReader::new(reader, IDLE_TIMEOUT);
    let network = vat_network(reader, writer, Side::Server);
    // The error only says that the connection ended; the caller detects that itself.
    RpcSystem::new(Box::new(network), Some(bootstrap))
        .await
        .unwrap_or_default();
}
