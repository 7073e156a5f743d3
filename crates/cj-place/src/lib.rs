//! Part of copperjunction; see `docs/design.md`.
