//! Connections between two processes of a fleet, with a man in the middle.

use bytes::Bytes;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use wire::{accept, connect, Ack, Body, Key, Keys, Rx, Tx, WireError, FRAME_MAX};

fn keys(first: u8, second: Option<u8>) -> Keys {
    let key = |n: u8| Key::from_hex(format!("{n:064x}")).expect("a key");
    Keys::new(key(first), second.map(key))
}

async fn pair() -> (TcpStream, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("listen");
    let at = listener.local_addr().expect("address");
    let (one, two) = tokio::join!(TcpStream::connect(at), listener.accept());
    (one.expect("connect"), two.expect("accept").0)
}

type Ends = (Result<(Tx, Rx), WireError>, Result<(Tx, Rx), WireError>);

async fn handshake(client: &Keys, server: &Keys) -> Ends {
    let (one, two) = pair().await;
    tokio::join!(connect(one, client, [1; 16]), accept(two, server, [2; 16]))
}

/// One message as sent on the network, with its length prefix.
async fn frame(from: &mut TcpStream) -> Vec<u8> {
    let n = from.read_u32().await.expect("a length");
    let mut bytes = n.to_be_bytes().to_vec();
    bytes.resize(4 + n as usize, 0);
    from.read_exact(&mut bytes[4..]).await.expect("a message");
    bytes
}

/// A handshake through a man in the middle, who can record and change the client's frames.
async fn intercepted() -> ((Tx, Rx), (Tx, Rx), TcpStream, TcpStream) {
    let (one, mut near) = pair().await;
    let (mut far, two) = pair().await;
    let (client, server) = (keys(1, None), keys(1, None));
    let pass = async {
        let handshake_message = frame(&mut near).await;
        far.write_all(&handshake_message).await.expect("pass on");
        let handshake_message = frame(&mut far).await;
        near.write_all(&handshake_message).await.expect("pass on");
    };
    let (a, b, ()) = tokio::join!(
        connect(one, &client, [1; 16]),
        accept(two, &server, [2; 16]),
        pass
    );
    (a.expect("client"), b.expect("server"), near, far)
}

#[tokio::test]
async fn handshake_succeeds_only_with_a_common_key() {
    struct Case {
        what: &'static str,
        client: Keys,
        server: Keys,
        matches: bool,
    }
    #[rustfmt::skip]
    let cases = [
        Case { what: "one key", client: keys(1, None), server: keys(1, None), matches: true },
        Case { what: "client still has the old one", client: keys(1, None), server: keys(2, Some(1)), matches: true },
        Case { what: "server still has the old one", client: keys(2, Some(1)), server: keys(1, Some(2)), matches: true },
        Case { what: "no common key", client: keys(1, None), server: keys(2, None), matches: false },
    ];
    for c in cases {
        let (a, b) = handshake(&c.client, &c.server).await;
        assert_eq!(b.is_ok(), c.matches, "{}: {:?}", c.what, b.err());
        let (Ok((mut tx, _)), Ok((_, mut rx))) = (a, b) else {
            assert!(!c.matches, "{}", c.what);
            continue;
        };
        tx.send(Ack { next: 7 }).await.expect("send");
        let body = rx.next().await.expect("a frame");
        assert_eq!(body, Body::Ack(Ack { next: 7 }), "{}", c.what);
    }
}

/// What the man in the middle does with the frames of a connection.
struct Tampering {
    what: &'static str,
    /// Which of the three frames arrive, in order, and whether a bit of the frame is flipped.
    order: &'static [(usize, bool)],
    /// Number of valid frames before the fault.
    good: u64,
    ends: fn(&WireError) -> bool,
}

/// Guards against a reader that continues after frames were replayed, reordered, dropped or
/// changed: a caller would get parts of another answer.
#[tokio::test]
async fn tampered_frames_end_the_connection() {
    let seal: fn(&WireError) -> bool = |e| matches!(e, WireError::Seal);
    #[rustfmt::skip]
    let cases = [
        Tampering { what: "untouched", order: &[(0, false), (1, false), (2, false)], good: 3, ends: |e| matches!(e, WireError::Closed) },
        Tampering { what: "replayed", order: &[(0, false), (0, false)], good: 1, ends: seal },
        Tampering { what: "replayed later", order: &[(0, false), (1, false), (0, false)], good: 2, ends: seal },
        Tampering { what: "swapped", order: &[(1, false), (0, false)], good: 0, ends: seal },
        Tampering { what: "dropped", order: &[(0, false), (2, false)], good: 1, ends: seal },
        Tampering { what: "changed", order: &[(0, false), (1, true)], good: 1, ends: seal },
    ];
    for c in cases {
        let ((mut tx, _keep), (_tx, mut rx), mut near, mut far) = intercepted().await;
        let mut sent = Vec::new();
        for next in 0..3 {
            tx.send(Ack { next }).await.expect("send");
            sent.push(frame(&mut near).await);
        }
        for (which, flip) in c.order {
            let mut bytes = sent[*which].clone();
            if *flip {
                *bytes.last_mut().expect("not empty") ^= 1;
            }
            far.write_all(&bytes).await.expect("pass on");
        }
        drop(far);
        for next in 0..c.good {
            let body = rx.next().await.expect("a good frame");
            assert_eq!(body, Body::Ack(Ack { next }), "{}", c.what);
        }
        let error = rx.next().await.expect_err("an end");
        assert!((c.ends)(&error), "{}: {error:?}", c.what);
    }
}

/// Guards against a recorded connection that is replayed to the accepting side. The accepting side
/// draws a new nonce, so the seal of the first replayed frame is invalid.
#[tokio::test]
async fn replayed_connection_is_refused_at_its_first_frame() {
    let fleet_keys = keys(1, None);
    let ((mut tx, _rx), _server, mut near, _far) = intercepted().await;
    tx.send(Ack { next: 1 }).await.expect("send");
    let first = frame(&mut near).await;
    // The client's handshake message is its nonce, sealed with the fleet's key.
    let handshake_message = fleet_keys.seal(&[1; 16]);
    let handshake_message = [
        &(handshake_message.len() as u32).to_be_bytes()[..],
        &handshake_message,
    ]
    .concat();
    let (mut again, one) = pair().await;
    // The replay.
    again.write_all(&handshake_message).await.expect("write");
    again.write_all(&first).await.expect("write");
    let (_tx, mut rx) = accept(one, &fleet_keys, [9; 16])
        .await
        .expect("the handshake message is valid");
    let error = rx.next().await.expect_err("the frame is invalid");
    assert!(matches!(error, WireError::Seal), "{error:?}");
}

/// Guards against panics and large allocations when an unauthenticated peer sends arbitrary bytes
/// or disconnects within a frame.
#[tokio::test]
async fn unauthenticated_peers_cause_typed_errors() {
    struct Case {
        what: &'static str,
        bytes: Vec<u8>,
        ends: fn(&WireError) -> bool,
    }
    let framed = |payload: &[u8]| [&(payload.len() as u32).to_be_bytes()[..], payload].concat();
    #[rustfmt::skip]
    let cases = [
        Case { what: "nothing", bytes: vec![], ends: |e| matches!(e, WireError::Closed) },
        Case { what: "another protocol", bytes: b"GET / HTTP/1.1\r\n\r\n".to_vec(), ends: |e| matches!(e, WireError::Length) },
        Case { what: "a huge length", bytes: u32::MAX.to_be_bytes().to_vec(), ends: |e| matches!(e, WireError::Length) },
        Case { what: "a frame's length before the handshake", bytes: (FRAME_MAX as u32).to_be_bytes().to_vec(), ends: |e| matches!(e, WireError::Length) },
        Case { what: "half a length", bytes: vec![0, 0], ends: |e| matches!(e, WireError::Cut) },
        Case { what: "half a frame", bytes: framed(&[7; 32])[..20].to_vec(), ends: |e| matches!(e, WireError::Cut) },
        Case { what: "an empty frame", bytes: framed(&[]), ends: |e| matches!(e, WireError::Short(0)) },
        Case { what: "a short frame", bytes: framed(&[7; 9]), ends: |e| matches!(e, WireError::Short(9)) },
        Case { what: "invalid seal", bytes: framed(&[7; 32]), ends: |e| matches!(e, WireError::Seal) },
    ];
    for c in cases {
        let (mut one, two) = pair().await;
        one.write_all(&c.bytes).await.expect("write");
        drop(one);
        let error = accept(two, &keys(1, None), [2; 16])
            .await
            .expect_err("an unauthenticated peer");
        assert!((c.ends)(&error), "{}: {error:?}", c.what);
    }
}

/// Guards against a frame over the size limit that is sent, or that makes the connection unusable.
#[tokio::test]
async fn oversize_frame_is_not_sent() {
    let (a, b) = handshake(&keys(1, None), &keys(1, None)).await;
    let ((mut tx, _a), (_b, mut rx)) = (a.expect("client"), b.expect("server"));
    let data = Bytes::from(vec![0; FRAME_MAX + 1]);
    let error = tx.send(wire::Text { data }).await.expect_err("too large");
    assert!(matches!(error, WireError::Large(_)), "{error:?}");
    tx.send(Ack { next: 1 }).await.expect("send");
    assert_eq!(
        rx.next().await.expect("a frame"),
        Body::Ack(Ack { next: 1 })
    );
}
