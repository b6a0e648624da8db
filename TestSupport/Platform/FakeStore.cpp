// HTTP handlers of the fake metadata store.

#include <Loomreach/Loomreach.h>

#include <Loomreach/Entry/HttpListener.h>
#include <Loomreach/Ownership/RecordLimit.h>
#include <TestSupport/Platform/FakeStore.h>

#include <nlohmann/json.hpp>

namespace Loomreach
{

using Json = nlohmann::json;

std::string QueryField(GHashTable *inQuery, const char *inName)
{
	const char *value = inQuery == nullptr ? nullptr : static_cast<const char *>(g_hash_table_lookup(inQuery, inName));
	return value == nullptr ? std::string() : value;
}

uint64 QueryNumber(GHashTable *inQuery, const char *inName, uint64 inDefault)
{
	const std::string text = QueryField(inQuery, inName);
	return text.empty() ? inDefault : g_ascii_strtoull(text.c_str(), nullptr, 10);
}

void Reply(SoupServerMessage *inMessage, uint32 inStatus, const std::string &inBody)
{
	soup_server_message_set_status(inMessage, inStatus, nullptr);
	soup_server_message_set_response(inMessage, "application/json", SOUP_MEMORY_COPY, inBody.data(), inBody.size());
}

std::string BodyOf(SoupServerMessage *inMessage)
{
	GBytes *bytes = soup_message_body_flatten(soup_server_message_get_request_body(inMessage));
	gsize size = 0;
	const void *data = g_bytes_get_data(bytes, &size);
	std::string body(static_cast<const char *>(data), data == nullptr ? 0 : size);
	g_bytes_unref(bytes);
	return body;
}

static std::string BigEndian(uint64 inValue, int inBytes)
{
	std::string bytes;
	for (int shift = (inBytes - 1) * 8; shift >= 0; shift -= 8)
		bytes += static_cast<char>((inValue >> shift) & 0xff);
	return bytes;
}

void CutConnection(SoupServerMessage *inMessage)
{
	const ObjectPtr<GIOStream> stream(soup_server_message_steal_connection(inMessage));
	if (stream != nullptr)
		g_io_stream_close(stream.get(), nullptr, nullptr);
}

bool FakeStore::Open(const Address &inAddress)
{
	this->server = OpenServer(inAddress, "store");
	if (this->server == nullptr)
		return false;
	soup_server_add_handler(this->server.get(), nullptr, &FakeStore::OnCall, this, nullptr);
	return true;
}

void FakeStore::OnCall(SoupServer *, SoupServerMessage *inMessage, const char *inPath, GHashTable *inQuery, gpointer inSelf)
{
	FakeStore *self = static_cast<FakeStore *>(inSelf);
	const std::string_view path = inPath;
	if (self->fault == EStoreFault::Busy)
		return Reply(inMessage, 503, "{}");
	if (self->fault == EStoreFault::Unresponsive)
	{
		soup_server_message_pause(inMessage);
		self->unanswered.push_back(Share(inMessage));
		return;
	}
	if (path == "/log-append")
		self->Append(inMessage, inQuery);
	else if (path == "/log-read")
		self->Read(inMessage, inQuery);
	else if (path == "/log-newest")
		self->AnswerNewest(inMessage, inQuery);
	else
		Reply(inMessage, 404, "{}");
}

void FakeStore::Append(SoupServerMessage *inMessage, GHashTable *inQuery)
{
	const std::string topic = QueryField(inQuery, "topic");
	Partition &partition = this->partitions[{topic, static_cast<uint32>(QueryNumber(inQuery, "part", 0))}];
	const std::string records = BodyOf(inMessage);
	const auto [status, body] = this->DoAppend(partition, inQuery, records);
	this->TrackEvent(topic, records);
	this->AnswerWaitingReads(partition);
	if (this->fault == EStoreFault::AnswerLost)
		return CutConnection(inMessage);
	Reply(inMessage, status, body);
}

void FakeStore::TrackEvent(const std::string &inTopic, const std::string &inBody)
{
	// Layout: record length (4 bytes), key length (1 byte), key
	constexpr size_t cKeyAt = 5;
	if (inTopic == "keyed.hosts" && inBody.size() > cKeyAt)
		this->gaps.Add("heartbeat " + inBody.substr(cKeyAt, static_cast<uint8>(inBody[cKeyAt - 1])));
	if (inTopic.starts_with("inbox"))
		this->gaps.Add("accepted");
}

/// Splits the body of an append into its records.
static std::vector<std::string> SplitRecords(const std::string &inBody)
{
	std::vector<std::string> records;
	for (size_t at = 0; at + 4 <= inBody.size();)
	{
		uint64 length = 0;
		for (size_t i = 0; i < 4; ++i)
			length = (length << 8) | static_cast<uint8>(inBody[at + i]);
		records.push_back(inBody.substr(at + 4, length));
		at += 4 + length;
	}
	return records;
}

std::pair<uint32, std::string> FakeStore::DoAppend(Partition &ioPartition, GHashTable *inQuery, const std::string &inBody)
{
	const bool has_producer = !QueryField(inQuery, "producer").empty();
	const uint64 epoch = QueryNumber(inQuery, "epoch", 0);
	const uint64 sequence = QueryNumber(inQuery, "callSeq", 0);
	ProducerState &producer = ioPartition.producer;
	if (has_producer && epoch < producer.epoch)
		return {409, R"({"reason":"fenced"})"};
	// A repeated call gets its first answer again
	if (has_producer && epoch == producer.epoch && producer.answers.contains(sequence))
		return {200, producer.answers[sequence]};
	if (has_producer && epoch == producer.epoch && sequence != producer.next)
		return {409, R"({"reason":"seq"})"};
	if (!QueryField(inQuery, "at").empty() && QueryNumber(inQuery, "at", 0) != ioPartition.records.size())
		return {412, Json{{"end", ioPartition.records.size()}}.dump()};
	const std::vector<Record> records = SplitRecords(inBody);
	const bool too_long =
		std::any_of(records.begin(), records.end(), [](const Record &inRecord) { return inRecord.size() > Jobs::cMaxRecordBytes; });
	if (too_long || inBody.size() > Jobs::cMaxAppendBytes)
		return {413, "{}"};
	if (this->kept_bytes + inBody.size() > cMaxKeptBytes)
		return {507, "{}"};
	this->kept_bytes += inBody.size();
	const size_t offset = ioPartition.records.size();
	ioPartition.records.insert(ioPartition.records.end(), records.begin(), records.end());
	const std::string answer = Json{{"offset", offset}, {"end", ioPartition.records.size()}}.dump();
	if (has_producer)
	{
		if (epoch > producer.epoch)
			producer.answers.clear();
		producer.epoch = epoch;
		producer.next = sequence + 1;
		producer.answers[sequence] = answer;
	}
	return {200, answer};
}

void FakeStore::AnswerRead(SoupServerMessage *inMessage, const Partition &inPartition, uint64 inFrom)
{
	std::string body = BigEndian(inPartition.records.size(), 8) + BigEndian(0, 8);
	for (uint64 i = inFrom; i < inPartition.records.size(); ++i)
	{
		body += BigEndian(inPartition.records[i].size(), 4);
		body += inPartition.records[i];
	}
	Reply(inMessage, 200, body);
}

void FakeStore::Read(SoupServerMessage *inMessage, GHashTable *inQuery)
{
	Partition &partition = this->partitions[{QueryField(inQuery, "topic"), static_cast<uint32>(QueryNumber(inQuery, "part", 0))}];
	const uint64 from = QueryNumber(inQuery, "from", 0);
	const uint64 wait = QueryNumber(inQuery, "waitMs", 0);
	if (from < partition.records.size() || wait == 0)
		return AnswerRead(inMessage, partition, from);
	soup_server_message_pause(inMessage);
	auto waiting = std::make_shared<WaitingRead>();
	waiting->message = Share(inMessage);
	waiting->from = from;
	partition.waiting.push_back(waiting);
	After(static_cast<Millis>(wait),
		  [this, waiting, &partition]
		  {
			  if (std::erase(partition.waiting, waiting) == 0)
				  return;
			  AnswerRead(waiting->message.get(), partition, waiting->from);
			  soup_server_message_unpause(waiting->message.get());
		  });
}

void FakeStore::AnswerWaitingReads(Partition &ioPartition)
{
	std::vector<std::shared_ptr<WaitingRead>> remaining;
	for (const std::shared_ptr<WaitingRead> &waiting : ioPartition.waiting)
	{
		if (waiting->from >= ioPartition.records.size())
		{
			remaining.push_back(waiting);
			continue;
		}
		AnswerRead(waiting->message.get(), ioPartition, waiting->from);
		soup_server_message_unpause(waiting->message.get());
	}
	ioPartition.waiting = std::move(remaining);
}

/// Key and value of a keyed record: key length (1 byte), key, value.
static std::pair<std::string, std::string> SplitKeyedRecord(const std::string &inRecord)
{
	const size_t length = inRecord.empty() ? 0 : static_cast<uint8>(inRecord[0]);
	return {inRecord.substr(std::min<size_t>(1, inRecord.size()), length), inRecord.substr(std::min(1 + length, inRecord.size()))};
}

void FakeStore::AnswerNewest(SoupServerMessage *inMessage, GHashTable *inQuery)
{
	const Partition &partition = this->partitions[{QueryField(inQuery, "topic"), static_cast<uint32>(QueryNumber(inQuery, "part", 0))}];
	std::map<std::string, std::pair<std::string, size_t>> newest;
	for (size_t i = 0; i < partition.records.size(); ++i)
	{
		const auto [key, value] = SplitKeyedRecord(partition.records[i]);
		newest[key] = {value, i};
	}
	Json items = Json::array();
	for (const auto &[key, entry] : newest)
	{
		if (entry.first.empty())
			continue;
		gchar *encoded = g_base64_encode(reinterpret_cast<const guchar *>(entry.first.data()), entry.first.size());
		items.push_back({{"privateKey", key}, {"value", encoded}, {"offset", entry.second}});
		g_free(encoded);
	}
	Reply(inMessage, 200, Json{{"items", items}, {"more", false}, {"end", partition.records.size()}}.dump());
}

void FakeStore::Put(const std::string &inTopic, const std::string &inKey, const std::string &inValue)
{
	Partition &partition = this->partitions[{inTopic, 0}];
	std::string record(1, static_cast<char>(inKey.size()));
	record += inKey;
	record += inValue;
	partition.records.push_back(std::move(record));
	this->AnswerWaitingReads(partition);
}

std::string FakeStore::Newest(const std::string &inTopic, const std::string &inKey) const
{
	std::string newest;
	auto partition = this->partitions.find({inTopic, 0});
	if (partition == this->partitions.end())
		return newest;
	for (const Record &record : partition->second.records)
	{
		const auto [key, value] = SplitKeyedRecord(record);
		if (key == inKey)
			newest = value;
	}
	return newest;
}

} // namespace Loomreach
