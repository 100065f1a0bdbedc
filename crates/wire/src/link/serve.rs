use {
    super::idle_reader::IdleReader,
    capnp::capability::Client,
    capnp_rpc::{RpcSystem, rpc_twoparty_capnp::Side, twoparty::VatNetwork},
    jasmine_core::clock::Millis,
    std::{cell::Cell, rc::Rc},
    tokio::{
        net::{TcpListener, TcpStream},
        task::spawn_local,
    },
    tokio_util::compat::{TokioAsyncReadCompatExt, TokioAsyncWriteCompatExt},
};

/// Connections served at a time; the caller of one more sees its connection closed.
const MAX_CONNECTIONS: usize = 2048;

/// A connection on which nothing has arrived for this long is closed.
const IDLE_LIMIT: Millis = Millis(60_000);

/// The pause after a failed accept, which comes from a lack of descriptors.
const ACCEPT_PAUSE: Millis = Millis(50);

/// Serves `bootstrap` to everybody who connects, until the future is dropped.
///
/// Has to run inside a local task set, as the runtime of actix is.
pub async fn serve(
    listener: TcpListener,
    bootstrap: Client,
) {
    let open = Rc::new(Cell::new(0_usize));
    loop {
        match listener.accept().await {
            Ok(_) if open.get() >= MAX_CONNECTIONS => {}
            Ok((stream, _)) => {
                let counted = Rc::clone(&open);
                let client = bootstrap.clone();
                open.set(open.get() + 1);
                spawn_local(async move {
                    serve_one(stream, client).await;
                    counted.set(counted.get() - 1);
                });
            }
            Err(_) => tokio::time::sleep(ACCEPT_PAUSE.to_std()).await,
        }
    }
}

async fn serve_one(
    stream: TcpStream,
    bootstrap: Client,
) {
    if stream.set_nodelay(true).is_err() {
        return;
    }
    let (reader, writer) = stream.into_split();
    let network = VatNetwork::new(
        IdleReader::new(reader, IDLE_LIMIT).compat(),
        writer.compat_write(),
        Side::Server,
        capnp::message::ReaderOptions::default(),
    );
    // Its error says only that the connection ended, which each caller notices by itself.
    RpcSystem::new(Box::new(network), Some(bootstrap))
        .await
        .unwrap_or_default();
}
