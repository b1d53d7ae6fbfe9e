//! Connections between two of our processes, with somebody in between.

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

async fn shake(client: &Keys, server: &Keys) -> Ends {
    let (one, two) = pair().await;
    tokio::join!(connect(one, client, [1; 16]), accept(two, server, [2; 16]))
}

/// One message as it is on the cable.
async fn frame(from: &mut TcpStream) -> Vec<u8> {
    let n = from.read_u32().await.expect("a length");
    let mut bytes = n.to_be_bytes().to_vec();
    bytes.resize(4 + n as usize, 0);
    from.read_exact(&mut bytes[4..]).await.expect("a message");
    bytes
}

/// A handshake through somebody who records and changes what the connecting side sends.
async fn tapped() -> ((Tx, Rx), (Tx, Rx), TcpStream, TcpStream) {
    let (one, mut near) = pair().await;
    let (mut far, two) = pair().await;
    let (client, server) = (keys(1, None), keys(1, None));
    let pass = async {
        let hello = frame(&mut near).await;
        far.write_all(&hello).await.expect("pass on");
        let hello = frame(&mut far).await;
        near.write_all(&hello).await.expect("pass on");
    };
    let (a, b, ()) = tokio::join!(
        connect(one, &client, [1; 16]),
        accept(two, &server, [2; 16]),
        pass
    );
    (a.expect("client"), b.expect("server"), near, far)
}

#[tokio::test]
async fn handshake_holds_between_those_with_a_common_key() {
    struct Case {
        what: &'static str,
        client: Keys,
        server: Keys,
        fits: bool,
    }
    #[rustfmt::skip]
    let cases = [
        Case { what: "one key", client: keys(1, None), server: keys(1, None), fits: true },
        Case { what: "client still has the old one", client: keys(1, None), server: keys(2, Some(1)), fits: true },
        Case { what: "server still has the old one", client: keys(2, Some(1)), server: keys(1, Some(2)), fits: true },
        Case { what: "no common key", client: keys(1, None), server: keys(2, None), fits: false },
    ];
    for c in cases {
        let (a, b) = shake(&c.client, &c.server).await;
        assert_eq!(b.is_ok(), c.fits, "{}: {:?}", c.what, b.err());
        let (Ok((mut tx, _)), Ok((_, mut rx))) = (a, b) else {
            assert!(!c.fits, "{}", c.what);
            continue;
        };
        tx.send(Ack { next: 7 }).await.expect("send");
        let body = rx.next().await.expect("a frame");
        assert_eq!(body, Body::Ack(Ack { next: 7 }), "{}", c.what);
    }
}

/// What somebody in between does with the frames of a connection.
struct Tampering {
    what: &'static str,
    /// Which of the three frames arrive, in order; with a bit flipped if so told.
    order: &'static [(usize, bool)],
    /// Frames that arrive before the fault.
    good: u64,
    ends: fn(&WireError) -> bool,
}

/// Frames are replayed, swapped, left out, changed or cut off in between. A reader that went on
/// would give a caller another answer's words.
#[tokio::test]
async fn tampered_frames_end_the_connection() {
    let seal: fn(&WireError) -> bool = |e| matches!(e, WireError::Seal);
    #[rustfmt::skip]
    let cases = [
        Tampering { what: "untouched", order: &[(0, false), (1, false), (2, false)], good: 3, ends: |e| matches!(e, WireError::Closed) },
        Tampering { what: "replayed", order: &[(0, false), (0, false)], good: 1, ends: seal },
        Tampering { what: "replayed later", order: &[(0, false), (1, false), (0, false)], good: 2, ends: seal },
        Tampering { what: "swapped", order: &[(1, false), (0, false)], good: 0, ends: seal },
        Tampering { what: "left out", order: &[(0, false), (2, false)], good: 1, ends: seal },
        Tampering { what: "changed", order: &[(0, false), (1, true)], good: 1, ends: seal },
    ];
    for c in cases {
        let ((mut tx, _keep), (_tx, mut rx), mut near, mut far) = tapped().await;
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

/// A whole connection is recorded and played again to the accepting side. The nonce that it draws
/// is another one, so that the first frame doesn't fit any more.
#[tokio::test]
async fn replayed_connection_is_refused_at_its_first_frame() {
    let ours = keys(1, None);
    let ((mut tx, _rx), _server, mut near, _far) = tapped().await;
    tx.send(Ack { next: 1 }).await.expect("send");
    let first = frame(&mut near).await;
    // The connecting side's hello is its nonce under the fleet's key, as on every connection.
    let hello = ours.seal(&[1; 16]);
    let hello = [&(hello.len() as u32).to_be_bytes()[..], &hello].concat();
    let (mut again, one) = pair().await;
    // The replay.
    again.write_all(&hello).await.expect("write");
    again.write_all(&first).await.expect("write");
    let (_tx, mut rx) = accept(one, &ours, [9; 16]).await.expect("the hello fits");
    let error = rx.next().await.expect_err("the frame doesn't");
    assert!(matches!(error, WireError::Seal), "{error:?}");
}

/// Anybody can connect and send anything, or leave within a frame.
#[tokio::test]
async fn strangers_end_in_typed_errors() {
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
        Case { what: "no seal of ours", bytes: framed(&[7; 32]), ends: |e| matches!(e, WireError::Seal) },
    ];
    for c in cases {
        let (mut one, two) = pair().await;
        one.write_all(&c.bytes).await.expect("write");
        drop(one);
        let error = accept(two, &keys(1, None), [2; 16])
            .await
            .expect_err("a stranger");
        assert!((c.ends)(&error), "{}: {error:?}", c.what);
    }
}

/// A frame larger than any of ours is refused before it is sent, and the connection still works.
#[tokio::test]
async fn oversize_frame_is_not_sent() {
    let (a, b) = shake(&keys(1, None), &keys(1, None)).await;
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
