// Builds JSON values from the events of the library's parser, which keeps no stack of its own that grows by a frame per level.

#include <Loomreach/Loomreach.h>

#include <Loomreach/Core/BoundedJson.h>
#include <Loomreach/Core/Error.h>

namespace Loomreach
{

using Json = nlohmann::json;

namespace
{

/// Builds a value from the events of a parser, and stops it at the first one beyond the limits.
class BoundedBuilder final : public nlohmann::json_sax<Json>
{
public:
	explicit BoundedBuilder(const JsonLimits &inLimits) : limits(inLimits) {}

	bool null() override { return this->Add(nullptr); }
	bool boolean(bool inValue) override { return this->Add(inValue); }
	bool number_integer(number_integer_t inValue) override { return this->Add(inValue); }
	bool number_unsigned(number_unsigned_t inValue) override { return this->Add(inValue); }
	bool number_float(number_float_t inValue, const string_t &) override { return this->Add(inValue); }
	bool string(string_t &ioValue) override { return this->Add(std::move(ioValue)); }
	bool binary(binary_t &) override { return FailFalse(EError::Corrupt, "binary values are not part of JSON"); }
	bool start_object(std::size_t) override { return this->Open(Json::value_t::object); }
	bool start_array(std::size_t) override { return this->Open(Json::value_t::array); }
	bool end_object() override { return this->Close(); }
	bool end_array() override { return this->Close(); }
	bool key(string_t &ioName) override
	{
		this->member = &(*this->open.back())[std::move(ioName)];
		return true;
	}
	bool parse_error(std::size_t inPosition, const std::string &, const Json::exception &) override
	{
		return FailFalse(EError::Corrupt, "malformed JSON at byte " + std::to_string(inPosition));
	}

	Json TakeRoot() { return std::move(this->root); }

private:
	bool Add(Json inValue)
	{
		if (++this->values > this->limits.max_values)
			return FailFalse(EError::TooLarge, "more than " + std::to_string(this->limits.max_values) + " JSON values");
		this->Place(std::move(inValue));
		return true;
	}
	bool Open(Json::value_t inType)
	{
		if (this->open.size() >= this->limits.max_depth)
			return FailFalse(EError::Corrupt, "JSON deeper than " + std::to_string(this->limits.max_depth) + " levels");
		if (!this->Add(Json(inType)))
			return false;
		this->open.push_back(this->last);
		return true;
	}
	bool Close()
	{
		this->open.pop_back();
		return true;
	}
	/// Stores a value where it belongs: as the root, as the next element, or in the member that was named last.
	void Place(Json inValue)
	{
		if (this->open.empty())
			this->last = &this->root;
		else if (this->open.back()->is_array())
			this->last = &this->open.back()->emplace_back();
		else
			this->last = this->member;
		*this->last = std::move(inValue);
	}

	const JsonLimits &limits;
	Json root;
	/// The containers around the next value, outermost first. Invariant: none moves while it is in this list, since only the innermost
	/// one gets elements.
	std::vector<Json *> open;
	Json *member = nullptr; ///< The member of the innermost object whose value comes next.
	Json *last = nullptr;   ///< The value that was placed last.
	size_t values = 0;
};

} // namespace

std::optional<Json> ParseJson(std::string_view inText, const JsonLimits &inLimits)
{
	if (inText.size() > inLimits.max_bytes)
		return Fail(EError::TooLarge, std::to_string(inText.size()) + " bytes of JSON, at most " + std::to_string(inLimits.max_bytes));
	BoundedBuilder builder(inLimits);
	if (!Json::sax_parse(inText.begin(), inText.end(), &builder))
		return std::nullopt;
	return builder.TakeRoot();
}

std::string DumpJson(const Json &inValue) { return inValue.dump(-1, ' ', false, Json::error_handler_t::replace); }

} // namespace Loomreach
