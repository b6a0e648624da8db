// Splits and assembles snapshots.

#include <Loomreach/Loomreach.h>

#include <Loomreach/Core/Hash.h>
#include <Loomreach/State/Codec.h>
#include <Loomreach/State/Envelope.h>
#include <Loomreach/State/Snapshot.h>

namespace Loomreach
{

static constexpr uint8 cPieceVersion = 1;
static constexpr size_t cPieceBytes = 256U << 10;
static constexpr size_t cMaxPieceBytes = cPieceBytes + 4096;
static constexpr uint32 cMaxPieces = 1024;

std::vector<std::string> SplitSnapshot(LogOffset inNextOffset, std::string_view inEncodedState)
{
	const uint32 count = static_cast<uint32>((inEncodedState.size() + cPieceBytes - 1) / cPieceBytes);
	const uint64 hash = HashBytes(inEncodedState);
	std::vector<std::string> pieces;
	for (uint32 index = 0; index < count; ++index)
	{
		const std::string_view bytes = inEncodedState.substr(index * cPieceBytes, cPieceBytes);
		const SnapshotPiece piece{inNextOffset, hash, index, count, std::string(bytes)};
		pieces.push_back(SealEnvelope(EEnvelope::SnapshotPiece, cPieceVersion, EncodeValue(piece)));
	}
	return pieces;
}

bool SnapshotAssembler::Add(std::string_view inRecord)
{
	const std::optional<std::string_view> bytes = OpenEnvelope(EEnvelope::SnapshotPiece, cPieceVersion, cMaxPieceBytes, inRecord);
	if (!bytes.has_value())
		return false;
	std::optional<SnapshotPiece> piece = DecodeValue<SnapshotPiece>(*bytes);
	if (!piece.has_value())
		return false;
	if (piece->count == 0 || piece->count > cMaxPieces || piece->index >= piece->count)
		return FailFalse(EError::Corrupt,
						 "invalid index or count: piece " + std::to_string(piece->index) + " of " + std::to_string(piece->count));
	PartialSnapshot &partial = this->partial_snapshots[{piece->next_offset, piece->hash}];
	if (partial.count != 0 && partial.count != piece->count)
		return FailFalse(EError::Corrupt, "pieces of a snapshot disagree on the number of pieces");
	partial.count = piece->count;
	partial.pieces.emplace(piece->index, std::move(piece->bytes));
	return true;
}

std::optional<FleetState> SnapshotAssembler::Newest() const
{
	for (auto entry = this->partial_snapshots.rbegin(); entry != this->partial_snapshots.rend(); ++entry)
	{
		const auto &[key, partial] = *entry;
		if (partial.pieces.size() != partial.count)
			continue;
		std::string encoded;
		for (const auto &[index, bytes] : partial.pieces)
			encoded += bytes;
		if (HashBytes(encoded) != key.second)
			continue;
		std::optional<FleetState> state = DecodeState(encoded);
		if (state.has_value() && state->next_offset == key.first)
			return state;
	}
	return Fail(EError::NotFound, "no complete snapshot");
}

} // namespace Loomreach
