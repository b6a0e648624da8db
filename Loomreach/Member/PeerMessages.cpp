// Encoding and authentication of messages between entry hosts.

#include <Loomreach/Loomreach.h>

#include <Loomreach/Core/Hash.h>
#include <Loomreach/Member/PeerMessages.h>
#include <Loomreach/State/Codec.h>
#include <Loomreach/State/Envelope.h>

#include <glib.h>

namespace Loomreach
{

static constexpr uint8 cHeartbeatVersion = 1;
static constexpr uint8 cFrameVersion = 1;
static constexpr size_t cAuthenticationCodeBytes = 16;
static constexpr size_t cSha256Bytes = 32;
static constexpr size_t cTagCharacters = 12;

uint32 ServiceHash(std::string_view inJob) { return static_cast<uint32>(HashBytes(inJob)); }

std::string PeerCodec::Authenticate(std::string_view inBytes) const
{
	std::array<guint8, cSha256Bytes> code{};
	gsize length = code.size();
	GHmac *hmac = g_hmac_new(G_CHECKSUM_SHA256, reinterpret_cast<const guchar *>(this->key.data()), this->key.size());
	g_hmac_update(hmac, reinterpret_cast<const guchar *>(inBytes.data()), static_cast<gssize>(inBytes.size()));
	g_hmac_get_digest(hmac, code.data(), &length);
	g_hmac_unref(hmac);
	return std::string(reinterpret_cast<const char *>(code.data()), cAuthenticationCodeBytes);
}

std::string PeerCodec::Seal(std::string inEnvelope) const
{
	const std::string code = this->Authenticate(inEnvelope);
	inEnvelope += code;
	return inEnvelope;
}

std::optional<std::string_view> PeerCodec::CheckAuthentication(std::string_view inBytes) const
{
	if (inBytes.size() < cAuthenticationCodeBytes)
		return Fail(EError::Corrupt, "shorter than its authentication code");
	const std::string_view envelope = inBytes.substr(0, inBytes.size() - cAuthenticationCodeBytes);
	const std::string_view code = inBytes.substr(envelope.size());
	const std::string expected = this->Authenticate(envelope);
	// Constant-time comparison, so that the time taken does not tell where the codes differ
	uint8 difference = 0;
	for (size_t i = 0; i < cAuthenticationCodeBytes; ++i)
		difference |= static_cast<uint8>(code[i] ^ expected[i]);
	if (difference != 0)
		return Fail(EError::Forged, "wrong authentication code");
	return envelope;
}

/// Opens an envelope whose authentication code has been checked, and decodes its value.
template <class T>
static std::optional<T> Open(std::optional<std::string_view> inEnvelope, EEnvelope inKind, uint8 inVersion, size_t inMaxBytes)
{
	if (!inEnvelope.has_value())
		return std::nullopt;
	const std::optional<std::string_view> bytes = OpenEnvelope(inKind, inVersion, inMaxBytes, *inEnvelope);
	if (!bytes.has_value())
		return std::nullopt;
	return DecodeValue<T>(*bytes);
}

std::string PeerCodec::SealHeartbeat(const HeartbeatMessage &inHeartbeat) const
{
	return this->Seal(SealEnvelope(EEnvelope::Datagram, cHeartbeatVersion, EncodeValue(inHeartbeat)));
}

std::optional<HeartbeatMessage> PeerCodec::OpenHeartbeat(std::string_view inBytes) const
{
	return Open<HeartbeatMessage>(this->CheckAuthentication(inBytes), EEnvelope::Datagram, cHeartbeatVersion, cMaxDatagramBytes);
}

std::string PeerCodec::SealRequest(const RequestFrame &inFrame) const
{
	return this->Seal(SealEnvelope(EEnvelope::Frame, cFrameVersion, EncodeValue(inFrame)));
}

std::optional<RequestFrame> PeerCodec::OpenRequest(std::string_view inBytes) const
{
	return Open<RequestFrame>(this->CheckAuthentication(inBytes), EEnvelope::Frame, cFrameVersion, cMaxRequestFrameBytes);
}

std::string PeerCodec::SealReply(const ReplyFrame &inFrame) const
{
	return this->Seal(SealEnvelope(EEnvelope::Frame, cFrameVersion, EncodeValue(inFrame)));
}

std::optional<ReplyFrame> PeerCodec::OpenReply(std::string_view inBytes) const
{
	return Open<ReplyFrame>(this->CheckAuthentication(inBytes), EEnvelope::Frame, cFrameVersion, cMaxReplyFrameBytes);
}

std::string PeerCodec::Tag(std::string_view inText) const
{
	static constexpr std::string_view cHexDigits = "0123456789abcdef";
	std::string tag;
	for (char c : this->Authenticate(inText))
	{
		tag += cHexDigits[static_cast<uint8>(c) >> 4];
		tag += cHexDigits[static_cast<uint8>(c) & 15];
	}
	return tag.substr(0, cTagCharacters);
}

} // namespace Loomreach
