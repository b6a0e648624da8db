// Envelope around every encoded record, snapshot and message: kind, version, length and hash precede the cereal bytes, so that input that
// is truncated, damaged, too long or of an unknown version is rejected before any of it is decoded.

#pragma once

#include <Loomreach/Loomreach.h>

namespace Loomreach
{

/// Kind of an envelope's content.
enum class EEnvelope : uint8
{
	Batch = 1,
	Snapshot = 2,
	SnapshotPiece = 3,
	Datagram = 4,
	Frame = 5
};

/// Wraps encoded bytes in an envelope.
std::string SealEnvelope(EEnvelope inKind, uint8 inVersion, std::string_view inBytes);

/// Returns the content of an envelope. Fails with corrupt, unknown-version or too-large if it is not intact or not of the expected kind,
/// version and size.
std::optional<std::string_view> OpenEnvelope(EEnvelope inKind, uint8 inVersion, size_t inMaxBytes, std::string_view inSealed);

} // namespace Loomreach
