// The envelope of every encoded thing of the system: kind, version, length and hash before the cereal bytes,
// so that what is cut short, damaged, too long or of an unknown version is refused before any of it is used.

#pragma once

#include <Loomreach/Loomreach.h>

namespace Loomreach
{

/// What an envelope holds.
enum class EEnvelope : uint8
{
	Batch = 1,
	Snapshot = 2,
	SnapshotPiece = 3,
	Datagram = 4,
	Frame = 5
};

/// Wraps encoded bytes.
std::string SealEnvelope(EEnvelope inKind, uint8 inVersion, std::string_view inBytes);

/// The bytes in an envelope of the kind and version expected; nothing, with the reason, otherwise.
std::optional<std::string_view> OpenEnvelope(EEnvelope inKind, uint8 inVersion, size_t inMaxBytes, std::string_view inSealed);

} // namespace Loomreach
