//! How many writes and reads the messages between daemons take.

use {
    capnp_rpc::{RpcSystem, rpc_twoparty_capnp::Side},
    jasmine_wire::{
        jasmine_capnp::{controller, rights_holder},
        link::vat_network,
    },
    std::{
        cell::Cell,
        io,
        pin::Pin,
        rc::Rc,
        task::{Context, Poll},
    },
    tokio::{
        io::{AsyncRead, AsyncWrite, ReadBuf, duplex, split},
        task::{LocalSet, spawn_local},
    },
};

const CALLS: u64 = 100;
/// Of each call: the question, its answer, and that the answer was received.
const MESSAGES_PER_CALL: u64 = 3;
/// The bootstrap of a connection.
const FIRST_MESSAGES: u64 = 3;

struct Server;

impl rights_holder::Server for Server {}

impl controller::Server for Server {
    async fn status(
        self: Rc<Self>,
        _: controller::StatusParams,
        mut results: controller::StatusResults,
    ) -> Result<(), capnp::Error> {
        results.get().set_revision(7);
        Ok(())
    }
}

/// Counts the reads and writes that move bytes.
struct Counted<T> {
    inner: T,
    count: Rc<Cell<u64>>,
}

impl<T> Counted<T> {
    fn note<R>(
        &self,
        result: &Poll<R>,
    ) {
        if result.is_ready() {
            self.count.set(self.count.get() + 1);
        }
    }
}

impl<T> AsyncRead for Counted<T>
where
    T: AsyncRead + Unpin,
{
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let result = Pin::new(&mut self.inner).poll_read(cx, buf);
        self.note(&result);
        result
    }
}

impl<T> AsyncWrite for Counted<T>
where
    T: AsyncWrite + Unpin,
{
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.inner).poll_write(cx, buf);
        self.note(&result);
        result
    }

    fn poll_flush(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(cx)
    }

    fn poll_shutdown(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_shutdown(cx)
    }
}

/// Guards against a leader that spends its processor time on system calls: a message in two writes, or in two reads.
#[tokio::test(flavor = "current_thread")]
async fn one_write_a_message() {
    let (reads, writes) = (Rc::new(Cell::new(0)), Rc::new(Cell::new(0)));
    let (near, far) = duplex(64 << 10);
    LocalSet::new()
        .run_until(async {
            let server: controller::Client = capnp_rpc::new_client(Server);
            spawn_local(RpcSystem::new(
                Box::new(counted(far, &reads, &writes, Side::Server)),
                Some(server.client),
            ));
            let mut system =
                RpcSystem::new(Box::new(counted(near, &reads, &writes, Side::Client)), None);
            let client = system.bootstrap::<controller::Client>(Side::Server);
            spawn_local(system);
            for _ in 0..CALLS {
                let answer = client
                    .status_request()
                    .send()
                    .promise
                    .await
                    .expect("an answer");
                assert_eq!(answer.get().expect("a struct").get_revision(), 7);
            }
        })
        .await;
    let max = CALLS * MESSAGES_PER_CALL + FIRST_MESSAGES;
    assert!(
        writes.get() <= max,
        "{} writes, expected {max} at most",
        writes.get()
    );
    assert!(
        reads.get() <= max,
        "{} reads, expected {max} at most",
        reads.get()
    );
}

fn counted(
    stream: tokio::io::DuplexStream,
    reads: &Rc<Cell<u64>>,
    writes: &Rc<Cell<u64>>,
    side: Side,
) -> capnp_rpc::twoparty::VatNetwork<impl futures::AsyncRead + Unpin + use<>> {
    let (rx, tx) = split(stream);
    let rx = Counted {
        inner: rx,
        count: Rc::clone(reads),
    };
    let tx = Counted {
        inner: tx,
        count: Rc::clone(writes),
    };
    vat_network(rx, tx, side)
}
