//! Snapshots of the state, split into pieces that fit into log records.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use cj_types::{Error, Offset, Result};

use crate::{index::Index, state::State};

/// Largest encoded piece in bytes.
pub const MAX_PIECE_BYTES: usize = 48 * 1024;

/// Number of state bytes in one piece; the rest is reserved for the piece's header.
const CHUNK_BYTES: usize = MAX_PIECE_BYTES - 256;

/// Largest number of pieces per snapshot that an assembler accepts. It limits a snapshot to about 384 MiB of memory.
const MAX_PIECES: u32 = 8192;

/// Largest number of incomplete snapshots that an assembler keeps.
const MAX_INCOMPLETE: usize = 4;

/// Magic bytes of a piece. The last byte is the version of the state's encoding; it has to change with every change of
/// the state's fields, because the encoding is not self-describing.
const MAGIC: [u8; 4] = *b"cjs1";

/// One piece of a snapshot.
#[derive(Serialize, Deserialize)]
struct Piece {
    magic: [u8; 4],
    /// Offset of the first record that the snapshot does not include.
    covered: Offset,
    /// Number of this piece, from 0.
    number: u32,
    /// Number of pieces of the snapshot.
    count: u32,
    /// Blake3 hash of the complete encoded state.
    whole: [u8; 32],
    /// This piece's part of the encoded state.
    chunk: Vec<u8>,
}

/// Encodes the state as pieces of at most [`MAX_PIECE_BYTES`], in order. Returns no pieces if an entry of a later
/// version was folded, because the state lacks that entry's effect.
pub fn encode(state: &State) -> Vec<Vec<u8>> {
    if state.behind {
        return Vec::new();
    }
    // Encoding into memory fails only for types that postcard does not support, and the state has none.
    let Ok(bytes) = postcard::to_stdvec(state) else {
        return Vec::new();
    };
    let whole = *blake3::hash(&bytes).as_bytes();
    let chunks = bytes.chunks(CHUNK_BYTES);
    let count = chunks.len() as u32;
    let pieces = chunks.zip(0..).map(|(chunk, number)| Piece {
        magic: MAGIC,
        covered: state.next,
        number,
        count,
        whole,
        chunk: chunk.to_vec(),
    });
    pieces.filter_map(|piece| postcard::to_stdvec(&piece).ok()).map(append_checksum).collect()
}

/// Appends a CRC-32 checksum. It covers the header as well, since a wrong piece count would make the assembler drop the
/// other pieces of the snapshot.
fn append_checksum(mut bytes: Vec<u8>) -> Vec<u8> {
    let sum = crc32fast::hash(&bytes);
    bytes.extend_from_slice(&sum.to_le_bytes());
    bytes
}

/// Assembles snapshots from the pieces in the snapshot stream. The stream may hold pieces of several writers,
/// incomplete snapshots and corrupt records.
#[derive(Default)]
pub struct Assembler {
    incomplete: BTreeMap<SnapshotKey, IncompleteSnapshot>,
    /// Offset up to which the newest complete snapshot covers the log.
    newest: Option<Offset>,
}

/// Offset covered by a snapshot, and the hash of its encoded state.
type SnapshotKey = (Offset, [u8; 32]);

struct IncompleteSnapshot {
    count: u32,
    chunks: BTreeMap<u32, Vec<u8>>,
}

impl Assembler {
    /// Adds one piece; pieces may come in any order. Returns the state if this completes a valid snapshot that is newer
    /// than all snapshots completed before. Invalid pieces are skipped.
    pub fn push(&mut self, piece: &[u8]) -> Option<State> {
        let piece = decode(piece).ok()?;
        if self.newest.is_some_and(|newest| piece.covered <= newest) {
            return None;
        }
        let key = (piece.covered, piece.whole);
        let count = piece.count;
        let incomplete = self
            .incomplete
            .entry(key)
            .or_insert_with(|| IncompleteSnapshot { count, chunks: BTreeMap::new() });
        if incomplete.count != count {
            return None;
        }
        incomplete.chunks.insert(piece.number, piece.chunk);
        if incomplete.chunks.len() < count as usize {
            self.drop_oldest_incomplete();
            return None;
        }
        let complete = self.incomplete.remove(&key)?;
        let state = assemble(key, complete).ok()?;
        self.newest = Some(state.next);
        self.incomplete.retain(|(covered, _), _| *covered > state.next);
        Some(state)
    }

    /// Drops the oldest incomplete snapshots above the limit. Otherwise a snapshot whose writer stopped midway would
    /// never be dropped.
    fn drop_oldest_incomplete(&mut self) {
        while self.incomplete.len() > MAX_INCOMPLETE {
            self.incomplete.pop_first();
        }
    }
}

fn decode(bytes: &[u8]) -> Result<Piece> {
    let invalid = |problem: &str| Error::decode("snapshot piece", problem);
    if bytes.len() > MAX_PIECE_BYTES {
        return Err(invalid("larger than 48 KiB"));
    }
    let (body, sum) = bytes.split_last_chunk().ok_or_else(|| invalid("truncated"))?;
    if crc32fast::hash(body).to_le_bytes() != *sum {
        return Err(invalid("checksum mismatch"));
    }
    let piece: Piece = postcard::from_bytes(body).map_err(|e| invalid(&e.to_string()))?;
    if piece.magic != MAGIC {
        return Err(invalid("wrong magic bytes or format version"));
    }
    if piece.number >= piece.count || piece.count > MAX_PIECES {
        return Err(invalid("piece number or count out of range"));
    }
    Ok(piece)
}

fn assemble((covered, whole): SnapshotKey, incomplete: IncompleteSnapshot) -> Result<State> {
    let invalid = |problem: &str| Error::decode("snapshot", problem);
    let bytes = incomplete.chunks.into_values().collect::<Vec<_>>().concat();
    if blake3::hash(&bytes) != whole {
        return Err(invalid("hash mismatch"));
    }
    let mut state: State = postcard::from_bytes(&bytes).map_err(|e| invalid(&e.to_string()))?;
    if state.next != covered || state.behind {
        return Err(invalid(
            "the state doesn't match the covered offset or lacks an entry's effect",
        ));
    }
    state.index = Index::build(&state);
    Ok(state)
}
