//! Frames of the connections between nodes.
//!
//! Each end sends a header of 8 bytes when a connection opens. A message is
//! preceded by its length, an unsigned number of 8 bytes in network byte order.
//! These are the header and the frames of the SP protocols' TCP mapping for a
//! pipeline, which earlier releases use.

use tokio_util::codec;

/// Length of the header in bytes.
pub const HEADER_BYTES: usize = 8;

/// Header that the sending end sends: protocol `push`, version 0.
pub const SENDER_HEADER: [u8; HEADER_BYTES] = [0, b'S', b'P', 0, 0, 0x50, 0, 0];

/// Header that the receiving end sends: protocol `pull`, version 0.
pub const RECEIVER_HEADER: [u8; HEADER_BYTES] = [0, b'S', b'P', 0, 0, 0x51, 0, 0];

/// Header that a node sends instead to ask for a tunnel.
pub const TUNNEL_HEADER: [u8; HEADER_BYTES] = *b"AFTUNNEL";

/// Maximum size of a message in bytes.
pub const MESSAGE_LIMIT_BYTES: usize = 16 << 20;

/// Size of the length before each message in bytes.
const LENGTH_BYTES: usize = 8;

/// Returns the codec of messages.
pub fn codec() -> codec::LengthDelimitedCodec {
    codec::LengthDelimitedCodec::builder()
        .length_field_length(LENGTH_BYTES)
        .max_frame_length(MESSAGE_LIMIT_BYTES)
        .new_codec()
}
