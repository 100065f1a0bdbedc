use {
    super::message_limits::reader_options,
    capnp_rpc::{rpc_twoparty_capnp::Side, twoparty::VatNetwork},
    tokio::io::{AsyncRead, AsyncWrite, BufReader, BufWriter},
    tokio_util::compat::{Compat, TokioAsyncReadCompatExt, TokioAsyncWriteCompatExt},
};

/// Bytes that are read from a connection at once; most messages are shorter.
const READ_BUFFER_BYTES: usize = 2 << 10;
/// Bytes that are gathered for one write; longer messages are written as they are.
const WRITE_BUFFER_BYTES: usize = 1 << 10;

/// Prepares the messages of a connection for an RPC system.
///
/// The RPC library reads and writes the length of a message apart from the message. Without buffers each message would
/// take two system calls and two packets on either side, and a VM that is asked by many spends most of its time on them.
pub fn vat_network<R, W>(
    reader: R,
    writer: W,
    side: Side,
) -> VatNetwork<Compat<BufReader<R>>>
where
    R: AsyncRead + Unpin + 'static,
    W: AsyncWrite + Unpin + 'static,
{
    VatNetwork::new(
        BufReader::with_capacity(READ_BUFFER_BYTES, reader).compat(),
        BufWriter::with_capacity(WRITE_BUFFER_BYTES, writer).compat_write(),
        side,
        reader_options(),
    )
}
