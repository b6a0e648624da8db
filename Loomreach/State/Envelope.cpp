// Writes and checks the header of envelopes.

#include <Loomreach/Loomreach.h>

#include <Loomreach/Core/Error.h>
#include <Loomreach/Core/Hash.h>
#include <Loomreach/State/Envelope.h>

namespace Loomreach
{

// Layout: 'L' 'R', kind, version, length (4 bytes, little endian), hash (8 bytes, little endian), content
static constexpr size_t cHeaderBytes = 16;
static constexpr char cMagic0 = 'L';
static constexpr char cMagic1 = 'R';

static void AppendLittleEndian(std::string &ioText, uint64 inValue, int inBytes)
{
	for (int i = 0; i < inBytes; ++i)
		ioText += static_cast<char>((inValue >> (8 * i)) & 0xff);
}

static uint64 ReadLittleEndian(std::string_view inText, size_t inOffset, int inBytes)
{
	uint64 value = 0;
	for (int i = 0; i < inBytes; ++i)
		value |= static_cast<uint64>(static_cast<uint8>(inText[inOffset + static_cast<size_t>(i)])) << (8 * i);
	return value;
}

/// The hash also covers kind and version, so that a damaged header byte is detected.
static uint64 EnvelopeHash(EEnvelope inKind, uint8 inVersion, std::string_view inBytes)
{
	return HashBytes(inBytes, (static_cast<uint64>(inKind) << 8) | inVersion);
}

std::string SealEnvelope(EEnvelope inKind, uint8 inVersion, std::string_view inBytes)
{
	std::string sealed;
	sealed.reserve(cHeaderBytes + inBytes.size());
	sealed += cMagic0;
	sealed += cMagic1;
	sealed += static_cast<char>(inKind);
	sealed += static_cast<char>(inVersion);
	AppendLittleEndian(sealed, inBytes.size(), 4);
	AppendLittleEndian(sealed, EnvelopeHash(inKind, inVersion, inBytes), 8);
	sealed += inBytes;
	return sealed;
}

std::optional<std::string_view> OpenEnvelope(EEnvelope inKind, uint8 inVersion, size_t inMaxBytes, std::string_view inSealed)
{
	if (inSealed.size() < cHeaderBytes)
		return Fail(EError::Corrupt, "shorter than the envelope header");
	if (inSealed[0] != cMagic0 || inSealed[1] != cMagic1 || static_cast<EEnvelope>(inSealed[2]) != inKind)
		return Fail(EError::Corrupt, "wrong magic bytes or kind of envelope");
	if (static_cast<uint8>(inSealed[3]) != inVersion)
		return Fail(EError::UnknownVersion, "unknown envelope version " + std::to_string(static_cast<uint8>(inSealed[3])));
	const uint64 length = ReadLittleEndian(inSealed, 4, 4);
	if (length > inMaxBytes)
		return Fail(EError::TooLarge, std::to_string(length) + " bytes, at most " + std::to_string(inMaxBytes));
	const std::string_view bytes = inSealed.substr(cHeaderBytes);
	if (bytes.size() != length)
		return Fail(EError::Corrupt, "cut short or too long: length differs from the envelope header");
	if (ReadLittleEndian(inSealed, 8, 8) != EnvelopeHash(inKind, inVersion, bytes))
		return Fail(EError::Corrupt, "envelope hash does not match its content");
	return bytes;
}

} // namespace Loomreach
