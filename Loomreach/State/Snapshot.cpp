// Cutting and assembling snapshots.

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

std::vector<std::string> CutSnapshot(LogOffset inNextOffset, std::string_view inEncodedState)
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
		return FailFalse(EError::Corrupt, "piece " + std::to_string(piece->index) + " of " + std::to_string(piece->count));
	Gathering &gathering = this->gatherings[{piece->next_offset, piece->hash}];
	if (gathering.count != 0 && gathering.count != piece->count)
		return FailFalse(EError::Corrupt, "pieces disagree on their number");
	gathering.count = piece->count;
	gathering.pieces.emplace(piece->index, std::move(piece->bytes));
	return true;
}

std::optional<FleetState> SnapshotAssembler::Newest() const
{
	for (auto entry = this->gatherings.rbegin(); entry != this->gatherings.rend(); ++entry)
	{
		const auto &[name, gathering] = *entry;
		if (gathering.pieces.size() != gathering.count)
			continue;
		std::string whole;
		for (const auto &[index, bytes] : gathering.pieces)
			whole += bytes;
		if (HashBytes(whole) != name.second)
			continue;
		std::optional<FleetState> state = DecodeState(whole);
		if (state.has_value() && state->next_offset == name.first)
			return state;
	}
	return Fail(EError::NotFound, "no complete snapshot");
}

} // namespace Loomreach
