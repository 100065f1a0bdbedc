//! HEAD requests.

mod deployment;

use {
    deployment::{Request, Vm, start_platform},
    jasmine_platform_stand_in::Behaviour,
    std::{
        io::{Read, Write},
        net::TcpStream,
        time::Duration,
    },
};

#[test]
fn a_head_request_of_a_stream_has_no_body() {
    // Guards against bytes behind a response that has no body, which a caller takes for the next response.
    let (store, upstreams) = start_platform(&["s-1"]);
    let vm = Vm::start(&store);
    upstreams[0].set_default(Behaviour::Events(2));
    let mut caller = TcpStream::connect(vm.callers).unwrap();
    caller
        .set_read_timeout(Some(Duration::from_secs(1)))
        .unwrap();
    caller
        .write_all(&Request::new("HEAD", "/stream/").bytes())
        .unwrap();
    let mut bytes = Vec::new();
    drop(caller.read_to_end(&mut bytes));
    let text = String::from_utf8(bytes).unwrap();
    assert!(
        text.ends_with("\r\n\r\n") && text.matches("\r\n\r\n").count() == 1,
        "{text:?}"
    );
}
