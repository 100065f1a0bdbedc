//! Messages between daemons that are longer than any that they send.

use {
    jasmine_wire::{
        jasmine_capnp::{controller, rights_holder},
        link::serve,
    },
    std::{net::SocketAddr, rc::Rc, time::Duration},
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::{TcpListener, TcpStream},
        task::spawn_local,
        time::timeout,
    },
};

struct Server;

impl rights_holder::Server for Server {}

impl controller::Server for Server {
    async fn status(
        self: Rc<Self>,
        _: controller::StatusParams,
        _: controller::StatusResults,
    ) -> Result<(), capnp::Error> {
        Ok(())
    }
}

/// Whether the connection of a peer that announces a message of so many words is closed.
async fn is_closed(words: u32) -> bool {
    let any: SocketAddr = ([127, 0, 0, 1], 0).into();
    let listener = TcpListener::bind(any).await.unwrap();
    let address = listener.local_addr().unwrap();
    let server: controller::Client = capnp_rpc::new_client(Server);
    let serving = spawn_local(serve(listener, server.client));
    let mut stream = TcpStream::connect(address).await.unwrap();
    // One segment of this length.
    stream.write_all(&0_u32.to_le_bytes()).await.unwrap();
    stream.write_all(&words.to_le_bytes()).await.unwrap();
    stream.write_all(&[0; 64]).await.unwrap();
    // The server says why before it closes the connection.
    let closed = async { while matches!(stream.read(&mut [0; 64]).await, Ok(n) if n > 0) {} };
    let end = timeout(Duration::from_millis(500), closed).await;
    serving.abort();
    end.is_ok()
}

#[test]
fn long_messages_are_refused() {
    // Guards against a peer that makes a daemon read 64 MiB into memory for one message.
    actix_web::rt::System::new().block_on(async {
        assert!(!is_closed((1 << 20) / 8).await, "1 MiB");
        assert!(is_closed((60 << 20) / 8).await, "60 MiB");
    });
}
