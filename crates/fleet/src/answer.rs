//! Answers to pulls over TCP.

use bytes::Bytes;
use model::Version;
use prost::Message;

use crate::packet::{Mark, Update};
use crate::{Conviction, Digest, Member, PacketError};

/// The encoded form of an [`Answer`].
#[derive(Clone, PartialEq, prost::Message)]
struct AnswerBody {
    #[prost(uint64, tag = "1")]
    version: u64,
    #[prost(bytes = "bytes", tag = "2")]
    digest: Bytes,
    #[prost(bytes = "bytes", tag = "3")]
    text: Bytes,
    #[prost(message, repeated, tag = "4")]
    members: Vec<Update>,
    #[prost(message, repeated, tag = "5")]
    marks: Vec<Mark>,
}

/// The answer to a pull.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Answer {
    /// Version of the configuration; zero if the member has none.
    pub version: Version,
    /// Digest of the text.
    pub digest: Digest,
    /// Text of the configuration.
    pub text: Bytes,
    /// All members in the view, including tombstones and the answering member; empty if only the
    /// configuration was asked for.
    pub members: Vec<Member>,
    /// Unexpired convictions, with expiry as wall-clock time.
    pub convictions: Vec<Conviction>,
}

impl Answer {
    /// Encodes the answer. The frame around it must be authenticated.
    pub fn encode(&self) -> Bytes {
        let marks = self.convictions.iter();
        let body = AnswerBody {
            version: self.version.0,
            digest: self.digest.to_wire(),
            text: self.text.clone(),
            members: self.members.iter().map(Update::full).collect(),
            marks: marks.map(|c| Mark::new(c.fingerprint, c.until)).collect(),
        };
        body.encode_to_vec().into()
    }

    /// Decodes and validates an answer.
    pub fn decode(bytes: Bytes) -> Result<Self, PacketError> {
        let body = AnswerBody::decode(bytes)?;
        let digest = Digest::from_wire(&body.digest)?;
        if body.version > 0 && Digest::of(&body.text) != digest {
            return Err(PacketError::Mismatch);
        }
        let members = body.members.iter().map(Update::member);
        Ok(Self {
            version: Version(body.version),
            digest,
            members: members.collect::<Result<_, _>>()?,
            convictions: body.marks.iter().map(Mark::read).collect(),
            text: body.text,
        })
    }
}
